package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// loadReport is the response of an engine to GET /load. It describes the load at
// TakenAt.
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

// poll requests a load report from every engine.
func (d *Dispatcher) poll(ctx context.Context) {
	f := d.current()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, t := range f.targets {
		if !t.config.Load().isEngine {
			continue
		}
		wait.Go(func() {
			r, result := d.readReport(ctx, t)
			d.sched.recordReport(t, r, result)
		})
	}
	wait.Wait()
}

// reachability is what a request for a load report shows about an engine.
type reachability int

const (
	// noAnswer means that the request failed after a connection was made, or timed out.
	noAnswer reachability = iota
	// answered means that there was a response, with a report or without.
	answered
	// dialFailed means that no connection could be made.
	dialFailed
)

// readReport requests the load report of t. It returns nil if there is no valid report.
func (d *Dispatcher) readReport(ctx context.Context, t *target) (*loadReport, reachability) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/load", nil)
	if err != nil {
		return nil, noAnswer
	}
	response, err := d.transports.reports.RoundTrip(request)
	if err != nil {
		if isDialError(err) && ctx.Err() == nil {
			return nil, dialFailed
		}
		return nil, noAnswer
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
