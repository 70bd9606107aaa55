package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// workerShape is how fast the workers are.
type workerShape struct {
	slots    int
	first    time.Duration
	interval time.Duration
	events   int
}

// run is what a worker saw of a request.
type run struct {
	request, worker string
	after           int
	arrivedAt       time.Time
	endedAt         time.Time
	finished        bool
}

// worker is the stand-in of a model worker.
type worker struct {
	w      *world
	id     string
	shape  workerShape
	addr   string
	link   *link
	server *http.Server
	slots  chan struct{}
	bornMS int64

	mu    sync.Mutex
	seq   int
	state string
	runs  []*run
}

// addWorker starts a worker that is reached through a link and registers itself.
func (w *world) addWorker(n int, shape workerShape) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &worker{w: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), shape: shape, slots: make(chan struct{}, shape.slots), bornMS: time.Now().UnixMilli(), state: "ready"}
	if x.link, err = newLink("127.0.0.1", l.Addr().String()); err != nil {
		return nil, err
	}
	x.addr = x.link.address()
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(l) }()
	w.workers = append(w.workers, x)
	x.beat()
	go func() {
		for range time.Tick(heartbeat) {
			x.beat()
		}
	}()
	return x, nil
}

// beat writes the worker's entry.
func (x *worker) beat() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.beatLocked()
}

func (x *worker) beatLocked() {
	x.seq++
	if x.state == "gone" {
		return
	}
	_ = x.w.put("servers", x.id, map[string]any{"service": serviceName, "address": x.addr, "zone": "kochi", "version": "v1", "slots": x.shape.slots, "state": x.state,
		"cold_remaining_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": x.seq, "born": x.bornMS})
}

// drain reports draining and returns when the store acknowledged that.
func (x *worker) drain() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state = "draining"
	x.beatLocked()
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (x *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.Header().Set("X-Instance-Id", x.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	h := rw.Header()
	h.Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != x.id {
		h.Set("X-Instance-Id", x.id)
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	this := &run{request: id, worker: x.id, after: after, arrivedAt: time.Now()}
	x.mu.Lock()
	x.runs = append(x.runs, this)
	if x.state == "draining" {
		h.Set("Connection", "close")
	}
	x.mu.Unlock()
	x.w.logf("worker %s: %s arrived, after event %d", x.id, id, after)
	defer func() {
		x.mu.Lock()
		this.endedAt = time.Now()
		x.mu.Unlock()
		x.w.logf("worker %s: %s ended, finished %v", x.id, id, this.finished)
	}()
	select {
	case x.slots <- struct{}{}:
		defer func() { <-x.slots }()
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Stamp", "3e1b."+x.id+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(x.slots), x.shape.slots))
	h.Set("Content-Type", "text/event-stream")
	events := x.shape.events
	if n, err := strconv.Atoi(r.URL.Path[lastSlash(r.URL.Path)+1:]); err == nil && n > 0 && n < 10000 {
		events = n
	}
	flusher := http.NewResponseController(rw)
	if !sleep(r, x.shape.first) {
		return
	}
	for n := after + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, event(id, n)); err != nil || flusher.Flush() != nil || !sleep(r, x.shape.interval) {
			return
		}
	}
	x.mu.Lock()
	this.finished = true
	x.mu.Unlock()
}

// event returns the data of an event of a request.
func event(id string, n int) string { return fmt.Sprintf("%s-%d", id[:6], n) }

func lastSlash(s string) int {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == '/' {
			return i
		}
	}
	return -1
}

// sleep waits and reports false if the request ended meanwhile.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// allRuns returns copies of all runs at all workers.
func (w *world) allRuns() (all []run) {
	for _, x := range w.workers {
		x.mu.Lock()
		for _, r := range x.runs {
			all = append(all, *r)
		}
		x.mu.Unlock()
	}
	return all
}
