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

// classes is the number of classes of requests.
const classes = int(contract.Batch) + 1

// room is what an instance has seen of an upstream's free slots.
type room struct {
	// since is when they were first seen, the zero time when there were none at seen.
	since, seen time.Time
}

// roomLife is after what time free slots that were seen are others. It is over the
// longest wait for a turn, 12 times 6 ms, after which they are looked at again.
const roomLife = 100 * time.Millisecond

// observe notes whether slots are free and returns since when.
func (r *room) observe(free bool, now time.Time) time.Time {
	switch {
	case !free:
		r.since = time.Time{}
	case r.since.IsZero() || now.Sub(r.seen) > roomLife:
		r.since = now
	}
	r.seen = now
	return r.since
}

// takeTurns marks the targets whose free slots are left for now to requests that wait at
// other instances. One whose caller is about to give up leaves none.
func (s *scheduler) takeTurns(v *view, r *request, now time.Time) {
	if s.turns == nil || r.class == contract.Online && r.online.Leaving(now, r.pool.prior) {
		return
	}
	self := route.Wanting{Key: s.turns.self, Late: r.late(now)}
	wanting := s.wanting(r.class, now)
	if len(wanting) == 0 {
		return
	}
	terms := s.batchTerms()
	v.held = make(map[*target]bool, len(v.targets))
	for _, t := range v.targets {
		c := t.candidate(now, v.prior)
		free := c.Limit - c.OnlineTotal()
		if r.class == contract.Batch {
			free = route.BatchRoom(&c, terms)
		}
		since := t.room[r.class].observe(free > 0, now)
		if free <= 0 {
			continue
		}
		due := since.Add(route.Turn(t.key, self, wanting, free, t.takenSince(r.class, now.Add(-route.TurnTime))))
		if due.After(now) {
			v.held[t] = true
			s.serveAt(due, now)
		}
	}
}

// late reports whether a request can't be in time any more.
func (r *request) late(now time.Time) bool {
	if r.class == contract.Batch {
		return r.work.Late(now)
	}
	return r.online.Late(now, r.pool.prior)
}

// wanting returns the peers with requests of a class that wait for a slot.
func (s *scheduler) wanting(class contract.Class, now time.Time) (wanting []route.Wanting) {
	for peer, digest := range s.peers {
		waiting, late := digest.OnlineWaiting, digest.OnlineLate
		if class == contract.Batch {
			waiting, late = digest.BatchWaiting, digest.BatchLate
		}
		if waiting > 0 && now.Sub(digest.received) <= onlineLifetime {
			wanting = append(wanting, route.Wanting{Key: xxhash.Sum64String(peer), Late: late >= waiting})
		}
	}
	return wanting
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

// takenSince counts the requests of a class that this instance began on a target after a
// time.
func (t *target) takenSince(class contract.Class, since time.Time) int {
	n := 0
	for _, g := range t.slots {
		if g.class == class && g.started.After(since) {
			n++
		}
	}
	return n
}
