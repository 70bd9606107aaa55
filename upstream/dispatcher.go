// Package upstream gives requests to the upstreams and brings back whole
// answers. The caller listener and the batch workers call Dispatcher.Complete
// for model services and Dispatcher.Call for plain ones; the package decides
// with package route where and when a request runs, resumes broken streams on
// another upstream, and takes batch work off an upstream when online work
// needs the slot. It keeps no state that must last and never reads the
// platform.
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

// Options configure a Dispatcher.
type Options struct {
	// Document returns the configuration in force, or nil before there is one.
	// It is called for every request and must not block. Required.
	Document func() *contract.Document
	// DataCentre is where this instance runs.
	DataCentre string
	// InstanceID selects this instance's subset of the upstreams.
	InstanceID string
	// Transport is the template of the connections to upstreams; online, batch
	// and load reports each get their own copy. Nil takes a default.
	Transport *http.Transport
	// Wire speaks to the upstreams of routed services; nil when there are none.
	Wire Wire
	// Logger may be nil.
	Logger *zap.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
	// SubsetSize bounds the upstreams of a service that this instance uses;
	// 0 means DefaultSubsetSize.
	SubsetSize int
	// PollInterval is the time between load reports; 0 means
	// DefaultPollInterval.
	PollInterval time.Duration
	// SweepInterval is the time between two assessments of all upstreams; 0 means
	// DefaultSweepInterval.
	SweepInterval time.Duration
	// Policy of the choice among upstreams. Policies other than route.Adaptive
	// neither eject nor hedge; they are for comparison.
	Policy route.Policy
	// Seed of the random draws; 0 draws one.
	Seed uint64
}

const (
	// DefaultSubsetSize is enough upstreams for two random choices to be even.
	DefaultSubsetSize = 32
	// DefaultPollInterval keeps the news of a draining upstream under 3 s. A
	// shorter one costs more bytes than the report is worth: it is late anyway.
	DefaultPollInterval = 2 * time.Second
	// probePollInterval is the time between two looks for probes that are due.
	probePollInterval = 500 * time.Millisecond
)

// Dispatcher gives requests to upstreams. It is safe for concurrent use. Run
// must run for as long as the Dispatcher is used.
type Dispatcher struct {
	options Options
	log     *zap.Logger
	links   links
	metrics *metrics
	sched   *scheduler

	refresh sync.Mutex
	fleet   atomic.Pointer[fleet]

	calls atomic.Int64
}

// New returns a Dispatcher.
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
	d := &Dispatcher{options: o, log: o.Logger, links: newLinks(o.Transport), metrics: metrics}
	d.sched = newScheduler(o.Seed, o.Policy, metrics, o.Logger)
	d.fleet.Store(&fleet{})
	return d, nil
}

// DefaultSweepInterval finds a stall within a few token times.
const DefaultSweepInterval = 20 * time.Millisecond

// Run watches the upstreams until ctx ends, and then closes idle connections.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer d.links.closeIdle()
	var wait sync.WaitGroup
	wait.Go(func() { repeat(ctx, d.options.PollInterval, d.poll) })
	wait.Go(func() { repeat(ctx, probePollInterval, d.runProbes) })
	wait.Go(func() {
		repeat(ctx, d.options.SweepInterval, func(context.Context) {
			d.current()
			d.sched.sweep(time.Now())
		})
	})
	wait.Wait()
	return nil
}

// repeat calls f now and after every interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// InFlight returns the number of calls that have not returned yet, waiting
// ones included.
func (d *Dispatcher) InFlight() int { return int(d.calls.Load()) }

// current returns the fleet of the document in force.
func (d *Dispatcher) current() *fleet {
	document := d.options.Document()
	f := d.fleet.Load()
	if f.document == document {
		return f
	}
	d.refresh.Lock()
	defer d.refresh.Unlock()
	f = d.fleet.Load()
	if f.document == document {
		return f
	}
	f = buildFleet(f, document, d.options)
	d.fleet.Store(f)
	d.sched.adopt(f)
	return f
}
