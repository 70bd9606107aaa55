package claim

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/storage"
)

// Service claims calls and keeps their answers for one instance. It is safe for
// concurrent use. Run must be under way while calls are made.
type Service struct {
	options Options
	metrics *metrics
	logger  *zap.Logger
	peers   *peers

	// owned commits for the whole fleet, one committer a group; direct commits
	// in place of an owner that cannot.
	owned       []*committer
	direct      *committer
	ownedPacks  []*packer
	directPacks *packer

	// lifetime ends with Run.
	lifetime context.Context
	end      context.CancelFunc
	// background runs what outlives a call: answers that wait for the store and
	// claims to release.
	background sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	// calls are the ids of the claims that this instance holds, by row.
	calls map[string][]byte
	// heldBytes is the size of the answers that wait for the store.
	heldBytes int64
	held      int
}

// New returns a Service, or code.InvalidSettings.
func New(o Options) (*Service, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	s := &Service{
		options: o,
		metrics: m,
		logger:  o.Logger,
		peers:   newPeers(o.Dial),
		calls:   map[string][]byte{},
	}
	s.lifetime, s.end = context.WithCancel(context.Background())
	s.direct, s.directPacks = s.newPath(o.Table, o.Objects)
	for range o.Groups {
		c, p := s.newPath(o.OwnerTable, o.OwnerObjects)
		s.owned = append(s.owned, c)
		s.ownedPacks = append(s.ownedPacks, p)
	}
	return s, nil
}

func (s *Service) newPath(table storage.Table, objects storage.Objects) (*committer, *packer) {
	c := newCommitter(table, s.options.CommitInterval, s.metrics, s.logger)
	return c, newPacker(objects, s.options, c, s.metrics)
}

// Run commits and sweeps until ctx ends. Answers that wait for the store are
// then lost to this instance's memory: call Drain first in a planned stop.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	start := func(run func(context.Context)) {
		wg.Go(func() { run(ctx) })
	}
	start(s.direct.run)
	start(s.directPacks.run)
	for i := range s.owned {
		start(s.owned[i].run)
		start(s.ownedPacks[i].run)
	}
	start(s.sweep)
	<-ctx.Done()
	s.mu.Lock()
	s.stopped = true
	s.end()
	held := s.held
	s.mu.Unlock()
	if held > 0 {
		s.logger.Error("stopped with answers that are not stored", zap.Int("answers", held))
	}
	wg.Wait()
	s.background.Wait()
	return ctx.Err()
}

// Drain waits until every answer of this instance is stored, or until ctx ends.
// It reports the number of answers that are not stored.
func (s *Service) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		held := s.held
		s.mu.Unlock()
		if held == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return held
		}
	}
}

// drainInterval is the time between two looks at the held answers.
const drainInterval = 50 * time.Millisecond

// spawn runs f in the background unless the service has stopped. The context
// ends when Run ends.
func (s *Service) spawn(f func(ctx context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.background.Go(func() { f(s.lifetime) })
	return true
}
