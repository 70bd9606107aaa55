package job

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/route"
	"github.com/daisylb/daisylb/storage"
)

const (
	// takeoverInterval is the time between two checks for jobs without a living
	// owner.
	takeoverInterval = 200 * time.Millisecond
	// takeoverStagger is how much longer the instance of the next rank waits before
	// it takes a job over, so that as a rule only one of them writes.
	takeoverStagger = 250 * time.Millisecond
	// unknownOwnerGrace is longer than it takes until the row of a new process is
	// read here. ownJobGrace is longer than the store takes to answer an acceptance
	// by this process whose head the feed has already read.
	unknownOwnerGrace = 2500 * time.Millisecond
	ownJobGrace       = 2500 * time.Millisecond
	// takeoverRetryInterval is added to takeoverDelay after a takeover that failed.
	takeoverRetryInterval = 700 * time.Millisecond
	// maxTakeoverRank bounds the rank, and so the delay of the last instances:
	// maxTakeoverDelay.
	maxTakeoverRank  = 8
	maxTakeoverDelay = unknownOwnerGrace + maxTakeoverRank*takeoverStagger
)

// takeOverOrphans takes over the jobs whose owner has handed them over or is not
// alive, as far as there is room for them.
func (s *Service) takeOverOrphans(ctx context.Context) {
	now := time.Now()
	freed := s.loaded.releases()
	if !s.updateOrphans(now) || s.loadedFull.Load() && freed == s.fullAt {
		return
	}
	s.loadedFull.Store(false)
	for _, o := range s.sortedOrphans() {
		if !s.isDue(&o, now) {
			continue
		}
		claim := s.loaded.claim(o.loadedBytes())
		if !s.loaded.tryTake(claim) {
			s.loadedFull.Store(true)
			s.fullAt = freed
			return
		}
		if !s.takeOver(ctx, o.id, o.versionedHead, claim) {
			s.loaded.release(claim)
		}
	}
}

// updateOrphans updates the list of orphans, and reports whether this instance may take any over.
// One without a document may not, since it could not run them.
func (s *Service) updateOrphans(now time.Time) bool {
	fleet := s.options.Fleet()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || !fleet.LivenessKnown || s.options.Routing() == nil {
		return false
	}
	for process := range fleet.Alive {
		s.seenAlive[process] = true
	}
	for id, v := range s.heads {
		if !v.open() {
			continue
		}
		if _, running := s.owned[id]; running || v.Owner != s.options.Process && fleet.Alive[v.Owner] {
			delete(s.orphans, id)
			continue
		}
		if _, ok := s.orphans[id]; !ok {
			s.orphans[id] = now
		}
	}
	return true
}

// orphan is a job without a living owner since some time.
type orphan struct {
	id string
	versionedHead
	since time.Time
	// turn is the number of jobs of the same account that run here or come before it. place is
	// its place among jobs that have waited for equally long, another at each instance.
	turn  int
	place uint64
}

// sortedOrphans returns the jobs without a living owner in the order in which this instance takes
// them over: in the turns of their accounts, then that of the account whose last job began first,
// then the one that has waited for the longest.
func (s *Service) sortedOrphans() []orphan {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]orphan, 0, len(s.orphans))
	for id, since := range s.orphans {
		if v, ok := s.heads[id]; ok {
			list = append(list, orphan{id: id, versionedHead: v, since: since, place: xxhash.Sum64String(s.options.Process + id)})
		}
	}
	if len(list) == 0 {
		clear(s.beganAt)
	}
	slices.SortFunc(list, func(a, b orphan) int {
		return cmp.Or(a.since.Truncate(orphanPeriod).Compare(b.since.Truncate(orphanPeriod)), cmp.Compare(a.place, b.place))
	})
	turns := map[string]int{}
	for _, r := range s.owned {
		turns[r.account]++
	}
	for i := range list {
		list[i].turn = turns[list[i].Account]
		turns[list[i].Account]++
	}
	slices.SortStableFunc(list, func(a, b orphan) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), s.beganAt[a.Account].Compare(s.beganAt[b.Account]))
	})
	return list
}

// orphanPeriod is the difference of waiting times from which the longer one counts. Within it,
// instances begin at different jobs, so that they seldom read the same one.
const orphanPeriod = 5 * time.Second

