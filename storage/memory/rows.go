package memory

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Rows is a storage.RowStore in memory. The response to a transaction has the newest version at
// its own time: others may have taken effect since the transaction did. It is safe for concurrent
// use.
type Rows struct {
	mu      sync.Mutex
	rows    map[storage.RowKey]storage.TableRow
	history []storage.TableRow
	// droppedVersion is the version up to which the history was dropped.
	droppedVersion uint64
	version        uint64
	blobs          map[string][]byte
	// changed is closed and replaced at every change.
	changed   chan struct{}
	createdAt time.Time
	faults    RowFaults
	// maxResponseTime is set by SetMaxResponseTime.
	maxResponseTime time.Duration
	delayed         sync.WaitGroup
	counts          RowCounts
}

var _ storage.RowStore = (*Rows)(nil)

// RowFaults are the faults that a Rows injects until they are replaced. The zero
// value injects none.
type RowFaults struct {
	// Down makes every call fail.
	Down bool
	// LoseResponses is the number of next transactions that lose their responses. They
	// take effect after EffectDelay.
	LoseResponses int
	// EffectDelay is the time between a lost response and the effect of its transaction; 0
	// means that the effect comes first.
	EffectDelay time.Duration
	// ResponseDelay is added to the time between the effect of a transaction and its response.
	ResponseDelay time.Duration
	// FeedsStalled makes feeds return no changes.
	FeedsStalled bool
	// PageRows is the largest number of rows in a page; 0 means no limit.
	PageRows int
}

// RowCounts are the numbers of calls and faults.
type RowCounts struct {
	// Transactions counts transactions that reached the store, also those that lost
	// their responses or whose conditions did not hold.
	Transactions int
	// Lost counts lost responses.
	Lost int
	// Reads counts successful calls of GetRows.
	Reads int
}

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{
		rows:      map[storage.RowKey]storage.TableRow{},
		blobs:     map[string][]byte{},
		changed:   make(chan struct{}),
		createdAt: time.Now(),
	}
}

// SetFaults replaces the faults. Waiting feeds check them at once.
func (s *Rows) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyFeeds()
}

// SetMaxResponseTime sets the longest time between the effect of a transaction and its response,
// which is drawn for each; the default is 0.
func (s *Rows) SetMaxResponseTime(longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxResponseTime = longest
}

// Counts returns the counts so far.
func (s *Rows) Counts() RowCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// DropHistory drops the history, so that a feed after an earlier version fails with
// code.StoreHistoryGone.
func (s *Rows) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// WaitDelayed waits until all transactions delayed by RowFaults.EffectDelay have
// taken effect.
func (s *Rows) WaitDelayed() { s.delayed.Wait() }

// notifyFeeds makes waiting feeds look for changes. The caller holds s.mu.
func (s *Rows) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// checkAvailable returns the error of a call while the store is down. The caller
// holds s.mu.
func (s *Rows) checkAvailable() error {
	if s.faults.Down {
		return code.New(code.StoreUnavailable, "the store is down")
	}
	return nil
}

// emptyPage returns a page without rows. Its clock starts at 1 ms, so that it is
// never 0. The caller holds s.mu.
func (s *Rows) emptyPage() storage.RowPage {
	return storage.RowPage{Version: s.version, Now: time.Since(s.createdAt) + time.Millisecond}
}

// GetRows implements storage.Rows.
func (s *Rows) GetRows(_ context.Context, table, part, from, to string) (storage.RowPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return storage.RowPage{}, err
	}
	s.counts.Reads++
	page := s.emptyPage()
	for k, r := range s.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b storage.TableRow) int { return strings.Compare(a.Key, b.Key) })
	if n := s.faults.PageRows; n > 0 && len(page.Rows) > n {
		page.Rows, page.More = page.Rows[:n], true
	}
	return page, nil
}

// ApplyRows implements storage.Rows.
func (s *Rows) ApplyRows(_ context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	delay := s.responseDelay()
	page, err := s.tryApply(t)
	time.Sleep(delay)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		page = s.emptyPage()
	}
	return page, err
}

