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

// Real times of tests. None of them decides what is right: hangLimit ends a wait
// for a condition that never comes, callTime is longer than any call of a test
// takes beside load, and shortDeadline is for calls that nobody answers, long
// enough for them to reach an upstream first.
const (
	hangLimit     = 2 * time.Minute
	callTime      = 2 * time.Minute
	shortDeadline = 2 * time.Second
)

// waitFor waits for a condition.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(hangLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen in %v", what, hangLimit)
		}
	}
}

func (b *bench) counts() (sum engine.Counts) {
	for _, e := range b.engines {
		c := e.Counts()
		sum.Requests += c.Requests
		sum.Resumed += c.Resumed
		sum.Cancelled += c.Cancelled
	}
	return sum
}

// load runs n calls, a few at a time, and checks each answer.
func (b *bench) load(t testing.TB, class contract.Class, n, atOnce, tokens int) {
	t.Helper()
	var wait sync.WaitGroup
	turns := make(chan struct{}, atOnce)
	for i := range n {
		turns <- struct{}{}
		wait.Go(func() {
			b.complete(t, call(class, fmt.Sprintf("%s-%d", class, i), tokens))
			<-turns
		})
	}
	wait.Wait()
}

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
			b := newBench(t, 4, fastEngine, nil)
			b.load(t, contract.Online, 20, 4, 12)
			b.engines[1].SetFaults(faults)
			b.load(t, contract.Online, 40, 6, 12)
		})
	}
}

func TestStreamThatStallsHalfWayIsResumedElsewhere(t *testing.T) {
	b := newBench(t, 3, fastEngine, nil)
	b.load(t, contract.Online, 20, 4, 12)
	c := call(contract.Online, "stalls", 30)
	var text strings.Builder
	tokens := 0
	err := b.Complete(context.Background(), c, func(chunk contract.Chunk) error {
		text.WriteString(chunk.Text)
		if tokens++; tokens == 10 {
			for _, e := range b.engines {
				if e.Current().Running > 0 {
					e.SetFaults(engine.Faults{Stall: true})
				}
			}
		}
		return nil
	})
	if want := engine.Answer(c.Chat.Messages, 30); err != nil || text.String() != want {
		t.Errorf("%v: got %q, want %q", err, text.String(), want)
	}
	if b.counts().Resumed == 0 {
		t.Error("no stream stalled and was resumed")
	}
}

func TestUpstreamsThatNeverAnswerGiveANumberedErrorByTheDeadline(t *testing.T) {
	b := newBench(t, 2, fastEngine, nil)
	for _, e := range b.engines {
		e.SetFaults(engine.Faults{Hang: true})
	}
	c := call(contract.Online, "never", 5)
	c.Deadline = time.Now().Add(shortDeadline)
	err := b.Complete(context.Background(), c, func(contract.Chunk) error { return nil })
	if code.Of(err) != code.DeadlineExceeded {
		t.Errorf("got %v, want %d", err, code.DeadlineExceeded)
	}
}

func TestRefusalByAllUpstreamsSaysNotRun(t *testing.T) {
	b := newBench(t, 2, fastEngine, nil)
	for _, e := range b.engines {
		e.SetFaults(engine.Faults{Refuse: true})
	}
	err := b.Complete(context.Background(), call(contract.Online, "refused", 5), func(contract.Chunk) error { return nil })
	if e := code.From(err); e.Outcome != code.NotRun || e.RetryAfter == 0 || b.counts().Requests != 0 {
		t.Errorf("got %v, %s, retry after %v, %d requests run", e, e.Outcome, e.RetryAfter, b.counts().Requests)
	}
}

func TestFullServiceRefusesEarlyWithARetryHint(t *testing.T) {
	b := newBench(t, 1, fastEngine, func(_ *Options, d *contract.Document) {
		d.Services["chat"] = contract.Service{Kind: contract.KindModel, Model: "m", Idempotent: true}
	})
	b.load(t, contract.Online, 8, 8, 200)
	held := b.holdAllSlots(t, "chat")
	b.expectOccupied(t, "chat", 10*time.Minute)
	c := call(contract.Online, "late", 5)
	c.Deadline = time.Now().Add(30 * time.Second)
	err := b.Complete(context.Background(), c, func(contract.Chunk) error { return nil })
	e := code.From(err)
	if e.Number != code.DeadlineTooShort || e.Outcome != code.NotRun || e.RetryAfter == 0 || !time.Now().Before(c.Deadline) {
		t.Errorf("got %v, %s, retry after %v", e, e.Outcome, e.RetryAfter)
	}
	for _, g := range held {
		b.sched.release(g, time.Now())
	}
	b.complete(t, call(contract.Online, "after", 5))
}

// holdAllSlots takes every slot that a service gives. On a busy machine slow
// first tokens lower the limit of the upstream, so that the number varies.
func (b *bench) holdAllSlots(t testing.TB, service string) []*slot {
	t.Helper()
	p := b.current().pools[service]
	var held []*slot
	for g := b.sched.tryAcquire(t.Context(), request{pool: p}); g != nil; g = b.sched.tryAcquire(t.Context(), request{pool: p}) {
		held = append(held, g)
	}
	if len(held) == 0 || len(held) > 8 {
		t.Fatalf("%d slots held of 8", len(held))
	}
	return held
}

