package upstream

import (
	"slices"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// yield cancels batch attempts on t that occupy slots which online work needs. The
// caller holds the lock.
func (s *scheduler) yield(t *target, now time.Time) {
	if t.batch+t.peers.batch == 0 {
		return
	}
	c := t.candidate(now, 0)
	limits := s.batchLimits()
	for range s.excessBatch(t, &c, limits) {
		if victim := t.yieldsFirst(now); victim != nil {
			s.preempt(victim)
		}
	}
	if t.peers.batch > 0 && route.MustYield(&c, limits) {
		s.onPeersBlocking()
	}
}

// preempt cancels a batch attempt.
func (s *scheduler) preempt(g *slot) {
	g.target.drop(g)
	s.onLoadChange()
	g.cancel(errPreempted)
	s.metrics.preemptions.Inc()
}

// yieldsFirst returns the batch attempt on t that can best wait, or nil if there is none;
// among equals the one that started last, which loses the least work.
func (t *target) yieldsFirst(now time.Time) (first *slot) {
	for _, g := range slices.Backward(t.slots) {
		if g.mayYield() && (first == nil || g.remainingWork(now).YieldsBefore(first.remainingWork(now), now)) {
			first = g
		}
	}
	return first
}

// mayYield reports whether the attempt may be cancelled in favour of others.
func (g *slot) mayYield() bool { return g.class == contract.Batch && !g.dispatchOnce }

// leaveUnusedTargets cancels the batch attempts on targets that no pool has, if they can
// go on elsewhere: the instances that use such a target may send their load to this one no
// longer, so that batch work would not yield to their online work. The caller holds the
// lock.
func (s *scheduler) leaveUnusedTargets() {
	for _, t := range s.fleet.targets {
		for _, g := range slices.Clone(t.slots) {
			if g.mayYield() && !s.fleet.hasInPool(g.pool.name, t) && s.hasUpstream(g.pool.name) {
				s.preempt(g)
			}
		}
	}
}

// hasUpstream reports whether a service has an upstream that this instance uses.
func (s *scheduler) hasUpstream(service string) bool {
	p, ok := s.fleet.pools[service]
	return ok && len(p.targets) > 0
}
