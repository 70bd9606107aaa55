package upstream

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// changingForwarder is a dispatcher whose document a test can change.
type changingForwarder struct {
	*Dispatcher
	document atomic.Pointer[contract.Document]
}

// newChangingForwarder is like newForwarder, with an optional dialer.
func newChangingForwarder(t *testing.T, dial func(context.Context, string, string) (net.Conn, error), workers ...*scriptedWorker) *changingForwarder {
	t.Helper()
	f := &changingForwarder{}
	options := newForwarder(t, workers...).options
	f.document.Store(options.Document())
	options.Document = f.document.Load
	if dial != nil {
		options.Transport = &http.Transport{DialContext: dial}
	}
	d, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	f.Dispatcher = d
	return f
}

// change puts a copy of the document into force whose upstreams were changed.
func (f *changingForwarder) change(edit func(map[string]contract.Upstream)) {
	next := *f.document.Load()
	next.Version++
	next.Upstreams = maps.Clone(next.Upstreams)
	edit(next.Upstreams)
	f.document.Store(&next)
	f.current()
}

// editUpstream changes the entry of one upstream.
func (f *changingForwarder) editUpstream(id string, edit func(*contract.Upstream)) {
	f.change(func(upstreams map[string]contract.Upstream) {
		u := upstreams[id]
		edit(&u)
		upstreams[id] = u
	})
}

// forwardAll forwards online and batch requests, each of which must be answered.
func (f *changingForwarder) forwardAll(t *testing.T, prefix string) {
	t.Helper()
	for i := range 24 {
		call, sink := streamCall(fmt.Sprint(prefix, i), i%3 == 0), &answerSink{}
		call.Class = contract.Class(i % 2)
		call.Deadline = time.Now().Add(shortTimeout)
		if err := f.Forward(t.Context(), call, sink); err != nil || sink.body.String() != eventsUpTo(3) {
			t.Errorf("%s: got error %v and body %q", call.RequestID, err, sink.body.String())
		}
	}
}

// leavingAnswers are responses that announce the shutdown of their worker.
var leavingAnswers = map[string]script{
	"stream": func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		writeLeavingStream(c, r, endOfChunks)
	},
	"broken stream":      func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) { writeLeavingStream(c, r, "") },
	"refusal":            rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
	"refusal of another": rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n"),
	"failure":            rawScript("HTTP/1.1 500 Failed\r\nSigned: yes\r\nLeaving: 1\r\nId: {id}\r\nContent-Length: 2\r\n\r\nno"),
	"misplaced":          rawScript("HTTP/1.1 421 Elsewhere\r\nNot-Run: 1\r\nMisplaced: 1\r\nLeaving: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
	"with a load report": rawScript("HTTP/1.1 200 OK\r\nSigned: yes\r\nLeaving: 1\r\nLoad-Known: 1\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"),
}

func writeLeavingStream(c net.Conn, r *http.Request, end string) {
	_, _ = c.Write([]byte(streamHead(r, "Leaving: 1\r\n") + chunk(event(1)) + end))
}

// announce forwards one request to w0, whose response announces its shutdown, and lets
// w1 take requests only afterwards.
func announce(t *testing.T, s script) (f *changingForwarder, leaving *scriptedWorker) {
	t.Helper()
	leaving = startWorker(t, s)
	f = newChangingForwarder(t, nil, leaving, startWorker(t, eventsScript(3, endOfChunks)))
	f.editUpstream("w0", func(u *contract.Upstream) { u.StartedMillis = 1000 })
	f.editUpstream("w1", func(u *contract.Upstream) { u.Draining = true })
	call := streamCall("first", false)
	call.Deadline = time.Now().Add(shortTimeout)
	call.Class = contract.Batch
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout/4)
	defer cancel()
	_ = f.Forward(ctx, call, &answerSink{})
	if n := leaving.requestCount.Load(); n != 1 {
		t.Fatalf("the leaving worker got %d requests, want 1", n)
	}
	f.editUpstream("w1", func(u *contract.Upstream) { u.Draining = false })
	return f, leaving
}

func TestWorkerThatAnnouncedItsShutdownInAnAnswerGetsNoNewRequest(t *testing.T) {
	for name, s := range leavingAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, leaving := announce(t, s)
			f.forwardAll(t, "after")
			target := f.current().targets["w0"]
			f.sched.recordLoad(target, Head{LoadKnown: true})
			f.sched.recordReport(target, &loadReport{TakenAt: time.Now()}, answered)
			f.sched.sweep(time.Now().Add(maxSuspension))
			f.forwardAll(t, "report")
			if n := leaving.requestCount.Load(); n != 1 {
				t.Errorf("the leaving worker got %d requests after its announcement, want 0", n-1)
			}
		})
	}
}

