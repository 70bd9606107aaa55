package job

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
)

// Forwarder runs requests on upstreams.
type Forwarder interface {
	Forward(ctx context.Context, f *contract.Forwarding, sink contract.ForwardSink) error
}

// Fleet is what a Service knows of the other instances.
type Fleet struct {
	// Known is false while it can't be judged who lives.
	Known bool
	// Alive has the ids of the processes that live.
	Alive map[string]bool
	// Isolated is set while nobody can be reached: neither the store nor another
	// instance. Others may then have taken the jobs of this process over, or a
	// caller may have ended them.
	Isolated bool
	// Replaced reports whether the machine of a process has run another one since
	// a version of the store. It may be nil.
	Replaced func(process string, version uint64) bool
}

// Options configure a Service.
type Options struct {
	Store storage.RowStore
	// Process names this process as an owner; it differs after each start.
	Process string
	// Fleet returns the present fleet.
	Fleet     func() Fleet
	Forwarder Forwarder
	// Routing returns the document in force, or nil.
	Routing func() *contract.Routing
	// Decode reads the items of a submission.
	Decode func(raw []byte) ([]Item, error)
	// Describe fills a forwarding with what an item's headers say.
	Describe func(f *contract.Forwarding, item *Item)
	// Retention is how long after its acceptance a job stays readable.
	Retention time.Duration
	Log       *zap.Logger
}

// Service keeps jobs. It is safe for concurrent use.
type Service struct {
	options  Options
	follower *feed.Follower

	mu    sync.Mutex
	heads map[string]versioned
	// changed is closed and replaced with each change of a head.
	changed map[string]chan struct{}
	owned   map[string]*run
	// orphans has when a job without a living owner was first seen.
	orphans map[string]time.Time
	// seen are processes that have been alive.
	seen    map[string]bool
	results *resultCache
	bodies  *bodyCache
	// version is the newest version of the store that was seen, clock the store's
	// clock at clockAt.
	version  uint64
	clock    time.Duration
	clockAt  time.Time
	stopping bool

	runs sync.WaitGroup
	base context.Context
	stop context.CancelFunc

	// touch holds while this instance is in touch; its runs of items end with it.
	touch atomic.Pointer[touch]
}

// The feed pauses between two calls, in larger fleets for longer, so that all
// calls together stay within what the store takes. A reader at another instance
// learns of a result that much later.
const (
	minFeedPause  = 150 * time.Millisecond
	maxFeedPause  = 400 * time.Millisecond
	feedPerMember = 5 * time.Millisecond
	// maxFeedCalls bounds the calls a second of all instances where maxFeedPause
	// would not: with the feeds of members, documents and workers (2.7 calls/s each) a
	// fleet of 550 stays under the platform's 2,000 reads a second.
	maxFeedCalls = 400
)

func (s *Service) feedPause() time.Duration { return feedPause(len(s.options.Fleet().Alive)) }

// feedPause returns the pause in a fleet of a number of instances.
func feedPause(instances int) time.Duration {
	n := time.Duration(instances)
	return max(min(max(minFeedPause, n*feedPerMember), maxFeedPause), n*time.Second/maxFeedCalls)
}

// New returns a Service. Run must run for as long as it is used.
func New(o Options) *Service {
	s := &Service{
		options: o,
		heads:   map[string]versioned{},
		changed: map[string]chan struct{}{},
		owned:   map[string]*run{},
		orphans: map[string]time.Time{},
		seen:    map[string]bool{},
		results: newResultCache(),
		bodies:  newBodyCache(),
	}
	s.base, s.stop = context.WithCancel(context.Background())
	s.touch.Store(newTouch(s.base))
	s.follower = feed.New(feed.Options{Rows: o.Store, Table: headTable, Parts: parts, Pause: s.feedPause, Update: s.update, Log: o.Log})
	return s
}

