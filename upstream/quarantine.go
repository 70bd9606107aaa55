package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// Quarantine keeps requests from upstreams that a part of their prompt would crash.
// Package quarantine implements it. Its methods are called concurrently; only Admit may
// block, while a trial is due.
type Quarantine interface {
	// Admit reports whether a request with these parts may be sent. If not, retryAfter
	// is the time until one may be. If isTrial is set, it may be sent to one upstream. It
	// is a trial only if place finds it one.
	Admit(ctx context.Context, parts []uint64, place func(since time.Time, overdue time.Duration) bool) (admitted, isTrial bool, retryAfter time.Duration)
	// Watch calls notify when one of the parts is quarantined, until stop is called.
	Watch(parts []uint64, notify func()) (stop func())
	// RecordCrash is called when an upstream has closed the connection of a request that
	// none had begun to answer.
	RecordCrash(parts []uint64, upstream string, startedMillis int64, request string)
	// RecordAnswer is called when an upstream has begun to answer and went on.
	RecordAnswer(parts []uint64)
	// ReturnTrial is called when a trial was run by no upstream.
	ReturnTrial(parts []uint64)
}

// errQuarantined ends the wait of a request whose prompt is quarantined meanwhile.
var errQuarantined = errors.New("a part of the prompt is quarantined")

// answeredEvents is the number of events after which an upstream has survived the
// beginning of an answer.
const answeredEvents = 3

// partKeys returns the keys by which the quarantine knows the parts of a prompt: what
// crashes the upstreams of one service need not crash those of another.
func partKeys(service string, parts []uint64) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	serviceHash := xxhash.Sum64String(service)
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		keys[i] = p ^ serviceHash
	}
	return keys
}

// admit returns an error if the prompt of a request is quarantined. A trial stays
// admitted until an upstream has run it, and a request that has been answered for good.
func (d *Dispatcher) admit(ctx context.Context, f *forwarding) error {
	if d.options.Quarantine == nil || f.isTrial || f.answered {
		return nil
	}
	admitted, isTrial, retryAfter := d.options.Quarantine.Admit(ctx, f.promptParts, func(since time.Time, overdue time.Duration) bool {
		return d.placeTrial(ctx, f, since, overdue)
	})
	f.isTrial = isTrial
	if admitted {
		return nil
	}
	d.discardNext(f)
	f.cause = causeQuarantined
	return f.quarantineError(retryAfter)
}

// maxTrialWait is how long a trial that is due may wait for an upstream that did not fail
// lately, while these are full.
const maxTrialWait = 12 * time.Second

// placeTrial takes a slot for a trial at an upstream that has been up, without a failure, since
// a time at which others crashed: whether it crashes, too, tells the prompt from upstreams that
// crash by themselves. It reports false if these have no free slot. If there is no such upstream,
// or the trial has waited for too long, any one will do.
func (d *Dispatcher) placeTrial(ctx context.Context, f *forwarding, since time.Time, overdue time.Duration) bool {
	next, steady := d.sched.placeSteady(ctx, f.request, since)
	d.log.Info("place of a trial", zap.String("request", f.call.RequestID), zap.Duration("first_crash_ago", time.Since(since)),
		zap.Duration("overdue", overdue), zap.Int("steady_upstreams", steady), zap.Bool("placed", next != nil))
	if next != nil {
		if old := f.next.Swap(next); old != nil {
			d.sched.discard(old)
		}
		return true
	}
	return steady == 0 || overdue > maxTrialWait
}

// placeSteady grants a request a free slot of a target that has not failed since a time. It
// returns nil if there is none, and the number of such targets.
func (s *scheduler) placeSteady(ctx context.Context, r request, since time.Time) (granted *slot, steady int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent(r.pool) {
		return nil, 0
	}
	for _, t := range r.pool.open {
		if t.isSteady(since) {
			steady++
		}
	}
	if steady == 0 {
		return nil, 0
	}
	r.steadySince = since
	return s.place(ctx, &r), steady
}

// isSteady reports whether this instance has known the target since a time, and has not seen
// it fail.
func (t *target) isSteady(since time.Time) bool {
	return !t.createdAt.After(since) && !t.failedAt.After(since)
}

// quarantineError returns the error of a call whose prompt is quarantined.
func (f *forwarding) quarantineError(retryAfter time.Duration) error {
	const message = "a part of the prompt has crashed upstreams and is kept from them"
	switch {
	case f.begun:
		return code.Wrap(code.StreamBroken, errQuarantined, "the stream broke after event %q and is not resumed: %s", f.lastEventID, message)
	case f.dispatched:
		return code.Wrap(code.PromptQuarantined, errQuarantined, message).WithOutcome(code.Unknown)
	}
	return code.Wrap(code.PromptQuarantined, errQuarantined, message).WithRetryAfter(retryAfter)
}

// watchQuarantine calls cancel when the prompt of a request is quarantined, until stop is
// called.
func (d *Dispatcher) watchQuarantine(f *forwarding, cancel context.CancelCauseFunc) (stop func()) {
	if d.options.Quarantine == nil || f.isTrial || f.answered || len(f.promptParts) == 0 {
		return func() {}
	}
	return d.options.Quarantine.Watch(f.promptParts, func() { cancel(errQuarantined) })
}

// recordAnswer reports, once for each attempt, that its upstream has answered.
func (d *Dispatcher) recordAnswer(f *forwarding) {
	if d.options.Quarantine == nil || f.answerRecorded {
		return
	}
	f.answerRecorded, f.answered = true, true
	d.options.Quarantine.RecordAnswer(f.promptParts)
}

// recordAttempt reports what a failed attempt says about the prompt of its request. The
// prompt of a request that has been answered before did not cause the failure.
func (d *Dispatcher) recordAttempt(granted *slot, f *forwarding, fail *failure) {
	q := d.options.Quarantine
	if q == nil || len(f.promptParts) == 0 {
		return
	}
	ran := fail == nil || !fail.unreachable && !fail.refused && !fail.withheld
	if !ran {
		d.returnTrial(f)
	}
	f.isTrial = false
	if fail != nil && !f.answered {
		d.recordCrash(granted, f.call, f.promptParts, fail)
	}
}

// recordCrash reports a failed attempt whose upstream closed the connection, of a request
// that no upstream has begun to answer.
func (d *Dispatcher) recordCrash(granted *slot, call *contract.ForwardRequest, parts []uint64, fail *failure) {
	if d.options.Quarantine == nil || len(parts) == 0 || context.Cause(granted.ctx) != nil {
		return
	}
	if cause := causeOf(fail); cause == causeClosed || cause == causeReset {
		d.options.Quarantine.RecordCrash(parts, granted.target.id, granted.target.incarnation, call.RequestID)
	}
}

// returnTrial gives up the trial of a call, if it is one, before an upstream has run it.
func (d *Dispatcher) returnTrial(f *forwarding) {
	if f.isTrial {
		f.isTrial = false
		d.options.Quarantine.ReturnTrial(f.promptParts)
	}
}
