package job

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/route"
	"github.com/daisylb/daisylb/storage"
)

const (
	// adoptInterval is the time between two looks for jobs without a living owner.
	adoptInterval = 200 * time.Millisecond
	// adoptTurn is how much longer the next instance waits before it takes a job
	// over, so that as a rule one of them writes.
	adoptTurn = 250 * time.Millisecond
	// unknownGrace is over the time in which the row of a new process is read,
	// ownGrace over that in which the store answers an acceptance of this process
	// that the feed has told of.
	unknownGrace = 2500 * time.Millisecond
	ownGrace     = 2500 * time.Millisecond
	// adoptRetry follows a takeover that the store did not take.
	adoptRetry = 700 * time.Millisecond
	// maxAdoptRank bounds that wait.
	maxAdoptRank = 8
)

// adoptOrphans takes over jobs whose owner has handed them over or lives no
// more.
func (s *Service) adoptOrphans(ctx context.Context) {
	for _, id := range s.due(time.Now()) {
		s.adopt(ctx, id)
	}
}

// due returns the orphans that this instance takes over now.
func (s *Service) due(now time.Time) []string {
	fleet := s.options.Fleet()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || !fleet.Known {
		return nil
	}
	for process := range fleet.Alive {
		s.seen[process] = true
	}
	var ids []string
	for id, v := range s.heads {
		if !v.open() {
			continue
		}
		if _, running := s.owned[id]; running || v.Owner != s.options.Process && fleet.Alive[v.Owner] {
			delete(s.orphans, id)
			continue
		}
		since, ok := s.orphans[id]
		if !ok {
			s.orphans[id] = now
			since = now
		}
		if now.Sub(since) >= s.patience(id, v, fleet) {
			ids = append(ids, id)
		}
	}
	return ids
}

// patience returns how long a job without a known living owner is left alone. An
// owner that has never been seen may just have started. The lock is held.
func (s *Service) patience(id string, v versioned, fleet Fleet) time.Duration {
	turn := time.Duration(s.rank(id, fleet)) * adoptTurn
	switch {
	case v.Owner == s.options.Process:
		return ownGrace
	case v.Owner == "" || s.seen[v.Owner]:
		return turn
	case fleet.Replaced != nil && fleet.Replaced(v.Owner, v.version):
		return turn
	}
	return unknownGrace + turn
}

// rank is the place of this instance among those that may take a job over.
func (s *Service) rank(id string, fleet Fleet) int {
	return route.Rank(id, s.options.Process, maps.Keys(fleet.Alive), maxAdoptRank)
}

// adopt makes this process the owner of a job and runs what is left of it.
func (s *Service) adopt(ctx context.Context, id string) {
	s.mu.Lock()
	v, ok := s.heads[id]
	s.mu.Unlock()
	if !ok || !v.open() {
		return
	}
	items, err := s.load(ctx, id)
	if err != nil {
		s.postpone(id, err)
		return
	}
	done, err := s.loadProgress(ctx, v.part, id)
	if err != nil {
		s.postpone(id, err)
		return
	}
	next := v.head
	next.Owner = s.options.Process
	page, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: headKey(v.part, id), Version: v.version}},
		Puts:       []storage.TableRow{headRow(v.part, id, &next)},
	})
	switch code.Of(err) {
	case 0:
		s.options.Log.Info("job taken over", zap.String("job", id), zap.String("from", v.Owner), zap.Int("listed", v.Listed), zap.Int("with_progress", len(done)))
		s.begin(id, versioned{next, page.Version, v.part}, items, done)
	case code.StoreConflict:
		s.learnRows(page.Rows)
	default:
		s.postpone(id, err)
	}
}

// postpone lets a takeover that the store did not take wait, so that an outage
// is not met with calls that fail.
func (s *Service) postpone(id string, err error) {
	s.mu.Lock()
	s.orphans[id] = time.Now().Add(adoptRetry)
	s.mu.Unlock()
	s.options.Log.Info("job not taken over", zap.String("job", id), zap.Duration("retry_after", adoptRetry), zap.Error(err))
}

// learnRows takes in the heads among rows.
func (s *Service) learnRows(rows []storage.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Table != headTable || r.Removed || r.Version == 0 {
			continue
		}
		if v, err := decodeHead(r); err == nil {
			s.learn(r.Key, v)
		}
	}
}

// load returns the items of a job.
func (s *Service) load(ctx context.Context, id string) ([]Item, error) {
	s.mu.Lock()
	items, ok := s.bodies.get(id)
	s.mu.Unlock()
	if ok {
		return items, nil
	}
	raw, err := s.options.Store.GetBlob(ctx, blobPrefix+id)
	if err != nil {
		return nil, err
	}
	items, err = s.options.Decode(raw)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.bodies.put(id, items)
	s.mu.Unlock()
	return items, nil
}

const (
	// sweepInterval is the time between two looks for jobs to remove.
	sweepInterval = 20 * time.Second
	// sweepBatch bounds the rows of one transaction.
	sweepBatch = 80
)

// sweep removes jobs that need not be readable any more.
func (s *Service) sweep(ctx context.Context) {
	for _, id := range s.expired() {
		if err := s.remove(ctx, id); err != nil {
			s.options.Log.Info("old job not removed", zap.String("job", id), zap.Error(err))
		}
	}
}

// expired returns the jobs that this instance removes: each has one instance
// that does.
func (s *Service) expired() []string {
	fleet := s.options.Fleet()
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, v := range s.heads {
		if !v.open() && s.options.Retention > 0 && s.age(&v.head) > 2*s.options.Retention && s.rank(id, fleet) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// remove drops the rows of a job, its head last, so that a sweep that broke off
// is taken up again.
func (s *Service) remove(ctx context.Context, id string) error {
	s.mu.Lock()
	part := s.heads[id].part
	s.mu.Unlock()
	for _, table := range []string{resultTable, progressTable} {
		page, err := storage.ReadRows(ctx, s.options.Store, table, part, id+"/", id+"0")
		if err != nil {
			return err
		}
		for rows := range slices.Chunk(page.Rows, sweepBatch) {
			t := storage.RowTransaction{}
			for _, r := range rows {
				t.Removes = append(t.Removes, r.RowKey)
			}
			if _, err := s.options.Store.ApplyRows(ctx, t); err != nil {
				return err
			}
		}
	}
	if err := s.options.Store.DropBlob(ctx, blobPrefix+id); err != nil {
		return err
	}
	_, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{Removes: []storage.RowKey{headKey(part, id)}})
	return err
}
