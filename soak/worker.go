package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workerSlots   = 6
	workerQueue   = 12
	eventInterval = 15 * time.Millisecond
	slowFactor    = 6
)

// wait waits until d has passed or ctx has ended.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// worker is the stand-in for a model worker. It streams the events of a
// request, starting after Last-Event-Id.
type worker struct {
	id                string
	address           string
	history           *History
	server            *http.Server
	slots             chan struct{}
	queued            atomic.Int32
	startedUnixMillis int64

	mu sync.Mutex
	// brokenUntil is the time until which it breaks off its answers. slowUntil
	// is the time until which its events take slowFactor times as long.
	brokenUntil time.Time
	slowUntil   time.Time
}

func newWorker(id, ip string, h *History) (*worker, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: l.Addr().String(), history: h, slots: make(chan struct{}, workerSlots), startedUnixMillis: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry(state string, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"1","slots":%d,"state":%q,"seq":%d,"born":%d}`,
		serviceName, w.address, workerSlots, state, sequence, w.startedUnixMillis)
}

// before reports whether the current time is before t, a field that w.mu guards.
func (w *worker) before(t *time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(*t)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	h := rw.Header()
	h.Set("X-Request-Id", request)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(w.slots), w.queued.Load(), workerSlots))
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		w.reject(rw, http.StatusMisdirectedRequest)
		return
	}
	if w.queued.Add(1) > workerQueue {
		w.queued.Add(-1)
		w.reject(rw, http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.queued.Add(-1)
	case <-r.Context().Done():
		w.queued.Add(-1)
		return
	}
	defer func() { <-w.slots }()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	unchanged := r.Method == http.MethodPost && string(body) == requestBody(request) && r.Header.Get("X-Model") == modelName &&
		strings.HasSuffix(r.URL.Path, "/"+request) && r.Host == hostName
	w.history.update(func() {
		w.history.Runs = append(w.history.Runs, WorkerRun{Request: request, Worker: w.id, ResumedAfter: after, StartedAt: time.Now(), Unchanged: unchanged})
	})
	w.stream(rw, r, request, after)
}

func (w *worker) reject(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, request string, after int) {
	rw.Header().Set("X-Server-Stamp", w.id+"."+request)
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	for n := after + 1; n <= eventCount(request); n++ {
		interval := eventInterval
		if w.before(&w.slowUntil) {
			interval *= slowFactor
		}
		wait(r.Context(), interval)
		if r.Context().Err() != nil {
			return
		}
		if w.before(&w.brokenUntil) {
			// A crash may cut an event in the middle.
			_, _ = io.WriteString(rw, "id: "+strconv.Itoa(n)+"\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, Event(request, n)); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

func (w *worker) ip() string {
	host, _, _ := net.SplitHostPort(w.address)
	return host
}
