package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// sender sends one request and waits until it has ended.
type sender interface {
	send(ctx context.Context, a *arrival, due time.Time) outcome
}

// driver sends requests when they are due, whether or not earlier ones have
// ended.
type driver struct {
	sender  sender
	maxOpen int64
	drain   time.Duration
	// record is called once for every arrival that was due before ctx ended.
	// Calls may be concurrent.
	record func(a *arrival, o outcome)

	open     atomic.Int64
	requests sync.WaitGroup
}

// run sends all arrivals; start is the start of the measured window. It returns
// when every request has ended. Requests that are open for longer than drain
// after the end of the window are cancelled.
func (d *driver) run(ctx context.Context, start time.Time, window time.Duration, arrivals []arrival) {
	requestCtx, cancelRequests := context.WithCancel(ctx)
	defer cancelRequests()
	for i := range arrivals {
		a := &arrivals[i]
		if !sleepUntil(ctx, start.Add(a.due)) {
			break
		}
		d.dispatch(requestCtx, a, start.Add(a.due))
	}
	sleepUntil(ctx, start.Add(window))
	deadline := time.AfterFunc(d.drain, cancelRequests)
	defer deadline.Stop()
	d.requests.Wait()
}

// dispatch sends one request in a goroutine of its own, or records NotSent when
// maxOpen requests are open.
func (d *driver) dispatch(ctx context.Context, a *arrival, due time.Time) {
	if d.open.Add(1) > d.maxOpen {
		d.open.Add(-1)
		d.record(a, outcome{ending: Ending{Kind: NotSent}})
		return
	}
	d.requests.Go(func() {
		defer d.open.Add(-1)
		lag := time.Since(due)
		o := d.sender.send(ctx, a, due)
		o.sendLag = lag
		if ctx.Err() != nil && o.ending.Kind != Right {
			o.ending = Ending{Kind: Unanswered}
		}
		d.record(a, o)
	})
}

// sleepUntil waits until t. It reports false when ctx ended first.
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
