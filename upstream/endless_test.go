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

// endlessScript returns a script that writes a beginning and then repeats the same
// bytes until the other side closes the connection.
func endlessScript(beginning, again string) script {
	block := []byte(strings.Repeat(again, 1+(32<<10)/len(again)))
	return func(_ testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		_, err := c.Write([]byte(strings.ReplaceAll(beginning, "{id}", r.Header.Get("Id"))))
		for err == nil {
			_, err = c.Write(block)
		}
		w.once.Do(func() { close(w.connectionClosed) })
	}
}

// endlessHeads are responses whose head does not end, with the cause that must be
// logged.
var endlessHeads = map[string]struct {
	script script
	cause  failureCause
}{
	"status line":              {endlessScript("HTTP/1.1 200 ", "O"), causeHeadBytes},
	"header lines":             {endlessScript("HTTP/1.1 200 OK\r\n", "A: b\r\n"), causeHeadLines},
	"header lines of new keys": {endlessScript("HTTP/1.1 200 OK\r\n", distinctHeaders(2000)), causeHeadLines},
	"a header line":            {endlessScript("HTTP/1.1 200 OK\r\nA: ", "b"), causeHeadBytes},
	"continued header line":    {endlessScript("HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"), causeHeadLines},
	"interim answers":          {endlessScript("", "HTTP/1.1 102 Processing\r\n\r\n"), causeInterim},
	"interim answers' headers": {endlessScript("", "HTTP/1.1 103 Hints\r\nLink: "+strings.Repeat("x", 20<<10)+"\r\n\r\n"), causeHeadBytes},
	"status below 100":         {endlessScript("", "HTTP/1.1 099 Odd\r\n\r\n"), causeMalformed},
	"bytes without a line":     {endlessScript("", "x"), causeHeadBytes},
	"blank lines":              {endlessScript("", "\r\n"), causeMalformed},
	"switch of protocols":      {endlessScript("HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n", "x"), causeMalformed},
}

func distinctHeaders(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "k%d: v\r\n", i)
	}
	return b.String()
}

// newLoggedForwarder returns a dispatcher and its log. A nil dial means real
// connections.
func newLoggedForwarder(t *testing.T, dial func(context.Context, string, string) (net.Conn, error), workers ...*scriptedWorker) (*Dispatcher, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	d := newForwarder(t, workers...)
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

// allocated returns the number of bytes that the process allocates while f runs. The
// heap cannot grow by more.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Limits of what one response may make the process allocate, in bytes.
const (
	maxHeadAllocBytes  = 1 << 20
	maxEventAllocBytes = 8 << 20
	maxBodyAllocBytes  = 4 << 20
)

// TestHeadWithoutEndIsGivenUpAndNamed sends responses whose head does not end: each
// must be aborted before the deadline, with little memory allocated, the cause logged
// and the failure counted against the upstream.
func TestHeadWithoutEndIsGivenUpAndNamed(t *testing.T) {
	for name, c := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, c.script)
			d, logs := newLoggedForwarder(t, nil, w)
			call := streamCall("a", false)
			var err error
			allocatedBytes := allocated(func() { err = d.Forward(t.Context(), call, &answerSink{}) })
			<-w.connectionClosed
			if code.Of(err) != code.OutcomeUnknown || code.From(err).Outcome != code.Unknown {
				t.Errorf("got %v with outcome %q, want OutcomeUnknown with an unknown outcome", err, code.From(err).Outcome)
			}
			if allocatedBytes > maxHeadAllocBytes {
				t.Errorf("%d bytes allocated, want at most %d", allocatedBytes, maxHeadAllocBytes)
			}
			if !time.Now().Before(call.Deadline) {
				t.Error("the response was aborted only at the deadline")
			}
			failed := logs.FilterMessage("forwarding failed").All()
			if len(failed) != 1 || failed[0].ContextMap()["cause"] != string(c.cause) || failed[0].ContextMap()["upstream"] != "w0" {
				t.Errorf("wrong log: %v", failed)
			}
			d.sched.mu.Lock()
			defer d.sched.mu.Unlock()
			if d.fleet.Load().targets["w0"].errorRate == 0 {
				t.Error("the failure was not recorded in the upstream's error rate")
			}
		})
	}
}

