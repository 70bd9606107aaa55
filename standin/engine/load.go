package engine

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Load is the load report that GET /load returns. It was sampled at TakenAt, at
// least Options.ReportLag ago. Until the first sample is published, the report is empty
// and TakenAt is the start of the engine.
type Load struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVUse    float64   `json:"kv_use"`
	Draining bool      `json:"draining"`
	TakenAt  time.Time `json:"taken_at"`
}

// loadReports holds the published load report and the one to be published next.
type loadReports struct {
	published atomic.Pointer[Load]
	next      *Load
}

func (r *loadReports) init(now time.Time) {
	r.published.Store(&Load{TakenAt: now})
	r.next = &Load{TakenAt: now}
}

// minSampleInterval bounds the sampling rate of an engine with a small ReportLag.
const minSampleInterval = time.Millisecond

// sampleLoad takes a load report at every interval and publishes it one interval
// later, until the engine is closed.
func (e *Engine) sampleLoad() {
	ticker := time.NewTicker(max(e.options.ReportLag, minSampleInterval))
	defer ticker.Stop()
	for {
		select {
		case <-e.closed:
			return
		case now := <-ticker.C:
			e.reports.published.Store(e.reports.next)
			e.reports.next = e.load(now)
		}
	}
}

func (e *Engine) load(now time.Time) *Load {
	e.mu.Lock()
	running, waiting := len(e.running), len(e.waiting)
	e.mu.Unlock()
	return &Load{
		Running:  running,
		Waiting:  waiting,
		KVUse:    e.cache.usedShare(),
		Draining: e.faults.Load().Draining,
		TakenAt:  now,
	}
}

// CurrentLoad returns the present load without the delay of reports, for tests.
func (e *Engine) CurrentLoad() Load { return *e.load(time.Now()) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.reports.published.Load())
}
