package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// Causes with which the scheduler ends attempts.
var (
	errPreempted = errors.New("online work took the slot")
	errMoved     = errors.New("the upstream is far slower than others")
	errStalled   = errors.New("the upstream sent no token in time")
	errLost      = errors.New("another attempt was faster")
)

// request is what the scheduler has to know of a call.
type request struct {
	pool    *pool
	class   contract.Class
	account string
	weight  int
	long    bool
	// expected is the estimated length of the answer in tokens.
	expected int
	// firm requests may be dispatched once only and are never cancelled for
	// others.
	firm     bool
	affinity uint64
	// avoid is the key of the upstream that just failed the request.
	avoid    uint64
	deadline time.Time
	// online orders the online requests of an account, work the batch requests.
	online route.OnlineWork
	work   route.BatchWork
}

// waiter is a request that waits for a slot.
type waiter struct {
	request
	ctx     context.Context
	granted chan *slot
}

// scheduler decides which attempt runs where. Its lock is held for decisions
// only, never for I/O.
type scheduler struct {
	metrics *metrics
	log     *zap.Logger
	policy  route.Policy
	// urgent is called, with the lock held, when online work needs slots of an
	// upstream that batch work of other instances holds. It must not block.
	urgent func()
	// changed is called, with the lock held, when what this instance has in
	// flight has changed. It must not block.
	changed func()

	mu     sync.Mutex
	random *rand.Rand
	fleet  *fleet
	peers  map[string]*peerDigest
	// turns is nil when peers learn of each other's load at intervals only.
	turns *turns
	// peersAt is when the digests were summed up last.
	peersAt time.Time
	// sequence is that of the last digest. It begins at the time of the start, so
	// that it goes on upwards after a restart, and is a counter from there on, so
	// that a step of the time of day holds no digest back.
	sequence uint64
	// peerHeard is when a digest of any peer was taken in last.
	peerHeard time.Time
}

func newScheduler(seed uint64, policy route.Policy, m *metrics, log *zap.Logger) *scheduler {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &scheduler{
		metrics: m,
		log:     log,
		policy:  policy,
		urgent:  func() {},
		changed: func() {},
		random:  rand.New(rand.NewPCG(seed, seed)),
		fleet:   &fleet{},
		peers:   map[string]*peerDigest{},

		sequence: uint64(time.Now().UnixNano()),
	}
}

// adopt takes a new fleet into use.
func (s *scheduler) adopt(f *fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = f
	now := time.Now()
	s.applyPeers(now)
	s.assess(now)
	s.pump()
}

// acquire waits for a slot until ctx ends. It refuses at once when the wait
// would last past the deadline.
func (s *scheduler) acquire(ctx context.Context, r request) (*slot, error) {
	return s.acquireFor(ctx, ctx, r)
}

// acquireFor is acquire for an attempt whose context is run; it waits until the
// end of ctx only.
func (s *scheduler) acquireFor(ctx, run context.Context, r request) (*slot, error) {
	s.mu.Lock()
	if s.mayPass(&r) {
		if given := s.place(run, &r); given != nil {
			s.mu.Unlock()
			return given, nil
		}
	}
	if err := s.refusal(&r, time.Now()); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	w := &waiter{request: r, ctx: run, granted: make(chan *slot, 1)}
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

// tryAcquire returns a slot that is free now, or nil.
func (s *scheduler) tryAcquire(ctx context.Context, r request) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.place(ctx, &r)
}

// tryFirst returns a slot that is free now for a request that may pass those
// that wait, or nil.
func (s *scheduler) tryFirst(ctx context.Context, r request) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayPass(&r) {
		return nil
	}
	return s.place(ctx, &r)
}

// mayPass reports whether a request may be placed before those that wait.
func (s *scheduler) mayPass(r *request) bool {
	if r.class == contract.Batch {
		return len(r.pool.batch) == 0
	}
	return r.queue().waiting == 0
}

// queue returns the queue of an online request.
func (r *request) queue() *queue {
	if r.long {
		return &r.pool.history.long
	}
	return &r.pool.short
}

func (s *scheduler) enqueue(w *waiter) {
	if w.class == contract.Batch {
		w.pool.batch = append(w.pool.batch, w)
		if len(w.pool.batch) == 1 {
			s.changed()
		}
		return
	}
	w.queue().push(w)
	s.changed()
	w.pool.noteDemand(time.Now())
}

// abandon takes a waiter out of the queue, or gives back what it was granted.
func (s *scheduler) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.class == contract.Batch {
		if i := slices.Index(w.pool.batch, w); i >= 0 {
			w.pool.batch = slices.Delete(w.pool.batch, i, i+1)
		}
	} else {
		w.queue().remove(w)
	}
	select {
	case given := <-w.granted:
		given.cancel(nil)
		given.target.drop(given)
		s.pump()
	default:
	}
}