// TestOtherRequestsAreServedBesideHeadsWithoutEnd has one worker whose heads do not end
// and one that works: every repeatable request must get a complete answer.
func TestOtherRequestsAreServedBesideHeadsWithoutEnd(t *testing.T) {
	faulty := startWorker(t, endlessScript("HTTP/1.1 200 OK\r\n", "A: b\r\n"))
	d := newForwarder(t, faulty, startWorker(t, eventsScript(4, endOfChunks)))
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			s := &answerSink{}
			if err := d.Forward(t.Context(), streamCall(fmt.Sprint(i), true), s); err != nil || s.body.String() != eventsUpTo(4) {
				t.Errorf("got error %v and body %q", err, s.body.String())
			}
		})
	}
	wait.Wait()
	if faulty.requestCount.Load() == 0 {
		t.Error("no request reached the worker whose heads do not end")
	}
}

// TestBodyWithoutEndIsBounded checks that the memory used for a response does not grow
// with its length. A plain body is passed to the caller as it arrives, until the caller
// leaves.
func TestBodyWithoutEndIsBounded(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\n"
	stream := signed + "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		script        script
		maxAllocBytes uint64
		cause         failureCause
	}{
		"plain body":        {endlessScript(signed+"\r\n", "xyz\n"), maxBodyAllocBytes, ""},
		"event":             {endlessScript(stream+"\r\n", "data: x"), maxEventAllocBytes, causeEventSize},
		"lines of an event": {endlessScript(stream+"\r\n", "data: x\n"), maxEventAllocBytes, causeEventSize},
		"blank lines":       {endlessScript(stream+"\r\n", "\n"), maxEventAllocBytes, causeEventSize},
		"chunk extension":   {endlessScript(stream+"Transfer-Encoding: chunked\r\n\r\n5;", "x"), maxHeadAllocBytes, causeMalformed},
		"chunk size":        {endlessScript(stream+"Transfer-Encoding: chunked\r\n\r\n", "0000"), maxHeadAllocBytes, causeMalformed},
		"trailers":          {endlessScript(stream+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"), maxHeadAllocBytes, causeMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, c.script)
			d, logs := newLoggedForwarder(t, nil, w)
			call := streamCall("a", false)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sink := &countingSink{limit: 64 << 20, onLimit: cancel}
			var err error
			allocatedBytes := allocated(func() { err = d.Forward(ctx, call, sink) })
			<-w.connectionClosed
			if err == nil || code.From(err).Outcome == code.NotRun {
				t.Errorf("got %v, want an error whose outcome is not NotRun", err)
			}
			if allocatedBytes > c.maxAllocBytes {
				t.Errorf("%d bytes allocated, want at most %d", allocatedBytes, c.maxAllocBytes)
			}
			if c.cause == "" {
				if sink.received < sink.limit {
					t.Errorf("the caller got only %d bytes", sink.received)
				}
				return
			}
			if failed := logs.FilterMessage("forwarding failed").All(); len(failed) != 1 || failed[0].ContextMap()["cause"] != string(c.cause) {
				t.Errorf("wrong log: %v", failed)
			}
		})
	}
}

// countingSink counts the bytes that a caller receives, and calls onLimit once limit is
// reached.
type countingSink struct {
	received, limit int
	onLimit         func()
}

func (s *countingSink) Begin(int, http.Header) error { return nil }

func (s *countingSink) Write(p []byte) error {
	if s.received += len(p); s.received >= s.limit {
		s.onLimit()
	}
	return nil
}

// pipeWorkers returns workers that are connected by pipes, so that a test can use
// virtual time.
func pipeWorkers(scripts ...script) (dial func(context.Context, string, string) (net.Conn, error), workers []*scriptedWorker, wait *sync.WaitGroup) {
	wait = &sync.WaitGroup{}
	byAddress := map[string]int{}
	for i := range scripts {
		w := &scriptedWorker{address: fmt.Sprintf("10.0.0.%d:1", i+1), connectionClosed: make(chan struct{})}
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
			workers[i].requestCount.Add(1)
			scripts[i](nil, workers[i], there, r)
		})
		return here, nil
	}
	return dial, workers, wait
}

// trickleScript returns a script that writes a beginning and then a text at every
// interval until the other side closes the connection.
func trickleScript(interval time.Duration, beginning func(r *http.Request) string, text func(n int) string) script {
	return func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		_, err := c.Write([]byte(beginning(r)))
		for n := 0; err == nil; n++ {
			time.Sleep(interval)
			_, err = c.Write([]byte(text(n)))
		}
	}
}

func repeatText(text string) func(int) string { return func(int) string { return text } }

func noBeginning(*http.Request) string { return "" }

