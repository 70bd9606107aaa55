package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// maxSlowness bounds the slowness score of this instance.
const maxSlowness = 3

// maxQueuedSuspects bounds the suspects waiting to be notified.
const maxQueuedSuspects = 8

// Membership maintains the view of the live instances. It is safe for
// concurrent use. NewHandler(m) must be served to peers before Run starts.
type Membership struct {
	options   Options
	log       *zap.Logger
	metrics   *metrics
	published atomic.Pointer[View]
	// relaySlots bounds the probes that this instance makes for peers.
	relaySlots chan struct{}
	joined     chan struct{}
	joinOnce   sync.Once
	// advertise asks notifyLoop to send this instance's entry to its watchers.
	advertise chan struct{}
	// suspects queues suspects that notifyLoop notifies of the suspicion.
	suspects chan target
	// resync asks notifyLoop to synchronise after a pause of this process.
	resync chan struct{}

	// mu guards the fields below; it is never held during I/O or hooks.
	mu    sync.Mutex
	table *table
	// notifiedVersion is the highest version that OnVersion was called with
	// when gossip was received.
	notifiedVersion uint64
	// listFailures counts the failed reads of the platform's list since
	// listReadAt, when it was last read.
	listFailures int
	// unreadableEntries is the number of entries of the last list that could not be
	// read.
	unreadableEntries int
	listReadAt        time.Time
	// lastRunningAt is when the process was last observed to run.
	lastRunningAt time.Time
}

// New returns a Membership that does nothing until Run. It returns
// code.InvalidSettings if an option is missing or invalid.
func New(o Options) (*Membership, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	metrics, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	m := &Membership{
		options:    o,
		log:        o.Logger,
		metrics:    metrics,
		relaySlots: make(chan struct{}, maxRelayedProbes),
		joined:     make(chan struct{}),
		advertise:  make(chan struct{}, 1),
		suspects:   make(chan target, maxQueuedSuspects),
		resync:     make(chan struct{}, 1),
	}
	m.table = newTable(&m.options)
	m.updateSelf()
	m.publish(true)
	if err := m.registerMetrics(o.Registerer); err != nil {
		return nil, err
	}
	o.Lifecycle.OnChange(func(_, _ State) { m.Announce() })
	return m, nil
}

// View returns the current snapshot.
func (m *Membership) View() *View { return m.published.Load() }

// Joined returns a channel that is closed once the instance has synchronised
// with another one, or has found none that answers.
func (m *Membership) Joined() <-chan struct{} { return m.joined }

// Announce updates this instance's state, version and load in the view at once
// instead of with the next period. A change of state is also sent to the
// watchers.
func (m *Membership) Announce() {
	urgent := m.updateSelf()
	m.publish(true)
	if urgent {
		m.requestAdvertise()
	}
}

// requestAdvertise has notifyLoop send this instance's entry to its watchers.
func (m *Membership) requestAdvertise() {
	signal(m.advertise)
}

// signal sets a pending event on c unless one is pending already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run probes, gossips and polls the list until ctx ends. It always returns nil.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.lastRunningAt = time.Now()
	m.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { m.pauseCheckLoop(ctx) })
	loops.Go(func() { m.pollList(ctx) })
	loops.Go(func() { m.syncLoop(ctx) })
	loops.Go(func() { m.probeLoop(ctx) })
	loops.Go(func() { m.notifyLoop(ctx) })
	loops.Wait()
	return nil
}

// Leave tells the members that watch this instance that it has stopped, so that
// they need not detect it. The lifecycle must be stopped before.
func (m *Membership) Leave(ctx context.Context) {
	m.updateSelf()
	m.advertiseToWatchers(ctx)
}

// updateSelf updates this instance's own record. Version and load are read
// without the lock; the state is read under it, so that an older state never
// overwrites a newer one. It reports whether the state changed.
func (m *Membership) updateSelf() (urgent bool) {
	version := m.options.Version()
	load := m.options.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.updateSelf(time.Now(), m.options.Lifecycle.State(), version, load)
}

// publish stores a new snapshot when the old one is stale or always is set.
func (m *Membership) publish(always bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if always || m.table.stale {
		m.published.Store(m.table.view())
	}
}

// receive merges gossip and calls OnVersion if it names a higher version.
func (m *Membership) receive(g *instancepb.Gossip) {
	own := m.options.Version()
	m.mu.Lock()
	m.mergeAndRefute(func() { m.table.receive(time.Now(), g) })
	newest := m.table.newest
	notify := newest.version > own && newest.version > m.notifiedVersion
	if notify {
		m.notifiedVersion = newest.version
	}
	m.mu.Unlock()
	m.publish(false)
	if notify {
		m.options.OnVersion(newest.version, newest.address)
	}
}

// mergeAndRefute runs merge. If that refuted a suspicion of this instance, it
// advertises the refutation at once and raises the slowness score, since the
// suspicion indicates that this instance is slow. m.mu is held.
func (m *Membership) mergeAndRefute(merge func()) {
	before := m.table.counts.Refutations
	merge()
	if m.table.counts.Refutations > before {
		m.adjustSlowness(1)
		m.requestAdvertise()
	}
}

// adjustSlowness changes the slowness score by delta, within 0 and maxSlowness.
// m.mu is held.
func (m *Membership) adjustSlowness(delta int) {
	m.table.slowness = min(max(m.table.slowness+delta, 0), maxSlowness)
}

// notifyVersion calls OnVersion if a member has a version above this
// instance's. It runs every period, so that the call is repeated for as long as
// there is one.
func (m *Membership) notifyVersion() {
	own := m.options.Version()
	m.mu.Lock()
	source, ok := m.table.newerVersion(own)
	m.mu.Unlock()
	if ok {
		m.options.OnVersion(source.version, source.address)
	}
}

// jitter returns d changed by up to 10 % either way.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d + time.Duration((m.table.random.Float64()-0.5)*0.2*float64(d))
}

// sleep waits for d; it returns false when ctx has ended.
func (m *Membership) sleep(ctx context.Context, d time.Duration) bool {
	wait(ctx, d)
	m.options.pausePoint()
	return ctx.Err() == nil
}