func TestAnnouncedShutdownOutlivesChangesOfTheEntry(t *testing.T) {
	for name, change := range map[string]func(*changingForwarder){
		"entry vanishes and comes back": func(f *changingForwarder) {
			entry := f.document.Load().Upstreams["w0"]
			f.change(func(u map[string]contract.Upstream) { delete(u, "w0") })
			f.change(func(u map[string]contract.Upstream) { u["w0"] = entry })
		},
		"another address and back": func(f *changingForwarder) {
			address := f.document.Load().Upstreams["w0"].Address
			f.editUpstream("w0", func(u *contract.Upstream) { u.Address = "127.0.0.1:1" })
			f.editUpstream("w0", func(u *contract.Upstream) { u.Address = address })
		},
		"drains and is ready again": func(f *changingForwarder) {
			f.editUpstream("w0", func(u *contract.Upstream) { u.Draining = true })
			f.editUpstream("w0", func(u *contract.Upstream) { u.Draining = false })
		},
		"other slots": func(f *changingForwarder) {
			f.editUpstream("w0", func(u *contract.Upstream) { u.Slots = 64 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, leaving := announce(t, leavingAnswers["stream"])
			change(f)
			f.forwardAll(t, "after")
			if n := leaving.requestCount.Load(); n != 1 {
				t.Errorf("the leaving worker got %d requests after its announcement, want 0", n-1)
			}
		})
	}
}

func TestNextIncarnationOfALeavingWorkerGetsRequests(t *testing.T) {
	f, leaving := announce(t, leavingAnswers["stream"])
	f.editUpstream("w0", func(u *contract.Upstream) { u.StartedMillis++ })
	f.editUpstream("w1", func(u *contract.Upstream) { u.Draining = true })
	if err := f.Forward(t.Context(), streamCall("next", false), &answerSink{}); err != nil {
		t.Error(err)
	}
	if n := leaving.requestCount.Load(); n != 2 {
		t.Errorf("the next incarnation got %d requests, want 1", n-1)
	}
}

// TestRequestGrantedBeforeTheAnnouncementIsNotSent holds the connection of a request to
// w0 until another answer of w0 has announced its shutdown.
func TestRequestGrantedBeforeTheAnnouncementIsNotSent(t *testing.T) {
	var f *changingForwarder
	var dials atomic.Int64
	var address string
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == address && dials.Add(1) == 1 {
			f.sched.recordLeaving(f.current().targets["w0"], Head{Leaving: true})
		}
		return dialForward(ctx, network, to)
	}
	leaving, staying := startWorker(t, eventsScript(3, endOfChunks)), startWorker(t, eventsScript(3, endOfChunks))
	address = leaving.address
	f = newChangingForwarder(t, dial, leaving, staying)
	for i := 0; dials.Load() == 0; i++ {
		f.forwardAll(t, fmt.Sprint("round", i, "-"))
	}
	if n := leaving.requestCount.Load(); n != 0 {
		t.Errorf("the leaving worker got %d requests, want 0", n)
	}
	f.sched.mu.Lock()
	defer f.sched.mu.Unlock()
	if target := f.current().targets["w0"]; target.errorRate != 0 || target.failures != 0 {
		t.Errorf("the withheld attempt counts as a failure: error rate %v, %d failures", target.errorRate, target.failures)
	}
}

func TestBrokenStreamIsNotResumedAtALeavingWorker(t *testing.T) {
	var attempts atomic.Int64
	var leaving atomic.Pointer[scriptedWorker]
	s := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		switch attempts.Add(1) {
		case 1:
			leaving.Store(w)
			writeLeavingStream(c, r, "")
		case 2:
			eventsScript(2, "")(t, w, c, r)
		default:
			eventsScript(5, endOfChunks)(t, w, c, r)
		}
	}
	f, sink := newChangingForwarder(t, nil, startWorker(t, s), startWorker(t, s)), &answerSink{}
	if err := f.Forward(t.Context(), streamCall("a", true), sink); err != nil || sink.body.String() != eventsUpTo(5) {
		t.Errorf("got error %v and body %q", err, sink.body.String())
	}
	if n := leaving.Load().requestCount.Load(); n != 1 || attempts.Load() != 3 {
		t.Errorf("%d of %d attempts went to the leaving worker, want 1 of 3", n, attempts.Load())
	}
}

func TestAllWorkersLeavingReportsNotRun(t *testing.T) {
	f, _ := announce(t, leavingAnswers["stream"])
	f.change(func(u map[string]contract.Upstream) { delete(u, "w1") })
	err := f.Forward(t.Context(), streamCall("none", false), &answerSink{})
	if e := code.From(err); e.Number != code.NoUpstream || e.Outcome != code.NotRun {
		t.Errorf("got %v with outcome %q, want NoUpstream and NotRun", err, e.Outcome)
	}
}

func TestAnnouncedShutdownsAreForgottenOldestFirst(t *testing.T) {
	var l leavingUpstreams
	for i := range 2*maxLeavingUpstreams + 7 {
		key := incarnation{id: "w", startedMillis: int64(i)}
		if !l.add(key) || l.add(key) {
			t.Fatalf("incarnation %d is not added once", i)
		}
	}
	if len(l.known) != maxLeavingUpstreams || len(l.order) != maxLeavingUpstreams {
		t.Errorf("%d incarnations known, %d in order, want %d", len(l.known), len(l.order), maxLeavingUpstreams)
	}
	for i := maxLeavingUpstreams + 7; i < 2*maxLeavingUpstreams+7; i++ {
		if !l.known[incarnation{id: "w", startedMillis: int64(i)}] {
			t.Fatalf("incarnation %d is forgotten before older ones", i)
		}
	}
}