// trickles are scripts that send a few bytes now and then but make no progress.
var trickles = map[string]script{
	"a byte of the status line": trickleScript(time.Second, noBeginning, func(n int) string { return "HTTP/1.1 200 OKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKKK"[n : n+1] }),
	"a header line":             trickleScript(time.Second, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, repeatText("A: b\r\n")),
	"an interim answer":         trickleScript(2*time.Second, noBeginning, repeatText("HTTP/1.1 102 Processing\r\n\r\n")),
	"a byte of an event":        trickleScript(time.Second, func(r *http.Request) string { return streamHead(r, "") }, repeatText(chunk("d"))),
	"a comment":                 trickleScript(time.Second, func(r *http.Request) string { return streamHead(r, "") + chunk(event(1)) }, repeatText(chunk(": on\n\n"))),
	"an old event":              trickleScript(time.Second, func(r *http.Request) string { return streamHead(r, "") + chunk(event(1)) }, repeatText(chunk(event(1)))),
	"a blank line":              trickleScript(time.Second, func(r *http.Request) string { return streamHead(r, "") + chunk(event(1)) }, repeatText(chunk("\n"))),
}

// TestStalledWorkerThatSendsAByteNowAndThenIsLeft checks that a stalled stream is
// resumed on another worker if it is resumable, and otherwise ends by its deadline with
// an error that does not claim that nothing ran.
func TestStalledWorkerThatSendsAByteNowAndThenIsLeft(t *testing.T) {
	const silenceLimit, limit = 4 * time.Second, 30 * time.Second
	for name, stalled := range trickles {
		t.Run(name+", resumable", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts atomic.Int64
				first := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
					if attempts.Add(1) == 1 {
						stalled(t, w, c, r)
						return
					}
					eventsScript(6, endOfChunks)(t, w, c, r)
				}
				dial, workers, wait := pipeWorkers(first, first)
				d, logs := newLoggedForwarder(t, dial, workers...)
				call, sink := streamCall("a", true), &answerSink{}
				call.Deadline, call.MaxGap = time.Now().Add(limit), silenceLimit
				start := time.Now()
				if err := d.Forward(t.Context(), call, sink); err != nil {
					t.Fatal(err)
				}
				lines := strings.ReplaceAll(sink.body.String(), ": on\n\n", "")
				if diff := cmp.Diff(eventsUpTo(6), lines); diff != "" {
					t.Error(diff)
				}
				if took := time.Since(start); took > silenceLimit {
					t.Errorf("took %v, but the caller leaves after %v", took, silenceLimit)
				}
				if again := logs.FilterMessage("forwarding again").All(); len(again) != 1 || again[0].ContextMap()["cause"] != string(causeSilent) {
					t.Errorf("wrong log: %v", again)
				}
				wait.Wait()
			})
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, workers, wait := pipeWorkers(stalled)
				d, logs := newLoggedForwarder(t, dial, workers...)
				call := streamCall("a", false)
				call.Deadline = time.Now().Add(limit / 3)
				start := time.Now()
				err := d.Forward(t.Context(), call, &answerSink{})
				if err == nil || code.From(err).Outcome == code.NotRun {
					t.Errorf("got %v, want an error whose outcome is not NotRun", err)
				}
				if took := time.Since(start); took > limit/3 {
					t.Errorf("took %v, longer than the deadline", took)
				}
				if failed := logs.FilterMessage("forwarding failed").All(); len(failed) != 1 || failed[0].ContextMap()["cause"] == "" {
					t.Errorf("wrong log: %v", failed)
				}
				wait.Wait()
			})
		})
	}
}

// TestSlowButSoundStreamIsNotCut has a worker that sends each event shortly before the
// attempt would time out, for longer in total than the silence that the caller
// tolerates. The stream must not be broken off.
func TestSlowButSoundStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, last = 900 * time.Millisecond, 30
		slow := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			_, _ = c.Write([]byte(streamHead(r, "")))
			for n := 1; n <= last; n++ {
				time.Sleep(pause)
				_, _ = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
		dial, workers, wait := pipeWorkers(slow, slow)
		d, _ := newLoggedForwarder(t, dial, workers...)
		call, sink := streamCall("a", true), &answerSink{}
		call.Deadline, call.MaxGap = time.Now().Add(time.Minute), 2*time.Second
		if err := d.Forward(t.Context(), call, sink); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(eventsUpTo(last), sink.body.String()); diff != "" {
			t.Error(diff)
		}
		wait.Wait()
	})
}

