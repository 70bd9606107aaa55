package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workerSlots = 8
	// idBytes is the length of an ordinary id. More of one is not repeated in an output.
	idBytes = 16
)

// worker is a model worker by the users' pages.
type worker struct {
	id       string
	events   int
	gap      time.Duration
	unframed bool
	blank    int
	quiet    bool
	slots    chan struct{}

	mu sync.Mutex
}

func runWorker(args []string) int {
	w := &worker{slots: make(chan struct{}, workerSlots)}
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	ip := flags.String("ip", "", "loopback address")
	flags.StringVar(&w.id, "id", "", "id")
	flags.IntVar(&w.events, "events", 40, "events of an answer")
	flags.DurationVar(&w.gap, "gap", 20*time.Millisecond, "time between two events")
	flags.BoolVar(&w.unframed, "unframed", false, "answers end with their connections")
	flags.IntVar(&w.blank, "blank", 0, "number of first events whose data is empty")
	flags.BoolVar(&w.quiet, "quiet", false, "tell of no runs")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp4", net.JoinHostPort(*ip, "0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(l.Addr())
	_ = http.Serve(l, w)
	return exitHeld
}

// eventData is the data of event n of the answer to a request.
func eventData(request string, n, blank int) string {
	if n <= blank {
		return ""
	}
	return fmt.Sprintf("%s-piece-%d", request[:min(len(request), idBytes)], n)
}

// wholeText is the text of a whole answer: the data of all events, separated by line feeds.
func wholeText(request string, events, blank int) string {
	var parts []string
	for n := 1; n <= events; n++ {
		parts = append(parts, eventData(request, n, blank))
	}
	return strings.Join(parts, "\n")
}

func (w *worker) tell(run workerRun) {
	if w.quiet {
		return
	}
	run.At = time.Now().UnixMilli()
	text, err := json.Marshal(run)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println(string(text))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	h := rw.Header()
	request := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", request)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(w.slots), workerSlots))
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", w.id)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.slots <- struct{}{}:
	default:
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := workerRun{Request: request, After: after, Path: r.RequestURI}
	w.tell(run)
	run.Ended = true
	defer func() { w.tell(run) }()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Server-Stamp", w.id+"."+request[:min(len(request), idBytes)])
	out, flush, done := w.begin(rw)
	defer done()
	for n := after + 1; n <= w.events; n++ {
		time.Sleep(w.gap)
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, eventData(request, n, w.blank)); err != nil {
			return
		}
		flush()
		run.Sent++
	}
}

// begin begins an answer: with chunks, or without a length.
func (w *worker) begin(rw http.ResponseWriter) (out io.Writer, flush, done func()) {
	if !w.unframed {
		control := http.NewResponseController(rw)
		return rw, func() { _ = control.Flush() }, func() {}
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = rw.Header().Write(conn)
	fmt.Fprint(conn, "\r\n")
	return conn, func() {}, func() { _ = conn.Close() }
}
