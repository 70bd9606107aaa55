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

// RunnerOptions configure a Runner. Store, Document, Executor, Claims and View
// are required. Zero numbers and times mean the defaults.
type RunnerOptions struct {
	Store    Store
	Document func() *contract.Document
	Executor Executor
	Claims   Claims
	View     View
	// MaxLeases is the maximum number of segments that are leased at once, not
	// counting those of which only stragglers are left; default 4.
	MaxLeases int
	// ItemsPerLease is the maximum number of items of a segment that run at once,
	// not counting stragglers; default 16.
	ItemsPerLease int
	// MaxStragglers is the maximum number of items in the straggler lane; default
	// 64.
	MaxStragglers int
	// LeaseDuration is how long a lease lasts without renewal, at least four times
	// LeaseMargin; default 10 min.
	LeaseDuration time.Duration
	// LeaseMargin is how long before the expiry the holder stops by its own clock,
	// and how long after the expiry others wait before they take over; default
	// 15 s.
	LeaseMargin time.Duration
	// AbsentAfter is how long a holder must be missing from the view before its
	// leases are taken over early; default 15 s.
	AbsentAfter time.Duration
	// PollInterval is the mean time between polls for work; default 5 s.
	PollInterval time.Duration
	// WatchInterval is the time between polls for cancelled jobs while segments are
	// leased; default 1.5 s.
	WatchInterval time.Duration
	// StragglerAfter is the minimum run time of a straggler; default 30 s.
	StragglerAfter time.Duration
	// DrainTime is how long items may continue to run after the context of Run has
	// ended; default 30 s.
	DrainTime time.Duration
	// ItemRate is the number of items per second that one instance is expected to
	// run, for the order of jobs; default 2.
	ItemRate float64
	// StoreRate is the maximum number of operations on the store per second; default
	// 20.
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

// runnerBackoff is the backoff of everything that a runner retries without a
// caller waiting for it.
var runnerBackoff = retry.Backoff{Min: time.Second, Max: 30 * time.Second}

// Runner leases segments and runs their items. Run may be called only once; the
// other methods are safe for concurrent use.
type Runner struct {
	opts    RunnerOptions
	store   *meteredStore
	log     *zap.Logger
	metrics *runnerMetrics
	// holder identifies this runner as the holder of leases: the instance's id and a
	// part that is new after a restart.
	holder string

	// wake requests a poll for work. stragglerLane and slots are semaphores.
	// draining is closed when no more items may start.
	wake          chan struct{}
	stragglerLane chan struct{}
	slots         chan struct{}
	draining      chan struct{}
	leaseLoops    sync.WaitGroup
	finder        finder
	// lastItemNanos is the run time of the last item that ended.
	lastItemNanos atomic.Int64
	// storeOKSince is the time since which no operation on the store is known to
	// have failed.
	storeOKSince atomic.Pointer[time.Time]

	mu     sync.Mutex
	leases map[*lease]struct{}
}

// NewRunner returns a Runner. It fails with code.InvalidSettings if an option is
// missing or out of range, and with code.Internal if the metrics cannot be
// registered.
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
		opts:          o,
		store:         store,
		log:           o.Logger,
		metrics:       metrics,
		holder:        o.View.Self() + "/" + uuid.NewString(),
		wake:          make(chan struct{}, 1),
		stragglerLane: make(chan struct{}, o.MaxStragglers),
		slots:         make(chan struct{}, o.MaxLeases),
		draining:      make(chan struct{}),
		leases:        map[*lease]struct{}{},
	}
	r.finder = finder{runner: r, jobs: map[string]*jobView{}, absentSince: map[string]time.Time{}}
	r.recordStoreFailure()
	return r, nil
}

// hintFanout is the number of instances that poll for work after the hint of a
// new job. The others find the job at their next poll.
const hintFanout = 4

// Notify notifies the runner of a change to a job. It does not block. It may be
// called on all instances: only hintFanout of them poll for a new job at once.
func (r *Runner) Notify(h Hint) {
	if h.Cancelled {
		r.stopJob(h.Job)
		return
	}
	if Preferred(r.opts.View.Self(), r.opts.View.Members(), h.Job, hintFanout) {
		signal(r.wake)
	}
}

