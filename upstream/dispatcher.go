// Package upstream sends requests to the upstreams and returns complete answers.
// Dispatcher.Complete runs calls of model services, whose upstreams are engines with an
// OpenAI-compatible interface; Dispatcher.Call runs calls of plain services;
// Dispatcher.Forward passes opaque requests to routed services.
//
// The package gathers what is known of the upstreams and lets package route decide
// where and when a request runs. It resumes broken streams on another upstream and
// cancels batch work when online work needs the slot. It keeps no durable state and
// makes no call of the platform's store.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// Options configures a Dispatcher.
type Options struct {
	// Document returns the configuration in force, or nil before there is one. It is
	// called for every request and must not block. Required.
	Document func() *contract.Document
	// DataCentre is the data centre in which this instance runs.
	DataCentre string
	// InstanceID determines this instance's subset of the upstreams.
	InstanceID string
	// Transport is the template of the connections to upstreams. Online calls, batch
	// calls, calls that must not be repeated, and load reports each get a copy. Nil
	// means a default transport.
	Transport *http.Transport
	// Wire writes and reads the headers of routed services; nil if there are none.
	Wire Wire
	// Quarantine keeps prompts that crash upstreams from them; nil if nothing does.
	Quarantine Quarantine
	// Logger may be nil.
	Logger *zap.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
	// SubsetSize limits the number of upstreams of a service that this instance uses; 0
	// means DefaultSubsetSize.
	SubsetSize int
	// PollInterval is the time between two load reports of an engine; 0 means
	// DefaultPollInterval.
	PollInterval time.Duration
	// SweepInterval is the time between two health assessments of all upstreams; 0
	// means DefaultSweepInterval.
	SweepInterval time.Duration
	// LearnCapacity makes this instance learn the capacity of each upstream, and exchange
	// with its peers which upstreams do not respond.
	LearnCapacity bool
	// Policy is the policy by which an upstream is chosen. Policies other than
	// route.Adaptive neither eject nor hedge; they exist for comparison.
	Policy route.Policy
	// Seed is the seed of random choices; 0 means a random seed.
	Seed uint64
}

const (
	// DefaultSubsetSize is large enough for an even load with two random choices.
	DefaultSubsetSize = 32
	// DefaultPollInterval keeps the time until a draining upstream is noticed below
	// 3 s. A shorter interval costs more traffic than it gains, since reports lag
	// behind anyway.
	DefaultPollInterval = 2 * time.Second
	// probePollInterval is the time between two checks for probes that are due.
	probePollInterval = 500 * time.Millisecond
)

// Dispatcher sends requests to upstreams. It is safe for concurrent use. Run must be
// running for as long as the Dispatcher is used.
type Dispatcher struct {
	options    Options
	log        *zap.Logger
	transports transports
	metrics    *metrics
	sched      *scheduler

	// refreshMu serialises the replacement of fleet.
	refreshMu sync.Mutex
	fleet     atomic.Pointer[fleet]

	// calls counts the calls that have not returned.
	calls atomic.Int64
}

// New returns a Dispatcher. It returns an error if an option is invalid or the metrics
// cannot be registered.
func New(o Options) (*Dispatcher, error) {
	if o.Document == nil {
		return nil, errors.New("upstream: Options.Document is nil")
	}
	if o.SubsetSize < 0 || o.PollInterval < 0 {
		return nil, errors.New("upstream: Options.SubsetSize and PollInterval must not be negative")
	}
	if o.SubsetSize == 0 {
		o.SubsetSize = DefaultSubsetSize
	}
	if o.PollInterval == 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.SweepInterval == 0 {
		o.SweepInterval = DefaultSweepInterval
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	metrics, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{options: o, log: o.Logger, transports: newTransports(o.Transport), metrics: metrics}
	d.sched = newScheduler(o.Seed, o.Policy, metrics, o.Logger)
	if o.LearnCapacity {
		d.sched.watch = &watch{}
	}
	d.fleet.Store(&fleet{})
	return d, nil
}

// DefaultSweepInterval is short enough to detect a stall within a few token intervals.
const DefaultSweepInterval = 20 * time.Millisecond

// Run polls, probes and assesses the upstreams until ctx ends, and then closes idle
// connections. It always returns nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer d.transports.closeIdle()
	var wait sync.WaitGroup
	wait.Go(func() { runEvery(ctx, d.options.PollInterval, d.poll) })
	wait.Go(func() { runEvery(ctx, probePollInterval, d.runProbes) })
	wait.Go(func() {
		runEvery(ctx, d.options.SweepInterval, func(context.Context) {
			d.current()
			d.sched.sweep(time.Now())
		})
	})
	if d.options.LearnCapacity {
		wait.Go(func() {
			runEvery(ctx, watchInterval, func(context.Context) { d.sched.watchTargets(time.Now()) })
		})
	}
	wait.Wait()
	return nil
}

// runEvery calls f immediately and then at every interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// InFlight returns the number of calls that have not returned, including those that
// wait for a slot.
func (d *Dispatcher) InFlight() int { return int(d.calls.Load()) }

// current returns the fleet of the document in force, and builds it if the document has
// changed.
func (d *Dispatcher) current() *fleet {
	document := d.options.Document()
	f := d.fleet.Load()
	if f.document == document {
		return f
	}
	d.refreshMu.Lock()
	defer d.refreshMu.Unlock()
	f = d.fleet.Load()
	if f.document == document {
		return f
	}
	f = buildFleet(f, document, d.options)
	// Readers of the fleet don't lock its maps, to which setFleet adds.
	d.sched.setFleet(f)
	d.fleet.Store(f)
	return f
}
