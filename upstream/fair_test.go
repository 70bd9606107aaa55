package upstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/route"
)

// formerNext is the order in which waiters were served before priorities and ranks across
// accounts: of the account whose turn it is, the first in the order of route.NextOnline.
func (q *queue) formerNext(now time.Time, first time.Duration) *waiter {
	i := route.NextTenant(q.tenants)
	if i < 0 {
		return nil
	}
	waiters := q.waiters[i]
	return waiters[route.NextOnline(len(waiters), func(j int) route.OnlineWork { return waiters[j].onlineWork }, now, first)]
}

// TestQueueWithoutAccountsIsServedAsBefore compares the order of drawn queues with the
// former one: without an account, and with accounts of the product's own interface, whose
// requests have no objective. One priority; requests come, are served and leave in between.
func TestQueueWithoutAccountsIsServedAsBefore(t *testing.T) {
	const first = 50 * time.Millisecond
	rapid.Check(t, func(r *rapid.T) {
		ps := newPoolState(0)
		p, q := &pool{poolState: ps}, &ps.shortQueue
		accounts := rapid.IntRange(0, 5).Draw(r, "accounts") // 0 means requests without an account
		start := time.Now()
		var all []*waiter
		for i := range rapid.IntRange(1, 60).Draw(r, "steps") {
			now := start.Add(time.Duration(i*20) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0, 1, 2:
				w := &waiter{request: request{pool: p}}
				if accounts > 0 {
					k := rapid.IntRange(0, accounts-1).Draw(r, "account")
					w.account, w.weight = fmt.Sprint(k), k%3
				} else if rapid.Bool().Draw(r, "objective") {
					arrival := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(r, "age")) * time.Millisecond)
					w.onlineWork = route.OnlineWork{Objective: arrival.Add(300 * time.Millisecond), Deadline: arrival.Add(time.Second)}
				}
				q.push(w)
				all = append(all, w)
			case 3:
				if len(all) > 0 {
					q.remove(all[rapid.IntRange(0, len(all)-1).Draw(r, "leaves")])
				}
			default:
				want := q.formerNext(now, first)
				got := q.next(now, first)
				if got != want {
					r.Fatalf("at step %d request %d is next, want request %d as before", i, slices.Index(all, got), slices.Index(all, want))
				}
				if got != nil {
					q.pop(got)
				}
			}
		}
	})
}

// TestChoiceOfAWaiterDoesNotAllocate guards against garbage for each waiter of a long queue.
func TestChoiceOfAWaiterDoesNotAllocate(t *testing.T) {
	ps := newPoolState(0)
	p, q := &pool{poolState: ps}, &ps.shortQueue
	for i := range 1000 {
		q.push(&waiter{request: request{pool: p, account: fmt.Sprint(i % 70), weight: 1, share: 0.01, priority: i % 3}})
	}
	now := time.Now()
	if n := testing.AllocsPerRun(20, func() { q.next(now, time.Millisecond) }); n > 0 {
		t.Errorf("%.0f allocations in a choice among %d waiters, want 0", n, q.waiting)
	}
}

// TestStrictPriorityStarvesNoAccount plays a service under overload with accounts of drawn
// rates and priorities and with shares like their rates. Requests have no objective, so that
// nothing but the order by priority decides. They leave at their deadline.
func TestStrictPriorityStarvesNoAccount(t *testing.T) {
	const ticks, patience = 2000, 60
	rapid.Check(t, func(r *rapid.T) {
		p := &pool{poolState: newPoolState(0)}
		q, n := &p.shortQueue, rapid.IntRange(2, 12).Draw(r, "accounts")
		requests, sent, done, due := make([]request, n), make([]int, n), make([]int, n), make([]float64, n)
		total, allSent, allDone := 0, 0, 0
		for i := range n {
			weight := rapid.IntRange(1, 20).Draw(r, "weight")
			requests[i] = request{pool: p, account: fmt.Sprint(i), weight: weight, share: 1, priority: rapid.IntRange(0, 3).Draw(r, "priority")}
			total += weight
		}
		load := rapid.Float64Range(1.05, 4).Draw(r, "load") // one request is served in a tick
		var waiting []*waiter
		arrived := map[*waiter]int{}
		for now := range ticks {
			for i := range n {
				for due[i] += load * float64(requests[i].weight) / float64(total); due[i] >= 1; due[i]-- {
					w := &waiter{request: requests[i]}
					q.push(w)
					waiting, arrived[w], sent[i], allSent = append(waiting, w), now, sent[i]+1, allSent+1
				}
			}
			for len(waiting) > 0 && now-arrived[waiting[0]] > patience {
				q.remove(waiting[0])
				waiting = waiting[1:]
			}
			if w := q.next(time.Time{}, 0); w != nil {
				q.pop(w)
				i := slices.IndexFunc(requests, func(o request) bool { return o.account == w.account })
				done[i], allDone = done[i]+1, allDone+1
			}
		}
		for i := range n {
			// One request more or less does not count: some accounts send few.
			if part, all := float64(done[i]+1)/float64(sent[i]), float64(allDone)/float64(allSent); sent[i] > 0 && part < all/4 {
				r.Fatalf("account %d of priority %d: %d of %d served, a part of %.3f, want at least a quarter of %.3f", i, requests[i].priority, done[i], sent[i], part, all)
			}
		}
	})
}