// expectOccupied makes requests of a service hold their slots for a time, after
// it has been learned from real ones.
func (b *bench) expectOccupied(t testing.TB, service string, d time.Duration) {
	t.Helper()
	b.sched.mu.Lock()
	defer b.sched.mu.Unlock()
	h := b.current().pools[service].history
	if h.occupied.Value <= 0 {
		t.Fatal("the time on a slot was not learned from the requests")
	}
	h.occupied.Value = d
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(b *bench){
		"document": func(b *bench) {
			next := *b.current().document
			next.Version++
			next.Upstreams = map[string]contract.Upstream{}
			for id, u := range b.current().document.Upstreams {
				u.Leaving = id == "u01"
				next.Upstreams[id] = u
			}
			b.publish(&next)
		},
		"report": func(b *bench) { b.engines[1].SetFaults(engine.Faults{Draining: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 3, fastEngine, nil)
			b.load(t, contract.Online, 30, 6, 5)
			leave(b)
			waitFor(t, "leaving", func() bool { return b.State().Upstreams[1].Leaving })
			before := b.engines[1].Counts().Requests
			b.load(t, contract.Online, 60, 12, 5)
			if after := b.engines[1].Counts().Requests; after != before {
				t.Errorf("the leaving upstream got %d requests", after-before)
			}
		})
	}
}

// stall stops the engines in the middle of their answers, or lets them go on, so
// that a test decides how long requests are held.
func (b *bench) stall(on bool) {
	for _, e := range b.engines {
		e.SetFaults(engine.Faults{Stall: on})
	}
}

// inBackground runs f; the returned channel is closed at its end.
func inBackground(f func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	return done
}

// TestPreemptedBatchAnswerIsTheSameAsAnUndisturbedOne runs in virtual time: on a busy
// machine the engines would stand still for longer than an attempt waits for a token.
func TestPreemptedBatchAnswerIsTheSameAsAnUndisturbedOne(t *testing.T) {
	const (
		calls  = 14
		tokens = 2000
	)
	synctest.Test(t, func(t *testing.T) {
		b := newBenchOn(t, virtualFabric(), 2, fastEngine, nil)
		b.stall(true)
		batch := inBackground(func() { b.load(t, contract.Batch, calls, calls, tokens) })
		waitFor(t, "batch in all spare slots", func() bool {
			running := 0
			for _, u := range b.State().Upstreams {
				running += u.Batch
			}
			return running == calls
		})
		b.stall(false)
		waitFor(t, "some of the batch answers", func() bool {
			return b.engines[0].Counts().Tokens > 10*calls && b.engines[1].Counts().Tokens > 10*calls
		})
		b.stall(true)
		online := inBackground(func() { b.load(t, contract.Online, 60, calls, 10) })
		waitFor(t, "a batch call to be preempted", func() bool { return b.counter("preemptions") > 0 })
		b.stall(false)
		<-online
		<-batch
		if n := b.counts(); n.Cancelled == 0 || n.Resumed == 0 {
			t.Errorf("%d cancelled, %d resumed: no batch call went on after its preemption", n.Cancelled, n.Resumed)
		}
	})
}

func TestBatchYieldsToTheOnlineBurstOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBenchOn(t, virtualFabric(), 1, fastEngine, nil)
		b.stall(true)
		batch := inBackground(func() { b.load(t, contract.Batch, 7, 7, 100) })
		waitFor(t, "batch in all spare slots", func() bool { return b.engines[0].Current().Running == 7 })
		sequence := uint64(0)
		burst := func() {
			// A digest counts for two seconds only.
			sequence++
			b.ObserveDigest("peer", Digest{Sequence: sequence, Loads: []PeerLoad{{Upstream: "u00", Online: 5}}})
		}
		burst()
		if got := b.State().Upstreams[0].Batch; got != 2 {
			t.Errorf("%d batch attempts left beside 5 online ones in 8 slots with one free, want 2", got)
		}
		waitFor(t, "cancellation at the engine", func() bool {
			burst()
			return b.engines[0].Current().Running == 2
		})
		b.stall(false)
		<-batch
	})
}

func TestAttemptsStayBoundedWhenHalfOfTheUpstreamsAreLost(t *testing.T) {
	b := newBench(t, 10, fastEngine, nil)
	b.load(t, contract.Online, 100, 10, 5)
	for i := range 5 {
		b.servers[i].CloseClientConnections()
		_ = b.servers[i].Listener.Close()
	}
	before := b.attempts()
	const calls = 400
	b.load(t, contract.Online, calls, 20, 5)
	if per := (b.attempts() - before) / calls; per > 1.1 {
		t.Errorf("%.3f attempts per request, %v retries, %v hedges", per, b.counter("retries"), b.counter("hedges"))
	}
}

// The engine here sends all tokens that were asked for and then nothing, so
// that the attempt is cancelled between the last token and the finish reason.
func TestAnswerAtItsLimitIsNotResumedAfterPreemption(t *testing.T) {
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		requests++
		// The whole body has to be read for the server to see the cancellation.
		_, _ = io.Copy(io.Discard, r.Body)
		for range 3 {
			_, _ = io.WriteString(w, `data: {"id":"x","choices":[{"delta":{"content":"a"}}]}`+"\n\n")
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	b := newBench(t, 0, fastEngine, func(_ *Options, d *contract.Document) {
		d.Upstreams["u"] = contract.Upstream{Address: server.Listener.Addr().String(), Services: []string{"chat"}, Slots: 4}
	})
	var text strings.Builder
	finish, tokens := "", 0
	err := b.Complete(context.Background(), call(contract.Batch, "limit", 3), func(c contract.Chunk) error {
		text.WriteString(c.Text)
		finish = c.FinishReason
		if tokens++; tokens == 3 {
			b.ObserveDigest("peer", Digest{Sequence: 1, Loads: []PeerLoad{{Upstream: "u", Online: 4}}})
		}
		return nil
	})
	if err != nil || text.String() != "aaa" || finish != "length" || requests != 1 {
		t.Errorf("%v: got %q with finish reason %q after %d requests", err, text.String(), finish, requests)
	}
	b.close()
}
