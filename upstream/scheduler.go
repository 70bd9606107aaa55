package upstream

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// Causes with which the scheduler cancels attempts.
var (
	errPreempted = errors.New("online work took the slot")
	errMigrated  = errors.New("the upstream is far slower than others")
	errStalled   = errors.New("the upstream sent no token in time")
	errHedgeLost = errors.New("another attempt was faster")
)

// request is the scheduler's view of a call.
type request struct {
	pool    *pool
	class   contract.Class
	account string
	weight  int
	// priority is the priority of an online request; 0 is the highest.
	priority int
	// share is the part of the capacity that the account of a routed service is entitled
	// to; 0 if the deployment has no such accounts.
	share float64
	// accountHash is the hash of the service and the account, 0 if there is no share.
	accountHash uint32
	long        bool
	// expectedTokens is the estimated length of the answer.
	expectedTokens int
	// dispatchOnce is set for requests that may be dispatched only once. They are never
	// cancelled in favour of others.
	dispatchOnce bool
	// begun is set for online requests whose callers have received a part of the answer.
	// They wait for a slot until they are cancelled.
	begun bool
	// affinity is a hash of the beginning of the conversation, 0 if there is none.
	affinity uint64
	// avoid is the key of the upstream at which the request just failed.
	avoid uint64
	// steadySince excludes the upstreams that have failed since, or were not known then; the
	// zero time excludes none.
	steadySince time.Time
	deadline    time.Time
	// onlineWork orders the online requests of an account, batchWork the batch
	// requests.
	onlineWork route.OnlineWork
	batchWork  route.BatchWork
}

// waiter is a request that waits for a slot.
type waiter struct {
	request
	// ctx is the context of the attempt.
	ctx context.Context
	// granted receives the slot. It is closed if no upstream of the service takes work.
	granted chan *slot
	// refusal is why the request is refused while it waits. It is set before granted is
	// closed.
	refusal error
}

// scheduler decides which attempt runs on which upstream. Its lock is held for
// decisions only, never during I/O.
type scheduler struct {
	metrics *metrics
	log     *zap.Logger
	policy  route.Policy
	// onPeersBlocking is called, with the lock held, when online work needs slots at an
	// upstream that batch work of other instances occupies. It must not block.
	onPeersBlocking func()
	// onLoadChange is called, with the lock held, when this instance's load changes. It
	// must not block.
	onLoadChange func()

	mu          sync.Mutex
	random      *rand.Rand
	fleet       *fleet
	peerDigests map[string]*peerDigest
	// peerRunning counts the online requests of accounts at peers, as their digests tell.
	peerRunning map[uint32]int
	// overShare has the waiting accounts over their share at the last sweep, by their
	// hashes.
	overShare map[uint32]string
	leaving   leavingUpstreams
	// turns is nil if peers exchange their load only at intervals.
	turns *turns
	// watch is nil unless the capacity of upstreams is learned.
	watch *watch
	// peerLoadsSummedAt is when the peer loads of the targets were last computed.
	peerLoadsSummedAt time.Time
	// sequence is that of the last digest. It starts at the current time, so that it is
	// higher after a restart, and is then incremented, so that a clock that is set back
	// does not make peers ignore digests.
	sequence uint64
	// lastDigestAt is when the last digest of any peer was received.
	lastDigestAt time.Time
}

func newScheduler(seed uint64, policy route.Policy, m *metrics, log *zap.Logger) *scheduler {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &scheduler{
		metrics:         m,
		log:             log,
		policy:          policy,
		onPeersBlocking: func() {},
		onLoadChange:    func() {},
		random:          rand.New(rand.NewPCG(seed, seed)),
		fleet:           &fleet{},
		peerDigests:     map[string]*peerDigest{},
		peerRunning:     map[uint32]int{},

		sequence: uint64(time.Now().UnixNano()),
	}
}

