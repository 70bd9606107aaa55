package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Timeouts in real time. No result depends on their exact values: waitTimeout ends the
// wait for a condition that never holds, callTimeout is longer than any call of a test
// takes on a busy machine, and shortTimeout is for calls that get no answer: long
// enough for them to reach an upstream first.
const (
	waitTimeout  = 2 * time.Minute
	callTimeout  = 2 * time.Minute
	shortTimeout = 2 * time.Second
)

// waitFor waits until a condition holds.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for %s after %v", what, waitTimeout)
		}
	}
}

// engineCounts returns the sum of the counts of all engines.
func (h *harness) engineCounts() (sum engine.Counts) {
	for _, e := range h.engines {
		c := e.Counts()
		sum.Requests += c.Requests
		sum.Resumed += c.Resumed
		sum.Cancelled += c.Cancelled
	}
	return sum
}

// runCalls runs n calls, atOnce of them at a time, and checks each answer.
func (h *harness) runCalls(t testing.TB, class contract.Class, n, atOnce, tokens int) {
	t.Helper()
	var wait sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			h.complete(t, call(class, fmt.Sprintf("%s-%d", class, i), tokens))
			<-slots
		})
	}
	wait.Wait()
}

// TestAnswersAreWholeThoughAnUpstreamMisbehaves checks that every answer is complete
// while one of four engines has a fault.
func TestAnswersAreWholeThoughAnUpstreamMisbehaves(t *testing.T) {
	for name, faults := range map[string]engine.Faults{
		"killed":    {KillAfter: 4},
		"truncated": {TruncateAfter: 4},
		"garbage":   {Garbage: true},
		"endless":   {Endless: true},
		"refuses":   {Refuse: true},
		"swapped":   {SwapID: true},
		"hangs":     {Hang: true},
		"stalled":   {Stall: true},
		"slow":      {SlowFactor: 10},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, fastEngine, nil)
			h.runCalls(t, contract.Online, 20, 4, 12)
			h.engines[1].SetFaults(faults)
			h.runCalls(t, contract.Online, 40, 6, 12)
		})
	}
}

// TestStreamThatStallsHalfWayIsResumedElsewhere runs in virtual time: on a busy machine the
// engine may have generated the whole answer before ten tokens of it have arrived.
func TestStreamThatStallsHalfWayIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessOn(t, pipeNetwork(), 3, fastEngine, nil)
		h.runCalls(t, contract.Online, 20, 4, 12)
		c := call(contract.Online, "stalls", 30)
		var text strings.Builder
		tokens := 0
		err := h.Complete(context.Background(), c, func(chunk contract.Chunk) error {
			text.WriteString(chunk.Text)
			if tokens++; tokens == 10 {
				for _, e := range h.engines {
					if e.CurrentLoad().Running > 0 {
						e.SetFaults(engine.Faults{Stall: true})
					}
				}
			}
			return nil
		})
		if want := engine.Answer(c.Chat.Messages, 30); err != nil || text.String() != want {
			t.Errorf("%v: got %q, want %q", err, text.String(), want)
		}
		if h.engineCounts().Resumed == 0 {
			t.Error("no stream stalled and was resumed")
		}
	})
}

func TestUnresponsiveUpstreamsGiveANumberedErrorAtTheDeadline(t *testing.T) {
	h := newHarness(t, 2, fastEngine, nil)
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{Hang: true})
	}
	c := call(contract.Online, "never", 5)
	c.Deadline = time.Now().Add(shortTimeout)
	err := h.Complete(context.Background(), c, func(contract.Chunk) error { return nil })
	if code.Of(err) != code.DeadlineExceeded {
		t.Errorf("got %v, want %d", err, code.DeadlineExceeded)
	}
}

func TestRefusalByAllUpstreamsReportsNotRun(t *testing.T) {
	h := newHarness(t, 2, fastEngine, nil)
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{Refuse: true})
	}
	err := h.Complete(context.Background(), call(contract.Online, "refused", 5), func(contract.Chunk) error { return nil })
	if e := code.From(err); e.Outcome != code.NotRun || e.RetryAfter == 0 || h.engineCounts().Requests != 0 {
		t.Errorf("got %v, outcome %s, retry after %v, %d requests run; want NotRun, a retry hint and 0", e, e.Outcome, e.RetryAfter, h.engineCounts().Requests)
	}
}