// responseDelay returns the time between the effect of the next transaction and its response.
func (s *Rows) responseDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.ResponseDelay + rand.N(s.maxResponseTime+1)
}

// tryApply runs a transaction, or fails as the faults say.
func (s *Rows) tryApply(t storage.RowTransaction) (storage.RowPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return storage.RowPage{}, err
	}
	if !t.SinglePart() {
		return storage.RowPage{}, code.New(code.Internal, "a transaction over several parts")
	}
	s.counts.Transactions++
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		s.counts.Lost++
		s.applyAfter(t, s.faults.EffectDelay)
		return storage.RowPage{}, code.New(code.StoreUnknown, "the answer was lost")
	}
	return s.apply(t)
}

// applyAfter runs a transaction after delay and drops its result. The caller holds
// s.mu.
func (s *Rows) applyAfter(t storage.RowTransaction, delay time.Duration) {
	if delay == 0 {
		_, _ = s.apply(t)
		return
	}
	s.delayed.Go(func() {
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(t)
	})
}

// apply runs a transaction. The caller holds s.mu.
func (s *Rows) apply(t storage.RowTransaction) (storage.RowPage, error) {
	holds := true
	page := s.emptyPage()
	for _, c := range t.Conditions {
		r, ok := s.rows[c.RowKey]
		if !ok {
			r = storage.TableRow{RowKey: c.RowKey}
		}
		holds = holds && r.Version == c.Version
		page.Rows = append(page.Rows, r)
	}
	if !holds {
		return page, code.New(code.StoreConflict, "a condition did not hold")
	}
	s.version++
	for _, r := range t.Puts {
		r.Version, r.Removed, r.Value = s.version, false, slices.Clone(r.Value)
		s.rows[r.RowKey] = r
		s.history = append(s.history, r)
	}
	for _, k := range t.Removes {
		delete(s.rows, k)
		s.history = append(s.history, storage.TableRow{RowKey: k, Version: s.version, Removed: true})
	}
	s.notifyFeeds()
	return s.emptyPage(), nil
}

// RowChanges implements storage.Rows.
func (s *Rows) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		page, err := s.changes(table, after)
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return page, code.Wrap(code.StoreUnavailable, ctx.Err(), "the call was given up")
		case <-timer.C:
			return page, nil
		case <-changed:
		}
	}
}

// changes returns the newest state of each row of a table that changed after a
// version. The caller holds s.mu.
func (s *Rows) changes(table string, after uint64) (storage.RowPage, error) {
	if err := s.checkAvailable(); err != nil {
		return storage.RowPage{}, err
	}
	if after < s.droppedVersion {
		return storage.RowPage{}, code.New(code.StoreHistoryGone, "the history is gone")
	}
	page := s.emptyPage()
	if s.faults.FeedsStalled {
		page.Version = after
		return page, nil
	}
	newest := map[storage.RowKey]storage.TableRow{}
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			newest[r.RowKey] = r
		}
	}
	for _, r := range newest {
		page.Rows = append(page.Rows, r)
	}
	slices.SortFunc(page.Rows, func(a, b storage.TableRow) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Key, b.Key))
	})
	return page, nil
}

// RowParts implements storage.Rows.
func (s *Rows) RowParts(_ context.Context, table string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	var parts []string
	for k := range s.rows {
		if k.Table == table && !seen[k.Part] {
			seen[k.Part] = true
			parts = append(parts, k.Part)
		}
	}
	slices.Sort(parts)
	return parts, s.checkAvailable()
}

// PutBlob implements storage.Blobs.
func (s *Rows) PutBlob(_ context.Context, name string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return err
	}
	if _, ok := s.blobs[name]; ok {
		return code.New(code.StoreConflict, "the object exists")
	}
	s.blobs[name] = slices.Clone(body)
	return nil
}

// GetBlob implements storage.Blobs.
func (s *Rows) GetBlob(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return nil, err
	}
	body, ok := s.blobs[name]
	if !ok {
		return nil, code.New(code.StoreNotFound, "there is no object %q", name)
	}
	return body, nil
}

// DropBlob implements storage.Blobs.
func (s *Rows) DropBlob(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.blobs, name)
	return s.checkAvailable()
}