// setFleet replaces the fleet. It rejects the requests that wait for a service that f
// does not have, since their queues are not served any more.
func (s *scheduler) setFleet(f *fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.fleet.pools {
		if next, ok := f.pools[name]; !ok || next.poolState != p.poolState {
			p.rejectWaiters()
		}
	}
	f.keepUsedTargets(s.fleet)
	old := s.fleet
	s.fleet = f
	s.restoreLeaving()
	for _, digest := range s.peerDigests {
		digest.resolve(f)
	}
	now := time.Now()
	s.recordFirstUse(old, now)
	if s.watch != nil {
		s.setCurves(f)
	}
	s.leaveUnusedTargets()
	s.sumPeerLoads(now)
	s.assess(now)
	s.serveQueues()
}

// acquire waits for a slot until ctx ends. It returns an error at once if the request is
// rejected, for example because the expected wait exceeds its deadline.
func (s *scheduler) acquire(ctx context.Context, r request) (*slot, error) {
	return s.acquireFor(ctx, ctx, r)
}

// acquireFor is like acquire, but gives the attempt the context attemptCtx: ctx only
// limits the wait.
func (s *scheduler) acquireFor(ctx, attemptCtx context.Context, r request) (*slot, error) {
	s.mu.Lock()
	if !s.isCurrent(r.pool) {
		s.mu.Unlock()
		return nil, serviceGoneError(r.pool)
	}
	if s.isQueueEmpty(&r) {
		if granted := s.place(attemptCtx, &r); granted != nil {
			s.mu.Unlock()
			return granted, nil
		}
	}
	if err := s.admissionError(&r, time.Now()); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	w := &waiter{request: r, ctx: attemptCtx, granted: make(chan *slot, 1)}
	s.enqueue(w)
	s.mu.Unlock()
	select {
	case granted, ok := <-w.granted:
		if !ok {
			return nil, cmp.Or(w.refusal, serviceGoneError(r.pool))
		}
		return granted, nil
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

// tryAcquireInTurn returns a slot that is free now, or nil. It returns nil if other
// requests wait in the request's queue.
func (s *scheduler) tryAcquireInTurn(ctx context.Context, r request) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent(r.pool) || !s.isQueueEmpty(&r) {
		return nil
	}
	return s.place(ctx, &r)
}

// isQueueEmpty reports whether no other request waits in the request's queue, so that
// it may be placed at once.
func (s *scheduler) isQueueEmpty(r *request) bool {
	if r.class == contract.Batch {
		return len(r.pool.batchQueue) == 0
	}
	return r.queue().waiting == 0
}

// queue returns the queue of an online request.
func (r *request) queue() *queue {
	if r.long {
		return &r.pool.poolState.longQueue
	}
	return &r.pool.shortQueue
}

func (s *scheduler) enqueue(w *waiter) {
	if w.class == contract.Batch {
		w.pool.batchQueue = append(w.pool.batchQueue, w)
		if len(w.pool.batchQueue) == 1 {
			s.onLoadChange()
		}
		return
	}
	w.queue().push(w)
	s.onLoadChange()
	w.pool.observeDemand(time.Now())
}

// isCurrent reports whether the fleet has the service of p, so that its queues are served
// and its targets are in use. The caller holds the lock.
func (s *scheduler) isCurrent(p *pool) bool {
	current, ok := s.fleet.pools[p.name]
	return ok && current.poolState == p.poolState
}

func serviceGoneError(p *pool) error {
	return code.New(code.NoUpstream, "service %q has no upstream that takes work any more", p.name).WithRetryAfter(defaultRetryHint)
}

// abandon removes a waiter from its queue, or releases the slot that it was granted in
// the meantime.
func (s *scheduler) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.class == contract.Batch {
		if i := slices.Index(w.pool.batchQueue, w); i >= 0 {
			w.pool.batchQueue = slices.Delete(w.pool.batchQueue, i, i+1)
		}
	} else {
		w.queue().remove(w)
	}
	select {
	case granted, ok := <-w.granted:
		if !ok {
			return
		}
		granted.cancel(nil)
		granted.target.drop(granted)
		s.serveQueues()
	default:
	}
}

// place grants a request a free slot, or returns nil if there is none. The caller holds
// the lock.
func (s *scheduler) place(ctx context.Context, r *request) *slot {
	now := time.Now()
	t := s.choose(r, now)
	if t == nil {
		return nil
	}
	r.pool.placements++
	return s.grant(ctx, r, t, now)
}

