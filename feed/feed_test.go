package feed_test

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/boottime"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// recorder keeps the rows of a table as a Follower delivers them.
type recorder struct {
	mu         sync.Mutex
	rows       map[string]string
	versions   map[string]uint64
	recoveries int
	wentBack   bool
}

func (f *recorder) update(u feed.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.Recovered {
		f.recoveries++
	}
	for _, r := range u.Rows {
		if r.Removed {
			delete(f.rows, r.Key)
			continue
		}
		f.wentBack = f.wentBack || r.Version <= f.versions[r.Key]
		f.versions[r.Key] = r.Version
		f.rows[r.Key] = string(r.Value)
	}
}

// state returns the rows, the number of recoveries, and whether a row has gone back
// to an older version.
func (f *recorder) state() (rows map[string]string, recoveries int, wentBack bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows), f.recoveries, f.wentBack
}

func start(t *testing.T, store storage.Rows, parts ...string) (*recorder, *feed.Follower) {
	t.Helper()
	rec := &recorder{rows: map[string]string{}, versions: map[string]uint64{}}
	f := feed.New(feed.Options{Rows: store, Table: "t", Parts: parts, Update: rec.update})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return rec, f
}

func rowsOf(f *recorder) map[string]string {
	rows, _, _ := f.state()
	return rows
}

func put(t *testing.T, store storage.Rows, key, value string) {
	t.Helper()
	putIn(t, store, "", key, value)
}

func putIn(t *testing.T, store storage.Rows, part, key, value string) {
	t.Helper()
	row := storage.TableRow{RowKey: storage.RowKey{Table: "t", Part: part, Key: key}, Value: []byte(value)}
	if _, err := store.ApplyRows(context.Background(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
		t.Fatal(err)
	}
}

func TestChangesAreDeliveredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		put(t, store, "a", "1")
		rec, _ := start(t, store)
		synctest.Wait()
		put(t, store, "b", "2")
		put(t, store, "a", "3")
		synctest.Wait()
		if d := cmp.Diff(map[string]string{"a": "3", "b": "2"}, rowsOf(rec)); d != "" {
			t.Error(d)
		}
	})
}

func TestDroppedHistoryIsRecoveredByFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		put(t, store, "a", "1")
		put(t, store, "b", "1")
		rec, _ := start(t, store)
		synctest.Wait()
		store.SetFaults(memory.RowFaults{FeedsStalled: true})
		put(t, store, "a", "2")
		remove := storage.RowTransaction{Removes: []storage.RowKey{{Table: "t", Key: "b"}}}
		if _, err := store.ApplyRows(context.Background(), remove); err != nil {
			t.Fatal(err)
		}
		store.DropHistory()
		store.SetFaults(memory.RowFaults{})
		time.Sleep(feed.DefaultPollTimeout + time.Second)
		if d := cmp.Diff(map[string]string{"a": "2"}, rowsOf(rec)); d != "" {
			t.Error(d)
		}
	})
}

func TestOutageIsReportedOnceAndKeepsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		put(t, store, "a", "1")
		rec, f := start(t, store)
		synctest.Wait()
		store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(10 * time.Second)
		if age, ok := f.Age(); !ok || age < 9*time.Second {
			t.Errorf("the age after 10 s of outage is %v", age)
		}
		if len(rowsOf(rec)) != 1 {
			t.Error("rows were removed during the outage")
		}
		store.SetFaults(memory.RowFaults{})
		put(t, store, "a", "2")
		time.Sleep(time.Second)
		if rows, recoveries, _ := rec.state(); rows["a"] != "2" || recoveries != 1 {
			t.Errorf("rows %v, recovered %d times", rows, recoveries)
		}
	})
}

// staleReads is a store that answers reads from an old state while stale is set.
type staleReads struct {
	storage.Rows
	old   storage.RowPage
	stale atomic.Bool
}

func (s *staleReads) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	if s.stale.Load() {
		return s.old, nil
	}
	return s.Rows.GetRows(ctx, table, part, from, to)
}

func TestStaleReadNeverBringsAnOlderVersionBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		put(t, store, "a", "1")
		reads := &staleReads{Rows: store}
		reads.old, _ = store.GetRows(context.Background(), "t", "", "", "")
		rec, _ := start(t, reads)
		synctest.Wait()
		put(t, store, "a", "2")
		put(t, store, "c", "1")
		synctest.Wait()
		reads.stale.Store(true)
		put(t, store, "b", "1")
		store.DropHistory()
		store.SetFaults(memory.RowFaults{})
		time.Sleep(3 * time.Second)
		if rowsOf(rec)["c"] != "1" {
			t.Error("a stale read removed a row")
		}
		reads.stale.Store(false)
		time.Sleep(3 * time.Second)
		rows, _, wentBack := rec.state()
		if d := cmp.Diff(map[string]string{"a": "2", "b": "1", "c": "1"}, rows); d != "" || wentBack {
			t.Errorf("went back: %v\n%s", wentBack, d)
		}
	})
}

// pagedStore is a store whose pages hold two rows. beforeRead is called before each
// read but the first, and may reject it.
type pagedStore struct {
	*memory.Rows
	reads      int
	beforeRead func(reads int) error
}

