package upstream

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// turns is the scheduler's state when peers inform each other of every change of their
// load. They can then agree on which instance takes a free slot and which one yields a
// slot.
type turns struct {
	// self is this instance's id, selfKey its hash.
	self    string
	selfKey uint64
	// nextServeAt is when the queues are next served because a turn is due.
	nextServeAt time.Time
}

// loadUncertainTime is how long the load of peers at a target may not be known after this
// instance has begun to use it: until then, peers learn of the change of the fleet and send
// their load at least once.
const loadUncertainTime = time.Second

// recordFirstUse records which targets this instance begins to use. The caller holds the
// lock.
func (s *scheduler) recordFirstUse(old *fleet, now time.Time) {
	if s.turns == nil {
		return
	}
	for name, p := range s.fleet.pools {
		for _, t := range p.targets {
			if !old.hasInPool(name, t) {
				t.usedSince, t.answers = now, 0
			}
		}
	}
}

// isLoadUncertain reports whether the load of peers at the target may not be known.
func (t *target) isLoadUncertain(now time.Time) bool {
	return now.Sub(t.usedSince) < loadUncertainTime
}

// enableTurns makes the scheduler take turns with its peers.
func (s *scheduler) enableTurns(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns = &turns{self: instance, selfKey: xxhash.Sum64String(instance)}
}

// onlineReserve returns the number of slots of an upstream that are kept free for online
// requests: batch work yields when fewer are free. Fewer are needed with turns, since
// peers then learn of a request within milliseconds.
func (s *scheduler) onlineReserve() int {
	if s.turns != nil {
		return s.fleet.preset.HeadroomSlots / 2
	}
	return (s.fleet.preset.HeadroomSlots + 1) / 2
}

// excessBatch returns how many of this instance's batch requests on t must be
// cancelled.
func (s *scheduler) excessBatch(t *target, c *route.Candidate, limits route.BatchLimits) int {
	if s.turns == nil {
		return route.ProportionalYield(c, limits)
	}
	others := make([]route.BatchInstance, 0, len(t.batchByPeer))
	for peer, batch := range t.batchByPeer {
		others = append(others, route.BatchInstance{Key: xxhash.Sum64String(peer), Batch: batch})
	}
	return route.RankedYield(t.key, route.BatchInstance{Key: s.turns.selfKey, Batch: c.Batch}, others, route.SlotDeficit(c, limits))
}

// classCount is the number of request classes.
const classCount = int(contract.Batch) + 1

// freePeriod is a period in which an upstream had free slots.
type freePeriod struct {
	// startedAt is when free slots were first observed, or the zero time if the last
	// observation found none. observedAt is the time of the last observation.
	startedAt, observedAt time.Time
}

// maxObservationGap is the longest time between two observations of one freePeriod;
// after a longer one, a new period starts. It exceeds the longest wait for a turn, 12
// times 6 ms, after which the target is observed again.
const maxObservationGap = 100 * time.Millisecond

// observe records whether slots are free and returns since when, or the zero time if
// none are.
func (p *freePeriod) observe(free bool, now time.Time) time.Time {
	switch {
	case !free:
		p.startedAt = time.Time{}
	case p.startedAt.IsZero() || now.Sub(p.observedAt) > maxObservationGap:
		p.startedAt = now
	}
	p.observedAt = now
	return p.startedAt
}

// deferToPeers sets v.held to the targets whose free slots are left, for now, to
// requests that wait at other instances. A request whose caller is about to give up does
// not defer.
func (s *scheduler) deferToPeers(v *targetView, r *request, now time.Time) {
	if s.turns == nil || r.class == contract.Online && s.isUrgent(r, now) {
		return
	}
	self := route.WaitingInstance{Key: s.turns.selfKey, Late: s.isLate(r, now)}
	waiting := s.waitingPeers(r.class, now)
	if len(waiting) == 0 {
		return
	}
	limits := s.batchLimits()
	v.held = make(map[*target]bool, len(v.targets))
	for _, t := range v.targets {
		c := t.candidate(now, v.medianFirstToken)
		free := c.Limit - c.OnlineTotal()
		if r.class == contract.Batch {
			free = route.BatchCapacity(&c, limits)
		}
		since := t.freeSlots[r.class].observe(free > 0, now)
		if free <= 0 {
			continue
		}
		due := since.Add(route.TurnDelay(t.key, self, waiting, free, t.startedSince(r.class, now.Add(-route.TurnInterval))))
		if due.After(now) {
			v.held[t] = true
			s.serveAt(due, now)
		}
	}
}

// isLate reports whether a request can no longer be on time.
func (s *scheduler) isLate(r *request, now time.Time) bool {
	if r.class == contract.Batch {
		return r.batchWork.Late(now)
	}
	return s.isOverShare(r) || r.onlineWork.Late(now, r.pool.medianFirstToken)
}

// waitingPeers returns the peers at which requests of a class wait for a slot.
func (s *scheduler) waitingPeers(class contract.Class, now time.Time) (peers []route.WaitingInstance) {
	for peer, digest := range s.peerDigests {
		waiting, late := digest.OnlineWaiting, digest.OnlineLate
		if class == contract.Batch {
			waiting, late = digest.BatchWaiting, digest.BatchLate
		}
		if waiting > 0 && now.Sub(digest.receivedAt) <= onlineDigestTTL {
			peers = append(peers, route.WaitingInstance{Key: xxhash.Sum64String(peer), Late: late >= waiting})
		}
	}
	return peers
}

// serveAt schedules serving the queues at due, unless that is already scheduled for an
// earlier time.
func (s *scheduler) serveAt(due, now time.Time) {
	if s.turns.nextServeAt.After(now) && !due.Before(s.turns.nextServeAt) {
		return
	}
	s.turns.nextServeAt = due
	time.AfterFunc(due.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.serveQueues()
	})
}

// peerOnlineWaiting counts the online requests that wait at other instances, 0 without
// turns. The caller holds the lock.
func (s *scheduler) peerOnlineWaiting(now time.Time) int {
	if s.turns == nil {
		return 0
	}
	waiting := 0
	for _, digest := range s.peerDigests {
		if digest.OnlineWaiting > 0 && now.Sub(digest.receivedAt) <= onlineDigestTTL {
			waiting += digest.OnlineWaiting
		}
	}
	return waiting
}

// startedSince counts the requests of a class that this instance has started on the
// target since a time and that still run.
func (t *target) startedSince(class contract.Class, since time.Time) int {
	n := 0
	for _, g := range t.slots {
		if g.class == class && g.startedAt.After(since) {
			n++
		}
	}
	return n
}
