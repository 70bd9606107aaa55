// Package guard decorates a storage.Store with the one retry policy, the rate
// limits and the circuit breakers that every instance applies to the platform.
// Each process wraps its adapter once and hands views of it to the parts. The
// guard never repeats a write that may have taken effect: ApplyOnce and PutOnce
// resolve such a write for callers whose operation carries a unique marker.
package guard

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// Lane separates the users of the store, so that none waits for the tokens of
// another.
type Lane string

const (
	// Urgent is for operations that a caller or a lease waits for.
	Urgent Lane = "urgent"
	// Poll is for periodic reads and clean-up; it has a small share of its own
	// and is refused at once when that is used up.
	Poll Lane = "poll"
	// Owner is for group commits, which few instances run for all. Its rate is
	// taken from the store's rate before the rest is shared out.
	Owner Lane = "owner"
)

// Shares and defaults.
const (
	urgentShare          = 0.8
	pollShare            = 0.2
	defaultTimeout       = 3 * time.Second
	defaultAttempts      = 4
	defaultMaxWait       = 2 * time.Second
	retryShare           = 0.1
	retryReserve         = 20
	circuitFailures      = 5
	defaultWritesPerSec  = 300
	defaultReadsPerSec   = 2000
	defaultOwnerWrites   = 120
	defaultMinOpen       = 500 * time.Millisecond
	defaultMaxOpen       = 15 * time.Second
	defaultBackoffMin    = 50 * time.Millisecond
	defaultBackoffMax    = 2 * time.Second
	maxShareOwner        = 0.8
	minBurst             = 4
	shareRefreshInterval = time.Second
)

// Options configure a Guard. Zero values select the defaults named.
type Options struct {
	// Store is the adapter to decorate; required.
	Store storage.Store
	// Live returns the number of live instances that share the store; nil means
	// one. It must not block.
	Live func() int
	// WritesPerSecond and ReadsPerSecond are what the store bears from the whole
	// system; 300 and 2000.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// OwnerWritesPerSecond is set aside for group commits; 120, at most 80 in
	// 100 of WritesPerSecond.
	OwnerWritesPerSecond float64
	// Timeout bounds one attempt; 3 s.
	Timeout time.Duration
	// MaxWait bounds the wait for a token in Urgent and Owner; 2 s.
	MaxWait time.Duration
	// Attempts bounds the tries of one operation; 4.
	Attempts int
	// Backoff is the wait between tries; 50 ms to 2 s.
	Backoff retry.Backoff
	// Open is the time that a breaker stays open: between half of a limit that
	// doubles from Min to Max, and the limit; 500 ms to 15 s.
	Open retry.Backoff
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
	// Logger receives changes of the breakers; nil means none.
	Logger *zap.Logger
}

// Guard limits and repeats operations on one store. It is safe for concurrent
// use and starts no goroutine.
type Guard struct {
	options Options
	writes  *side
	reads   *side
	metrics *metrics
}

// New returns a Guard, or code.InvalidSettings.
func New(o Options) (*Guard, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	g := &Guard{options: o, metrics: m}
	g.writes = newSide("write", o, o.WritesPerSecond, o.OwnerWritesPerSecond)
	g.reads = newSide("read", o, o.ReadsPerSecond, 0)
	return g, nil
}

func (o Options) withDefaults() Options {
	if o.Live == nil {
		o.Live = func() int { return 1 }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	setDefault(&o.WritesPerSecond, defaultWritesPerSec)
	setDefault(&o.ReadsPerSecond, defaultReadsPerSec)
	setDefault(&o.OwnerWritesPerSecond, min(defaultOwnerWrites, maxShareOwner*o.WritesPerSecond))
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.MaxWait, defaultMaxWait)
	setDefault(&o.Attempts, defaultAttempts)
	setDefault(&o.Backoff, retry.Backoff{Min: defaultBackoffMin, Max: defaultBackoffMax})
	setDefault(&o.Open, retry.Backoff{Min: defaultMinOpen, Max: defaultMaxOpen})
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) check() error {
	switch {
	case o.Store == nil:
		return code.New(code.InvalidSettings, "guard needs a store")
	case o.WritesPerSecond < 0 || o.ReadsPerSecond < 0 || o.OwnerWritesPerSecond < 0:
		return code.New(code.InvalidSettings, "rates of the store must not be negative")
	case o.OwnerWritesPerSecond > maxShareOwner*o.WritesPerSecond:
		return code.New(code.InvalidSettings, "owner writes %g are over 80 in 100 of %g writes per second", o.OwnerWritesPerSecond, o.WritesPerSecond)
	case o.Timeout < 0 || o.MaxWait < 0 || o.Attempts < 0:
		return code.New(code.InvalidSettings, "times and attempts of the guard must not be negative")
	case o.Open.Min <= 0 || o.Open.Max < o.Open.Min:
		return code.New(code.InvalidSettings, "open time %s to %s is not a range", o.Open.Min, o.Open.Max)
	}
	return nil
}

// View returns the store as seen by users of a lane.
func (g *Guard) View(l Lane) storage.Store { return &view{guard: g, lane: l} }

// run tries an operation until it succeeds, fails for good, or uses up its
// attempts or the budget.
func (g *Guard) run(ctx context.Context, s *side, l Lane, operation func(context.Context) error) error {
	s.budget.Earn()
	for attempt := 0; ; attempt++ {
		again, err := g.try(ctx, s, l, operation)
		if !again || attempt+1 >= g.options.Attempts || !s.budget.Spend() {
			return err
		}
		g.metrics.retries.WithLabelValues(s.name).Inc()
		if g.options.Backoff.Sleep(ctx, attempt) != nil {
			return err
		}
	}
}

// try runs one attempt and reports whether another may follow.
func (g *Guard) try(ctx context.Context, s *side, l Lane, operation func(context.Context) error) (again bool, err error) {
	if err := s.take(ctx, l); err != nil {
		g.metrics.throttled.WithLabelValues(s.name, string(l)).Inc()
		return false, err
	}
	if err := s.circuit.admit(time.Now()); err != nil {
		g.metrics.rejected.WithLabelValues(s.name).Inc()
		return false, err
	}
	started := time.Now()
	err = operation(ctx)
	g.metrics.observe(s.name, err, time.Since(started))
	g.record(ctx, s, err)
	number := code.Of(err)
	return number == code.StoreUnavailable || number == code.StoreThrottled, err
}

// record tells the breaker of an attempt. The end of the caller's own context
// says nothing about the store.
func (g *Guard) record(ctx context.Context, s *side, err error) {
	failed := false
	switch code.Of(err) {
	case code.StoreUnavailable, code.StoreUnknown, code.Internal:
		failed = true
	}
	if failed && ctx.Err() != nil {
		s.circuit.abandon()
		return
	}
	change := s.circuit.record(time.Now(), failed)
	if change == unchanged {
		return
	}
	if change == closed {
		s.drain()
	}
	g.metrics.open.WithLabelValues(s.name).Set(change.gauge())
	g.options.Logger.Warn("store breaker changed", zap.String("side", s.name), zap.String("state", string(change)))
}
