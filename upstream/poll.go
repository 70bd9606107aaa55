package upstream

import (
	"context"
	"encoding/json"
	"errors"
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
			r, err := d.readReport(ctx, t)
			d.sched.reported(t, r, err != nil && isDialError(err))
		})
	}
	wait.Wait()
}

func (d *Dispatcher) readReport(ctx context.Context, t *target) (*loadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/load", nil)
	if err != nil {
		return nil, err
	}
	response, err := d.links.reports.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New("the upstream has no load report")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	r := &loadReport{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, err
	}
	return r, nil
}
