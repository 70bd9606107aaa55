package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// testWire is a Wire with header names of its own.
type testWire struct{}

func (testWire) Header(f *contract.ForwardRequest, worker, lastEventID string, remaining time.Duration) http.Header {
	h := f.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set("Id", f.RequestID)
	h.Set("Worker", worker)
	h.Set("Left", remaining.String())
	if lastEventID != "" {
		h.Set("After", lastEventID)
	}
	h["User-Agent"] = []string{""}
	return h
}

func (testWire) Head(_ int, h http.Header) Head {
	return Head{
		RequestID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "",
		Misplaced: h.Get("Misplaced") != "", Leaving: h.Get("Leaving") != "", LoadKnown: h.Get("Load-Known") != "",
	}
}

func (testWire) EndToEnd(h http.Header) http.Header { return h.Clone() }

// script is what a worker does with one request on a connection.
type script func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request)

// scriptedWorker is a worker that runs a script for every request.
type scriptedWorker struct {
	address      string
	requestCount atomic.Int64
	// connectionClosed is closed when a script finds that the other side has closed the
	// connection.
	connectionClosed chan struct{}
	once             sync.Once
	mu               sync.Mutex
	lastEventIDs     []string
}

// startWorker starts a worker on loopback that runs until the end of the test.
func startWorker(t *testing.T, s script) *scriptedWorker {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &scriptedWorker{address: l.Addr().String(), connectionClosed: make(chan struct{})}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wait.Go(func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				w.requestCount.Add(1)
				w.mu.Lock()
				w.lastEventIDs = append(w.lastEventIDs, r.Header.Get("After"))
				w.mu.Unlock()
				s(t, w, c, r)
			})
		}
	})
	t.Cleanup(func() { _ = l.Close(); wait.Wait() })
	return w
}

// streamHead returns the head of an event stream in answer to r.
func streamHead(r *http.Request, extra string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSigned: yes\r\nId: " + r.Header.Get("Id") + "\r\n" + extra + "Transfer-Encoding: chunked\r\n\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// eventsScript returns a script that writes the events from the requested one up to
// last, and then end.
func eventsScript(last int, end string) script {
	return func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		first := 1
		_, _ = fmt.Sscanf(r.Header.Get("After"), "%d", &first)
		if r.Header.Get("After") != "" {
			first++
		}
		text := streamHead(r, "")
		for n := first; n <= last; n++ {
			text += chunk(event(n))
		}
		_, _ = c.Write([]byte(text + end))
	}
}

const endOfChunks = "0\r\n\r\n"

// rawScript returns a script that writes a text, with {id} replaced by the request id.
func rawScript(text string) script {
	return func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		_, _ = c.Write([]byte(strings.ReplaceAll(text, "{id}", r.Header.Get("Id"))))
	}
}

// answerSink records the answer that a caller receives.
type answerSink struct {
	status int
	header http.Header
	body   strings.Builder
	// wrote is called after every write, if set.
	wrote func()
}

func (s *answerSink) Begin(status int, h http.Header) error {
	s.status, s.header = status, h
	return nil
}

func (s *answerSink) Write(p []byte) error {
	s.body.Write(p)
	if s.wrote != nil {
		s.wrote()
	}
	return nil
}