// isDue reports whether this instance may take an orphan over now.
func (s *Service) isDue(o *orphan, now time.Time) bool {
	waited := now.Sub(o.since)
	if waited >= maxTakeoverDelay {
		return true
	}
	fleet := s.options.Fleet()
	s.mu.Lock()
	defer s.mu.Unlock()
	return waited >= s.takeoverDelay(o.id, o.versionedHead, fleet)
}

// takeoverDelay returns how long a job is left alone after its owner was found to be
// not alive. An owner that has never been seen alive may just have started. A job of
// this process that is not running may be one whose Submit is still waiting for the
// store. The lock is held.
func (s *Service) takeoverDelay(id string, v versionedHead, fleet Fleet) time.Duration {
	stagger := time.Duration(s.rank(id, fleet)) * takeoverStagger
	switch {
	case v.Owner == s.options.Process:
		return ownJobGrace
	case v.Owner == "" || s.seenAlive[v.Owner]:
		return stagger
	case fleet.Replaced != nil && fleet.Replaced(v.Owner, v.version.newest()):
		return stagger
	}
	return unknownOwnerGrace + stagger
}

// rank returns the rank of this instance among those that may take a job over, up to
// maxTakeoverRank.
func (s *Service) rank(id string, fleet Fleet) int {
	return route.Rank(id, s.options.Process, maps.Keys(fleet.Alive), maxTakeoverRank)
}

// takeOver makes this process the owner of a job and runs the items that are not
// listed, which then holds the claim. It does nothing and reports false if the head has changed
// since v: another instance may have taken the job over.
func (s *Service) takeOver(ctx context.Context, id string, v versionedHead, claim int64) bool {
	if s.headVersion(id) != v.version {
		return false
	}
	if !v.version.known() {
		confirmed, err := s.confirmedHead(ctx, id, v.version)
		if err != nil {
			s.postpone(id, err)
			return false
		}
		if confirmed.Owner != v.Owner || !confirmed.open() {
			return false
		}
		v = confirmed
	}
	items, err := s.loadItems(ctx, id)
	if err != nil {
		s.postpone(id, err)
		return false
	}
	progress, progressClaim, err := s.loadProgress(ctx, v.part, id)
	if err != nil {
		s.postpone(id, err)
		return false
	}
	next := v.head
	next.Owner, next.Ahead = s.options.Process, 0
	taken, err := s.replaceHead(ctx, id, v, next)
	if err == nil {
		s.options.Log.Info("job taken over", zap.String("job", id), zap.String("from", v.Owner), zap.Int("listed", v.Listed), zap.Int("with_progress", len(progress.items)))
		s.startRun(ctx, id, taken, items, progress, claim+progressClaim)
		return true
	}
	if code.Of(err) != code.StoreConflict || s.headVersion(id) == v.version {
		// The store has failed, or the present head can't be read.
		s.postpone(id, err)
	}
	s.loaded.release(progressClaim)
	return false
}

// postpone delays the next attempt of a takeover that failed, so that failing calls
// add little load during an outage of the store.
func (s *Service) postpone(id string, err error) {
	s.mu.Lock()
	s.orphans[id] = time.Now().Add(takeoverRetryInterval)
	s.mu.Unlock()
	s.options.Log.Info("job not taken over", zap.String("job", id), zap.Duration("retry_after", takeoverRetryInterval), zap.Error(err))
}

// loadItems returns the items of a job, from memory or from its object.
func (s *Service) loadItems(ctx context.Context, id string) ([]Item, error) {
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
	// sweepInterval is the time between two checks for jobs to remove.
	sweepInterval = 20 * time.Second
	// sweepBatch bounds the rows that one transaction removes.
	sweepBatch = 80
)

// sweep removes jobs that are past their retention.
func (s *Service) sweep(ctx context.Context) {
	for _, id := range s.expired() {
		if err := s.remove(ctx, id); err != nil {
			s.options.Log.Info("old job not removed", zap.String("job", id), zap.Error(err))
		}
	}
}

// expired returns the jobs that this instance removes. Each job has one instance that
// removes it: the one of the first rank.
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

// remove removes the rows and the object of a job. The head is last, so that the next
// sweep continues a removal that failed.
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
