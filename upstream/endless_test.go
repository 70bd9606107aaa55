package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// endless returns a script that writes a beginning and then the same bytes until
// the other side closes.
func endless(beginning, again string) script {
	block := []byte(strings.Repeat(again, 1+(32<<10)/len(again)))
	return func(_ testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		_, err := c.Write([]byte(strings.ReplaceAll(beginning, "{id}", r.Header.Get("Id"))))
		for err == nil {
			_, err = c.Write(block)
		}
		w.once.Do(func() { close(w.gone) })
	}
}

// endlessHeads are answers whose head does not end, with the cause that is told.
var endlessHeads = map[string]struct {
	script script
	cause  breakCause
}{
	"status line":              {endless("HTTP/1.1 200 ", "O"), causeHeadBytes},
	"header lines":             {endless("HTTP/1.1 200 OK\r\n", "A: b\r\n"), causeHeadLines},
	"header lines of new keys": {endless("HTTP/1.1 200 OK\r\n", distinctHeaders(2000)), causeHeadLines},
	"a header line":            {endless("HTTP/1.1 200 OK\r\nA: ", "b"), causeHeadBytes},
	"continued header line":    {endless("HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"), causeHeadLines},
	"interim answers":          {endless("", "HTTP/1.1 102 Processing\r\n\r\n"), causeInterim},
	"interim answers' headers": {endless("", "HTTP/1.1 103 Hints\r\nLink: "+strings.Repeat("x", 20<<10)+"\r\n\r\n"), causeHeadBytes},
	"status below 100":         {endless("", "HTTP/1.1 099 Odd\r\n\r\n"), causeMalformed},
	"bytes without a line":     {endless("", "x"), causeHeadBytes},
	"blank lines":              {endless("", "\r\n"), causeMalformed},
	"switch of protocols":      {endless("HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n", "x"), causeMalformed},
}

func distinctHeaders(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "k%d: v\r\n", i)
	}
	return b.String()
}

// watched returns a dispatcher and its log.
func watched(t *testing.T, dial func(context.Context, string, string) (net.Conn, error), workers ...*scriptedWorker) (*Dispatcher, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	d := forwarder(t, workers...)
	options := d.options
	options.Logger = zap.New(core)
	if dial != nil {
		options.Transport = &http.Transport{DialContext: dial}
	}
	d, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return d, logs
}

// allocated returns the bytes that the process allocated while f ran. The heap
// cannot have grown by more.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Bounds of what one answer may make the process allocate.
const (
	maxHeadCost  = 1 << 20
	maxEventCost = 8 << 20
	maxBodyCost  = 4 << 20
)

func TestHeadWithoutEndIsGivenUpAndNamed(t *testing.T) {
	for name, c := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, c.script)
			d, logs := watched(t, nil, w)
			call := streamCall("a", false)
			var err error
			cost := allocated(func() { err = d.Forward(t.Context(), call, &answerSink{}) })
			<-w.gone
			if code.Of(err) != code.OutcomeUnknown || code.From(err).Outcome != code.Unknown {
				t.Errorf("got %v with outcome %q", err, code.From(err).Outcome)
			}
			if cost > maxHeadCost {
				t.Errorf("%d bytes allocated, %d are allowed", cost, maxHeadCost)
			}
			if !time.Now().Before(call.Deadline) {
				t.Error("the answer was given up at the deadline only")
			}
			failed := logs.FilterMessage("forwarding failed").All()
			if len(failed) != 1 || failed[0].ContextMap()["cause"] != string(c.cause) || failed[0].ContextMap()["upstream"] != "w0" {
				t.Errorf("logged %v", failed)
			}
			d.sched.mu.Lock()
			defer d.sched.mu.Unlock()
			if d.fleet.Load().targets["w0"].errors == 0 {
				t.Error("the upstream's health did not notice")
			}
		})
	}
}