// newForwarder returns a dispatcher with the routed service s, whose workers have 4
// slots each.
func newForwarder(t *testing.T, workers ...*scriptedWorker) *Dispatcher {
	t.Helper()
	document := testDocument()
	document.Services = map[string]contract.Service{"s": {Kind: contract.KindRouted}}
	document.Limits.RetryShare = 1
	for i, w := range workers {
		document.Upstreams[fmt.Sprintf("w%d", i)] = contract.Upstream{Address: w.address, DataCentre: "a", Services: []string{"s"}, Slots: 4}
	}
	d, err := New(Options{Document: func() *contract.Document { return document }, DataCentre: "a", Seed: 1, Wire: testWire{}})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// streamCall returns a request for a stream.
func streamCall(id string, resumable bool) *contract.ForwardRequest {
	return &contract.ForwardRequest{
		RequestID: id, Service: "s", Method: http.MethodPost, Target: "/p/x?y=1", Host: "h", Body: []byte("body"),
		Stream: true, Resumable: resumable, Repeatable: resumable, MaxAttempts: 3, Deadline: time.Now().Add(callTimeout),
	}
}

// eventsUpTo returns the text of the events 1 to n.
func eventsUpTo(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

func TestStreamPassesUnchanged(t *testing.T) {
	w := startWorker(t, eventsScript(5, endOfChunks))
	s := &answerSink{}
	if err := newForwarder(t, w).Forward(t.Context(), streamCall("a", false), s); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(eventsUpTo(5), s.body.String()); d != "" || s.status != 200 || s.header.Get("Signed") != "yes" {
		t.Errorf("status %d, header %v\n%s", s.status, s.header, d)
	}
}

// TestRequestThatMayRunOnceIsSentToOneUpstreamOnly covers the failures of an upstream
// that may have started to run the request: no second upstream must get it.
func TestRequestThatMayRunOnceIsSentToOneUpstreamOnly(t *testing.T) {
	for name, s := range map[string]script{
		"closes without an answer": func(testing.TB, *scriptedWorker, net.Conn, *http.Request) {},
		"breaks off in an event":   eventsScript(2, chunk("id: 3\nda")),
		"answer of another":        rawScript("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: other\r\nContent-Length: 2\r\n\r\nok"),
		"answer without signature": rawScript("HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"),
		"short body":               rawScript("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 9\r\n\r\nok"),
		"no answer in HTTP":        rawScript("garbage\r\n\r\n"),
		"503 that may have run":    rawScript("HTTP/1.1 503 Unavailable\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
		"429 that may have run":    rawScript("HTTP/1.1 429 Busy\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startWorker(t, s), startWorker(t, s)
			sink := &answerSink{}
			err := newForwarder(t, a, b).Forward(t.Context(), streamCall("a", false), sink)
			if err == nil || code.From(err).Outcome == code.NotRun {
				t.Errorf("got %v with outcome %q, want an error whose outcome is not NotRun", err, code.From(err).Outcome)
			}
			if n := a.requestCount.Load() + b.requestCount.Load(); n != 1 {
				t.Errorf("%d upstreams got the request, want 1", n)
			}
		})
	}
}

func TestRefusalAllowsAnotherUpstream(t *testing.T) {
	refuses := rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")
	a, b := startWorker(t, refuses), startWorker(t, eventsScript(3, endOfChunks))
	d := newForwarder(t, a, b)
	for i := range 8 {
		s := &answerSink{}
		if err := d.Forward(t.Context(), streamCall(fmt.Sprint(i), false), s); err != nil || s.body.String() != eventsUpTo(3) {
			t.Errorf("got error %v and body %q", err, s.body.String())
		}
	}
	if a.requestCount.Load() == 0 {
		t.Error("no request was refused")
	}
}

func TestForwardRefusedByAllReportsNotRun(t *testing.T) {
	refuses := rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")
	call := streamCall("a", false)
	// No sweep ends the suspensions in this test, so that the call lasts until its
	// deadline.
	call.Deadline = time.Now().Add(shortTimeout)
	err := newForwarder(t, startWorker(t, refuses), startWorker(t, refuses)).Forward(t.Context(), call, &answerSink{})
	if e := code.From(err); e.Outcome != code.NotRun || e.RetryAfter == 0 {
		t.Errorf("got %v, outcome %q, retry after %v; want NotRun and a retry hint", err, e.Outcome, e.RetryAfter)
	}
}

func TestConnectionThatCannotBeMadeAllowsAnotherUpstream(t *testing.T) {
	a, b := startWorker(t, eventsScript(3, endOfChunks)), startWorker(t, eventsScript(3, endOfChunks))
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.address = closed.Addr().String()
	_ = closed.Close()
	d := newForwarder(t, a, b)
	for i := range 8 {
		s := &answerSink{}
		if err := d.Forward(t.Context(), streamCall(fmt.Sprint(i), false), s); err != nil || s.body.String() != eventsUpTo(3) {
			t.Errorf("got error %v and body %q", err, s.body.String())
		}
	}
}

// TestBrokenStreamGoesOnAfterItsLastEvent breaks a resumable stream between and within
// events: each event must reach the caller once and in order.
func TestBrokenStreamGoesOnAfterItsLastEvent(t *testing.T) {
	for name, first := range map[string]script{
		"between events":  eventsScript(2, ""),
		"within an event": eventsScript(2, chunk("id: 3\ndata: pie")),
		"before any":      func(testing.TB, *scriptedWorker, net.Conn, *http.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int64
			once := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
				if attempts.Add(1) == 1 {
					first(t, w, c, r)
					return
				}
				eventsScript(6, endOfChunks)(t, w, c, r)
			}
			s := &answerSink{}
			if err := newForwarder(t, startWorker(t, once), startWorker(t, once)).Forward(t.Context(), streamCall("a", true), s); err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(eventsUpTo(6), s.body.String()); d != "" || attempts.Load() != 2 {
				t.Errorf("%d runs, want 2\n%s", attempts.Load(), d)
			}
		})
	}
}

