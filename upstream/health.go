package upstream

import (
	"iter"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// Bounds of the time for which an upstream that refused or could not be
// reached gets no new work.
const (
	minSuspension = 500 * time.Millisecond
	maxSuspension = 10 * time.Second
)

// fail notes a failed attempt. An upstream that refused or could not be
// reached is suspended, the longer the more often in a row.
func (s *scheduler) fail(t *target, f *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.errors += errorWeight * (1 - t.errors)
	if f.unreachable || f.refused {
		s.suspend(t, now)
		t.unreachable = f.unreachable && t.terms.Load().model
	}
	s.assess(now)
}

// succeed notes a whole answer.
func (s *scheduler) succeed(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.errors -= errorWeight * t.errors
	t.ejections = 0
}

func (s *scheduler) suspend(t *target, now time.Time) {
	if now.Before(t.suspended) {
		return
	}
	t.failures++
	d := min(minSuspension<<min(t.failures-1, 8), maxSuspension)
	// Jitter keeps instances from trying together.
	t.suspended = now.Add(d/2 + time.Duration(s.random.Int64N(int64(d/2))))
	s.log.Info("upstream suspended", zap.String("upstream", t.id), zap.Int("failures", t.failures), zap.Duration("pause", t.suspended.Sub(now)))
}

// reported notes the result of asking a target for its load: r is nil when
// there is no report.
func (s *scheduler) reported(t *target, r *loadReport, result reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case result == refusedConnection:
		s.suspend(t, now)
		t.unreachable = true
	case result == answered && t.unreachable:
		t.unreachable = false
		t.suspended = now
	}
	if r != nil {
		t.report.Store(r)
	}
}

// takesWork reports whether new work may be given to the target at all.
func (t *target) takesWork(now time.Time) bool {
	return !t.leaving() && !t.unreachable && !now.Before(t.suspended)
}

// sweep brings the health of all targets up to date and serves the queues.
func (s *scheduler) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.fleet.targets {
		if live := t.liveSpacing(); live > 0 {
			t.spacing = blend(t.spacing, live, now)
		}
	}
	s.expirePeers(now)
	s.assess(now)
	s.pump()
}

// assess decides which targets of each service are open for work.
func (s *scheduler) assess(now time.Time) {
	for _, p := range s.fleet.pools {
		s.assessPool(p, now)
	}
}

func (s *scheduler) assessPool(p *pool, now time.Time) {
	h := p.history
	h.health = h.health[:0]
	for _, t := range p.targets {
		s.tryAgain(p, t, now)
		_, unanswered, silent := t.overdue(now)
		h.health = append(h.health, route.Health{
			FirstToken: t.first.Value,
			Spacing:    t.spacing.Value,
			Unanswered: unanswered,
			Silent:     silent,
			Errors:     t.errors,
			Ejected:    !h.ejected[t].IsZero(),
			Unproven:   t.proven.Before(h.ejected[t]),
		})
	}
	h.prior, h.spacing = route.Medians(h.health)
	if s.policy == route.Adaptive {
		h.worst = route.Eject(h.health, h.worst)
	}
	h.open = h.open[:0]
	for i, t := range p.targets {
		s.noteEjection(p, t, h.health[i].Ejected, now)
		if t.takesWork(now) && (!h.health[i].Ejected || p.mayProbe(t, now)) {
			h.open = append(h.open, t)
		}
	}
	if len(p.ejected) > 0 {
		s.move(p, now)
	}
	if len(h.open) == 0 {
		h.open = slices.AppendSeq(h.open, p.remaining(now))
	}
}

// tryAgain takes an ejected target in again that nothing but requests of callers
// can prove, when its time is over. What was observed of it is forgotten but for
// its failures.
func (s *scheduler) tryAgain(p *pool, t *target, now time.Time) {
	at, ok := p.ejected[t]
	if !ok || p.service.Kind != contract.KindRouted || now.Sub(at) < route.RetrialAfter(t.ejections) {
		return
	}
	delete(p.ejected, t)
	t.first, t.spacing = route.Average{}, route.Average{}
	t.errors = min(t.errors, route.RetrialErrors)
	s.log.Info("upstream tried again", zap.String("service", p.name), zap.String("upstream", t.id),
		zap.Duration("after", now.Sub(at)), zap.Int("ejections", t.ejections))
}

