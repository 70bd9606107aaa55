package upstream

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// silenceTimer ends an attempt whose upstream has made no progress for too long. How
// long that is may change while the attempt runs, because latencies are observed and
// upstreams come and go. It is therefore determined again at each check.
type silenceTimer struct {
	startedAt time.Time
	// limit returns how long an upstream that made progress last at a time may be silent
	// from then on. begun is set after the first progress. nil means without limit.
	limit func(last time.Time, begun bool) time.Duration
	// keep reports whether the attempt goes on for now although its upstream is silent;
	// nil means that it never does.
	keep func(begun bool) bool
	// backlog is what the reader of the attempt may not have read; nil if not known.
	backlog *backlog
	// end ends the attempt.
	end func()
	// report is called before the attempt is ended for a silence, with its length and the
	// limit that it has reached; nil if nothing is to be reported.
	report func(silent, limit time.Duration, begun bool)

	timer *time.Timer
	// interval is the time from a progress to the next check.
	interval time.Duration
	// progressNanos is the time of the last progress after startedAt, 0 before the first.
	progressNanos atomic.Int64
	// heardNanos is the time of the last data that is no progress but shows that the
	// upstream is not silent.
	heardNanos atomic.Int64
	stopped    atomic.Bool
}

const (
	// silenceCheckInterval is the longest time between two checks of a silent attempt.
	silenceCheckInterval = time.Second
	// roomCheckInterval is the time between two checks of an attempt that goes on although
	// its upstream seems silent.
	roomCheckInterval = 100 * time.Millisecond
)

// start begins to watch the attempt.
func (s *silenceTimer) start() {
	s.startedAt = time.Now()
	if s.limit == nil {
		s.stopped.Store(true)
		return
	}
	s.interval = min(s.limit(s.startedAt, true), silenceCheckInterval)
	// check uses the timer, which must be set before it can expire.
	s.timer = time.AfterFunc(math.MaxInt64, s.check)
	s.timer.Reset(min(s.limit(s.startedAt, false), silenceCheckInterval))
}

// progress records that the upstream has made progress.
func (s *silenceTimer) progress(now time.Time) {
	s.progressNanos.Store(int64(max(now.Sub(s.startedAt), 1)))
	if s.backlog != nil {
		s.backlog.reset()
	}
	if !s.stopped.Load() {
		s.timer.Reset(s.interval)
	}
}

// heard records that the upstream has sent a part of a body that is not passed on yet.
func (s *silenceTimer) heard(now time.Time) {
	s.heardNanos.Store(int64(now.Sub(s.startedAt)))
}

// stop lets the attempt go on without a limit of its silence.
func (s *silenceTimer) stop() {
	if !s.stopped.Swap(true) {
		s.timer.Stop()
	}
}

// check ends the attempt, or sets the timer to the next check.
func (s *silenceTimer) check() {
	if s.stopped.Load() {
		return
	}
	progress := time.Duration(s.progressNanos.Load())
	last, begun := s.startedAt.Add(max(progress, time.Duration(s.heardNanos.Load()))), progress > 0
	silent, limit := time.Since(last), s.limit(last, begun)
	remaining := limit - silent
	switch {
	case remaining > 0:
		if s.backlog != nil {
			s.backlog.reset()
		}
		s.timer.Reset(min(remaining, silenceCheckInterval))
	case s.backlog != nil && s.backlog.isUnread():
		s.timer.Reset(roomCheckInterval)
	case s.keep != nil && s.keep(begun):
		s.timer.Reset(roomCheckInterval)
	default:
		if s.report != nil {
			s.report(silent, limit, begun)
		}
		s.end()
	}
}

// newSilenceTimer returns the timer of an attempt of a model service.
func (d *Dispatcher) newSilenceTimer(granted *slot) *silenceTimer {
	return &silenceTimer{
		limit: func(_ time.Time, begun bool) time.Duration { return d.sched.tokenTimeout(granted, begun) },
		end:   func() { granted.cancel(errStalled) },
	}
}

// newForwardSilenceTimer returns the timer of an attempt of an opaque request on c. ctx is
// the context of the call.
func (d *Dispatcher) newForwardSilenceTimer(ctx context.Context, granted *slot, f *forwarding, c *connection) *silenceTimer {
	s := d.newSilenceTimer(granted)
	s.backlog = &backlog{conn: c.countingConn}
	call := f.call
	s.report = func(silent, limit time.Duration, begun bool) { d.logSilent(granted, call, silent, limit, begun) }
	if call.Class == contract.Batch {
		// A batch request can go on at the same upstream: its connection may be dead
		// although the upstream is not.
		s.limit = func(last time.Time, begun bool) time.Duration {
			limit := max(d.sched.tokenTimeout(granted, begun), minBatchSilenceLimit)
			return min(limit, batchSilenceLimit(call, last))
		}
		return s
	}
	if !call.Repeatable || f.isLastAttempt() {
		// The context of the call ends the attempt at the deadline.
		s.limit = nil
		return s
	}
	s.limit = func(_ time.Time, begun bool) time.Duration {
		limit := d.sched.tokenTimeout(granted, begun)
		if call.MaxGap > 0 {
			limit = min(limit, call.MaxGap/2)
		}
		return limit
	}
	begunBefore, r := f.begun, f.request
	s.keep = func(begun bool) bool {
		// The service may have been gone since the attempt began: its pool is another one
		// then.
		p, err := d.current().pool(call.Service, contract.KindRouted)
		if err != nil || len(p.targets) < 2 {
			return true
		}
		next := r
		next.pool, next.begun = p, begunBefore || begun
		// A stream that has begun might not go on before its caller leaves, while its
		// upstream does.
		return (begunBefore || begun) && !d.takeNext(ctx, f, s, granted.target, next)
	}
	return s
}

// minBatchSilenceLimit is longer than a sound upstream pauses within an answer.
const minBatchSilenceLimit = 2 * time.Second

// batchSilenceLimit returns how long an upstream that has been silent since a time may
// stay so: half of what is left until the result is due, or until the deadline when it
// is overdue. Another attempt then has as much time as the silent one.
func batchSilenceLimit(call *contract.ForwardRequest, since time.Time) time.Duration {
	end := call.Due
	if !since.Before(end) {
		end = call.Deadline
	}
	return max(end.Sub(since)/2, minBatchSilenceLimit)
}