func TestRepeatedEventsOfAResumedStreamAreSkipped(t *testing.T) {
	var attempts atomic.Int64
	s := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		if attempts.Add(1) == 1 {
			eventsScript(3, "")(t, w, c, r)
			return
		}
		r.Header.Set("After", "1")
		eventsScript(5, endOfChunks)(t, w, c, r)
	}
	sink := &answerSink{}
	if err := newForwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), streamCall("a", true), sink); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(eventsUpTo(5), sink.body.String()); d != "" {
		t.Error(d)
	}
}

// holdAfterEvent is a script that writes an event and then waits until the other side
// closes the connection.
func holdAfterEvent(_ testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
	_, _ = c.Write([]byte(streamHead(r, "") + chunk(event(1))))
	_, _ = c.Read(make([]byte, 1))
	w.once.Do(func() { close(w.connectionClosed) })
}

func TestConnectionIsClosedWhenTheCallerLeaves(t *testing.T) {
	w := startWorker(t, holdAfterEvent)
	ctx, cancel := context.WithCancel(t.Context())
	s := &answerSink{wrote: cancel}
	err := newForwarder(t, w).Forward(ctx, streamCall("a", false), s)
	if code.Of(err) != code.CallerGone && code.Of(err) != code.StreamBroken {
		t.Errorf("got %v", err)
	}
	<-w.connectionClosed
}

func TestFinalAnswerIsGivenAtTheDeadline(t *testing.T) {
	silent := func(_ testing.TB, w *scriptedWorker, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		w.once.Do(func() { close(w.connectionClosed) })
	}
	w := startWorker(t, silent)
	call := streamCall("a", false)
	call.Deadline = time.Now().Add(shortTimeout)
	if err := newForwarder(t, w).Forward(t.Context(), call, &answerSink{}); code.Of(err) != code.DeadlineExceeded {
		t.Errorf("got %v", err)
	}
	<-w.connectionClosed
}

// TestAnswerBeforeTheBodyIsReadIsTaken has an upstream that rejects a large body
// without reading it: the response must reach the caller.
func TestAnswerBeforeTheBodyIsReadIsTaken(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 413 Too Large\r\nSigned: yes\r\nId: a\r\nContent-Length: 2\r\n\r\nno"))
		_, _ = bufio.NewReader(c).ReadString('\x00')
		_ = c.Close()
	}()
	call := streamCall("a", false)
	call.Body = make([]byte, 8<<20)
	for i := range call.Body {
		call.Body[i] = 'x'
	}
	s := &answerSink{}
	d := newForwarder(t, &scriptedWorker{address: l.Addr().String()})
	if err := d.Forward(t.Context(), call, s); err != nil || s.status != 413 || s.body.String() != "no" {
		t.Errorf("got error %v, status %d, body %q; want 413 and \"no\"", err, s.status, s.body.String())
	}
}

// TestLateRequestsWaitBehindThoseThatCanBeOnTime fills an upstream. No request that can
// be served before its caller leaves may be rejected, and a free slot must go to a
// request that can still be on time before one that is late.
func TestLateRequestsWaitBehindThoseThatCanBeOnTime(t *testing.T) {
	d := newForwarder(t, startWorker(t, eventsScript(1, endOfChunks)))
	p, err := d.current().pool("s", contract.KindRouted)
	if err != nil {
		t.Fatal(err)
	}
	var held []*slot
	for range 4 {
		held = append(held, d.sched.tryAcquire(t.Context(), request{pool: p}))
	}
	d.sched.mu.Lock()
	p.poolState.slotTime.Value = 10 * time.Second
	d.sched.mu.Unlock()
	now := time.Now()
	granted := make(chan string, 2)
	wait := func(name string, objective time.Duration, before int) {
		r := request{pool: p, class: contract.Online, deadline: now.Add(time.Minute)}
		r.onlineWork = route.OnlineWork{Objective: now.Add(objective), Deadline: r.deadline}
		go func() {
			g, err := d.sched.acquire(t.Context(), r)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				return
			}
			granted <- name
			d.sched.release(g, time.Now())
		}()
		waitFor(t, name+" to wait", func() bool {
			d.sched.mu.Lock()
			defer d.sched.mu.Unlock()
			return p.poolState.shortQueue.waiting == before+1
		})
	}
	wait("late", -time.Second, 0)
	wait("on time", time.Minute, 1)
	d.sched.release(held[0], time.Now())
	if first, second := <-granted, <-granted; first != "on time" || second != "late" {
		t.Errorf("served %s before %s", first, second)
	}
}