// TestOtherRequestsAreServedBesideHeadsWithoutEnd has one worker that never ends
// its heads, and one that answers: what may be repeated is served whole.
func TestOtherRequestsAreServedBesideHeadsWithoutEnd(t *testing.T) {
	bad := startWorker(t, endless("HTTP/1.1 200 OK\r\n", "A: b\r\n"))
	d := forwarder(t, bad, startWorker(t, events(4, endOfChunks)))
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			s := &answerSink{}
			if err := d.Forward(t.Context(), streamCall(fmt.Sprint(i), true), s); err != nil || s.body.String() != eventsTo(4) {
				t.Errorf("%v, %q", err, s.body.String())
			}
		})
	}
	wait.Wait()
	if bad.arrived.Load() == 0 {
		t.Error("no request met the bad worker")
	}
}

// TestBodyWithoutEndIsBounded: what an instance holds of an answer does not grow
// with it. A plain body goes to the caller as it comes, until its deadline.
func TestBodyWithoutEndIsBounded(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\n"
	stream := signed + "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		script script
		cost   uint64
		cause  breakCause
	}{
		"plain body":        {endless(signed+"\r\n", "xyz\n"), maxBodyCost, ""},
		"event":             {endless(stream+"\r\n", "data: x"), maxEventCost, causeEventSize},
		"lines of an event": {endless(stream+"\r\n", "data: x\n"), maxEventCost, causeEventSize},
		"blank lines":       {endless(stream+"\r\n", "\n"), maxEventCost, causeEventSize},
		"chunk extension":   {endless(stream+"Transfer-Encoding: chunked\r\n\r\n5;", "x"), maxHeadCost, causeMalformed},
		"chunk size":        {endless(stream+"Transfer-Encoding: chunked\r\n\r\n", "0000"), maxHeadCost, causeMalformed},
		"trailers":          {endless(stream+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"), maxHeadCost, causeMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, c.script)
			d, logs := watched(t, nil, w)
			call := streamCall("a", false)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sink := &countingSink{most: 64 << 20, full: cancel}
			var err error
			cost := allocated(func() { err = d.Forward(ctx, call, sink) })
			<-w.gone
			if err == nil || code.From(err).Outcome == code.NotRun {
				t.Errorf("got %v", err)
			}
			if cost > c.cost {
				t.Errorf("%d bytes allocated, %d are allowed", cost, c.cost)
			}
			if c.cause == "" {
				if sink.got < sink.most {
					t.Errorf("the caller got %d bytes", sink.got)
				}
				return
			}
			if failed := logs.FilterMessage("forwarding failed").All(); len(failed) != 1 || failed[0].ContextMap()["cause"] != string(c.cause) {
				t.Errorf("logged %v", failed)
			}
		})
	}
}

// countingSink counts what a caller gets and leaves after some of it.
type countingSink struct {
	got, most int
	full      func()
}

func (s *countingSink) Begin(int, http.Header) error { return nil }

func (s *countingSink) Write(p []byte) error {
	if s.got += len(p); s.got >= s.most {
		s.full()
	}
	return nil
}

// virtual runs workers over pipes, so that a test may run in virtual time.
func virtual(scripts ...script) (dial func(context.Context, string, string) (net.Conn, error), workers []*scriptedWorker, wait *sync.WaitGroup) {
	wait = &sync.WaitGroup{}
	byAddress := map[string]int{}
	for i := range scripts {
		w := &scriptedWorker{address: fmt.Sprintf("10.0.0.%d:1", i+1), gone: make(chan struct{})}
		byAddress[w.address] = i
		workers = append(workers, w)
	}
	dial = func(_ context.Context, _, address string) (net.Conn, error) {
		i, ok := byAddress[address]
		if !ok {
			return nil, &net.OpError{Op: "dial", Err: errors.New("no such worker")}
		}
		here, there := net.Pipe()
		wait.Go(func() {
			defer func() { _ = there.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(there))
			if err != nil {
				return
			}
			workers[i].arrived.Add(1)
			scripts[i](nil, workers[i], there, r)
		})
		return here, nil
	}
	return dial, workers, wait
}

