// Package guard adds retries, rate limits and circuit breakers to a storage.Store.
// Each instance wraps its store once and passes views of it to the packages that
// use it. A guard never retries a write that may have taken effect; ApplyOnce and
// PutOnce find out the outcome of such a write, for operations that carry a unique
// marker.
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

// Lane is a class of operations with its own rate limit, so that no class uses up
// the tokens of another.
type Lane string

const (
	// Urgent is for operations that a caller's request or a lease waits for.
	Urgent Lane = "urgent"
	// Poll is for periodic reads and clean-up. It has a small share of the rate,
	// and operations over it are rejected without a wait.
	Poll Lane = "poll"
	// Owner is for group commits, which a few instances run for all others. Its
	// rate is reserved from the store's rate before the rest is divided among the
	// instances. Reads in this lane count as Urgent.
	Owner Lane = "owner"
)

const (
	// urgentShare and pollShare divide an instance's rate between the lanes.
	urgentShare = 0.8
	pollShare   = 0.2

	defaultTimeout  = 3 * time.Second
	defaultAttempts = 4
	defaultMaxWait  = 2 * time.Second

	// retryShare is the number of retries that each operation adds to the retry
	// budget, retryReserve the largest number that the budget holds.
	retryShare   = 0.1
	retryReserve = 20
	// failureThreshold is the number of consecutive failures that open a breaker.
	failureThreshold = 5

	defaultWritesPerSec = 300
	defaultReadsPerSec  = 2000
	defaultOwnerWrites  = 120 // per second
	defaultMinOpen      = 500 * time.Millisecond
	defaultMaxOpen      = 15 * time.Second
	defaultBackoffMin   = 50 * time.Millisecond
	defaultBackoffMax   = 2 * time.Second

	// maxOwnerShare bounds the part of the store's write rate reserved for Owner.
	maxOwnerShare = 0.8
	// minBurstOperations is the smallest burst of a lane.
	minBurstOperations = 4
	// shareRefreshInterval is how often the rates are adjusted to the number of live
	// instances.
	shareRefreshInterval = time.Second
)

// Options configure a Guard. A zero value selects the default, which stands at the
// end of the field's comment.
type Options struct {
	// Store is the adapter to decorate; required.
	Store storage.Store
	// LiveInstances returns the number of live instances that share the store; nil means
	// one. It must not block.
	LiveInstances func() int
	// WritesPerSecond and ReadsPerSecond are the rates that the store accepts from
	// all instances together; 300 and 2000.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// OwnerWritesPerSecond is the part of WritesPerSecond reserved for the lane
	// Owner, at most 80 % of it; 120, or 80 % if that is less.
	OwnerWritesPerSecond float64
	// Timeout bounds one attempt. For Open it bounds the time until the first byte;
	// 3 s.
	Timeout time.Duration
	// MaxWait bounds the wait for a token in Urgent and Owner; 2 s.
	MaxWait time.Duration
	// Attempts bounds the attempts of one operation; 4.
	Attempts int
	// Backoff is the wait between attempts; Min 50 ms, Max 2 s.
	Backoff retry.Backoff
	// OpenTime bounds the time for which a breaker stays open. The time is random
	// between half of a limit and the limit, which doubles from Min to Max with
	// every failed probe; Min 500 ms, Max 15 s.
	OpenTime retry.Backoff
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
	// Logger receives the changes of the breakers' states; nil means none.
	Logger *zap.Logger
}

// Guard applies rate limits, circuit breakers and retries to the operations on one
// store. It is safe for concurrent use and starts no goroutine.
type Guard struct {
	options Options
	writes  *side
	reads   *side
	metrics *metrics
}

// New returns a Guard. Errors: code.InvalidSettings.
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
	if o.LiveInstances == nil {
		o.LiveInstances = func() int { return 1 }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	setDefault(&o.WritesPerSecond, defaultWritesPerSec)
	setDefault(&o.ReadsPerSecond, defaultReadsPerSec)
	setDefault(&o.OwnerWritesPerSecond, min(defaultOwnerWrites, maxOwnerShare*o.WritesPerSecond))
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.MaxWait, defaultMaxWait)
	setDefault(&o.Attempts, defaultAttempts)
	setDefault(&o.Backoff, retry.Backoff{Min: defaultBackoffMin, Max: defaultBackoffMax})
	setDefault(&o.OpenTime, retry.Backoff{Min: defaultMinOpen, Max: defaultMaxOpen})
	return o
}

// setDefault sets a field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// check returns code.InvalidSettings for options that are missing or out of range.
func (o Options) check() error {
	switch {
	case o.Store == nil:
		return code.New(code.InvalidSettings, "guard needs a store")
	case o.WritesPerSecond < 0 || o.ReadsPerSecond < 0 || o.OwnerWritesPerSecond < 0:
		return code.New(code.InvalidSettings, "rates of the store must not be negative")
	case o.OwnerWritesPerSecond > maxOwnerShare*o.WritesPerSecond:
		return code.New(code.InvalidSettings, "owner writes %g are over 80 in 100 of %g writes per second", o.OwnerWritesPerSecond, o.WritesPerSecond)
	case o.Timeout < 0 || o.MaxWait < 0 || o.Attempts < 0:
		return code.New(code.InvalidSettings, "times and attempts of the guard must not be negative")
	case o.OpenTime.Min <= 0 || o.OpenTime.Max < o.OpenTime.Min:
		return code.New(code.InvalidSettings, "open time %s to %s is not a range", o.OpenTime.Min, o.OpenTime.Max)
	}
	return nil
}

// View returns the guarded store for users of a lane.
func (g *Guard) View(lane Lane) storage.Store { return &view{guard: g, lane: lane} }

// run attempts an operation until it succeeds or fails with an error that is not
// retryable, or until its attempts or the retry budget are used up.
func (g *Guard) run(ctx context.Context, s *side, lane Lane, operation func(context.Context) error) error {
	s.budget.Earn()
	for attempt := 0; ; attempt++ {
		retryable, err := g.try(ctx, s, lane, operation)
		if !retryable || attempt+1 >= g.options.Attempts || !s.budget.Spend() {
			return err
		}
		g.metrics.retries.WithLabelValues(s.name).Inc()
		if g.options.Backoff.Sleep(ctx, attempt) != nil {
			return err
		}
	}
}

// try makes one attempt and reports whether a retry is allowed: only when the
// store itself failed the operation and it had no effect. An attempt rejected by
// the rate limit or the breaker is not retried.
func (g *Guard) try(ctx context.Context, s *side, lane Lane, operation func(context.Context) error) (retryable bool, err error) {
	if err := s.acquire(ctx, lane); err != nil {
		g.metrics.throttled.WithLabelValues(s.name, string(lane)).Inc()
		return false, err
	}
	if err := s.breaker.allow(time.Now()); err != nil {
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

// record records the result of an attempt in the breaker. An attempt that failed
// after its caller's context had ended is not counted, since the failure may be
// due to that.
func (g *Guard) record(ctx context.Context, s *side, err error) {
	failed := false
	switch code.Of(err) {
	case code.StoreUnavailable, code.StoreUnknown, code.Internal:
		failed = true
	}
	if failed && ctx.Err() != nil {
		s.breaker.abandon()
		return
	}
	change := s.breaker.record(time.Now(), failed)
	if change == noChange {
		return
	}
	if change == closed {
		s.emptyBuckets()
	}
	g.metrics.breakerOpen.WithLabelValues(s.name).Set(change.gaugeValue())
	g.options.Logger.Warn("store breaker changed", zap.String("side", s.name), zap.String("state", string(change)))
}