// Run follows the jobs and takes over those without a living owner, until ctx
// ends. Then it hands its own jobs over.
func (s *Service) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { _ = s.follower.Run(ctx) })
	wait.Go(func() { every(ctx, adoptInterval, s.adoptOrphans) })
	wait.Go(func() { every(ctx, sweepInterval, s.sweep) })
	wait.Go(func() { every(ctx, touchInterval, s.watchTouch) })
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

// Synced reports whether the jobs have been read.
func (s *Service) Synced() bool {
	_, ok := s.follower.Age()
	return ok
}

// update takes in changed heads.
func (s *Service) update(u feed.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteClock(u.Now)
	for _, r := range u.Rows {
		s.version = max(s.version, r.Version)
		if r.Removed {
			delete(s.heads, r.Key)
			delete(s.orphans, r.Key)
			s.results.drop(r.Key)
			continue
		}
		v, err := decodeHead(r)
		if err != nil {
			s.options.Log.Error("job head left out", zap.String("job", r.Key), zap.Error(err))
			continue
		}
		s.learn(r.Key, v)
	}
}

// learn keeps a newer head and acts on it. The lock is held.
func (s *Service) learn(id string, v versioned) {
	if before, ok := s.heads[id]; ok && before.version >= v.version {
		return
	}
	s.heads[id] = v
	s.version = max(s.version, v.version)
	if v.Owner != "" || !v.open() {
		delete(s.orphans, id)
	}
	if r, ok := s.owned[id]; ok && (v.Ended || v.Owner != s.options.Process) {
		s.options.Log.Info("job not ours any more", zap.String("job", id), zap.Bool("ended", v.Ended), zap.String("owner", v.Owner))
		r.cancel()
		delete(s.owned, id)
	}
	if c, ok := s.changed[id]; ok {
		close(c)
		delete(s.changed, id)
	}
}

// change returns a channel that is closed when the head of a job changes. The
// lock is held.
func (s *Service) change(id string) <-chan struct{} {
	c, ok := s.changed[id]
	if !ok {
		c = make(chan struct{})
		s.changed[id] = c
	}
	return c
}

// noteClock keeps the store's clock. The lock is held.
func (s *Service) noteClock(now time.Duration) {
	if now > 0 {
		s.clock, s.clockAt = now, time.Now()
	}
}

// age returns how long ago a job was accepted. The lock is held.
func (s *Service) age(h *head) time.Duration {
	if s.clockAt.IsZero() {
		return 0
	}
	return s.clock + time.Since(s.clockAt) - time.Duration(h.AcceptedMS)*time.Millisecond
}

// find returns the head of a job, from the store when it is not known here.
//
// Errors: code.JobUnknown, and those of the store.
func (s *Service) find(ctx context.Context, id string) (versioned, error) {
	s.mu.Lock()
	v, ok := s.heads[id]
	newest := s.version
	s.mu.Unlock()
	if ok {
		return v, nil
	}
	page, err := s.readHead(ctx, id)
	if err != nil {
		return v, err
	}
	if page.Version < newest {
		return v, code.New(code.StoreUnavailable, "the store answered from the past").WithRetryAfter(storeHint)
	}
	if len(page.Rows) == 0 {
		return v, code.New(code.JobUnknown, "there is no job %q", id)
	}
	v, err = decodeHead(page.Rows[0])
	if err != nil {
		return v, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteClock(page.Now)
	s.learn(id, v)
	return s.heads[id], nil
}

// readHead reads the head of a job, which one of an earlier version has in the first
// part.
func (s *Service) readHead(ctx context.Context, id string) (storage.RowPage, error) {
	page, err := s.options.Store.GetRows(ctx, headTable, partOf(id), id, id+"\x00")
	if err != nil || len(page.Rows) > 0 || partOf(id) == parts[0] {
		return page, err
	}
	return s.options.Store.GetRows(ctx, headTable, parts[0], id, id+"\x00")
}

// storeHint is given with refusals for want of the store.
const storeHint = time.Second

// Stop ends the runs of this process and hands the jobs over to others, as far
// as the store takes it before ctx ends.
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
	s.stop()
	s.runs.Wait()
}

// Owned returns the number of jobs that this process runs.
func (s *Service) Owned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}
