package engine

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Load is the report under GET /load. It was true at TakenAt, which lies at
// least Options.ReportLag back.
type Load struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVUse    float64   `json:"kv_use"`
	Draining bool      `json:"draining"`
	TakenAt  time.Time `json:"taken_at"`
}

// reports holds the published load and the one that is published next.
type reports struct {
	published atomic.Pointer[Load]
	next      *Load
}

func (r *reports) init(now time.Time) {
	r.published.Store(&Load{TakenAt: now})
	r.next = &Load{TakenAt: now}
}

// minSampleInterval keeps an engine without a lag from sampling all the time.
const minSampleInterval = time.Millisecond

func (e *Engine) sample() {
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
		KVUse:    e.cache.use(),
		Draining: e.faults.Load().Draining,
		TakenAt:  now,
	}
}

// Current returns the load of this moment, for tests.
func (e *Engine) Current() Load { return *e.load(time.Now()) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.reports.published.Load())
}
