package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/contract"
)

// probe is a small request to an ejected engine that belongs to no caller, so that no
// caller waits for an engine that may not have recovered.
type probe struct {
	target *target
	model  string
}

const (
	probeTokens  = 4
	probeTimeout = 2 * time.Second
)

// runProbes probes all targets that are due and waits for the results.
func (d *Dispatcher) runProbes(ctx context.Context) {
	var wait sync.WaitGroup
	for _, p := range d.sched.dueProbes(time.Now()) {
		wait.Go(func() {
			first, spacing := d.probe(ctx, p)
			d.sched.recordProbe(p.target, first, spacing, time.Now())
		})
	}
	wait.Wait()
}

// probe returns the time to the first token, 0 if there was none, and the time between
// tokens.
func (d *Dispatcher) probe(ctx context.Context, p probe) (first, spacing time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	body, err := json.Marshal(contract.ChatRequest{
		Model:     p.model,
		Messages:  []contract.Message{{Role: "user", Content: json.RawMessage(`"ping"`)}},
		MaxTokens: probeTokens,
		Stream:    true,
	})
	if err != nil {
		return 0, 0
	}
	url := "http://" + p.target.address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, 0
	}
	id := attemptPrefix + uuid.NewString()
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", id)
	g := &slot{startedAt: time.Now()}
	response, err := d.transports.reports.RoundTrip(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, 0
	}
	silence := &silenceTimer{limit: func(time.Time, bool) time.Duration { return probeTimeout }, end: cancel}
	silence.start()
	return readProbe(g, &stream{
		slot:    g,
		events:  newEventReader(response.Body, maxLineBytes),
		decoder: chunkDecoder{attemptID: id},
		silence: silence,
	})
}

// readProbe reads the answer to a probe and returns its latencies.
func readProbe(g *slot, s *stream) (first, spacing time.Duration) {
	defer s.silence.stop()
	for !s.done {
		if f := s.advance(); f != nil {
			break
		}
	}
	return time.Duration(g.firstTokenNanos.Load()), time.Duration(g.gapNanos.Load())
}
