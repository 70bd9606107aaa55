package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisylb/daisylb/storage/memory"
)

const (
	workerSlots   = 6
	workerQueue   = 12
	eventInterval = 15 * time.Millisecond
	slowFactor    = 6
	// Half of the requests take prefillTime until their first event.
	prefillTime = 150 * time.Millisecond
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
	service           string
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
	// failingUntil is the time until which it fails half of its requests, or all with
	// failsAll.
	failingUntil time.Time
	failsAll     bool
	// leaving is set when it has been marked as draining.
	leaving bool
}

func newWorker(id, ip, service string, h *History) (*worker, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, address: l.Addr().String(), history: h, slots: make(chan struct{}, workerSlots), startedUnixMillis: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry(state string, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"1","slots":%d,"state":%q,"seq":%d,"born":%d}`,
		w.service, w.address, workerSlots, state, sequence, w.startedUnixMillis)
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
	unchanged := r.Method == http.MethodPost && string(body) == requestBody(request) && hasPromptHeaders(r.Header, request) &&
		strings.HasSuffix(r.URL.Path, "/"+request) && r.Host == hostName && (!w.history.Accounts || hasAccount(r.Header, request))
	index := 0
	w.history.update(func() {
		index = len(w.history.Runs)
		w.history.Runs = append(w.history.Runs, WorkerRun{Request: request, Worker: w.id, Service: w.service, ResumedAfter: after, StartedAt: time.Now(), Unchanged: unchanged})
	})
	setRun := func(change func(*WorkerRun)) { w.history.update(func() { change(&w.history.Runs[index]) }) }
	finished := false
	defer func() {
		cancelled := r.Context().Err() != nil
		setRun(func(run *WorkerRun) { run.EndedAt, run.Finished, run.Cancelled = time.Now(), finished, cancelled })
	}()
	rw.Header().Set("X-Server-Stamp", stamp(w.id, request))
	if w.fails() {
		setRun(func(run *WorkerRun) { run.Status = http.StatusInternalServerError })
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	setRun(func(run *WorkerRun) { run.Status = http.StatusOK })
	finished = w.stream(rw, r, request, after)
}

// hasPromptHeaders reports whether a request has the headers that its caller sent.
func hasPromptHeaders(h http.Header, request string) bool {
	for name, value := range promptHeaders(request) {
		if h.Get(name) != value {
			return false
		}
	}
	return true
}

// stamp returns the mark of a worker in the response to a request.
func stamp(worker, request string) string { return worker + "." + request }

// fails reports whether the next request is to be answered with a failure.
func (w *worker) fails() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.failingUntil) && (w.failsAll || rand.IntN(2) == 0)
}

// announce writes the entry of a new incarnation, unless the worker is leaving.
func (w *worker) announce(ctx context.Context, rows *memory.Rows) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return nil
	}
	w.startedUnixMillis = time.Now().UnixMilli()
	return putRow(ctx, rows, "servers", w.id, w.entry("ready", 0))
}

// announceDraining marks the worker as draining.
func (w *worker) announceDraining(ctx context.Context, rows *memory.Rows) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
	return putRow(ctx, rows, "servers", w.id, w.entry("draining", 1))
}

// withdraw removes the entry, unless the worker is leaving.
func (w *worker) withdraw(ctx context.Context, rows *memory.Rows) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leaving {
		_ = removeRow(ctx, rows, "servers", w.id)
	}
}

func (w *worker) reject(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(status)
}

// stream sends the events after one of them. It reports whether it has sent the last.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, request string, after int) bool {
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	if hashOf(request)%2 == 0 {
		wait(r.Context(), prefillTime)
	}
	for n := after + 1; n <= eventCount(request); n++ {
		interval := eventInterval
		if w.before(&w.slowUntil) {
			interval *= slowFactor
		}
		wait(r.Context(), interval)
		if r.Context().Err() != nil {
			return false
		}
		if w.before(&w.brokenUntil) {
			// A crash may cut an event in the middle.
			_, _ = io.WriteString(rw, "id: "+strconv.Itoa(n)+"\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, Event(request, n)); err != nil {
			return false
		}
		_ = controller.Flush()
	}
	return true
}

func (w *worker) ip() string {
	host, _, _ := net.SplitHostPort(w.address)
	return host
}
