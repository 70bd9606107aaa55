package upstream

import (
	"errors"
	"time"

	"go.uber.org/zap"
)

// incarnation identifies one start of an upstream. An upstream without a start time is
// identified by its address as well.
type incarnation struct {
	id            string
	startedMillis int64
	address       string
}

func (t *target) incarnationKey() incarnation {
	if t.incarnation != 0 {
		return incarnation{id: t.id, startedMillis: t.incarnation}
	}
	return incarnation{id: t.id, address: t.address}
}

// maxLeavingUpstreams limits the incarnations that are remembered as leaving. It is
// several times the number of upstreams of a large fleet, so that those forgotten have
// long ended.
const maxLeavingUpstreams = 8192

// leavingUpstreams are the incarnations that announced in a response that they shut
// down. They are remembered beyond the removal of their targets, since the entry of an
// upstream may vanish and come back. Not safe for concurrent use.
type leavingUpstreams struct {
	known map[incarnation]bool
	// order has the known incarnations, from next on those added first.
	order []incarnation
	next  int
}

// add remembers an incarnation in place of the oldest one if there are too many. It
// reports false if it was known before.
func (l *leavingUpstreams) add(key incarnation) bool {
	if l.known[key] {
		return false
	}
	if l.known == nil {
		l.known = map[incarnation]bool{}
	}
	l.known[key] = true
	if len(l.order) < maxLeavingUpstreams {
		l.order = append(l.order, key)
		return true
	}
	delete(l.known, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % maxLeavingUpstreams
	return true
}

// recordLeaving records that an upstream announced in a response that it shuts down. A
// misplaced response comes from another upstream that now has the address; that of t has
// ended then.
func (s *scheduler) recordLeaving(t *target, h Head) {
	if !h.Leaving || t.announcedLeaving.Load() && !h.Misplaced {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markLeaving(t)
	for _, other := range s.fleet.targets {
		if h.Misplaced && other.address == t.address {
			s.markLeaving(other)
		}
	}
	s.assess(time.Now())
	s.serveQueues()
}

// markLeaving marks the incarnation of t for good. The caller holds the lock.
func (s *scheduler) markLeaving(t *target) {
	key := t.incarnationKey()
	if s.leaving.add(key) {
		s.log.Info("upstream announced its shutdown", zap.String("upstream", t.id), zap.String("address", t.address), zap.Int64("started", t.incarnation))
	}
	t.announcedLeaving.Store(true)
	if current, ok := s.fleet.targets[t.id]; ok && current.incarnationKey() == key {
		current.announcedLeaving.Store(true)
	}
}

// restoreLeaving marks the targets of the fleet whose incarnations are known to be
// leaving. The caller holds the lock.
func (s *scheduler) restoreLeaving() {
	for _, t := range s.fleet.targets {
		s.checkLeaving(t)
	}
}

// checkLeaving reports whether a target must not get new work, also if it was replaced
// before its incarnation announced its shutdown. The caller holds the lock.
func (s *scheduler) checkLeaving(t *target) bool {
	if s.leaving.known[t.incarnationKey()] {
		t.announcedLeaving.Store(true)
	}
	return t.leaving()
}

// errLeaving is the error of an attempt that was given up before anything was sent.
var errLeaving = errors.New("the upstream is shutting down")

// withheld returns the failure of an attempt whose upstream began to leave after the
// slot was granted, or nil if the request may be sent.
func (s *scheduler) withheld(granted *slot) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.checkLeaving(granted.target) {
		return nil
	}
	return &failure{err: errLeaving, withheld: true}
}