// placeElsewhere grants a request a free slot of another target than t, or returns nil if
// there is none or others wait for one.
func (s *scheduler) placeElsewhere(ctx context.Context, t *target, r request) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent(r.pool) || !s.isQueueEmpty(&r) {
		return nil
	}
	r.avoid = t.key
	now := time.Now()
	chosen := s.choose(&r, now)
	if chosen == nil || chosen == t {
		return nil
	}
	r.pool.placements++
	return s.grant(ctx, &r, chosen, now)
}

// placeBeside grants a request a further slot of t, also if none is free. It returns nil if t
// takes no new work.
func (s *scheduler) placeBeside(ctx context.Context, t *target, r request) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.isCurrent(r.pool) || !s.fleet.hasInPool(r.pool.name, t) || s.checkLeaving(t) || !t.takesWork(now) {
		return nil
	}
	return s.grant(ctx, &r, t, now)
}

// choose returns the target whose free slot a request should take, or nil if there is
// none. The caller holds the lock.
func (s *scheduler) choose(r *request, now time.Time) *target {
	v := &targetView{targets: r.pool.open, now: now, medianFirstToken: r.pool.medianFirstToken, isOnly: len(r.pool.open) == 1, steadySince: r.steadySince}
	if s.isOverShare(r) && !r.pool.hasHeadroom(now) {
		return nil
	}
	v.leftOut = s.leftOut(r.pool, now)
	s.deferToPeers(v, r, now)
	q := route.Query{
		Class:    r.class,
		Long:     r.long,
		Affinity: r.affinity,
		Exclude:  r.avoid,
		Prior:    r.pool.medianFirstToken,
		Batch:    s.batchLimits(),
		Policy:   s.policy,
		Position: r.pool.placements,
	}
	if r.long {
		q.ShortReserve = r.pool.shortPeak.ShortReserve(len(v.targets))
	}
	if v.isOnly {
		q.Exclude = 0
	}
	i := s.chooseWithinKnee(v, &q)
	if i < 0 {
		return nil
	}
	return v.targets[i]
}

// batchLimits returns the limits of batch work under the preset in force.
func (s *scheduler) batchLimits() route.BatchLimits {
	return route.BatchLimits{
		Share:         s.fleet.preset.BatchShare,
		Headroom:      s.fleet.preset.HeadroomSlots,
		Reserve:       s.onlineReserve(),
		OnlineWaiting: s.onlineWaits(),
	}
}

// onlineWaits reports whether an online request waits for a slot at this instance or,
// as far as known, at a peer.
func (s *scheduler) onlineWaits() bool {
	for _, p := range s.fleet.pools {
		if p.shortQueue.waiting > 0 || p.poolState.longQueue.waiting > 0 {
			return true
		}
	}
	return s.peerOnlineWaiting(time.Now()) > 0
}

// grant gives a request a slot of t, and lets batch work on t yield if the request is
// online. The caller holds the lock.
func (s *scheduler) grant(ctx context.Context, r *request, t *target, now time.Time) *slot {
	granted := &slot{target: t, pool: r.pool, class: r.class, long: r.long, dispatchOnce: r.dispatchOnce, expectedTokens: r.expectedTokens, batchWork: r.batchWork, startedAt: now}
	granted.accountHash = r.accountHash
	granted.load = t.knownLoad(now)
	granted.steady.limit = s.learnLimit(r.pool)
	granted.ctx, granted.cancel = context.WithCancelCause(ctx)
	t.add(granted)
	s.onLoadChange()
	r.pool.observeDemand(now)
	if r.pool.isEjected(t) {
		t.lastProbeAt = now
		r.pool.open = slices.DeleteFunc(r.pool.open, func(o *target) bool { return o == t && len(r.pool.open) > 1 })
	}
	if r.class == contract.Online {
		s.yield(t, now)
	}
	return granted
}

// discard cancels an attempt whose result is not needed and releases its slot at once.
func (s *scheduler) discard(granted *slot) {
	granted.cancel(errHedgeLost)
	s.release(granted, time.Now())
}

// release releases a slot. It may be called more than once.
func (s *scheduler) release(granted *slot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if granted.target.drop(granted) {
		s.onLoadChange()
		s.observeEnd(granted, now)
		s.serveQueues()
	}
}
