package job

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
)

// Forwarder runs requests on upstreams.
type Forwarder interface {
	Forward(ctx context.Context, f *contract.ForwardRequest, sink contract.ForwardSink) error
}

// Fleet is the view that a Service has of the other instances.
type Fleet struct {
	// LivenessKnown is false while it is not known which processes are alive.
	LivenessKnown bool
	// Alive has the ids of the processes that are alive.
	Alive map[string]bool
	// Isolated is set while neither the store nor another instance can be reached.
	// Others may then have taken over the jobs of this process, or a caller may have
	// ended them.
	Isolated bool
	// Replaced reports whether the machine of a process has run another process since
	// a version of the store. It may be nil.
	Replaced func(process string, version uint64) bool
}

// Options configure a Service.
type Options struct {
	Store storage.RowStore
	// Process is the id under which this process owns jobs. It is another one after
	// each start.
	Process string
	// Fleet returns the present view of the fleet.
	Fleet     func() Fleet
	Forwarder Forwarder
	// Routing returns the routing document in force, or nil.
	Routing func() *contract.Routing
	// RoutingAge returns how long ago the store confirmed that the routing document is
	// the one in force. It reports false before the first confirmation.
	RoutingAge func() (time.Duration, bool)
	// Decode reads the items of a submission.
	Decode func(raw []byte) ([]Item, error)
	// Describe sets the fields of a request that an item's headers define, and the account
	// that its job belongs to.
	Describe func(f *contract.ForwardRequest, item *Item, account string)
	// Retention is how long after its acceptance a job stays readable. Complete and
	// ended jobs are removed after twice that; 0 keeps them.
	Retention time.Duration
	// MaxBytes is the largest estimated memory for the items of the jobs that this process
	// runs, and for their results while they are read and written; 0 means without limit.
	// Jobs for which there is no room wait in the store until an instance has some.
	MaxBytes int64
	// MaxKeptBytes is the largest estimated memory for what each instance knows of all jobs that
	// the store keeps; 0 means DefaultMaxKeptBytes. It must be the same at all instances. Jobs
	// beyond it are refused.
	MaxKeptBytes int64
	// Hold is called with each change of the memory that either bounds. It may be nil, and must not block.
	Hold func(n int64)
	Log  *zap.Logger
}

// hold calls Hold if it is set.
func (o *Options) hold(n int64) {
	if o.Hold != nil {
		o.Hold(n)
	}
}

// Service accepts jobs, runs those that this process owns, and serves the results of
// all. It is safe for concurrent use.
type Service struct {
	options   Options
	follower  *feed.Follower
	startedAt time.Time

	mu    sync.Mutex
	heads map[string]versionedHead
	kept  kept
	// changed has a channel by job that is closed and removed when the head of the
	// job changes.
	changed map[string]chan struct{}
	owned   map[string]*run
	// orphans has the time since which a job has had no living owner. After a failed
	// takeover it has a time in the near future, from which takeoverDelay counts
	// again.
	orphans map[string]time.Time
	// beganAt has the time at which a job of a client account last began here, while jobs wait
	// for room.
	beganAt map[string]time.Time
	// seenAlive has the processes that have been alive at some time.
	seenAlive map[string]bool
	results   *resultCache
	bodies    *bodyCache
	// loaded bounds the jobs that this process runs, running those of their items that run
	// or wait for an upstream, and texts what their texts need beyond what was expected.
	loaded, running, texts *allowance
	// loadedFull is set while a job that is due here waits for room in loaded.
	// fullAt is the number of releases of loaded when that was seen; takeOverOrphans uses it.
	loadedFull atomic.Bool
	fullAt     int64
	// newestVersion is the newest version of the store that was read or written.
	// clock is the store's clock as it was at clockReadAt.
	newestVersion uint64
	clock         time.Duration
	clockReadAt   time.Time
	stopping      bool

	// headReads are the reads of all heads for acceptances, itemReads those of the items of a
	// job for callers. reading bounds what is read of results and items.
	headReads, itemReads singleflight.Group
	reading              *allowance
	// storing bounds the results and the progress that are written at a time.
	storing *allowance

	runGoroutines sync.WaitGroup
	runsCtx       context.Context
	cancelRuns    context.CancelFunc

	// connectivity is the present or the last period in which this instance was
	// connected. Runs of items end with it.
	connectivity atomic.Pointer[connectivity]
}

// The feed waits between two calls, for longer in larger fleets, so that all calls
// together stay under the read limit of the store. A reader at another instance learns of
// a result that much later.
const (
	minFeedInterval         = 150 * time.Millisecond
	maxFeedInterval         = 400 * time.Millisecond
	feedIntervalPerInstance = 5 * time.Millisecond
	// maxFeedCallsPerSecond bounds the calls of all instances together where
	// maxFeedInterval would not. With the feeds of instances, documents and workers
	// (2.7 calls/s for each instance) a fleet of 550 stays under the 2,000 reads a
	// second of the platform.
	maxFeedCallsPerSecond = 400
)