func (s *scheduler) noteEjection(p *pool, t *target, ejected bool, now time.Time) {
	if ejected == p.isEjected(t) {
		return
	}
	belief := []zap.Field{zap.String("service", p.name), zap.String("upstream", t.id), zap.Duration("first", t.first.Value),
		zap.Duration("spacing", t.spacing.Value), zap.Float64("errors", t.errors), zap.Duration("median_first", p.prior)}
	if !ejected {
		s.log.Info("upstream returned", append(belief, zap.Duration("after", now.Sub(p.ejected[t])))...)
		delete(p.ejected, t)
		return
	}
	s.log.Info("upstream ejected", belief...)
	p.ejected[t] = now
	t.ejections++
	s.metrics.ejections.Inc()
}

func (p *pool) isEjected(t *target) bool {
	_, ok := p.ejected[t]
	return ok
}

// move ends the streams on ejected engines, so that they go on elsewhere, as
// far as the budget of hedges allows.
func (s *scheduler) move(p *pool, now time.Time) {
	for t := range p.ejected {
		for _, g := range slices.Clone(t.slots) {
			if !g.mayMove(p) || !s.movePays(p, g, now) {
				continue
			}
			t.drop(g)
			g.cancel(errMoved)
			s.metrics.moves.Inc()
		}
	}
}

// mayMove reports whether a stream can be resumed elsewhere by itself.
func (g *slot) mayMove(p *pool) bool {
	return g.pool.history == p.history && !g.firm && p.service.Kind == contract.KindModel && g.tokens.Load() > 0
}

// movePays reports whether the stream would be faster elsewhere and the budget
// allows to move it.
func (s *scheduler) movePays(p *pool, g *slot, now time.Time) bool {
	gap := max(time.Duration(g.gap.Load()), now.Sub(g.started)-time.Duration(g.last.Load()))
	left := max(g.expected-int(g.tokens.Load()), 1)
	if !route.MovePays(gap, p.spacing, p.prior, left) {
		return false
	}
	used, slots := p.slots()
	var ok bool
	p.hedges, ok = p.hedges.Spend(p.short.waiting+p.history.long.waiting, used, slots)
	return ok
}

// remaining yields the targets to try when none is open: the ejected ones.
func (p *pool) remaining(now time.Time) iter.Seq[*target] {
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

// mayProbe reports whether an ejected target of a plain service takes a real
// request as a probe. Engines are probed with requests of our own, so that no
// caller waits for a probe.
func (p *pool) mayProbe(t *target, now time.Time) bool {
	return p.service.Kind == contract.KindPlain && p.service.Idempotent && now.Sub(t.probed) >= probeInterval
}

// toProbe returns the ejected engines that are due for a probe.
func (s *scheduler) toProbe(now time.Time) []probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []probe
	for _, p := range s.fleet.pools {
		if p.service.Kind != contract.KindModel {
			continue
		}
		for t := range p.ejected {
			if now.Sub(t.probed) >= probeInterval && !t.leaving() {
				t.probed = now
				due = append(due, probe{t, p.service.Model})
			}
		}
	}
	return due
}

// probeWeight is the share in the averages of a target that a probe and the
// streams of this moment have. Both tell more than one request that has ended.
const probeWeight = 0.6

// probed notes the latencies of a probe, or its failure when first is 0.
func (s *scheduler) probed(t *target, first, spacing time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first == 0 {
		t.errors += errorWeight * (1 - t.errors)
		return
	}
	t.proven = now
	t.errors -= probeWeight * t.errors
	t.first = blend(t.first, first, now)
	if spacing > 0 {
		t.spacing = blend(t.spacing, spacing, now)
	}
}

func blend(a route.Average, d time.Duration, now time.Time) route.Average {
	if a.Value == 0 {
		return route.Average{Value: d, At: now}
	}
	return route.Average{Value: a.Value + time.Duration(probeWeight*float64(d-a.Value)), At: now}
}
