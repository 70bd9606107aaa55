package upstream

import (
	"slices"
	"time"
)

// serveQueues grants free slots to waiters: first to short online requests, then to
// long ones, then to batch requests. The caller holds the lock.
func (s *scheduler) serveQueues() {
	for _, p := range s.fleet.pools {
		s.serveOnline(&p.shortQueue, p.medianFirstToken)
		s.serveOnline(&p.poolState.longQueue, p.medianFirstToken)
	}
	for _, p := range s.fleet.pools {
		s.serveBatch(p)
	}
}

// serveBatch grants free slots to batch requests, most urgent first.
func (s *scheduler) serveBatch(p *pool) {
	for len(p.batchQueue) > 0 {
		first, now := 0, time.Now()
		for i := range p.batchQueue {
			if p.batchQueue[i].batchWork.Before(p.batchQueue[first].batchWork, now) {
				first = i
			}
		}
		if !s.tryGrant(p.batchQueue[first]) {
			return
		}
		p.batchQueue = slices.Delete(p.batchQueue, first, first+1)
	}
}

// serveOnline grants free slots to the online requests of a queue; first is the
// expected time from a slot to the first token.
func (s *scheduler) serveOnline(q *queue, first time.Duration) {
	for {
		s.markOverShare(q)
		w := q.next(time.Now(), first)
		if w == nil || !s.tryGrant(w) {
			return
		}
		q.pop(w)
	}
}

// tryGrant grants a waiter a slot. It reports false if there is none.
func (s *scheduler) tryGrant(w *waiter) bool {
	granted := s.place(w.ctx, &w.request)
	if granted == nil {
		return false
	}
	w.granted <- granted
	return true
}
