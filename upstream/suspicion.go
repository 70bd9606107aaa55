package upstream

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// Observation is what one instance has observed of an upstream that is reported as not
// responding.
type Observation struct {
	Upstream string
	// At is when the instance found that the upstream does not respond or, if Heard is
	// set, when the upstream sent it an event.
	At    time.Time
	Heard bool
}

const (
	// watchInterval is the time between two checks for silent upstreams. At the usual
	// rate an upstream gets a request each 280 ms, which would be lost.
	watchInterval = 50 * time.Millisecond
	// maxWatchDelay is by how much a check may be late before the instance counts as
	// stalled. Processor quotas stop a process for up to 100 ms.
	maxWatchDelay = 150 * time.Millisecond
	// faultRecovery is how long an instance that was stalled or cut off reports nothing:
	// until then, it has read what the upstreams have sent in the meantime.
	faultRecovery = time.Second
	// evidenceTTL is how long an instance upholds a report after its last request at the
	// upstream has ended or failed.
	evidenceTTL = time.Second
	// heardTTL is how long after a report an instance lists the upstreams from which it
	// has received an event. It exceeds broadcastRefreshInterval.
	heardTTL = 2 * time.Second
	// heardBeforeOnset is how long before a silence is noticed other upstreams must have
	// been heard: half of the shortest silence that is reported.
	heardBeforeOnset = 100 * time.Millisecond
	// maxObservations limits the observations in a peer's digest.
	maxObservations = 64
)

// watch is the scheduler's state of the reports about silent upstreams.
type watch struct {
	checkedAt time.Time
	// faultyAt is when this instance was last stalled, or silent upstreams showed that
	// it may be cut off.
	faultyAt time.Time
	// own has what this instance tells its peers, ordered by upstream.
	own []Observation
}

// evidence is what an instance has seen itself of an upstream that does not respond.
type evidence struct {
	// since is when the upstream was found not to respond, seenAt when it last was.
	since, seenAt time.Time
}

// watchTargets determines which upstreams do not respond to this instance, which it
// leaves out, and what capacity the upstreams have. It is called at watchInterval.
func (s *scheduler) watchTargets(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watch
	if !w.checkedAt.IsZero() && now.Sub(w.checkedAt) > watchInterval+maxWatchDelay {
		s.log.Info("stalled, not reporting silent upstreams", zap.Duration("since_check", now.Sub(w.checkedAt)))
		w.faultyAt = now
	}
	w.checkedAt = now
	for _, p := range s.fleet.pools {
		for _, t := range p.targets {
			t.seen = s.evidenceOf(p, t, now)
		}
	}
	own := s.observations(now)
	if !slices.Equal(own, w.own) {
		w.own = own
		s.onLoadChange()
	}
	s.assessSuspicions(now)
	s.learn(now)
}

// evidenceOf returns this instance's evidence that a target does not respond.
func (s *scheduler) evidenceOf(p *pool, t *target, now time.Time) evidence {
	e := t.seen
	if !s.watch.faultyAt.IsZero() && now.Sub(s.watch.faultyAt) < faultRecovery {
		return evidence{}
	}
	heard := t.heardAt()
	if heard.After(e.since) {
		e = evidence{}
	}
	switch {
	case t.isSilent(now, route.SilenceLimit(p.medianFirstToken), route.SilenceLimit(p.medianSpacing)):
		e.seenAt = now
	case t.failedAt.After(heard) && t.failedAt.After(e.seenAt):
		// An ejection for slow answers is not reported: the averages may come from a
		// fault of this instance that is over.
		e.seenAt = t.failedAt
	}
	switch {
	case e.seenAt.IsZero() || now.Sub(e.seenAt) > evidenceTTL:
		return evidence{}
	case e.since.IsZero():
		e.since = e.seenAt
	}
	return e
}

