package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// maxSlowness bounds the score of the own slowness.
const maxSlowness = 3

// maxAccused bounds the suspects that wait to be told.
const maxAccused = 8

// Membership keeps the view of the live instances. It is safe for concurrent
// use. The caller serves NewHandler(m) to peers before Run starts.
type Membership struct {
	options   Options
	log       *zap.Logger
	metrics   *metrics
	published atomic.Pointer[View]
	// relaying bounds the probes that this instance makes for others.
	relaying chan struct{}
	joined   chan struct{}
	joinOnce sync.Once
	// announce wakes the announcing loop after a change of the own entry.
	announce chan struct{}
	// accused passes members that were just suspected to the announcing loop.
	accused chan target
	// woken asks the announcing loop for a comparison after an own pause.
	woken chan struct{}

	// mu guards the fields below; it never covers I/O or hooks.
	mu    sync.Mutex
	table *table
	// notified is the last version that OnVersion was told of outside of the
	// period.
	notified  uint64
	listFails int
	listRead  time.Time
	// pulsed is when the process was last seen to run.
	pulsed time.Time
}

// New checks the options. Errors: code.InvalidSettings.
func New(o Options) (*Membership, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	metrics, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	m := &Membership{
		options:  o,
		log:      o.Logger,
		metrics:  metrics,
		relaying: make(chan struct{}, maxRelaying),
		joined:   make(chan struct{}),
		announce: make(chan struct{}, 1),
		accused:  make(chan target, maxAccused),
		woken:    make(chan struct{}, 1),
	}
	m.table = newTable(&m.options)
	m.observe()
	m.publish(true)
	if err := m.register(o.Registerer); err != nil {
		return nil, err
	}
	o.Lifecycle.OnChange(func(_, _ State) { m.Announce() })
	return m, nil
}

// View returns the present snapshot.
func (m *Membership) View() *View { return m.published.Load() }

// Joined is closed when the instance has compared memberships with another one,
// or found nobody who answers.
func (m *Membership) Joined() <-chan struct{} { return m.joined }

// Announce publishes the own state, version and load at once, instead of with
// the next period, and spreads a change of the state without delay.
func (m *Membership) Announce() {
	urgent := m.observe()
	m.publish(true)
	if urgent {
		m.spread()
	}
}

// spread has the watchers told of the own entry.
func (m *Membership) spread() {
	signal(m.announce)
}

// signal notes an event for the loop that reads c.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run probes, gossips and polls the list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.pulsed = time.Now()
	m.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { m.pulse(ctx) })
	loops.Go(func() { m.pollList(ctx) })
	loops.Go(func() { m.compare(ctx) })
	loops.Go(func() { m.probeLoop(ctx) })
	loops.Go(func() { m.announceLoop(ctx) })
	loops.Wait()
	return nil
}

// Leave tells the members that watch this instance that it has stopped, so that
// they need not find out. The lifecycle is stopped before.
func (m *Membership) Leave(ctx context.Context) {
	m.observe()
	m.tellWatchers(ctx)
}

// observe reads what the own instance says of itself, version and load outside of
// the lock. The state is read under it, so that an older one never follows.
func (m *Membership) observe() (urgent bool) {
	version := m.options.Version()
	load := m.options.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.observe(time.Now(), m.options.Lifecycle.State(), version, load)
}

// publish makes a new snapshot when the old one is stale or always is set.
func (m *Membership) publish(always bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if always || m.table.stale {
		m.published.Store(m.table.view())
	}
}

// receive takes in gossip and tells of a higher version.
func (m *Membership) receive(g *instancepb.Gossip) {
	own := m.options.Version()
	m.mu.Lock()
	m.refuting(func() { m.table.receive(time.Now(), g) })
	newest := m.table.newest
	tell := newest.version > own && newest.version > m.notified
	if tell {
		m.notified = newest.version
	}
	m.mu.Unlock()
	m.publish(false)
	if tell {
		m.options.OnVersion(newest.version, newest.address)
	}
}

// refuting runs change, spreads a refutation at once and takes the suspicion for
// a sign of own slowness. m.mu is held.
func (m *Membership) refuting(change func()) {
	before := m.table.counts.Refutations
	change()
	if m.table.counts.Refutations > before {
		m.adjust(1)
		m.spread()
	}
}

// adjust changes the score of the own slowness; m.mu is held.
func (m *Membership) adjust(by int) {
	m.table.slowness = min(max(m.table.slowness+by, 0), maxSlowness)
}

// remindVersion tells of a higher version for as long as there is one.
func (m *Membership) remindVersion() {
	own := m.options.Version()
	m.mu.Lock()
	source, ok := m.table.newerVersion(own)
	m.mu.Unlock()
	if ok {
		m.options.OnVersion(source.version, source.address)
	}
}

// jitter returns d changed by at most a tenth either way.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d + time.Duration((m.table.random.Float64()-0.5)*0.2*float64(d))
}

// sleep waits for d; it reports false when ctx ended.
func (m *Membership) sleep(ctx context.Context, d time.Duration) bool {
	wait(ctx, d)
	m.options.gate()
	return ctx.Err() == nil
}
