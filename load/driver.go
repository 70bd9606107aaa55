package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// asker sends one request and waits for its end.
type asker interface {
	ask(ctx context.Context, a *arrival, due time.Time) outcome
}

// driver sends requests when they are due, whatever becomes of earlier ones.
type driver struct {
	asker   asker
	maxOpen int64
	drain   time.Duration
	// record is called for every arrival, by several goroutines at once.
	record func(a *arrival, o outcome)

	open  atomic.Int64
	calls sync.WaitGroup
}

// run sends all arrivals; start is the start of the measured window. It returns
// when every request has ended, at the latest drain after the end of the
// window, when it gives up what is open.
func (d *driver) run(ctx context.Context, start time.Time, window time.Duration, arrivals []arrival) {
	calls, giveUp := context.WithCancel(ctx)
	defer giveUp()
	for i := range arrivals {
		a := &arrivals[i]
		if !sleepUntil(ctx, start.Add(a.due)) {
			break
		}
		d.send(calls, a, start.Add(a.due))
	}
	sleepUntil(ctx, start.Add(window))
	deadline := time.AfterFunc(d.drain, giveUp)
	defer deadline.Stop()
	d.calls.Wait()
}

func (d *driver) send(ctx context.Context, a *arrival, due time.Time) {
	if d.open.Add(1) > d.maxOpen {
		d.open.Add(-1)
		d.record(a, outcome{ending: Ending{Kind: NotSent}})
		return
	}
	d.calls.Go(func() {
		defer d.open.Add(-1)
		lag := time.Since(due)
		o := d.asker.ask(ctx, a, due)
		o.lag = lag
		if ctx.Err() != nil && o.ending.Kind != Right {
			o.ending = Ending{Kind: Unanswered}
		}
		d.record(a, o)
	})
}

// sleepUntil reports false when ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
