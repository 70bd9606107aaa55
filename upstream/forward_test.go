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

// testWire is a wire with headers of its own.
type testWire struct{}

func (testWire) Header(f *contract.Forwarding, worker, last string, left time.Duration) http.Header {
	h := f.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set("Id", f.RequestID)
	h.Set("Worker", worker)
	h.Set("Left", left.String())
	if last != "" {
		h.Set("After", last)
	}
	h["User-Agent"] = []string{""}
	return h
}

func (testWire) Head(_ int, h http.Header) Head {
	return Head{RequestID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != ""}
}

func (testWire) EndToEnd(h http.Header) http.Header { return h.Clone() }

// script answers one request on a connection.
type script func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request)

// scriptedWorker is a worker that does what a test says, byte by byte.
type scriptedWorker struct {
	address string
	arrived atomic.Int64
	// gone is closed when a connection was found closed by the other side.
	gone chan struct{}
	once sync.Once
	mu   sync.Mutex
	last []string
}

func startWorker(t *testing.T, s script) *scriptedWorker {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &scriptedWorker{address: l.Addr().String(), gone: make(chan struct{})}
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
				w.arrived.Add(1)
				w.mu.Lock()
				w.last = append(w.last, r.Header.Get("After"))
				w.mu.Unlock()
				s(t, w, c, r)
			})
		}
	})
	t.Cleanup(func() { _ = l.Close(); wait.Wait() })
	return w
}

func head(r *http.Request, extra string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSigned: yes\r\nId: " + r.Header.Get("Id") + "\r\n" + extra + "Transfer-Encoding: chunked\r\n\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// events writes events from the one that is due to the last, and the end.
func events(last int, end string) script {
	return func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		first := 1
		_, _ = fmt.Sscanf(r.Header.Get("After"), "%d", &first)
		if r.Header.Get("After") != "" {
			first++
		}
		text := head(r, "")
		for n := first; n <= last; n++ {
			text += chunk(event(n))
		}
		_, _ = c.Write([]byte(text + end))
	}
}

const endOfChunks = "0\r\n\r\n"

func raw(text string) script {
	return func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		_, _ = c.Write([]byte(strings.ReplaceAll(text, "{id}", r.Header.Get("Id"))))
	}
}

// answerSink keeps what a caller gets.
type answerSink struct {
	status int
	header http.Header
	body   strings.Builder
	wrote  func()
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

func forwarder(t *testing.T, workers ...*scriptedWorker) *Dispatcher {
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

func streamCall(id string, resumable bool) *contract.Forwarding {
	return &contract.Forwarding{
		RequestID: id, Service: "s", Method: http.MethodPost, Target: "/p/x?y=1", Host: "h", Body: []byte("body"),
		Stream: true, Resumable: resumable, Repeatable: resumable, MaxAttempts: 3, Deadline: time.Now().Add(callTime),
	}
}

func eventsTo(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

func TestStreamPassesUnchanged(t *testing.T) {
	w := startWorker(t, events(5, endOfChunks))
	s := &answerSink{}
	if err := forwarder(t, w).Forward(t.Context(), streamCall("a", false), s); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(eventsTo(5), s.body.String()); d != "" || s.status != 200 || s.header.Get("Signed") != "yes" {
		t.Errorf("status %d, header %v\n%s", s.status, s.header, d)
	}
}

// TestRequestThatMayRunOnceIsSentToOneUpstreamOnly goes through the ways in
// which an upstream fails after it may have begun.
func TestRequestThatMayRunOnceIsSentToOneUpstreamOnly(t *testing.T) {
	for name, s := range map[string]script{
		"closes without an answer": func(testing.TB, *scriptedWorker, net.Conn, *http.Request) {},
		"breaks off in an event":   events(2, chunk("id: 3\nda")),
		"answer of another":        raw("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: other\r\nContent-Length: 2\r\n\r\nok"),
		"answer without signature": raw("HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"),
		"short body":               raw("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 9\r\n\r\nok"),
		"no answer in HTTP":        raw("garbage\r\n\r\n"),
		"503 that may have run":    raw("HTTP/1.1 503 Unavailable\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
		"429 that may have run":    raw("HTTP/1.1 429 Busy\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startWorker(t, s), startWorker(t, s)
			sink := &answerSink{}
			err := forwarder(t, a, b).Forward(t.Context(), streamCall("a", false), sink)
			if err == nil || code.From(err).Outcome == code.NotRun {
				t.Errorf("got %v, outcome %q", err, code.From(err).Outcome)
			}
			if n := a.arrived.Load() + b.arrived.Load(); n != 1 {
				t.Errorf("%d upstreams got the request", n)
			}
		})
	}
}

func TestRefusalAllowsAnotherUpstream(t *testing.T) {
	refuses := raw("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")
	a, b := startWorker(t, refuses), startWorker(t, events(3, endOfChunks))
	d := forwarder(t, a, b)
	for i := range 8 {
		s := &answerSink{}
		if err := d.Forward(t.Context(), streamCall(fmt.Sprint(i), false), s); err != nil || s.body.String() != eventsTo(3) {
			t.Errorf("%v, %q", err, s.body.String())
		}
	}
	if a.arrived.Load() == 0 {
		t.Error("no request was refused")
	}
}

func TestRefusalByAllSaysNotRun(t *testing.T) {
	refuses := raw("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")
	call := streamCall("a", false)
	// Nothing sweeps the suspensions in this test, so that the call lasts until then.
	call.Deadline = time.Now().Add(shortDeadline)
	err := forwarder(t, startWorker(t, refuses), startWorker(t, refuses)).Forward(t.Context(), call, &answerSink{})
	if e := code.From(err); e.Outcome != code.NotRun || e.RetryAfter == 0 {
		t.Errorf("got %v, %q, retry after %v", err, e.Outcome, e.RetryAfter)
	}
}

func TestConnectionThatCannotBeMadeAllowsAnotherUpstream(t *testing.T) {
	a, b := startWorker(t, events(3, endOfChunks)), startWorker(t, events(3, endOfChunks))
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.address = closed.Addr().String()
	_ = closed.Close()
	d := forwarder(t, a, b)
	for i := range 8 {
		s := &answerSink{}
		if err := d.Forward(t.Context(), streamCall(fmt.Sprint(i), false), s); err != nil || s.body.String() != eventsTo(3) {
			t.Errorf("%v, %q", err, s.body.String())
		}
	}
}

// TestBrokenStreamGoesOnAfterItsLastEvent breaks a resumable stream between and
// within events: each event reaches the caller once, in order.
func TestBrokenStreamGoesOnAfterItsLastEvent(t *testing.T) {
	for name, first := range map[string]script{
		"between events":  events(2, ""),
		"within an event": events(2, chunk("id: 3\ndata: pie")),
		"before any":      func(testing.TB, *scriptedWorker, net.Conn, *http.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			var turn atomic.Int64
			once := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
				if turn.Add(1) == 1 {
					first(t, w, c, r)
					return
				}
				events(6, endOfChunks)(t, w, c, r)
			}
			s := &answerSink{}
			if err := forwarder(t, startWorker(t, once), startWorker(t, once)).Forward(t.Context(), streamCall("a", true), s); err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(eventsTo(6), s.body.String()); d != "" || turn.Load() != 2 {
				t.Errorf("%d runs\n%s", turn.Load(), d)
			}
		})
	}
}

func TestResumptionThatRepeatsEventsIsCutToNewOnes(t *testing.T) {
	var turn atomic.Int64
	s := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		if turn.Add(1) == 1 {
			events(3, "")(t, w, c, r)
			return
		}
		r.Header.Set("After", "1")
		events(5, endOfChunks)(t, w, c, r)
	}
	sink := &answerSink{}
	if err := forwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), streamCall("a", true), sink); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(eventsTo(5), sink.body.String()); d != "" {
		t.Error(d)
	}
}

