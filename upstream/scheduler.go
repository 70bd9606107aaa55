package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// errPreempted is the cause of a batch attempt's end when online work took its
// slot.
var errPreempted = errors.New("online work took the slot")

// slot is the right of one attempt to run on an upstream.
type slot struct {
	target *target
	class  contract.Class
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// waiter is a call that waits for a slot.
type waiter struct {
	pool    *pool
	class   contract.Class
	avoid   *target
	ctx     context.Context
	granted chan *slot
}

// scheduler decides which attempt runs where. Its lock is held for decisions
// only, never for I/O.
type scheduler struct {
	metrics *metrics

	mu     sync.Mutex
	random *rand.Rand
	fleet  *fleet
	online []*waiter
	batch  []*waiter
}

func newScheduler(seed uint64, m *metrics) *scheduler {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &scheduler{metrics: m, random: rand.New(rand.NewPCG(seed, seed)), fleet: &fleet{}}
}

// adopt takes a new fleet into use.
func (s *scheduler) adopt(f *fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = f
	s.pump()
}

// acquire waits for a slot until ctx ends.
func (s *scheduler) acquire(ctx context.Context, p *pool, class contract.Class, avoid *target) (*slot, error) {
	w := &waiter{pool: p, class: class, avoid: avoid, ctx: ctx, granted: make(chan *slot, 1)}
	s.mu.Lock()
	if given := s.place(w); given != nil {
		s.mu.Unlock()
		return given, nil
	}
	s.enqueue(w)
	s.mu.Unlock()
	select {
	case given := <-w.granted:
		return given, nil
	case <-ctx.Done():
		s.abandon(w)
		return nil, context.Cause(ctx)
	}
}

func (s *scheduler) enqueue(w *waiter) {
	if w.class == contract.Batch {
		s.batch = append(s.batch, w)
		return
	}
	s.online = append(s.online, w)
}

// abandon takes a waiter out of the queue, or gives back what it was granted.
func (s *scheduler) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.online = slices.DeleteFunc(s.online, func(o *waiter) bool { return o == w })
	s.batch = slices.DeleteFunc(s.batch, func(o *waiter) bool { return o == w })
	select {
	case given := <-w.granted:
		s.remove(given)
		s.pump()
	default:
	}
}

// place finds a slot for w, or returns nil.
func (s *scheduler) place(w *waiter) *slot {
	var best *target
	start := s.random.IntN(max(len(w.pool.targets), 1))
	for i := range w.pool.targets {
		t := w.pool.targets[(start+i)%len(w.pool.targets)]
		if !s.admits(t, w) {
			continue
		}
		if best == nil || len(t.slots)-t.batch < len(best.slots)-best.batch {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return s.grant(best, w)
}

func (s *scheduler) admits(t *target, w *waiter) bool {
	if t.leaving() || time.Now().Before(t.down) || (t == w.avoid && len(w.pool.targets) > 1) {
		return false
	}
	capacity := t.terms.Load().Slots
	if w.class == contract.Online {
		return len(t.slots)-t.batch < capacity
	}
	preset := s.fleet.document.Active()
	spare := float64(capacity-preset.HeadroomSlots-(len(t.slots)-t.batch)) * preset.BatchShare
	return len(s.online) == 0 && len(t.slots) < capacity && float64(t.batch+1) <= spare
}

func (s *scheduler) grant(t *target, w *waiter) *slot {
	if w.class == contract.Online && len(t.slots) >= t.terms.Load().Slots {
		s.preempt(t)
	}
	given := &slot{target: t, class: w.class}
	given.ctx, given.cancel = context.WithCancelCause(w.ctx)
	t.slots = append(t.slots, given)
	if w.class == contract.Batch {
		t.batch++
	}
	return given
}

// preempt cancels one batch attempt on t.
func (s *scheduler) preempt(t *target) {
	i := slices.IndexFunc(t.slots, func(o *slot) bool { return o.class == contract.Batch })
	if i < 0 {
		return
	}
	victim := t.slots[i]
	s.remove(victim)
	victim.cancel(errPreempted)
}

// remove takes a slot off its target; it does nothing when that was done
// before.
func (s *scheduler) remove(given *slot) {
	t := given.target
	i := slices.Index(t.slots, given)
	if i < 0 {
		return
	}
	t.slots = slices.Delete(t.slots, i, i+1)
	if given.class == contract.Batch {
		t.batch--
	}
}

// release gives a slot back.
func (s *scheduler) release(given *slot) {
	given.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(given)
	s.pump()
}

// suspend keeps new work off an upstream for a while.
func (s *scheduler) suspend(t *target, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.down = time.Now().Add(d)
}

// pump grants free slots to waiters, online ones first.
func (s *scheduler) pump() {
	s.online = s.serve(s.online)
	s.batch = s.serve(s.batch)
}

func (s *scheduler) serve(queue []*waiter) []*waiter {
	kept := queue[:0]
	for _, w := range queue {
		if given := s.place(w); given != nil {
			w.granted <- given
			continue
		}
		kept = append(kept, w)
	}
	clear(queue[len(kept):])
	return kept
}
