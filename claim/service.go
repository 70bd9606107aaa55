package claim

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/storage"
)

// Service claims calls and stores their answers for one instance. It is safe for
// concurrent use. Run must be running while calls are made.
type Service struct {
	options Options
	metrics *metrics
	logger  *zap.Logger
	peers   *peers

	// groupCommitters and groupPackers have one element for each group. They commit
	// rows of the group for the whole fleet if this instance is the owner.
	// directCommitter and directPacker commit rows in place of an owner that did not
	// reply or did not write them.
	groupCommitters []*committer
	directCommitter *committer
	groupPackers    []*packer
	directPacker    *packer

	// lifetime is the context of background work. It ends with Run.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// background counts the work that outlives a call: answers that wait for the
	// store and claims to release.
	background sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	// calls has the ids of the claims that this instance holds, by row.
	calls map[string][]byte
	// heldBytes is the size of the answers that wait for the store, heldAnswers the
	// number of answers and other final states that do.
	heldBytes   int64
	heldAnswers int
}

// New returns a Service, or code.InvalidSettings for invalid options.
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
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.directCommitter, s.directPacker = s.newCommitPath(o.Table, o.Objects)
	for range o.Groups {
		c, p := s.newCommitPath(o.OwnerTable, o.OwnerObjects)
		s.groupCommitters = append(s.groupCommitters, c)
		s.groupPackers = append(s.groupPackers, p)
	}
	return s, nil
}

// newCommitPath returns a committer and a packer that passes its rows to it.
func (s *Service) newCommitPath(table storage.Table, objects storage.Objects) (*committer, *packer) {
	c := newCommitter(table, s.options.CommitInterval, s.metrics, s.logger)
	return c, newPacker(objects, s.options, c, s.metrics)
}

// Run commits rows and removes old claims until ctx ends. Answers that are not stored
// by then are lost: call Drain first in a planned stop.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	start := func(run func(context.Context)) {
		wg.Go(func() { run(ctx) })
	}
	start(s.directCommitter.run)
	start(s.directPacker.run)
	for i := range s.groupCommitters {
		start(s.groupCommitters[i].run)
		start(s.groupPackers[i].run)
	}
	start(s.sweep)
	<-ctx.Done()
	s.mu.Lock()
	s.stopped = true
	s.endLifetime()
	held := s.heldAnswers
	s.mu.Unlock()
	if held > 0 {
		s.logger.Error("stopped with answers that are not stored", zap.Int("answers", held))
	}
	wg.Wait()
	s.background.Wait()
	return ctx.Err()
}

// Drain waits until every answer of this instance is stored or ctx ends. It returns
// the number of answers that are not stored.
func (s *Service) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		held := s.heldAnswers
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

// drainInterval is the time between two checks of the held answers.
const drainInterval = 50 * time.Millisecond

// spawn runs f in the background and reports whether it did: after the end of Run it
// does not. The context ends when Run ends.
func (s *Service) spawn(f func(ctx context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.background.Go(func() { f(s.lifetime) })
	return true
}
