package upstream

import (
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// maxQueued bounds the online calls of a service that wait for a slot.
const maxQueued = 4096

// Bounds of the retry hint of a refusal.
const (
	minRetryHint = 100 * time.Millisecond
	maxRetryHint = 10 * time.Second
)

// refusal returns why a request should not wait for a slot, or nil. Batch work
// always waits.
func (s *scheduler) refusal(r *request, now time.Time) error {
	if r.pool.allLeaving() {
		return code.New(code.NoUpstream, "service %q has no upstream that takes work", r.pool.name).WithRetryAfter(time.Second)
	}
	if r.class == contract.Batch {
		return nil
	}
	if wait, lost := r.pool.suspension(now); lost || !r.deadline.IsZero() && now.Add(wait).After(r.deadline) {
		hint := min(max(wait, minRetryHint), maxRetryHint)
		return code.New(code.NoUpstream, "no upstream of service %q can be reached", r.pool.name).WithRetryAfter(hint)
	}
	h := r.pool.history
	q := r.queue()
	_, slots := h.slots()
	ahead := q.ahead(r.account, r.weight)
	wait := route.ExpectedWait(ahead+s.peersWaiting(now), slots, h.occupied.Value)
	hint := min(max(wait, minRetryHint), maxRetryHint)
	greedy := ahead > q.waiting/2 && len(q.accounts) > 1
	late := !r.deadline.IsZero() && now.Add(wait+h.prior).After(r.deadline)
	switch {
	case !late && q.waiting < maxQueued:
		return nil
	case late && q.waiting == 0:
		return code.New(code.DeadlineTooShort, "the answer would begin after the deadline").WithRetryAfter(hint)
	case greedy:
		return code.New(code.AccountLimit, "the account waits with more requests than its share").WithRetryAfter(hint)
	}
	return code.New(code.Overloaded, "no upstream has room within the deadline").WithRetryAfter(hint)
}

// lostFailures is the number of failures in a row from which an upstream
// counts as lost rather than as restarting.
const lostFailures = 3

// suspension returns how long no upstream of the service takes work, and
// whether all of them have been lost for some time.
func (p *pool) suspension(now time.Time) (wait time.Duration, lost bool) {
	if len(p.open) > 0 {
		return 0, false
	}
	wait, lost = maxSuspension, true
	for _, t := range p.targets {
		if !t.leaving() {
			wait = min(wait, max(t.suspended.Sub(now), 0))
			lost = lost && t.failures >= lostFailures
		}
	}
	return wait, lost
}

func (p *pool) allLeaving() bool {
	for _, t := range p.targets {
		if !t.leaving() {
			return false
		}
	}
	return true
}
