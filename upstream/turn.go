package upstream

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// turns is set when peers tell each other of every change of their load. They
// then agree on who takes a free slot and who yields one.
type turns struct {
	self uint64
	// wake is when the queues are served next for a turn that is due.
	wake time.Time
}

// share makes the scheduler take turns with its peers.
func (s *scheduler) share(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns = &turns{self: xxhash.Sum64String(instance)}
}

// reserve is the number of slots per upstream for which batch work yields. A
// peer learns of a request of another within milliseconds when they share, so
// that less has to be kept free.
func (s *scheduler) reserve() int {
	if s.turns != nil {
		return s.fleet.preset.HeadroomSlots / 2
	}
	return (s.fleet.preset.HeadroomSlots + 1) / 2
}

// excess returns how many of this instance's batch requests on t have to go.
func (s *scheduler) excess(t *target, c *route.Candidate, terms route.BatchTerms) int {
	if s.turns == nil {
		return route.Excess(c, terms)
	}
	others := make([]route.Holder, 0, len(t.holders))
	for peer, batch := range t.holders {
		others = append(others, route.Holder{Key: xxhash.Sum64String(peer), Batch: batch})
	}
	return route.YieldShare(t.key, route.Holder{Key: s.turns.self, Batch: c.Batch}, others, route.Over(c, terms))
}

// takeTurns marks the targets whose free slots are left to others for now by a
// request that is late already or not.
func (s *scheduler) takeTurns(v *view, late bool, now time.Time) {
	if s.turns == nil {
		return
	}
	self := route.Wanting{Key: s.turns.self, Late: late}
	var wanting []route.Wanting
	for peer, digest := range s.peers {
		if digest.BatchWaiting > 0 && now.Sub(digest.received) <= onlineLifetime {
			wanting = append(wanting, route.Wanting{Key: xxhash.Sum64String(peer), Late: digest.BatchLate >= digest.BatchWaiting})
		}
	}
	terms := s.batchTerms()
	v.held = make(map[*target]bool, len(v.targets))
	for _, t := range v.targets {
		c := t.candidate(now, v.prior)
		room := route.BatchRoom(&c, terms)
		if room <= 0 {
			t.roomSince = time.Time{}
			continue
		}
		if t.roomSince.IsZero() {
			t.roomSince = now
		}
		due := t.roomSince.Add(route.BatchWait(t.key, self, wanting, room, t.takenSince(now.Add(-route.BatchTurn))))
		if due.After(now) {
			v.held[t] = true
			s.serveAt(due, now)
		}
	}
}

// serveAt serves the queues at a time, unless that is to happen before it.
func (s *scheduler) serveAt(due, now time.Time) {
	if s.turns.wake.After(now) && !due.Before(s.turns.wake) {
		return
	}
	s.turns.wake = due
	time.AfterFunc(due.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pump()
	})
}

// peersWaiting counts the online requests that wait at other instances. The
// lock is held.
func (s *scheduler) peersWaiting(now time.Time) int {
	if s.turns == nil {
		return 0
	}
	waiting := 0
	for _, digest := range s.peers {
		if digest.OnlineWaiting > 0 && now.Sub(digest.received) <= onlineLifetime {
			waiting += digest.OnlineWaiting
		}
	}
	return waiting
}

// takenSince counts the batch requests that this instance began on a target after a
// time.
func (t *target) takenSince(since time.Time) int {
	n := 0
	for _, g := range t.slots {
		if g.class == contract.Batch && g.started.After(since) {
			n++
		}
	}
	return n
}