// isSilent reports whether an online request has waited longer than first for its first
// event, or longer than next for a further one. Requests whose head or body is not sent
// yet, and those whose caller does not read, say nothing about the upstream.
func (t *target) isSilent(now time.Time, first, next time.Duration) bool {
	for _, g := range t.slots {
		sent := g.sentNanos.Load()
		if g.class != contract.Online || sent == 0 || g.passing.Load() {
			continue
		}
		limit, since := first, sent
		if last := g.lastTokenNanos.Load(); last > 0 {
			limit, since = next, max(last, g.passedNanos.Load())
		}
		if limit > 0 && now.Sub(g.startedAt)-time.Duration(since) > limit {
			return true
		}
	}
	return false
}

// heardAt returns when this instance last received an event of the target.
func (t *target) heardAt() time.Time {
	at := t.lastEventAt
	for _, g := range t.slots {
		if event := g.lastEventAt(); event.After(at) {
			at = event
		}
	}
	return at
}

// lastEventAt returns when the attempt's last event arrived, or the zero time.
func (g *slot) lastEventAt() time.Time {
	if last := g.lastTokenNanos.Load(); last > 0 {
		return g.startedAt.Add(time.Duration(last))
	}
	return time.Time{}
}

// observations returns what this instance tells its peers: the targets that do not
// respond to it, unless it may be at fault itself, and those that respond although a
// peer has reported them.
func (s *scheduler) observations(now time.Time) []Observation {
	var own []Observation
	if named := s.namedTargets(); len(named) > 0 {
		heard := s.heardBeside(named)
		switch {
		case route.MayReport(len(named), heard, len(s.fleet.targets)):
			for _, t := range named {
				own = append(own, Observation{Upstream: t.id, At: t.seen.since})
			}
		case len(named) > 1:
			s.log.Info("many upstreams silent, not reporting them", zap.Int("silent", len(named)), zap.Int("heard", heard), zap.Int("of", len(s.fleet.targets)))
			s.watch.faultyAt = now
		}
	}
	for _, t := range s.fleet.targets {
		if t.seen.since.IsZero() && !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= heardTTL {
			// The time is not renewed while it refutes all reports, so that the digest
			// does not change with each event.
			if heard := t.heardAt(); !t.toldHeardAt.After(t.reportedOnset) {
				t.toldHeardAt = heard
			}
			if !t.toldHeardAt.IsZero() {
				own = append(own, Observation{Upstream: t.id, At: t.toldHeardAt, Heard: true})
			}
		}
	}
	slices.SortFunc(own, func(a, b Observation) int { return strings.Compare(a.Upstream, b.Upstream) })
	return own
}

// namedTargets returns the targets that do not respond to this instance.
func (s *scheduler) namedTargets() (named []*target) {
	for _, t := range s.fleet.targets {
		if !t.seen.since.IsZero() {
			named = append(named, t)
		}
	}
	return named
}

// heardBeside counts the targets that have sent an event since those in named are silent.
func (s *scheduler) heardBeside(named []*target) int {
	var newest time.Time
	for _, t := range named {
		if t.seen.since.After(newest) {
			newest = t.seen.since
		}
	}
	heard := 0
	for _, t := range s.fleet.targets {
		if t.seen.since.IsZero() && t.heardAt().After(newest.Add(-heardBeforeOnset)) {
			heard++
		}
	}
	return heard
}

// assessSuspicions determines, from the observations of this instance and of its peers, which
// targets are left out. The caller holds the lock.
func (s *scheduler) assessSuspicions(now time.Time) {
	onsets, heard := s.collectObservations(now)
	for _, t := range s.fleet.targets {
		if len(onsets[t]) == 0 && !t.conclusion.Exists() {
			continue
		}
		t.conclusion = t.conclusion.Observe(now, onsets[t], heard[t])
		t.conclusion.Own = t.conclusion.Exists() && (t.conclusion.Own || !t.seen.since.IsZero())
		if len(onsets[t]) > 0 {
			t.reportedAt, t.reportedOnset = now, slices.MaxFunc(onsets[t], time.Time.Compare)
		}
	}
	cleared := false
	for _, p := range s.fleet.pools {
		cleared = s.limitSuspicions(p, now) || cleared
	}
	if cleared {
		s.serveQueues()
	}
}

