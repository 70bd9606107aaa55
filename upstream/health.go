package upstream

import (
	"iter"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// Limits of the suspension of an upstream that refused a request or could not be
// reached. A suspended upstream gets no new work.
const (
	minSuspension = 500 * time.Millisecond
	maxSuspension = 10 * time.Second
)

// recordFailure records a failed attempt. An upstream that refused the request or could
// not be reached is suspended, longer after each consecutive failure.
func (s *scheduler) recordFailure(t *target, f *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.errorRate += errorWeight * (1 - t.errorRate)
	t.failedAt = now
	if f.unreachable || f.refused {
		s.suspend(t, now)
		t.unreachable = f.unreachable && t.config.Load().isEngine
	}
	s.assess(now)
}

// recordSuccess records a complete answer.
func (s *scheduler) recordSuccess(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.errorRate -= errorWeight * t.errorRate
	t.ejections = 0
}

// suspend suspends a target, unless it already is suspended. The caller holds the lock.
func (s *scheduler) suspend(t *target, now time.Time) {
	if now.Before(t.suspendedUntil) {
		return
	}
	t.failures++
	d := min(minSuspension<<min(t.failures-1, 8), maxSuspension)
	// Jitter keeps instances from retrying at the same time.
	t.suspendedUntil = now.Add(d/2 + time.Duration(s.random.Int64N(int64(d/2))))
	s.log.Info("upstream suspended", zap.String("upstream", t.id), zap.Int("failures", t.failures), zap.Duration("pause", t.suspendedUntil.Sub(now)))
}

// recordReport records the result of a request for a load report; r is nil if there is
// no report. A target that accepts no connection is suspended, one that responds again
// is no longer unreachable.
func (s *scheduler) recordReport(t *target, r *loadReport, result reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case result == dialFailed:
		s.suspend(t, now)
		t.unreachable = true
	case result == answered && t.unreachable:
		t.unreachable = false
		t.suspendedUntil = now
	}
	if r != nil {
		t.report.Store(r)
	}
}

// takesWork reports whether the target may get new work. Ejection is not considered.
func (t *target) takesWork(now time.Time) bool {
	return !t.leaving() && !t.unreachable && !now.Before(t.suspendedUntil)
}

// sweep updates the health of all targets and serves the queues.
func (s *scheduler) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.fleet.targets {
		if live := t.liveSpacing(); live > 0 {
			t.spacing = blend(t.spacing, live, now)
		}
	}
	s.expireDigests(now)
	s.assess(now)
	s.serveQueues()
	s.refuseHopeless(now)
	s.observeOverShare()
}

// assess determines, for each service, which targets are open for work. The caller
// holds the lock.
func (s *scheduler) assess(now time.Time) {
	for _, p := range s.fleet.pools {
		s.assessPool(p, now)
	}
}

func (s *scheduler) assessPool(p *pool, now time.Time) {
	ps := p.poolState
	ps.health = ps.health[:0]
	for _, t := range p.targets {
		s.readmit(p, t, now)
		_, oldestUnanswered, sinceToken := t.tokenDelays(now)
		ps.health = append(ps.health, route.Health{
			FirstToken:       t.firstToken.Value,
			Spacing:          t.spacing.Value,
			OldestUnanswered: oldestUnanswered,
			SinceToken:       sinceToken,
			ErrorRate:        t.errorRate,
			Ejected:          !ps.ejected[t].IsZero(),
			AwaitingProbe:    t.lastFirstTokenAt.Before(ps.ejected[t]),
		})
	}
	ps.medianFirstToken, ps.medianSpacing = route.Medians(ps.health)
	if s.policy == route.Adaptive {
		ps.ejectScratch = route.Eject(ps.health, ps.ejectScratch)
	}
	ps.open = ps.open[:0]
	for i, t := range p.targets {
		s.recordEjection(p, t, ps.health[i].Ejected, now)
		if t.takesWork(now) && (!ps.health[i].Ejected || p.mayProbe(t, now)) {
			ps.open = append(ps.open, t)
		}
	}
	if len(p.ejected) > 0 {
		s.migrateStreams(p, now)
	}
	if len(ps.open) == 0 {
		ps.open = slices.AppendSeq(ps.open, p.fallbackTargets(now))
	}
	if p.allLeaving() {
		// A new request would be rejected, too.
		ps.rejectWaiters()
	}
}

// readmit ends the ejection of a target of a routed service when its time is over. Such
// a target cannot be probed: only requests of callers show whether it has recovered.
// Its observed latencies are discarded, its error rate is limited to
// route.RestoredErrorRate.
func (s *scheduler) readmit(p *pool, t *target, now time.Time) {
	ejectedAt, ok := p.ejected[t]
	if !ok || p.service.Kind != contract.KindRouted || now.Sub(ejectedAt) < route.EjectionTime(t.ejections) {
		return
	}
	delete(p.ejected, t)
	t.firstToken, t.spacing = route.Average{}, route.Average{}
	t.errorRate = min(t.errorRate, route.RestoredErrorRate)
	s.log.Info("upstream tried again", zap.String("service", p.name), zap.String("upstream", t.id),
		zap.Duration("after", now.Sub(ejectedAt)), zap.Int("ejections", t.ejections))
}