// every writes a beginning, and then a text at intervals until the other side
// closes.
func every(interval time.Duration, beginning func(r *http.Request) string, text func(n int) string) script {
	return func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		_, err := c.Write([]byte(beginning(r)))
		for n := 0; err == nil; n++ {
			time.Sleep(interval)
			_, err = c.Write([]byte(text(n)))
		}
	}
}

func same(text string) func(int) string { return func(int) string { return text } }

func none(*http.Request) string { return "" }

// trickles are answers that bring a little now and then and say nothing new.
var trickles = map[string]script{
	"a byte of the status line": every(time.Second, none, func(n int) string { return "HTTP/1.1 200 OKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKK"[n : n+1] }),
	"a header line":             every(time.Second, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, same("A: b\r\n")),
	"an interim answer":         every(2*time.Second, none, same("HTTP/1.1 102 Processing\r\n\r\n")),
	"a byte of an event":        every(time.Second, func(r *http.Request) string { return head(r, "") }, same(chunk("d"))),
	"a comment":                 every(time.Second, func(r *http.Request) string { return head(r, "") + chunk(event(1)) }, same(chunk(": on\n\n"))),
	"an old event":              every(time.Second, func(r *http.Request) string { return head(r, "") + chunk(event(1)) }, same(chunk(event(1)))),
	"a blank line":              every(time.Second, func(r *http.Request) string { return head(r, "") + chunk(event(1)) }, same(chunk("\n"))),
}

// TestStalledWorkerThatSendsAByteNowAndThenIsLeft: a stream that may go on
// elsewhere does so; one that may not ends at its deadline with a true answer.
func TestStalledWorkerThatSendsAByteNowAndThenIsLeft(t *testing.T) {
	const patience, limit = 4 * time.Second, 30 * time.Second
	for name, stalled := range trickles {
		t.Run(name+", resumable", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var turn atomic.Int64
				first := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
					if turn.Add(1) == 1 {
						stalled(t, w, c, r)
						return
					}
					events(6, endOfChunks)(t, w, c, r)
				}
				dial, workers, wait := virtual(first, first)
				d, logs := watched(t, dial, workers...)
				call, sink := streamCall("a", true), &answerSink{}
				call.Deadline, call.Silence = time.Now().Add(limit), patience
				began := time.Now()
				if err := d.Forward(t.Context(), call, sink); err != nil {
					t.Fatal(err)
				}
				lines := strings.ReplaceAll(sink.body.String(), ": on\n\n", "")
				if diff := cmp.Diff(eventsTo(6), lines); diff != "" {
					t.Error(diff)
				}
				if took := time.Since(began); took > patience {
					t.Errorf("took %v, the caller leaves after %v", took, patience)
				}
				if again := logs.FilterMessage("forwarding again").All(); len(again) != 1 || again[0].ContextMap()["cause"] != string(causeSilent) {
					t.Errorf("logged %v", again)
				}
				wait.Wait()
			})
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, workers, wait := virtual(stalled)
				d, logs := watched(t, dial, workers...)
				call := streamCall("a", false)
				call.Deadline = time.Now().Add(limit / 3)
				began := time.Now()
				err := d.Forward(t.Context(), call, &answerSink{})
				if err == nil || code.From(err).Outcome == code.NotRun {
					t.Errorf("got %v", err)
				}
				if took := time.Since(began); took > limit/3 {
					t.Errorf("took %v", took)
				}
				if failed := logs.FilterMessage("forwarding failed").All(); len(failed) != 1 || failed[0].ContextMap()["cause"] == "" {
					t.Errorf("logged %v", failed)
				}
				wait.Wait()
			})
		})
	}
}