func TestFullServiceRefusesEarlyWithARetryHint(t *testing.T) {
	h := newHarness(t, 1, fastEngine, func(_ *Options, d *contract.Document) {
		d.Services["chat"] = contract.Service{Kind: contract.KindModel, Model: "m", Idempotent: true}
	})
	h.runCalls(t, contract.Online, 8, 8, 200)
	held := h.holdAllSlots(t, "chat")
	h.setSlotTime(t, "chat", 10*time.Minute)
	c := call(contract.Online, "late", 5)
	c.Deadline = time.Now().Add(30 * time.Second)
	err := h.Complete(context.Background(), c, func(contract.Chunk) error { return nil })
	e := code.From(err)
	if e.Number != code.DeadlineTooShort || e.Outcome != code.NotRun || e.RetryAfter == 0 || !time.Now().Before(c.Deadline) {
		t.Errorf("got %v, outcome %s, retry after %v; want DeadlineTooShort, NotRun and a retry hint before the deadline", e, e.Outcome, e.RetryAfter)
	}
	for _, g := range held {
		h.sched.release(g, time.Now())
	}
	h.complete(t, call(contract.Online, "after", 5))
}

// holdAllSlots takes every slot of a service that is granted. On a busy machine slow
// first tokens lower the limit of the upstream, so that the number varies.
func (h *harness) holdAllSlots(t testing.TB, service string) []*slot {
	t.Helper()
	p := h.current().pools[service]
	var held []*slot
	for g := h.sched.tryAcquire(t.Context(), request{pool: p}); g != nil; g = h.sched.tryAcquire(t.Context(), request{pool: p}) {
		held = append(held, g)
	}
	if len(held) == 0 || len(held) > 8 {
		t.Fatalf("got %d slots, want 1 to 8", len(held))
	}
	return held
}

// setSlotTime sets the average slot time of a service, after checking that one has been
// observed.
func (h *harness) setSlotTime(t testing.TB, service string, d time.Duration) {
	t.Helper()
	h.sched.mu.Lock()
	defer h.sched.mu.Unlock()
	ps := h.current().pools[service].poolState
	if ps.slotTime.Value <= 0 {
		t.Fatal("no slot time was recorded")
	}
	ps.slotTime.Value = d
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(h *harness){
		"document": func(h *harness) {
			next := *h.current().document
			next.Version++
			next.Upstreams = map[string]contract.Upstream{}
			for id, u := range h.current().document.Upstreams {
				u.Draining = id == "u01"
				next.Upstreams[id] = u
			}
			h.publish(&next)
		},
		"report": func(h *harness) { h.engines[1].SetFaults(engine.Faults{Draining: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, fastEngine, nil)
			h.runCalls(t, contract.Online, 30, 6, 5)
			leave(h)
			waitFor(t, "leaving", func() bool { return h.State().Upstreams[1].Leaving })
			before := h.engines[1].Counts().Requests
			h.runCalls(t, contract.Online, 60, 12, 5)
			if after := h.engines[1].Counts().Requests; after != before {
				t.Errorf("the leaving upstream got %d new requests, want 0", after-before)
			}
		})
	}
}

// setStalled stops the engines in the middle of their answers, or lets them continue,
// so that a test controls how long requests are held.
func (h *harness) setStalled(on bool) {
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{Stall: on})
	}
}

// inBackground runs f in a goroutine and returns a channel that is closed when f
// returns.
func inBackground(f func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	return done
}