// collectObservations returns, for each target with reports, when the silences were
// noticed and, for each that is reported or suspected, when any instance last received an
// event of it.
func (s *scheduler) collectObservations(now time.Time) (onsets map[*target][]time.Time, heard map[*target]time.Time) {
	onsets, heard = map[*target][]time.Time{}, map[*target]time.Time{}
	for _, digest := range s.peerDigests {
		if now.Sub(digest.receivedAt) > onlineDigestTTL {
			continue
		}
		for _, o := range digest.Observations {
			t, ok := s.fleet.targets[o.Upstream]
			switch {
			case !ok:
			case !o.Heard:
				onsets[t] = append(onsets[t], o.At)
			case o.At.After(heard[t]):
				heard[t] = o.At
			}
		}
	}
	for _, o := range s.watch.own {
		if t, ok := s.fleet.targets[o.Upstream]; ok && !o.Heard {
			onsets[t] = append(onsets[t], o.At)
		}
	}
	for _, t := range s.fleet.targets {
		if len(onsets[t]) == 0 && !t.conclusion.Exists() {
			continue
		}
		if own := t.heardAt(); own.After(heard[t]) {
			heard[t] = own
		}
	}
	return onsets, heard
}

// limitSuspicions sets which targets of a pool are left out, and reports whether one of them
// no longer is.
func (s *scheduler) limitSuspicions(p *pool, now time.Time) (cleared bool) {
	if len(p.suspicions) == 0 && !slices.ContainsFunc(p.targets, func(t *target) bool { return t.conclusion.Exists() }) {
		return false
	}
	suspicions := make([]route.Suspicion, len(p.targets))
	for i, t := range p.targets {
		suspicions[i] = t.conclusion
	}
	route.LimitSuspicions(suspicions, len(p.targets))
	next := map[*target]route.Suspicion{}
	for i, t := range p.targets {
		d, before := suspicions[i], p.suspicions[t]
		if d.Exists() {
			next[t] = d
		}
		switch {
		case d.Exists() && !before.Exists():
			s.metrics.leftOut.Inc()
			s.log.Info("upstream left out", zap.String("service", p.name), zap.String("upstream", t.id), zap.Int("reports", d.Reports),
				zap.Duration("noticed", now.Sub(d.Onset)), zap.Bool("own", !t.seen.since.IsZero()))
		case !d.Exists() && before.Exists():
			s.log.Info("upstream used again", zap.String("service", p.name), zap.String("upstream", t.id), zap.Duration("after", now.Sub(before.Since)))
			cleared = true
		}
	}
	p.suspicions = next
	return cleared
}

// leavesOut reports whether a target gets no request because it is reported as not
// responding.
func (s *scheduler) leavesOut(p *pool, t *target, now time.Time) bool {
	d, ok := p.suspicions[t]
	if !ok {
		return false
	}
	if _, probed := d.ProbedSince(now); !probed {
		return true
	}
	rank := 0
	switch {
	case d.Own:
		rank = len(s.peerDigests)
	case s.turns != nil:
		rank = route.Rank(t.id, s.turns.self, maps.Keys(s.peerDigests), len(s.peerDigests))
	}
	return !d.AdmitsProbe(now, rank, t.online > 0 || s.isProbed(t, now))
}

// isProbed reports whether a peer that has not reported a target has an online request
// there.
func (s *scheduler) isProbed(t *target, now time.Time) bool {
	for _, digest := range s.peerDigests {
		reports := slices.ContainsFunc(digest.Observations, func(o Observation) bool { return o.Upstream == t.id && !o.Heard })
		if reports || now.Sub(digest.receivedAt) > onlineDigestTTL {
			continue
		}
		if slices.ContainsFunc(digest.Loads, func(l PeerLoad) bool { return l.Upstream == t.id && l.Online > 0 }) {
			return true
		}
	}
	return false
}

// leftOut returns the targets of a pool's open ones that get no request now, or nil if
// that would leave none.
func (s *scheduler) leftOut(p *pool, now time.Time) map[*target]bool {
	if len(p.suspicions) == 0 {
		return nil
	}
	out := map[*target]bool{}
	for _, t := range p.open {
		if s.leavesOut(p, t, now) {
			out[t] = true
		}
	}
	if len(out) == len(p.open) {
		return nil
	}
	return out
}