// TestSlowButSoundStreamIsNotCut lets a worker make an event just before its
// caller would leave, for longer than the caller bears one pause.
func TestSlowButSoundStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, last = 900 * time.Millisecond, 30
		slow := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			_, _ = c.Write([]byte(head(r, "")))
			for n := 1; n <= last; n++ {
				time.Sleep(pause)
				_, _ = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
		dial, workers, wait := virtual(slow, slow)
		d, _ := watched(t, dial, workers...)
		call, sink := streamCall("a", true), &answerSink{}
		call.Deadline, call.Silence = time.Now().Add(time.Minute), 2*time.Second
		if err := d.Forward(t.Context(), call, sink); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(eventsTo(last), sink.body.String()); diff != "" {
			t.Error(diff)
		}
		wait.Wait()
	})
}

// TestLateBreakOfAStreamWaitsForASlot breaks a stream after it has lasted longer
// than the caller bears a pause, while others take every slot: the pause counts
// from the last event, so that the stream goes on when a slot comes free.
func TestLateBreakOfAStreamWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = 2 * time.Second
		var turn atomic.Int64
		s := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			if turn.Add(1) > 1 {
				events(8, endOfChunks)(t, w, c, r)
				return
			}
			_, _ = c.Write([]byte(head(r, "")))
			for n := 1; n <= 5; n++ {
				time.Sleep(silence / 4)
				_, _ = c.Write([]byte(chunk(event(n))))
			}
			time.Sleep(silence / 8)
		}
		dial, workers, wait := virtual(s, s)
		d, _ := watched(t, dial, workers...)
		p, err := d.current().pool("s", contract.KindRouted)
		if err != nil {
			t.Fatal(err)
		}
		call, sink := streamCall("a", true), &answerSink{}
		call.Class, call.Deadline, call.Silence = contract.Online, time.Now().Add(time.Minute), silence
		wait.Go(func() {
			// Between the last event and the break: one more waits for the slot that
			// the break frees.
			time.Sleep(5*silence/4 + silence/16)
			end := time.Now().Add(time.Minute)
			other := request{pool: p, deadline: end, online: route.OnlineWork{Objective: end, Patience: end}}
			var held []*slot
			var mu sync.Mutex
			for g := d.sched.tryAcquire(t.Context(), other); g != nil; g = d.sched.tryAcquire(t.Context(), other) {
				held = append(held, g)
			}
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), silence/2)
				defer cancel()
				if g, err := d.sched.acquire(ctx, other); err == nil {
					mu.Lock()
					defer mu.Unlock()
					held = append(held, g)
				}
			})
			time.Sleep(silence/2 + silence/8)
			mu.Lock()
			defer mu.Unlock()
			for _, g := range held {
				d.sched.release(g, time.Now())
			}
		})
		if err := d.Forward(t.Context(), call, sink); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(eventsTo(8), sink.body.String()); diff != "" {
			t.Error(diff)
		}
		wait.Wait()
	})
}

// TestSecondCopyOfAnAnswerReachesNobody sends each answer twice: the next caller
// gets its own.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	twice := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		body := "answer to " + r.Header.Get("Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
		_, _ = c.Write([]byte(text + text))
	}
	d := forwarder(t, startWorker(t, twice))
	for i := range 8 {
		s, id := &answerSink{}, fmt.Sprint("r", i)
		if err := d.Forward(t.Context(), streamCall(id, false), s); err != nil || s.body.String() != "answer to "+id {
			t.Errorf("%v, %q", err, s.body.String())
		}
	}
}

// TestHeadGuardPassesEveryByte compares the guard with a plain reader.
func TestHeadGuardPassesEveryByte(t *testing.T) {
	text := "HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nC: d\r\n\r\n" + strings.Repeat("\n", 3*maxHeadLines) + strings.Repeat("body", maxHeadBytes)
	for _, size := range []int{1, 2, 3, 7, 64, 4096} {
		var got bytes.Buffer
		g := newHeadGuard(strings.NewReader(text))
		p := make([]byte, size)
		for {
			n, err := g.Read(p)
			got.Write(p[:n])
			if err != nil {
				break
			}
		}
		if got.String() != text || !g.passed || g.lines != 6 {
			t.Errorf("by %d: %d of %d bytes, %d lines", size, got.Len(), len(text), g.lines)
		}
	}
}