// TestPreemptedBatchAnswerIsTheSameAsAnUndisturbedOne runs in virtual time: on a busy
// machine the engines may stand still for longer than an attempt waits for a token.
func TestPreemptedBatchAnswerIsTheSameAsAnUndisturbedOne(t *testing.T) {
	const (
		calls  = 14
		tokens = 2000
	)
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessOn(t, pipeNetwork(), 2, fastEngine, nil)
		h.setStalled(true)
		batch := inBackground(func() { h.runCalls(t, contract.Batch, calls, calls, tokens) })
		waitFor(t, "batch in all spare slots", func() bool {
			running := 0
			for _, u := range h.State().Upstreams {
				running += u.Batch
			}
			return running == calls
		})
		h.setStalled(false)
		waitFor(t, "a part of the batch answers", func() bool {
			return h.engines[0].Counts().Tokens > 10*calls && h.engines[1].Counts().Tokens > 10*calls
		})
		h.setStalled(true)
		online := inBackground(func() { h.runCalls(t, contract.Online, 60, calls, 10) })
		waitFor(t, "a batch call to be preempted", func() bool { return h.counter("preemptions") > 0 })
		h.setStalled(false)
		<-online
		<-batch
		if n := h.engineCounts(); n.Cancelled == 0 || n.Resumed == 0 {
			t.Errorf("%d cancelled and %d resumed requests, want some of both", n.Cancelled, n.Resumed)
		}
	})
}

func TestBatchYieldsToTheOnlineBurstOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessOn(t, pipeNetwork(), 1, fastEngine, nil)
		h.setStalled(true)
		batch := inBackground(func() { h.runCalls(t, contract.Batch, 7, 7, 100) })
		waitFor(t, "batch in all spare slots", func() bool { return h.engines[0].CurrentLoad().Running == 7 })
		sequence := uint64(0)
		burst := func() {
			// The digest is sent again because it expires after onlineDigestTTL.
			sequence++
			h.ObserveDigest("peer", Digest{Sequence: sequence, Loads: []PeerLoad{{Upstream: "u00", Online: 5}}})
		}
		burst()
		if got := h.State().Upstreams[0].Batch; got != 2 {
			t.Errorf("%d batch attempts left beside 5 online ones in 8 slots with one free, want 2", got)
		}
		waitFor(t, "cancellation at the engine", func() bool {
			burst()
			return h.engines[0].CurrentLoad().Running == 2
		})
		h.setStalled(false)
		<-batch
	})
}

func TestAttemptsStayBoundedWhenHalfOfTheUpstreamsAreLost(t *testing.T) {
	h := newHarness(t, 10, fastEngine, nil)
	h.runCalls(t, contract.Online, 100, 10, 5)
	for i := range 5 {
		h.servers[i].CloseClientConnections()
		_ = h.servers[i].Listener.Close()
	}
	before := h.attempts()
	const calls = 400
	h.runCalls(t, contract.Online, calls, 20, 5)
	if per := (h.attempts() - before) / calls; per > 1.1 {
		t.Errorf("%.3f attempts per request, want at most 1.1; %v retries, %v hedges", per, h.counter("retries"), h.counter("hedges"))
	}
}

// TestAnswerAtItsLimitIsNotResumedAfterPreemption has an engine that sends all
// requested tokens and then nothing, so that the attempt is preempted between the last
// token and the finish reason. The answer is complete and must not be resumed.
func TestAnswerAtItsLimitIsNotResumedAfterPreemption(t *testing.T) {
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		requests++
		// The server detects the cancellation only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		for range 3 {
			_, _ = io.WriteString(w, `data: {"id":"x","choices":[{"delta":{"content":"a"}}]}`+"\n\n")
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	h := newHarness(t, 0, fastEngine, func(_ *Options, d *contract.Document) {
		d.Upstreams["u"] = contract.Upstream{Address: server.Listener.Addr().String(), Services: []string{"chat"}, Slots: 4}
	})
	var text strings.Builder
	finish, tokens := "", 0
	err := h.Complete(context.Background(), call(contract.Batch, "limit", 3), func(c contract.Chunk) error {
		text.WriteString(c.Text)
		finish = c.FinishReason
		if tokens++; tokens == 3 {
			h.ObserveDigest("peer", Digest{Sequence: 1, Loads: []PeerLoad{{Upstream: "u", Online: 4}}})
		}
		return nil
	})
	if err != nil || text.String() != "aaa" || finish != "length" || requests != 1 {
		t.Errorf("%v: got %q with finish reason %q after %d requests, want \"aaa\" with \"length\" after 1", err, text.String(), finish, requests)
	}
	h.close()
}
