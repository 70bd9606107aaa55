package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// loadReport is what an engine says under GET /load. It was true at TakenAt.
type loadReport struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVUse    float64   `json:"kv_use"`
	Draining bool      `json:"draining"`
	TakenAt  time.Time `json:"taken_at"`
}

const (
	reportTimeout  = 400 * time.Millisecond
	maxReportBytes = 16 << 10
)

// poll reads the load reports of all targets once.
func (d *Dispatcher) poll(ctx context.Context) {
	f := d.current()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, t := range f.targets {
		if !t.terms.Load().model {
			continue
		}
		wait.Go(func() {
			r, result := d.readReport(ctx, t)
			d.sched.reported(t, r, result)
		})
	}
	wait.Wait()
}

// reachability is what asking for a load report told about an upstream.
type reachability int

const (
	// unclear means that there was no answer in time.
	unclear reachability = iota
	answered
	refusedConnection
)

// readReport returns the load report of t, nil when it has none to give.
func (d *Dispatcher) readReport(ctx context.Context, t *target) (*loadReport, reachability) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/load", nil)
	if err != nil {
		return nil, unclear
	}
	response, err := d.links.reports.RoundTrip(request)
	if err != nil {
		if isDialError(err) && ctx.Err() == nil {
			return nil, refusedConnection
		}
		return nil, unclear
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, answered
	}
	r := &loadReport{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, answered
	}
	return r, answered
}