func (s *Service) feedInterval() time.Duration { return feedInterval(len(s.options.Fleet().Alive)) }

// feedInterval returns the time between two calls of the feed in a fleet of a number
// of instances.
func feedInterval(instances int) time.Duration {
	n := time.Duration(instances)
	return max(min(max(minFeedInterval, n*feedIntervalPerInstance), maxFeedInterval), n*time.Second/maxFeedCallsPerSecond)
}

// New returns a Service. Run must be running for as long as the Service is used.
func New(o Options) *Service {
	o.MaxKeptBytes = cmp.Or(o.MaxKeptBytes, DefaultMaxKeptBytes)
	s := &Service{
		options:   o,
		startedAt: time.Now(),
		heads:     map[string]versionedHead{},
		kept:      kept{byAccount: map[string]int64{}},
		changed:   map[string]chan struct{}{},
		owned:     map[string]*run{},
		orphans:   map[string]time.Time{},
		beganAt:   map[string]time.Time{},
		seenAlive: map[string]bool{},
		results:   newResultCache(o.MaxBytes/4, o.hold),
		bodies:    newBodyCache(),
		loaded:    newAllowance(o.MaxBytes*3/8, o.hold),
		running:   newAllowance(o.MaxBytes/4, o.hold),
		texts:     newAllowance(o.MaxBytes/8, o.hold),
		reading:   newAllowance(o.MaxBytes/8, o.hold),
		storing:   newAllowance(o.MaxBytes/8, o.hold),
	}
	s.runsCtx, s.cancelRuns = context.WithCancel(context.Background())
	s.connectivity.Store(newConnectivity(s.runsCtx))
	s.follower = feed.New(feed.Options{Rows: o.Store, Table: headTable, Parts: parts, MinInterval: s.feedInterval, Update: s.update, Log: o.Log})
	return s
}

// Run follows the changes of jobs, takes over jobs without a living owner, and
// removes old jobs, until ctx ends. Stop hands over the jobs of this process.
func (s *Service) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { _ = s.follower.Run(ctx) })
	wait.Go(func() { every(ctx, takeoverInterval, s.takeOverOrphans) })
	wait.Go(func() { every(ctx, sweepInterval, s.sweep) })
	wait.Go(func() { every(ctx, stallInterval, s.yieldStalled) })
	wait.Go(func() { every(ctx, connectivityInterval, s.checkConnectivity) })
	wait.Wait()
	return nil
}

// every calls f after each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// Synced reports whether all jobs have been read from the store once.
func (s *Service) Synced() bool {
	_, ok := s.follower.Age()
	return ok
}

// update applies the changed heads that the feed has read.
func (s *Service) update(u feed.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateClock(u.Now)
	for _, r := range u.Rows {
		s.newestVersion = max(s.newestVersion, r.Version)
		if r.Removed {
			s.dropHead(r.Key)
			delete(s.orphans, r.Key)
			s.results.drop(r.Key)
			continue
		}
		v, err := decodeHead(r)
		if err != nil {
			s.options.Log.Error("job head skipped", zap.String("job", r.Key), zap.Error(err))
			continue
		}
		s.updateHead(r.Key, v)
	}
}

// updateClock keeps the store's clock, unless it is 0 and so not known, or below the one
// extrapolated from an earlier response: it is then a late response. The lock is held.
func (s *Service) updateClock(now time.Duration) {
	if now > 0 && (s.clockReadAt.IsZero() || now > s.clock+time.Since(s.clockReadAt)) {
		s.clock, s.clockReadAt = now, time.Now()
	}
}

// age returns how long ago a job was accepted. The lock is held.
func (s *Service) age(h *head) time.Duration {
	if s.clockReadAt.IsZero() {
		return 0
	}
	return s.clock + time.Since(s.clockReadAt) - time.Duration(h.AcceptedMS)*time.Millisecond
}

// storeRetryAfter is the time to retry after in errors of an unavailable store.
const storeRetryAfter = time.Second

// Stop hands over the jobs of this process, as far as the store applies that before
// ctx ends, and ends their runs.
func (s *Service) Stop(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	owned := make([]*run, 0, len(s.owned))
	for _, r := range s.owned {
		owned = append(owned, r)
	}
	s.mu.Unlock()
	var wait sync.WaitGroup
	for _, r := range owned {
		wait.Go(func() { r.handOver(ctx) })
	}
	wait.Wait()
	s.cancelRuns()
	s.runGoroutines.Wait()
}

// HeldBytes returns the estimated memory for the items of the jobs that this process runs.
func (s *Service) HeldBytes() int64 {
	return s.loaded.held() + s.running.held() + s.texts.held() + s.reading.held() + s.storing.held()
}

// Waiting returns the number of jobs that no instance runs, as far as it is known here.
func (s *Service) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orphans)
}

// Owned returns the number of jobs that this process runs.
func (s *Service) Owned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}