// place finds a slot for a request, or returns nil.
func (s *scheduler) place(ctx context.Context, r *request) *slot {
	now := time.Now()
	v := &view{targets: r.pool.open, now: now, prior: r.pool.prior}
	s.takeTurns(v, r, now)
	q := route.Query{
		Class:    r.class,
		Long:     r.long,
		Affinity: r.affinity,
		Avoid:    r.avoid,
		Prior:    r.pool.prior,
		Batch:    s.batchTerms(),
		Policy:   s.policy,
		Turn:     r.pool.turn,
	}
	if r.long {
		q.ShortReserve = r.pool.shortPeak.ShortReserve(len(v.targets))
	}
	if len(v.targets) == 1 {
		q.Avoid = 0
	}
	i := route.Choose(v, &q, s.random)
	if i < 0 {
		return nil
	}
	r.pool.turn++
	return s.grant(ctx, r, v.targets[i], now)
}

func (s *scheduler) batchTerms() route.BatchTerms {
	return route.BatchTerms{
		Share:       s.fleet.preset.BatchShare,
		Headroom:    s.fleet.preset.HeadroomSlots,
		Reserve:     s.reserve(),
		OnlineWaits: s.onlineWaits(),
	}
}

func (s *scheduler) onlineWaits() bool {
	for _, p := range s.fleet.pools {
		if p.short.waiting > 0 || p.history.long.waiting > 0 {
			return true
		}
	}
	return s.peersWaiting(time.Now()) > 0
}

func (s *scheduler) grant(ctx context.Context, r *request, t *target, now time.Time) *slot {
	given := &slot{target: t, pool: r.pool, class: r.class, long: r.long, firm: r.firm, expected: r.expected, work: r.work, started: now}
	given.load = t.placement(now)
	given.ctx, given.cancel = context.WithCancelCause(ctx)
	t.add(given)
	s.changed()
	r.pool.noteDemand(now)
	if r.pool.isEjected(t) {
		t.probed = now
		r.pool.open = slices.DeleteFunc(r.pool.open, func(o *target) bool { return o == t && len(r.pool.open) > 1 })
	}
	if r.class == contract.Online {
		s.yield(t, now)
	}
	return given
}

// yield cancels batch attempts on t that are in the way of online work.
func (s *scheduler) yield(t *target, now time.Time) {
	if t.batch+t.peers.batch == 0 {
		return
	}
	c := t.candidate(now, 0)
	terms := s.batchTerms()
	for range s.excess(t, &c, terms) {
		s.preempt(t)
	}
	if t.peers.batch > 0 && route.InTheWay(&c, terms) {
		s.urgent()
	}
}

// preempt cancels the batch attempt on t that can best wait; among equals the
// one that started last, which has the least to compute again.
func (s *scheduler) preempt(t *target) {
	var victim *slot
	now := time.Now()
	for _, g := range slices.Backward(t.slots) {
		if g.class != contract.Batch || g.firm {
			continue
		}
		if victim == nil || g.workAt(now).YieldsBefore(victim.workAt(now), now) {
			victim = g
		}
	}
	if victim == nil {
		return
	}
	t.drop(victim)
	s.changed()
	victim.cancel(errPreempted)
	s.metrics.preemptions.Inc()
}

// discard ends an attempt whose result is not needed and frees its slot at
// once.
func (s *scheduler) discard(given *slot) {
	given.cancel(errLost)
	s.release(given, time.Now())
}

// release gives a slot back; it may be called more than once.
func (s *scheduler) release(given *slot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if given.target.drop(given) {
		s.changed()
		s.observeEnd(given, now)
		s.pump()
	}
}

// pump grants free slots to waiters: short online ones first, then long ones,
// then batch.
func (s *scheduler) pump() {
	for _, p := range s.fleet.pools {
		s.serve(&p.short, p.prior)
		s.serve(&p.history.long, p.prior)
	}
	for _, p := range s.fleet.pools {
		s.serveBatch(p)
	}
}

// serveBatch grants free slots to batch requests in their order.
func (s *scheduler) serveBatch(p *pool) {
	for len(p.batch) > 0 {
		first, now := 0, time.Now()
		for i := range p.batch {
			if p.batch[i].work.Before(p.batch[first].work, now) {
				first = i
			}
		}
		if !s.give(p.batch[first]) {
			return
		}
		p.batch = slices.Delete(p.batch, first, first+1)
	}
}

// serve grants free slots to online requests; first is the time from a slot to
// the first byte.
func (s *scheduler) serve(q *queue, first time.Duration) {
	for {
		w := q.front(time.Now(), first)
		if w == nil || !s.give(w) {
			return
		}
		q.pop(w)
	}
}

func (s *scheduler) give(w *waiter) bool {
	given := s.place(w.ctx, &w.request)
	if given == nil {
		return false
	}
	w.granted <- given
	return true
}
