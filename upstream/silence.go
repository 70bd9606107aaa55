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
	// standbys are the attempts beside this one while it has made no progress; nil if there are none.
	standbys *standbys
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
	if s.standbys != nil && s.progressNanos.Load() == 0 {
		s.standbys.stop()
	}
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
	if s.standbys != nil {
		s.standbys.stop()
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
		d.watchBatch(ctx, s, granted, f)
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

// watchBatch sets the limits of a batch attempt. A batch request can go on at the same
// upstream: its connection may be dead although the upstream is not. An attempt that would be
// repeated from the beginning gets a second one beside it. One behind the first event is ended,
// since the next one goes on behind the last event.
func (d *Dispatcher) watchBatch(ctx context.Context, s *silenceTimer, granted *slot, f *forwarding) {
	call, silences := f.call, min(f.silences, maxSilenceDoublings)
	s.limit = func(last time.Time, begun bool) time.Duration {
		limit, observed := d.sched.batchSilence(granted, begun)
		if !observed {
			limit <<= silences
		}
		return min(limit, batchSilenceLimit(call, last))
	}
	if f.lastEventID != "" || f.hasData || f.isTrial {
		return
	}
	s.standbys = d.newStandbys(ctx, granted, f)
	s.keep = func(begun bool) bool {
		if begun || time.Since(s.startedAt) > batchSilenceLimit(call, s.startedAt) {
			return false
		}
		next := s.standbys.take(s.limit(time.Now(), false))
		return next == nil || !d.setNext(f, s, next)
	}
}

const (
	// minBatchSilenceLimit is longer than a sound upstream pauses within an answer.
	minBatchSilenceLimit = 2 * time.Second
	// defaultBatchSilenceLimit applies while no latency has been observed, and to the time
	// before the first event at least, which may include a wait in the upstream's own queue. It
	// doubles with every silent attempt in a row, maxSilenceDoublings times at most.
	defaultBatchSilenceLimit = 4 * time.Second
	maxSilenceDoublings      = 2
	// batchFirstTokenFactor is the limit in times to the first token.
	batchFirstTokenFactor = 2
)

// batchSilence returns how long a batch attempt may wait for its first token, or for a further
// one when it has begun, and whether that was observed rather than assumed.
func (s *scheduler) batchSilence(g *slot, begun bool) (limit time.Duration, observed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := g.pool
	if begun {
		if p.medianSpacing == 0 {
			return defaultBatchSilenceLimit, false
		}
		return max(tokenTimeoutSpacings*p.medianSpacing, minBatchSilenceLimit), true
	}
	first := max(p.medianFirstToken, p.batchFirstToken.Value)
	return max(batchFirstTokenFactor*first, defaultBatchSilenceLimit), batchFirstTokenFactor*first > defaultBatchSilenceLimit
}

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