func (p *pagedStore) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	if p.reads++; p.reads > 1 {
		if err := p.beforeRead(p.reads); err != nil {
			return storage.RowPage{}, err
		}
	}
	return p.Rows.GetRows(ctx, table, part, from, to)
}

func newPagedStore(t *testing.T) *pagedStore {
	store := &pagedStore{Rows: memory.NewRows()}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		put(t, store.Rows, key, "1")
	}
	store.SetFaults(memory.RowFaults{PageRows: 2})
	return store
}

// TestChangeDuringALongReadIsSeen changes and removes rows that have been read
// while other pages are still to come.
func TestChangeDuringALongReadIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPagedStore(t)
		store.beforeRead = func(reads int) error {
			if reads == 2 {
				put(t, store.Rows, "a", "2")
				remove := storage.RowTransaction{Removes: []storage.RowKey{{Table: "t", Key: "b"}}}
				if _, err := store.ApplyRows(context.Background(), remove); err != nil {
					t.Error(err)
				}
			}
			return nil
		}
		rec, _ := start(t, store)
		time.Sleep(feed.DefaultPollTimeout)
		if d := cmp.Diff(map[string]string{"a": "2", "c": "1", "d": "1", "e": "1"}, rowsOf(rec)); d != "" {
			t.Error(d)
		}
	})
}

// TestPartsAreFollowedAsOneTable reads two of three parts in several pages. One
// page is rejected, and a row of the part that was read before is removed in the
// meantime. Then the change history is dropped.
func TestPartsAreFollowedAsOneTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &pagedStore{Rows: memory.NewRows()}
		remove := func(part, key string) {
			if _, err := store.ApplyRows(context.Background(), storage.RowTransaction{Removes: []storage.RowKey{{Table: "t", Part: part, Key: key}}}); err != nil {
				t.Error(err)
			}
		}
		for _, key := range []string{"a", "b", "c"} {
			putIn(t, store.Rows, "0", key, "1")
			putIn(t, store.Rows, "1", "1"+key, "1")
			putIn(t, store.Rows, "other", "x"+key, "1")
		}
		store.SetFaults(memory.RowFaults{PageRows: 2})
		store.beforeRead = func(reads int) error {
			switch reads {
			case 3: // The first page of the second part.
				remove("0", "a")
				return code.New(code.StoreThrottled, "the rate is used up")
			case 5:
				putIn(t, store.Rows, "1", "1a", "2")
			}
			return nil
		}
		rec, _ := start(t, store, "0", "1")
		time.Sleep(feed.DefaultPollTimeout)
		if d := cmp.Diff(map[string]string{"b": "1", "c": "1", "1a": "2", "1b": "1", "1c": "1"}, rowsOf(rec)); d != "" {
			t.Error(d)
		}
		if n := store.Counts().Reads; n != 4 {
			t.Errorf("%d pages were read, want 4", n)
		}
		store.SetFaults(memory.RowFaults{FeedsStalled: true})
		remove("1", "1b")
		putIn(t, store.Rows, "0", "b", "2")
		putIn(t, store.Rows, "other", "xa", "2")
		store.DropHistory()
		store.SetFaults(memory.RowFaults{})
		time.Sleep(feed.DefaultPollTimeout + time.Second)
		if d := cmp.Diff(map[string]string{"b": "2", "c": "1", "1a": "2", "1c": "1"}, rowsOf(rec)); d != "" {
			t.Errorf("after the history was dropped:\n%s", d)
		}
	})
}

// TestRejectedPageAloneIsRetried rejects every other page, as a store does whose
// rate limit is shared by many instances that start at the same time.
func TestRejectedPageAloneIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPagedStore(t)
		store.beforeRead = func(reads int) error {
			if reads%2 == 0 {
				return code.New(code.StoreThrottled, "the rate is used up")
			}
			return nil
		}
		rec, _ := start(t, store)
		time.Sleep(10 * time.Second)
		if rows := rowsOf(rec); len(rows) != 5 {
			t.Errorf("got %d rows, want 5", len(rows))
		}
		if n := store.Counts().Reads; n != 3 {
			t.Errorf("%d pages were read, want 3", n)
		}
	})
}

// slowChanges is a store whose feed answers once, after a while.
type slowChanges struct {
	storage.Rows
	// rowsReadAt is the time by package boottime at which that call had read the rows.
	rowsReadAt time.Duration
	// answered is closed at the beginning of the next call.
	answered chan struct{}
	calls    int
}

func (s *slowChanges) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	if s.calls++; s.calls > 1 {
		close(s.answered)
		<-ctx.Done()
		return storage.RowPage{}, ctx.Err()
	}
	page, err := s.Rows.RowChanges(ctx, table, after, 0)
	s.rowsReadAt = boottime.Now()
	time.Sleep(10 * time.Millisecond)
	return page, err
}

// TestReadAtIsBeforeTheCall guards against rows that are taken for newer than they are, since
// the response was delivered long after the store had read them.
func TestReadAtIsBeforeTheCall(t *testing.T) {
	store := &slowChanges{Rows: memory.NewRows(), answered: make(chan struct{})}
	_, f := start(t, store)
	<-store.answered
	if readAt, ok := f.ReadAt(); !ok || readAt > store.rowsReadAt {
		t.Errorf("rows count as read at %v (%v), though the store had read them at %v", readAt, ok, store.rowsReadAt)
	}
}