// TestLateBreakOfAStreamWaitsForASlot breaks a stream that has lasted longer than the
// silence that its caller tolerates, while other requests hold every slot. The silence
// must be counted from the last event, so that the stream resumes when a slot becomes
// free.
func TestLateBreakOfAStreamWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = 2 * time.Second
		var attempts atomic.Int64
		s := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			if attempts.Add(1) > 1 {
				eventsScript(8, endOfChunks)(t, w, c, r)
				return
			}
			_, _ = c.Write([]byte(streamHead(r, "")))
			for n := 1; n <= 5; n++ {
				time.Sleep(silence / 4)
				_, _ = c.Write([]byte(chunk(event(n))))
			}
			time.Sleep(silence / 8)
		}
		dial, workers, wait := pipeWorkers(s, s)
		d, _ := newLoggedForwarder(t, dial, workers...)
		p, err := d.current().pool("s", contract.KindRouted)
		if err != nil {
			t.Fatal(err)
		}
		call, sink := streamCall("a", true), &answerSink{}
		call.Class, call.Deadline, call.MaxGap = contract.Online, time.Now().Add(time.Minute), silence
		wait.Go(func() {
			// Between the last event and the break, one more request starts to wait for
			// the slot that the break frees.
			time.Sleep(5*silence/4 + silence/16)
			end := time.Now().Add(time.Minute)
			other := request{pool: p, deadline: end, onlineWork: route.OnlineWork{Objective: end, Deadline: end}}
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
		if diff := cmp.Diff(eventsUpTo(8), sink.body.String()); diff != "" {
			t.Error(diff)
		}
		wait.Wait()
	})
}

// TestSecondCopyOfAnAnswerReachesNobody has a worker that sends each response twice:
// the next caller must still get its own.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	twice := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		body := "answer to " + r.Header.Get("Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
		_, _ = c.Write([]byte(text + text))
	}
	d := newForwarder(t, startWorker(t, twice))
	for i := range 8 {
		s, id := &answerSink{}, fmt.Sprint("r", i)
		if err := d.Forward(t.Context(), streamCall(id, false), s); err != nil || s.body.String() != "answer to "+id {
			t.Errorf("got error %v and body %q", err, s.body.String())
		}
	}
}

func TestAnswerInTheSameReadAsInterimResponsesIsTaken(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"
	for _, n := range []int{1, 2, maxInterimAnswers} {
		interim := strings.Repeat("HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", n)
		s := &answerSink{}
		err := newForwarder(t, startWorker(t, rawScript(interim+answer))).Forward(t.Context(), streamCall("a", false), s)
		if err != nil || s.status != http.StatusOK || s.body.String() != "ok" {
			t.Errorf("%d interim responses: got error %v, status %d, body %q; want 200 and \"ok\"", n, err, s.status, s.body.String())
		}
	}
}

// TestHeadLimiterPassesEveryByte checks that the limiter passes on what it reads
// unchanged, whatever the size of the reads.
func TestHeadLimiterPassesEveryByte(t *testing.T) {
	text := "HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nC: d\r\n\r\n" + strings.Repeat("\n", 3*maxHeadLines) + strings.Repeat("body", maxHeadBytes)
	for _, size := range []int{1, 2, 3, 7, 64, 4096} {
		var got bytes.Buffer
		g := newHeadLimiter(strings.NewReader(text))
		p := make([]byte, size)
		for {
			n, err := g.Read(p)
			got.Write(p[:n])
			if err != nil {
				break
			}
		}
		if got.String() != text || !g.done || g.lines != 6 {
			t.Errorf("reads of %d bytes: got %d of %d bytes, %d lines, want 6 lines", size, got.Len(), len(text), g.lines)
		}
	}
}

// TestRefusalWhoseBodyNeverEndsAllowsAnotherUpstream has an upstream that refuses a
// request and whose body then goes on without end, or stalls.
func TestRefusalWhoseBodyNeverEndsAllowsAnotherUpstream(t *testing.T) {
	refusal := func(r *http.Request) string {
		return "HTTP/1.1 503 Busy\r\nNot-Run: yes\r\nId: " + r.Header.Get("Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	for name, interval := range map[string]time.Duration{"endless": time.Millisecond, "stalled": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var requests atomic.Int64
				worker := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
					if requests.Add(1) > 1 {
						eventsScript(3, endOfChunks)(t, w, c, r)
						return
					}
					_, err := c.Write([]byte(refusal(r)))
					closed := make(chan struct{})
					go func() { _, _ = c.Read(make([]byte, 1)); close(closed) }()
					for err == nil {
						select {
						case <-closed:
							return
						case <-time.After(interval):
							_, err = c.Write([]byte(chunk("busy")))
						}
					}
				}
				dial, workers, wait := pipeWorkers(worker, worker)
				d, _ := newLoggedForwarder(t, dial, workers...)
				call, sink := streamCall("a", false), &answerSink{}
				begin := time.Now()
				if err := d.Forward(t.Context(), call, sink); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff(eventsUpTo(3), sink.body.String()); diff != "" {
					t.Error(diff)
				}
				if took := time.Since(begin); took > 10*time.Millisecond {
					t.Errorf("another upstream was used after %v", took)
				}
				wait.Wait()
			})
		})
	}
}
