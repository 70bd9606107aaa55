package upstream

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// hedgeable returns when a second attempt may start beside the first. Only
// online calls that have no token yet are hedged.
func (d *Dispatcher) hedgeable(c *completion) (time.Duration, bool) {
	if c.call.Class != contract.Online || c.have.tokens > 0 || !c.pool.service.Idempotent {
		return 0, false
	}
	return d.sched.hedgeDelay(c.pool)
}

// race runs the first attempt, and after delay a second one on another
// upstream when the budget allows it. It returns the one that has a token
// first; the other is cancelled and has returned its slot.
func (d *Dispatcher) race(ctx context.Context, primary *slot, c *completion, delay time.Duration) opened {
	results := make(chan opened, 2)
	start := func(given *slot) { results <- d.begin(given, c) }
	go start(primary)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := []*slot{primary}
	for {
		select {
		case o := <-results:
			if o.failure != nil && len(running) > 1 {
				d.conclude(o.slot, o.failure)
				running = without(running, o.slot)
				continue
			}
			d.dismiss(without(running, o.slot), results)
			return o
		case <-timer.C:
			if hedge := d.hedge(ctx, primary, c); hedge != nil {
				running = append(running, hedge)
				go start(hedge)
			}
		}
	}
}

func without(list []*slot, gone *slot) []*slot {
	var kept []*slot
	for _, g := range list {
		if g != gone {
			kept = append(kept, g)
		}
	}
	return kept
}

// hedge returns a slot for a second attempt, or nil.
func (d *Dispatcher) hedge(ctx context.Context, primary *slot, c *completion) *slot {
	d.sched.observeLate(primary, time.Now())
	if !d.sched.spendHedge(c.pool) {
		return nil
	}
	r := c.request
	r.avoid = primary.target.key
	given := d.sched.tryAcquire(ctx, r)
	if given != nil {
		d.metrics.hedges.Inc()
	}
	return given
}

// dismiss ends the attempts that lost and waits for their goroutines, whose
// requests end with their contexts.
func (d *Dispatcher) dismiss(losers []*slot, results <-chan opened) {
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