// signal sends to a channel of capacity 1 unless it already holds a signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run polls for work and runs it until ctx ends. Then it starts no more items,
// gives running ones DrainTime to end, commits their results, releases its leases
// and returns nil.
func (r *Runner) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var watcher sync.WaitGroup
	watcher.Go(func() { r.watchCancellations(workCtx) })
	r.findLoop(ctx, workCtx)
	close(r.draining)
	r.leaseLoops.Wait()
	stop()
	watcher.Wait()
	return nil
}

// recordStoreFailure records a failure of the store. NewRunner calls it too,
// since the store may have failed before.
func (r *Runner) recordStoreFailure() {
	now := time.Now()
	r.storeOKSince.Store(&now)
}

func (r *Runner) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

// findLoop polls for work at intervals, after hints and when a slot becomes free,
// until ctx ends.
func (r *Runner) findLoop(ctx, workCtx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := r.finder.poll(ctx, workCtx)
		wait := jitter(r.opts.PollInterval)
		if err == nil {
			failures = 0
		} else {
			wait += runnerBackoff.Delay(failures)
			failures++
			r.recordStoreFailure()
			r.log.Warn("look for batch work failed", zap.Error(err))
		}
		r.waitForPoll(ctx, wait, err != nil)
	}
}

// minPollInterval is the mean time from a hint to the poll that it causes. It limits
// the rate of polls when there are many hints.
const minPollInterval = 200 * time.Millisecond

// waitForPoll waits until the next poll is due. A hint ends the wait early unless
// the last poll failed.
func (r *Runner) waitForPoll(ctx context.Context, d time.Duration, failing bool) {
	wake := r.wake
	if failing {
		wake = nil
	}
	nextPoll := time.NewTimer(d)
	defer nextPoll.Stop()
	select {
	case <-ctx.Done():
		return
	case <-nextPoll.C:
		return
	case <-wake:
	}
	minWait := time.NewTimer(jitter(minPollInterval))
	defer minWait.Stop()
	select {
	case <-ctx.Done():
	case <-minWait.C:
	}
}

// jitter returns a random duration, uniform between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(max(d, 1))
}

// watchCancellations polls for cancelled jobs while segments are leased. One poll
// serves all leases.
func (r *Runner) watchCancellations(ctx context.Context) {
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
		if !r.hasLeases() {
			continue
		}
		if err := r.pollCancellations(ctx); err != nil {
			wait += cancelBackoff.Delay(failures)
			failures++
			r.log.Info("poll for cancelled jobs failed", zap.Error(err))
			continue
		}
		failures = 0
	}
}

// cancelBackoff is the backoff of polls for cancelled jobs while the store fails.
var cancelBackoff = retry.Backoff{Min: time.Second, Max: 15 * time.Second}

// cancelWindow is the age up to which a poll reads cancellations. It covers clock
// differences between the instances and several failed polls.
const cancelWindow = 2 * time.Minute

// cancelPageRows is the maximum number of cancellations that one read returns.
const cancelPageRows = 1000

// pollCancellations stops the items of recently cancelled jobs.
func (r *Runner) pollCancellations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := cancelTimePrefix(time.Now().Add(-cancelWindow))
	for {
		rows, err := r.store.rangeOnce(ctx, start, storage.PrefixEnd(cancelPrefix), cancelPageRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			ref, err := decode[jobRef](row)
			if err != nil {
				return err
			}
			r.stopJob(ref.Job)
		}
		if len(rows) < cancelPageRows {
			return nil
		}
		start = rows[len(rows)-1].Key + "\x00"
	}
}

func (r *Runner) hasLeases() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.leases) > 0
}

// holds reports whether the runner holds the lease of a segment.
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

// stopJob stops the running items of a cancelled job.
func (r *Runner) stopJob(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.leases {
		if l.job.row.ID == job {
			l.abort(errCancelled)
		}
	}
}
