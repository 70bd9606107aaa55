package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// RunnerOptions are the parts and bounds of a Runner. Zero numbers and times
// mean the defaults.
type RunnerOptions struct {
	Store    Store
	Document func() *contract.Document
	Executor Executor
	Claims   Claims
	View     View
	// MaxLeases bounds the segments that are leased at once, besides those that
	// wait for stragglers only; default 4.
	MaxLeases int
	// ItemsPerLease bounds the items of a segment that run at once; default 16.
	ItemsPerLease int
	// MaxStragglers bounds the items in the lane of stragglers; default 64.
	MaxStragglers int
	// LeaseDuration is the life of a lease without renewal; default 10 min.
	LeaseDuration time.Duration
	// LeaseMargin is how long before the expiry the holder stops by its own
	// clock, and how long after it others wait; default 15 s.
	LeaseMargin time.Duration
	// AbsentAfter is how long a holder must be missing from the view before its
	// leases are taken over early; default 15 s.
	AbsentAfter time.Duration
	// PollInterval is the mean time between looks for work; default 5 s.
	PollInterval time.Duration
	// WatchInterval is the time between looks for cancelled jobs while segments
	// are leased; default 1.5 s.
	WatchInterval time.Duration
	// StragglerAfter is the least time after which an item counts as a straggler;
	// default 30 s.
	StragglerAfter time.Duration
	// DrainTime is how long running items may go on after Run is told to stop;
	// default 30 s.
	DrainTime time.Duration
	// ItemRate is the number of items a second that one instance is expected to
	// run; it orders the jobs. Default 2.
	ItemRate float64
	// StoreRate bounds the operations on the store per second; default 20.
	StoreRate float64
	Logger    *zap.Logger
	Metrics   prometheus.Registerer
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (o RunnerOptions) withDefaults() RunnerOptions {
	orDefault(&o.MaxLeases, 4)
	orDefault(&o.ItemsPerLease, 16)
	orDefault(&o.MaxStragglers, 64)
	orDefault(&o.LeaseDuration, 10*time.Minute)
	orDefault(&o.LeaseMargin, 15*time.Second)
	orDefault(&o.AbsentAfter, 15*time.Second)
	orDefault(&o.PollInterval, 5*time.Second)
	orDefault(&o.WatchInterval, 1500*time.Millisecond)
	orDefault(&o.StragglerAfter, 30*time.Second)
	orDefault(&o.DrainTime, 30*time.Second)
	orDefault(&o.ItemRate, 2)
	orDefault(&o.StoreRate, 20)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func (o RunnerOptions) check() error {
	switch {
	case o.Store == nil || o.Document == nil || o.Executor == nil || o.Claims == nil || o.View == nil:
		return code.New(code.InvalidSettings, "batch: Store, Document, Executor, Claims and View are required")
	case o.MaxLeases < 0 || o.ItemsPerLease < 0 || o.MaxStragglers < 0:
		return code.New(code.InvalidSettings, "batch: a bound of the runner is negative")
	case o.LeaseMargin < 0 || o.LeaseDuration < 4*o.LeaseMargin:
		return code.New(code.InvalidSettings, "batch: LeaseDuration %v is under four times LeaseMargin %v", o.LeaseDuration, o.LeaseMargin)
	case o.PollInterval < 0 || o.WatchInterval < 0 || o.StragglerAfter < 0 || o.DrainTime < 0 || o.AbsentAfter < 0:
		return code.New(code.InvalidSettings, "batch: a time of the runner is negative")
	case o.ItemRate < 0 || o.StoreRate < 0:
		return code.New(code.InvalidSettings, "batch: a rate of the runner is negative")
	}
	return nil
}

// runnerBackoff spaces everything that a runner repeats on its own account.
var runnerBackoff = retry.Backoff{Min: time.Second, Max: 30 * time.Second}

// Runner leases segments and runs their items. Run may be called once; the
// other methods are safe for concurrent use.
type Runner struct {
	opts    RunnerOptions
	store   *meteredStore
	log     *zap.Logger
	metrics *runnerMetrics
	// holder is unique to this runner, also after a restart of the instance.
	holder string

	wake       chan struct{}
	stragglers chan struct{}
	slots      chan struct{}
	draining   chan struct{}
	wait       sync.WaitGroup
	finder     finder
	// typical is the time of the last item that ended, in nanoseconds.
	typical atomic.Int64
	// steady is the time since which no operation on the store is known to have
	// failed.
	steady atomic.Pointer[time.Time]

	mu     sync.Mutex
	leases map[*lease]struct{}
}

// NewRunner returns a Runner, or an error when an option is missing or out of
// range.
func NewRunner(o RunnerOptions) (*Runner, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	store, err := newMeteredStore(o.Store, "runner", o.StoreRate, o.Metrics)
	if err != nil {
		return nil, err
	}
	metrics, err := newRunnerMetrics(o.Metrics)
	if err != nil {
		return nil, err
	}
	r := &Runner{
		opts:       o,
		store:      store,
		log:        o.Logger,
		metrics:    metrics,
		holder:     o.View.Self() + "/" + uuid.NewString(),
		wake:       make(chan struct{}, 1),
		stragglers: make(chan struct{}, o.MaxStragglers),
		slots:      make(chan struct{}, o.MaxLeases),
		draining:   make(chan struct{}),
		leases:     map[*lease]struct{}{},
	}
	r.finder = finder{r: r, jobs: map[string]*jobView{}, absent: map[string]time.Time{}}
	r.unsteady()
	return r, nil
}

// hintFanout is the number of instances that look for work at the hint of a new
// job. The others find it at their next poll.
const hintFanout = 4

// Notify tells the runner of a change to a job. It does not block, and may be
// called on all instances: only a few of them look at a new job at once.
func (r *Runner) Notify(h Hint) {
	if h.Cancelled {
		r.stopJob(h.Job)
		return
	}
	if Preferred(r.opts.View.Self(), r.opts.View.Members(), h.Job, hintFanout) {
		signal(r.wake)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run looks for work and runs it until ctx ends. Then it starts no more items,
// lets running ones end within DrainTime, commits what is done, gives its
// leases back and returns nil.
func (r *Runner) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var watching sync.WaitGroup
	watching.Go(func() { r.watch(work) })
	r.find(ctx, work)
	close(r.draining)
	r.wait.Wait()
	stop()
	watching.Wait()
	return nil
}

// unsteady notes a failure of the store. A runner begins with one, since it
// does not know what happened before.
func (r *Runner) unsteady() {
	now := time.Now()
	r.steady.Store(&now)
}

func (r *Runner) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

// find looks for work at every poll, at every hint and when a slot is free.
func (r *Runner) find(ctx, work context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := r.finder.round(ctx, work)
		wait := jitter(r.opts.PollInterval)
		if err == nil {
			failures = 0
		} else {
			wait += runnerBackoff.Wait(failures)
			failures++
			r.unsteady()
			r.log.Warn("look for batch work failed", zap.Error(err))
		}
		r.pause(ctx, wait, err != nil)
	}
}

// minPause is the least time between two looks for work.
const minPause = 200 * time.Millisecond

// pause waits for the next poll. A hint ends it early unless the store fails.
func (r *Runner) pause(ctx context.Context, d time.Duration, failing bool) {
	wake := r.wake
	if failing {
		wake = nil
	}
	poll := time.NewTimer(d)
	defer poll.Stop()
	select {
	case <-ctx.Done():
		return
	case <-poll.C:
		return
	case <-wake:
	}
	least := time.NewTimer(jitter(minPause))
	defer least.Stop()
	select {
	case <-ctx.Done():
	case <-least.C:
	}
}

// jitter returns a uniform draw from half of d to one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(max(d, 1))
}

// watch looks for cancelled jobs while segments are leased. One read serves all
// leases.
func (r *Runner) watch(ctx context.Context) {
	failures := 0
	wait := r.opts.WatchInterval
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		wait = r.opts.WatchInterval
		if !r.busy() {
			continue
		}
		if err := r.watchOnce(ctx); err != nil {
			wait += watchBackoff.Wait(failures)
			failures++
			r.log.Info("look for cancelled jobs failed", zap.Error(err))
			continue
		}
		failures = 0
	}
}

// watchBackoff spaces the looks for cancelled jobs while the store fails.
var watchBackoff = retry.Backoff{Min: time.Second, Max: 15 * time.Second}

// cancelWindow is how far back a watch looks; it covers the differences between
// the clocks of the instances and several failed looks.
const cancelWindow = 2 * time.Minute

// watchPage is the number of cancellations that one read returns.
const watchPage = 1000

func (r *Runner) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	start := cancelStart(time.Now().Add(-cancelWindow))
	for {
		rows, err := r.store.once(ctx, start, storage.PrefixEnd(cancelPrefix), watchPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			bound, err := decode[keyRow](row)
			if err != nil {
				return err
			}
			r.stopJob(bound.Job)
		}
		if len(rows) < watchPage {
			return nil
		}
		start = rows[len(rows)-1].Key + "\x00"
	}
}

func (r *Runner) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.leases) > 0
}

// holds reports whether the runner has the lease of a segment.
func (r *Runner) holds(job string, number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.leases {
		if l.number == number && l.job.row.ID == job {
			return true
		}
	}
	return false
}

// stopJob cancels the running items of a job.
func (r *Runner) stopJob(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.leases {
		if l.job.row.ID == job {
			l.abort(errCancelled)
		}
	}
}