// recordEjection records and logs that a target has been ejected or restored.
func (s *scheduler) recordEjection(p *pool, t *target, ejected bool, now time.Time) {
	if ejected == p.isEjected(t) {
		return
	}
	fields := []zap.Field{zap.String("service", p.name), zap.String("upstream", t.id), zap.Duration("first", t.firstToken.Value),
		zap.Duration("spacing", t.spacing.Value), zap.Float64("errors", t.errorRate), zap.Duration("median_first", p.medianFirstToken)}
	if !ejected {
		s.log.Info("upstream returned", append(fields, zap.Duration("after", now.Sub(p.ejected[t])))...)
		delete(p.ejected, t)
		return
	}
	s.log.Info("upstream ejected", fields...)
	p.ejected[t] = now
	t.ejections++
	s.metrics.ejections.Inc()
}

func (p *pool) isEjected(t *target) bool {
	_, ok := p.ejected[t]
	return ok
}

// migrateStreams cancels streams on ejected engines, so that they resume on other ones,
// as far as the hedge budget allows.
func (s *scheduler) migrateStreams(p *pool, now time.Time) {
	for t := range p.ejected {
		for _, g := range slices.Clone(t.slots) {
			if !g.canMigrate(p) || !s.worthMigrating(p, g, now) {
				continue
			}
			t.drop(g)
			g.cancel(errMigrated)
			s.metrics.migrations.Inc()
		}
	}
}

// canMigrate reports whether the stream belongs to the service of p and can be resumed
// on another upstream.
func (g *slot) canMigrate(p *pool) bool {
	return g.pool.poolState == p.poolState && !g.dispatchOnce && p.service.Kind == contract.KindModel && g.tokens.Load() > 0
}

// worthMigrating reports whether the stream would finish earlier on another upstream,
// and takes the migration from the hedge budget.
func (s *scheduler) worthMigrating(p *pool, g *slot, now time.Time) bool {
	gap := max(time.Duration(g.gapNanos.Load()), now.Sub(g.startedAt)-time.Duration(g.lastTokenNanos.Load()))
	remaining := max(g.expectedTokens-int(g.tokens.Load()), 1)
	if !route.ShouldMigrate(gap, p.medianSpacing, p.medianFirstToken, remaining) {
		return false
	}
	used, slots := p.slots()
	var ok bool
	p.hedgeBudget, ok = p.hedgeBudget.Spend(p.shortQueue.waiting+p.poolState.longQueue.waiting, used, slots)
	return ok
}

// fallbackTargets yields the targets that are used when none is open: all that take
// work, although they are ejected.
func (p *pool) fallbackTargets(now time.Time) iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for _, t := range p.targets {
			if t.takesWork(now) && !yield(t) {
				return
			}
		}
	}
}

// probeInterval is the time between two probes of an ejected target.
const probeInterval = time.Second

// mayProbe reports whether an ejected target of an idempotent plain service gets a
// caller's request as a probe. Engines are probed with separate requests, so that no
// caller waits for a probe.
func (p *pool) mayProbe(t *target, now time.Time) bool {
	return p.service.Kind == contract.KindPlain && p.service.Idempotent && now.Sub(t.lastProbeAt) >= probeInterval
}

// dueProbes returns the probes of ejected engines that are due.
func (s *scheduler) dueProbes(now time.Time) []probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []probe
	for _, p := range s.fleet.pools {
		if p.service.Kind != contract.KindModel {
			continue
		}
		for t := range p.ejected {
			if now.Sub(t.lastProbeAt) >= probeInterval && !t.leaving() {
				t.lastProbeAt = now
				due = append(due, probe{t, p.service.Model})
			}
		}
	}
	return due
}

// probeWeight is the weight of a probe, or of the streams now running, in the averages
// of a target. Both show more of its present state than a single request that has
// ended.
const probeWeight = 0.6

// recordProbe records the latencies of a probe; first is 0 if the probe failed.
func (s *scheduler) recordProbe(t *target, first, spacing time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first == 0 {
		t.errorRate += errorWeight * (1 - t.errorRate)
		return
	}
	t.lastFirstTokenAt = now
	t.errorRate -= probeWeight * t.errorRate
	t.firstToken = blend(t.firstToken, first, now)
	if spacing > 0 {
		t.spacing = blend(t.spacing, spacing, now)
	}
}

// blend adds d to an average with probeWeight.
func blend(a route.Average, d time.Duration, now time.Time) route.Average {
	if a.Value == 0 {
		return route.Average{Value: d, UpdatedAt: now}
	}
	return route.Average{Value: a.Value + time.Duration(probeWeight*float64(d-a.Value)), UpdatedAt: now}
}
