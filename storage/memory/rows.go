package memory

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Rows is a storage.RowStore in memory. It is safe for concurrent use.
type Rows struct {
	mu      sync.Mutex
	rows    map[storage.RowKey]storage.TableRow
	history []storage.TableRow
	// dropped is the version up to which the history is gone.
	dropped uint64
	version uint64
	blobs   map[string][]byte
	changed chan struct{}
	started time.Time
	faults  RowFaults
	late    sync.WaitGroup
	counts  RowCounts
}

var _ storage.RowStore = (*Rows)(nil)

// RowFaults are what the store does wrong until they are replaced.
type RowFaults struct {
	// Down fails every call without effect.
	Down bool
	// LoseAnswers is the number of transactions whose answers are lost after they
	// took effect.
	LoseAnswers int
	// Delay is how long after a lost answer the effect comes; 0 means at once.
	Delay time.Duration
	// AnswerDelay is how long after its effect a transaction is answered.
	AnswerDelay time.Duration
	// Silent feeds see no changes.
	Silent bool
	// PageRows bounds the rows of one answer; 0 means no bound.
	PageRows int
}

// RowCounts count what the store was asked for.
type RowCounts struct {
	Transactions int
	Lost         int
	// Reads counts the range reads that were answered.
	Reads int
}

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{
		rows:    map[storage.RowKey]storage.TableRow{},
		blobs:   map[string][]byte{},
		changed: make(chan struct{}),
		started: time.Now(),
	}
}

// SetFaults replaces the faults.
func (s *Rows) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counts returns what the store was asked for so far.
func (s *Rows) Counts() RowCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// DropHistory forgets the changes so far.
func (s *Rows) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.version
}

// Settle waits until all delayed effects have come.
func (s *Rows) Settle() { s.late.Wait() }

// wake lets the feeds look again. The lock is held.
func (s *Rows) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Rows) down() error {
	if s.faults.Down {
		return code.New(code.StoreUnavailable, "the store is down")
	}
	return nil
}

func (s *Rows) page() storage.RowPage {
	return storage.RowPage{Version: s.version, Now: time.Since(s.started) + time.Millisecond}
}

// GetRows implements storage.Rows.
func (s *Rows) GetRows(_ context.Context, table, part, from, to string) (storage.RowPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.down(); err != nil {
		return storage.RowPage{}, err
	}
	s.counts.Reads++
	page := s.page()
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
	s.mu.Lock()
	delay := s.faults.AnswerDelay
	defer func() {
		s.mu.Unlock()
		time.Sleep(delay)
	}()
	if err := s.down(); err != nil {
		return storage.RowPage{}, err
	}
	if !t.OnePart() {
		return storage.RowPage{}, code.New(code.Internal, "a transaction over several parts")
	}
	s.counts.Transactions++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.counts.Lost++
		s.applyLate(t, s.faults.Delay)
		return storage.RowPage{}, code.New(code.StoreUnknown, "the answer was lost")
	}
	return s.apply(t)
}

func (s *Rows) applyLate(t storage.RowTransaction, delay time.Duration) {
	if delay == 0 {
		_, _ = s.apply(t)
		return
	}
	s.late.Go(func() {
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(t)
	})
}

// apply runs a transaction. The lock is held.
func (s *Rows) apply(t storage.RowTransaction) (storage.RowPage, error) {
	holds := true
	page := s.page()
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
	s.wake()
	return s.page(), nil
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

// changes returns the newest state of each row that changed. The lock is held.
func (s *Rows) changes(table string, after uint64) (storage.RowPage, error) {
	if err := s.down(); err != nil {
		return storage.RowPage{}, err
	}
	if after < s.dropped {
		return storage.RowPage{}, code.New(code.StoreHistoryGone, "the history is gone")
	}
	page := s.page()
	if s.faults.Silent {
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
	return parts, s.down()
}

// PutBlob implements storage.Blobs.
func (s *Rows) PutBlob(_ context.Context, name string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.down(); err != nil {
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
	if err := s.down(); err != nil {
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
	return s.down()
}
