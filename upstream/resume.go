package upstream

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
)

// resumeBackoff limits the attempts to go on with an answer that has begun. A suspended
// upstream takes work again after minSuspension/2 at the earliest.
var resumeBackoff = retry.Backoff{Min: 20 * time.Millisecond, Max: minSuspension / 2}

// mustGoOn reports whether attempts that ran nothing, or the lack of an upstream, may not
// end the answer: its caller has a part of it and may still get the rest. Runs that failed
// end it, and so do the deadline and the caller.
func (f *forwarding) mustGoOn() bool {
	return f.begun && f.call.Class == contract.Online
}

// isOverLimit reports whether too many attempts ran nothing.
func (f *forwarding) isOverLimit() bool {
	return f.unreachable >= maxUnreachable || f.refusals >= maxRefusals && f.call.Class == contract.Online
}

// outlasts reports whether the call waits although it was rejected with err: upstreams
// of its service may come back.
func (f *forwarding) outlasts(err error) bool {
	return err != nil && f.mustGoOn() && code.Of(err) == code.NoUpstream
}

// backOff pauses after a failed attempt that ran nothing, if too many did.
func (f *forwarding) backOff(ctx context.Context, fail *failure) error {
	if !fail.unreachable && !fail.refused {
		f.pauses = 0
		return nil
	}
	if !f.isOverLimit() {
		return nil
	}
	return f.pause(ctx)
}

// pause waits before the next attempt. It returns the cause of ctx if ctx ends first.
func (f *forwarding) pause(ctx context.Context) error {
	err := resumeBackoff.Sleep(ctx, f.pauses)
	f.pauses++
	if err != nil {
		return context.Cause(ctx)
	}
	return nil
}

// takeNext takes a slot of another upstream for the next attempt, before a silent one is
// left. It reports false if there is none, or if the current attempt has ended.
func (d *Dispatcher) takeNext(ctx context.Context, f *forwarding, silence *silenceTimer, silent *target, r request) bool {
	next := d.sched.placeElsewhere(ctx, silent, r)
	return next != nil && d.setNext(f, silence, next)
}

// setNext makes a slot that of the next attempt. It reports false if the current attempt has
// ended.
func (d *Dispatcher) setNext(f *forwarding, silence *silenceTimer, next *slot) bool {
	if old := f.next.Swap(next); old != nil {
		d.sched.discard(old)
	}
	if silence.stopped.Load() {
		d.discardNext(f)
		return false
	}
	return true
}

// discardNext releases the slot that was taken for a next attempt, if there is one.
func (d *Dispatcher) discardNext(f *forwarding) {
	if next := f.next.Swap(nil); next != nil {
		d.sched.discard(next)
	}
}