// holds writes an event and then waits until the other side closes.
func holds(_ testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
	_, _ = c.Write([]byte(head(r, "") + chunk(event(1))))
	_, _ = c.Read(make([]byte, 1))
	w.once.Do(func() { close(w.gone) })
}

func TestUpstreamIsLeftWhenTheCallerLeaves(t *testing.T) {
	w := startWorker(t, holds)
	ctx, cancel := context.WithCancel(t.Context())
	s := &answerSink{wrote: cancel}
	err := forwarder(t, w).Forward(ctx, streamCall("a", false), s)
	if code.Of(err) != code.CallerGone && code.Of(err) != code.StreamBroken {
		t.Errorf("got %v", err)
	}
	<-w.gone
}

func TestFinalAnswerIsGivenAtTheDeadline(t *testing.T) {
	silent := func(_ testing.TB, w *scriptedWorker, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		w.once.Do(func() { close(w.gone) })
	}
	w := startWorker(t, silent)
	call := streamCall("a", false)
	call.Deadline = time.Now().Add(shortDeadline)
	if err := forwarder(t, w).Forward(t.Context(), call, &answerSink{}); code.Of(err) != code.DeadlineExceeded {
		t.Errorf("got %v", err)
	}
	<-w.gone
}

// TestAnswerBeforeTheBodyIsReadIsTaken lets the upstream reject a long body
// without reading it.
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
	d := forwarder(t, &scriptedWorker{address: l.Addr().String()})
	if err := d.Forward(t.Context(), call, s); err != nil || s.status != 413 || s.body.String() != "no" {
		t.Errorf("%v, status %d, body %q", err, s.status, s.body.String())
	}
}

// TestLateCallersWaitBehindThoseWhoCanBeOnTime fills an upstream: nobody is
// refused who can be served before the patience of its caller ends, and a free
// slot goes to an answer that can still be on time before one that is late.
func TestLateCallersWaitBehindThoseWhoCanBeOnTime(t *testing.T) {
	d := forwarder(t, startWorker(t, events(1, endOfChunks)))
	p, err := d.current().pool("s", contract.KindRouted)
	if err != nil {
		t.Fatal(err)
	}
	var held []*slot
	for range 4 {
		held = append(held, d.sched.tryAcquire(t.Context(), request{pool: p}))
	}
	d.sched.mu.Lock()
	p.history.occupied.Value = 10 * time.Second
	d.sched.mu.Unlock()
	now := time.Now()
	granted := make(chan string, 2)
	wait := func(name string, objective time.Duration, before int) {
		r := request{pool: p, class: contract.Online, deadline: now.Add(time.Minute)}
		r.online = route.OnlineWork{Objective: now.Add(objective), Patience: r.deadline}
		go func() {
			given, err := d.sched.acquire(t.Context(), r)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				return
			}
			granted <- name
			d.sched.release(given, time.Now())
		}()
		waitFor(t, name+" to wait", func() bool {
			d.sched.mu.Lock()
			defer d.sched.mu.Unlock()
			return p.history.short.waiting == before+1
		})
	}
	wait("late", -time.Second, 0)
	wait("on time", time.Minute, 1)
	d.sched.release(held[0], time.Now())
	if first, second := <-granted, <-granted; first != "on time" || second != "late" {
		t.Errorf("served %s before %s", first, second)
	}
}
