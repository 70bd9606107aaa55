package upstream

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// hedgeDelay returns the time after which a second attempt may start, and false if the
// call is not hedged. Only online calls of idempotent services that have no token yet are
// hedged.
func (d *Dispatcher) hedgeDelay(c *completion) (time.Duration, bool) {
	if c.call.Class != contract.Online || c.partial.tokens > 0 || !c.pool.service.Idempotent {
		return 0, false
	}
	return d.sched.hedgeDelay(c.pool)
}

// runHedged runs the first attempt and, after delay, a second one on another upstream
// if the budget allows it. It returns the one that first has a token; the other one is
// cancelled and its slot released.
func (d *Dispatcher) runHedged(ctx context.Context, primary *slot, c *completion, delay time.Duration) startedAttempt {
	results := make(chan startedAttempt, 2)
	start := func(granted *slot) { results <- d.startAttempt(granted, c) }
	go start(primary)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := []*slot{primary}
	for {
		select {
		case o := <-results:
			if o.failure != nil && len(running) > 1 {
				d.finishAttempt(o.slot, o.failure)
				running = without(running, o.slot)
				continue
			}
			d.cancelLosers(without(running, o.slot), results)
			return o
		case <-timer.C:
			if hedge := d.startHedge(ctx, primary, c); hedge != nil {
				running = append(running, hedge)
				go start(hedge)
			}
		}
	}
}

// without returns a copy of slots that lacks excluded.
func without(slots []*slot, excluded *slot) []*slot {
	var kept []*slot
	for _, g := range slots {
		if g != excluded {
			kept = append(kept, g)
		}
	}
	return kept
}

// startHedge returns a slot for a second attempt, or nil if the budget is used up or no
// slot is free.
func (d *Dispatcher) startHedge(ctx context.Context, primary *slot, c *completion) *slot {
	d.sched.observeLate(primary, time.Now())
	if !d.sched.spendHedge(c.pool) {
		return nil
	}
	r := c.request
	r.avoid = primary.target.key
	granted := d.sched.tryAcquire(ctx, r)
	if granted != nil {
		d.metrics.hedges.Inc()
	}
	return granted
}

// cancelLosers cancels the attempts that were slower and waits for their goroutines,
// whose requests end with their contexts.
func (d *Dispatcher) cancelLosers(losers []*slot, results <-chan startedAttempt) {
	for _, g := range losers {
		d.sched.observeLate(g, time.Now())
		d.sched.discard(g)
		d.metrics.attempts.WithLabelValues(g.class.String(), "cancelled").Inc()
	}
	for range losers {
		if o := <-results; o.failure == nil {
			o.stream.close()
		}
	}
}
