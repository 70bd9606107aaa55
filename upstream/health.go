package upstream

import (
	"iter"
	"slices"
	"time"

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
	}
	s.assess(now)
}

func (s *scheduler) suspend(t *target, now time.Time) {
	if now.Before(t.suspended) {
		return
	}
	t.failures++
	d := min(minSuspension<<min(t.failures-1, 8), maxSuspension)
	// Jitter keeps instances from trying together.
	t.suspended = now.Add(d/2 + time.Duration(s.random.Int64N(int64(d/2))))
}

// reported notes the result of asking a target for its load.
func (s *scheduler) reported(t *target, r *loadReport, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case unreachable:
		s.suspend(t, now)
	case r != nil && t.report.Load() == nil && t.failures > 0:
		t.suspended = now
	}
	if r != nil {
		t.report.Store(r)
	}
}

// sweep brings the health of all targets up to date and serves the queues.
func (s *scheduler) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.fleet.targets {
		if live := t.liveSpacing(); live > 0 {
			t.spacing = t.spacing.Observe(now, live)
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
		unanswered, silent := t.overdue(now)
		h.health = append(h.health, route.Health{
			FirstToken: t.first.Value,
			Spacing:    t.spacing.Value,
			Stalled:    max(unanswered, silent),
			Errors:     t.errors,
			Ejected:    h.ejected[t],
		})
	}
	h.prior, h.spacing = route.Medians(h.health)
	if s.policy == route.Adaptive {
		h.worst = route.Eject(h.health, h.worst)
	}
	h.open = h.open[:0]
	for i, t := range p.targets {
		s.noteEjection(p, t, h.health[i].Ejected)
		if !t.leaving() && !now.Before(t.suspended) && (!h.ejected[t] || p.mayProbe(t, now)) {
			h.open = append(h.open, t)
		}
	}
	if len(h.open) == 0 {
		h.open = slices.AppendSeq(h.open, p.remaining(now))
	}
}

func (s *scheduler) noteEjection(p *pool, t *target, ejected bool) {
	if ejected == p.ejected[t] {
		return
	}
	if !ejected {
		delete(p.ejected, t)
		return
	}
	p.ejected[t] = true
	s.metrics.ejections.Inc()
}

// remaining yields the targets to try when none is open: the ejected ones.
func (p *pool) remaining(now time.Time) iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for _, t := range p.targets {
			if !t.leaving() && !now.Before(t.suspended) && !yield(t) {
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

// probeWeight is the share of a probe in the averages of its target; probes
// are rare, so that each counts more than a request.
const probeWeight = 0.6

// probed notes the latencies of a probe, or its failure when first is 0.
func (s *scheduler) probed(t *target, first, spacing time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first == 0 {
		t.errors += errorWeight * (1 - t.errors)
		return
	}
	t.errors -= probeWeight * t.errors
	t.first = blend(t.first, first, now)
	if spacing > 0 {
		t.spacing = blend(t.spacing, spacing, now)
	}
}

func blend(a route.Average, d time.Duration, now time.Time) route.Average {
	return route.Average{Value: a.Value + time.Duration(probeWeight*float64(d-a.Value)), At: now}
}
