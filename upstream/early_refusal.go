package upstream

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/route"
)

// refuseHopeless refuses the waiting requests of accounts with a share that can no longer
// begin before their deadline. The caller holds the lock.
func (s *scheduler) refuseHopeless(now time.Time) {
	for _, p := range s.fleet.pools {
		slots := p.allSlots()
		run := p.shortestRun.Least(p.slotTime.Value)
		if run <= 0 {
			continue
		}
		for _, q := range []*queue{&p.shortQueue, &p.poolState.longQueue} {
			for i := len(q.waiters) - 1; i >= 0; i-- { // refusing the last waiter of an account removes it
				s.refuseHopelessOf(q, i, slots, run, now)
			}
		}
	}
}

// refuseHopelessOf refuses the hopeless waiters of account i. They are in the order of their
// arrival, and earlier ones are served before a late one if their deadline is not later and
// their priority not lower.
func (s *scheduler) refuseHopelessOf(q *queue, i, slots int, run time.Duration, now time.Time) {
	waiters := q.waiters[i]
	if waiters[0].accountHash == 0 {
		return
	}
	var hopeless []*waiter
	ahead, latest, lowest := 0, time.Time{}, 0
	for _, w := range waiters {
		ordered := !w.deadline.Before(latest) && w.priority >= lowest
		isLate := s.isLate(&w.request, now) || s.isUrgent(&w.request, now)
		if !w.begun && isLate && ordered && !w.deadline.IsZero() && !route.CanBegin(ahead, slots, run, w.deadline.Sub(now)) {
			hopeless = append(hopeless, w)
			continue
		}
		ahead++
		lowest = max(lowest, w.priority)
		if w.deadline.After(latest) {
			latest = w.deadline
		}
	}
	if len(hopeless) == 0 {
		return
	}
	hint := s.retryHint(&hopeless[0].request, now)
	s.log.Info("waiting requests refused early", zap.String("service", hopeless[0].pool.name), zap.String("account", hopeless[0].account),
		zap.Int("refused", len(hopeless)), zap.Int("ahead", ahead), zap.Int("slots", slots), zap.Duration("run", run), zap.Duration("retry_after", hint))
	s.metrics.refusedEarly.Add(float64(len(hopeless)))
	for _, w := range hopeless {
		q.remove(w)
		w.refusal = code.New(code.Overloaded, "no upstream can have room within the deadline any more").WithRetryAfter(hint)
		close(w.granted)
	}
	s.onLoadChange()
}

// allSlots returns how many slots the upstreams of the service have that may still get
// work, now or later.
func (p *pool) allSlots() (slots int) {
	for _, t := range p.targets {
		if !t.leaving() {
			slots += t.config.Load().Slots
		}
	}
	return slots
}

// retryHint returns the time in which the requests that wait now before a new one are
// expected to be served. The caller holds the lock.
func (s *scheduler) retryHint(r *request, now time.Time) time.Duration {
	_, slots := r.pool.slots()
	wait := route.ExpectedWait(r.queue().ahead(r.account, r.weight)+s.peersAhead(r, now), slots, r.pool.slotTime.Value)
	return min(max(wait, minRetryHint), maxRetryHint)
}

// withRetryHint returns the error of a request that got no slot: if it waited until its
// deadline and was never sent, one with the same hint as that of an early refusal. It leaves
// the errors of requests without an account as they are.
func (s *scheduler) withRetryHint(f *forwarding, err error) error {
	if f.request.accountHash == 0 || f.dispatched || f.begun || !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return code.New(code.Overloaded, "no upstream had room before the deadline").WithRetryAfter(s.retryHint(&f.request, time.Now()))
}
