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
	workerSlots = 6
	workerQueue = 12
	stepTime    = 15 * time.Millisecond
	slowFactor  = 6
)

// wait waits for a time or the end of ctx.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// worker is the stand-in of a model worker. It streams the events of a request,
// from the one after Last-Event-Id on.
type worker struct {
	id      string
	address string
	history *History
	server  *http.Server
	slots   chan struct{}
	waiting atomic.Int32
	born    int64

	mu sync.Mutex
	// broken is until when it breaks its answers off, slow until when its steps
	// take several times as long.
	broken time.Time
	slow   time.Time
}

func newWorker(id, ip string, h *History) (*worker, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: l.Addr().String(), history: h, slots: make(chan struct{}, workerSlots), born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// entry is what the worker says of itself in the store.
func (w *worker) entry(state string, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"1","slots":%d,"state":%q,"seq":%d,"born":%d}`,
		serviceName, w.address, workerSlots, state, sequence, w.born)
}

func (w *worker) until(t *time.Time) bool {
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
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(w.slots), w.waiting.Load(), workerSlots))
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		w.refuse(rw, http.StatusMisdirectedRequest)
		return
	}
	if w.waiting.Add(1) > workerQueue {
		w.waiting.Add(-1)
		w.refuse(rw, http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	defer func() { <-w.slots }()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	right := r.Method == http.MethodPost && string(body) == bodyOf(request) && r.Header.Get("X-Model") == modelName &&
		strings.HasSuffix(r.URL.Path, "/"+request) && r.Host == hostName
	w.history.record(func() {
		w.history.Runs = append(w.history.Runs, Run{Request: request, Worker: w.id, After: after, At: time.Now(), Right: right})
	})
	w.stream(rw, r, request, after)
}

func (w *worker) refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, request string, after int) {
	rw.Header().Set("X-Server-Stamp", w.id+"."+request)
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	for n := after + 1; n <= eventCount(request); n++ {
		step := stepTime
		if w.until(&w.slow) {
			step *= slowFactor
		}
		wait(r.Context(), step)
		if r.Context().Err() != nil {
			return
		}
		if w.until(&w.broken) {
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
