package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// TestOnlyHopelessWaitersAreRefusedEarly guards against a request that is refused while it
// could still begin, one that waits although it surely can't, and a change for requests
// without an account. All slots are free at best, and each run lasts half a second at best.
func TestOnlyHopelessWaitersAreRefusedEarly(t *testing.T) {
	const slots, best = 4, 500 * time.Millisecond
	d := newForwarder(t, startWorker(t, eventsScript(1, endOfChunks)))
	p, err := d.current().pool("s", contract.KindRouted)
	if err != nil {
		t.Fatal(err)
	}
	s := d.sched
	rapid.Check(t, func(r *rapid.T) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		p.slotTime.Value, p.shortestRun = 3*best, route.ShortestRun(best)
		share := rapid.SampledFrom([]float64{0, 0.5}).Draw(r, "share")
		var waiters []*waiter
		for range rapid.IntRange(1, 40).Draw(r, "waiting") {
			w := &waiter{granted: make(chan *slot, 1)}
			left := time.Duration(rapid.IntRange(1, 40).Draw(r, "left")) * 100 * time.Millisecond
			w.request = request{pool: p, class: contract.Online, weight: 1, deadline: now.Add(left), share: share, begun: rapid.IntRange(0, 9).Draw(r, "begun") == 0}
			w.onlineWork = route.OnlineWork{Objective: now.Add(-time.Second), Deadline: w.deadline}
			if share > 0 {
				w.account, w.accountHash = "a", 1
			}
			waiters = append(waiters, w)
			p.shortQueue.push(w)
		}
		defer func() { p.shortQueue = queue{} }()
		s.refuseHopeless(now)
		kept, latest := 0, time.Time{}
		for i, w := range waiters {
			refused, hopeless := w.refusal != nil, time.Duration(kept/slots)*best > w.deadline.Sub(now)
			if refused && (share == 0 || w.begun || !hopeless) {
				r.Fatalf("waiter %d is refused %v before its deadline with %d ahead, want it to wait", i, w.deadline.Sub(now), kept)
			}
			if !refused && share > 0 && !w.begun && hopeless && !w.deadline.Before(latest) {
				r.Fatalf("waiter %d waits %v before its deadline with %d ahead, want it to be refused", i, w.deadline.Sub(now), kept)
			}
			if refused && code.From(w.refusal).RetryAfter < minRetryHint {
				r.Fatalf("the retry hint is %v, want at least %v", code.From(w.refusal).RetryAfter, minRetryHint)
			}
			if !refused {
				kept++
				if w.deadline.After(latest) {
					latest = w.deadline
				}
			}
		}
		if p.shortQueue.waiting != kept {
			r.Fatalf("%d wait, want the %d that were not refused", p.shortQueue.waiting, kept)
		}
	})
}

// TestHopelessWaiterGetsItsAnswerAtOnce guards against a waiter that is refused but told so
// only at its deadline.
func TestHopelessWaiterGetsItsAnswerAtOnce(t *testing.T) {
	d := newForwarder(t, startWorker(t, eventsScript(1, endOfChunks)))
	p, err := d.current().pool("s", contract.KindRouted)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		d.sched.tryAcquire(t.Context(), request{pool: p})
	}
	answers, now := make(chan error, 6), time.Now()
	for i := range 6 {
		r := request{pool: p, class: contract.Online, account: "a", accountHash: 1, share: 1, weight: 1, deadline: now.Add(time.Minute)}
		r.onlineWork = route.OnlineWork{Objective: now.Add(-time.Second), Deadline: r.deadline}
		go func() {
			_, err := d.sched.acquire(t.Context(), r)
			answers <- err
		}()
		waitFor(t, fmt.Sprint(i, " to wait"), func() bool {
			d.sched.mu.Lock()
			defer d.sched.mu.Unlock()
			return p.shortQueue.waiting == i+1
		})
	}
	d.sched.mu.Lock()
	p.slotTime.Value, p.shortestRun = 4*time.Minute, route.ShortestRun(3*time.Minute)
	d.sched.mu.Unlock()
	d.sched.sweep(now)
	for range 2 { // four begin on the four slots at best
		select {
		case err := <-answers:
			if code.Of(err) != code.Overloaded || code.From(err).Outcome != code.NotRun {
				t.Errorf("got %v, want a refusal as overloaded that did not run", err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no answer within 10 s, want one at once")
		}
	}
}
