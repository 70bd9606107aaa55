package upstream

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

const (
	// maxGapSpacings bounds a gap between two events, in median gaps of the service, so
	// that a short silence is not taken for slowness.
	maxGapSpacings = 3
	// minLearnGaps is the number of gaps from which an answer shows its upstream's speed.
	minLearnGaps = 3
	// slowSpeed is the speed below which an upstream is logged and counted as slow,
	// usualSpeed that from which it no longer is.
	slowSpeed, usualSpeed = 0.75, 0.85
	// maxPeerSpacing is the longest time between events that is learned from a peer.
	maxPeerSpacing = time.Minute
	// tellInterval is the shortest time between two times between events of an upstream
	// in digests. They take 4 bytes each, and digests are sent several times as often.
	tellInterval = 300 * time.Millisecond
)

// learned is what is learned of a target. curve is nil unless Options.LearnCapacity is
// set.
type learned struct {
	curve    *route.LoadCurve
	capacity route.Capacity
	// speed, placementSpeed and knee are those of capacity at the last check.
	speed          float64
	placementSpeed float64
	knee           int
	isSlow         bool
	// toldAt is when peers were last told a time between events.
	toldAt time.Time
}

// steadyGap is a moving average of the gaps between an attempt's events in which no gap
// counts as more than limit. It is written by one goroutine.
type steadyGap struct {
	// limit is 0 if the gaps are not recorded.
	limit time.Duration
	nanos atomic.Int64
	gaps  atomic.Int64
	// learnedGaps is the number of gaps at the last check; guarded by the scheduler's
	// lock.
	learnedGaps int64
}

// record adds a gap.
func (s *steadyGap) record(gap time.Duration) {
	if s.limit == 0 {
		return
	}
	n, average, sample := s.gaps.Load()+1, s.nanos.Load(), int64(min(gap, s.limit))
	s.nanos.Store(average + (sample-average)/min(n, 1<<gapShift))
	s.gaps.Store(n)
}

// value returns the average, or 0 if it shows too little.
func (s *steadyGap) value() time.Duration {
	if s.gaps.Load() < minLearnGaps {
		return 0
	}
	return time.Duration(s.nanos.Load())
}

// setCurves lets each target of the fleet learn with the curve of its service, the first
// one by name if it has several. The caller holds the lock.
func (s *scheduler) setCurves(f *fleet) {
	names := make([]string, 0, len(f.pools))
	for name := range f.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, t := range f.targets {
		t.learned.curve = nil
	}
	for _, name := range names {
		for _, t := range f.pools[name].targets {
			if t.learned.curve == nil {
				t.learned.curve = &f.pools[name].curve
			}
		}
	}
}

// learnLimit returns the limit of the gaps of an attempt for a service, 0 unless gaps are
// recorded.
func (s *scheduler) learnLimit(p *pool) time.Duration {
	switch {
	case s.watch == nil:
		return 0
	case p.medianSpacing == 0:
		return defaultTokenTimeout
	}
	return maxGapSpacings * p.medianSpacing
}

// learn updates what is known of the capacity of all targets from the answers that run at
// this instance. It is called at watchInterval. The caller holds the lock.
func (s *scheduler) learn(now time.Time) {
	slow := 0
	for _, t := range s.fleet.targets {
		if spacing := t.newSpacing(); spacing > 0 {
			t.learnSpacing(now, spacing)
		}
	}
	for _, p := range s.fleet.pools {
		p.capacities = p.capacities[:0]
		for _, t := range p.targets {
			if t.learned.curve == &p.curve {
				p.capacities = append(p.capacities, &t.learned.capacity)
			}
		}
		p.curve.Normalize(now, p.capacities)
	}
	for _, t := range s.fleet.targets {
		if t.learned.curve != nil {
			s.updateLearned(t, now)
		}
		if t.learned.isSlow {
			slow++
		}
	}
	s.metrics.slowUpstreams.Set(float64(slow))
}

// updateLearned updates the speed and the knee of a target and logs changes.
func (s *scheduler) updateLearned(t *target, now time.Time) {
	l, slots := &t.learned, t.config.Load().Slots
	l.speed, l.placementSpeed = l.capacity.Speed(now), l.capacity.PlacementSpeed(now)
	knee := l.capacity.Knee(now, slots)
	fields := []zap.Field{zap.String("upstream", t.id), zap.Float64("speed", l.speed), zap.Int("knee", knee),
		zap.Int("running", t.running()), zap.Duration("usual_spacing", l.curve.Expected(t.running()))}
	switch {
	case !l.isSlow && l.speed < slowSpeed:
		l.isSlow = true
		s.log.Info("upstream slow", fields...)
	case l.isSlow && l.speed >= usualSpeed:
		l.isSlow = false
		s.log.Info("upstream at usual speed", fields...)
	}
	if l.knee == 0 {
		l.knee = slots
	}
	if knee < l.knee {
		s.log.Info("upstream gains nothing from more requests", fields...)
	}
	l.knee = knee
}

// newSpacing returns the mean time between events of the answers at this instance that
// have got events since the last call, or 0 if there are none.
func (t *target) newSpacing() time.Duration {
	var sum time.Duration
	n := 0
	for _, g := range t.slots {
		gaps, value := g.steady.gaps.Load(), g.steady.value()
		if value > 0 && gaps != g.steady.learnedGaps {
			g.steady.learnedGaps = gaps
			sum += value
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// steadySpacing returns the mean time between events of this instance's running answers,
// or 0 if there are none.
func (t *target) steadySpacing() time.Duration {
	var sum time.Duration
	n := 0
	for _, g := range t.slots {
		if value := g.steady.value(); value > 0 {
			sum += value
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// spacingForPeers returns the time between events for a digest, or 0 if peers were told
// one a short time ago.
func (t *target) spacingForPeers(now time.Time) time.Duration {
	spacing := t.steadySpacing()
	if spacing == 0 || now.Sub(t.learned.toldAt) < tellInterval {
		return 0
	}
	t.learned.toldAt = now
	return spacing
}

// running returns the number of requests of all instances at the target.
func (t *target) running() int { return t.online + t.batch + t.peers.online + t.peers.batch }

// learnSpacing records a time between events that this instance or a peer has observed.
func (t *target) learnSpacing(now time.Time, spacing time.Duration) {
	if t.learned.curve != nil {
		t.learned.curve.Learn(now, &t.learned.capacity, t.running(), spacing)
	}
}

// learnFrom records the times between events in a peer's digest. The caller holds the
// lock.
func (s *scheduler) learnFrom(digest Digest, now time.Time) {
	for _, load := range digest.Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok && load.Spacing > 0 {
			t.learnSpacing(now, load.Spacing)
		}
	}
}

// addTo sets what is learned in a candidate for one more request.
func (l *learned) addTo(c *route.Candidate, t *target) {
	if l.curve == nil || l.speed == 0 {
		return
	}
	c.Knee, c.Slowdown, c.ErrorRate = l.knee, 1/l.placementSpeed, t.errorRate
	if alone := l.curve.Expected(1); alone > 0 {
		c.Slowdown *= float64(l.curve.Expected(t.running()+1)) / float64(alone)
	}
}

// chooseWithinKnee is route.Choose that gives an upstream online work above its knee only
// if no other one has room below its own.
func (s *scheduler) chooseWithinKnee(v *targetView, q *route.Query) int {
	if s.watch == nil || q.Class == contract.Batch {
		return route.Choose(v, q, s.random)
	}
	q.WithinKnee = true
	if i := route.Choose(v, q, s.random); i >= 0 {
		return i
	}
	q.WithinKnee = false
	return route.Choose(v, q, s.random)
}
