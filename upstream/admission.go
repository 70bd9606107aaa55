package upstream

import (
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// maxQueued limits the online calls of a service that wait for a slot in one queue.
const maxQueued = 4096

// Limits of the retry hint of a rejected request.
const (
	minRetryHint = 100 * time.Millisecond
	maxRetryHint = 10 * time.Second
)

// admissionError returns why a request is rejected instead of queued, or nil. Batch
// requests, and those whose answer has begun, are rejected only if every upstream of the
// service is leaving.
func (s *scheduler) admissionError(r *request, now time.Time) error {
	if r.pool.allLeaving() {
		return code.New(code.NoUpstream, "service %q has no upstream that takes work", r.pool.name).WithRetryAfter(time.Second)
	}
	if r.class == contract.Batch || r.begun {
		return nil
	}
	if wait, down := r.pool.suspension(now); down || !r.deadline.IsZero() && now.Add(wait).After(r.deadline) {
		hint := min(max(wait, minRetryHint), maxRetryHint)
		return code.New(code.NoUpstream, "no upstream of service %q can be reached", r.pool.name).WithRetryAfter(hint)
	}
	ps := r.pool.poolState
	q := r.queue()
	_, slots := ps.slots()
	ahead := q.ahead(r.account, r.weight)
	wait := route.ExpectedWait(ahead+s.peersAhead(r, now), slots, ps.slotTime.Value)
	hint := min(max(wait, minRetryHint), maxRetryHint)
	overShare := ahead > q.waiting/2 && len(q.accounts) > 1
	late := !r.deadline.IsZero() && now.Add(wait+ps.medianFirstToken).After(r.deadline)
	switch {
	case !late && q.waiting < maxQueued:
		return nil
	case late && q.waiting == 0:
		return code.New(code.DeadlineTooShort, "the answer would begin after the deadline").WithRetryAfter(hint)
	case overShare:
		return code.New(code.AccountLimit, "the account waits with more requests than its share").WithRetryAfter(hint)
	}
	return code.New(code.Overloaded, "no upstream has room within the deadline").WithRetryAfter(hint)
}

// downFailures is the number of consecutive failures from which an upstream counts as
// down rather than as restarting.
const downFailures = 3

// suspension returns how long no upstream of the service takes work, and whether all of
// them count as down.
func (p *pool) suspension(now time.Time) (wait time.Duration, down bool) {
	if len(p.open) > 0 {
		return 0, false
	}
	wait, down = maxSuspension, true
	for _, t := range p.targets {
		if !t.leaving() {
			wait = min(wait, max(t.suspendedUntil.Sub(now), 0))
			down = down && t.failures >= downFailures
		}
	}
	return wait, down
}

// allLeaving reports whether no upstream of the service may get new work.
func (p *pool) allLeaving() bool {
	for _, t := range p.targets {
		if !t.leaving() {
			return false
		}
	}
	return true
}
