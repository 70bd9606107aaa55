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

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// follow keeps the rows of a table as a follower tells them.
type follow struct {
	mu       sync.Mutex
	rows     map[string]string
	versions map[string]uint64
	regained int
	back     bool
}

func (f *follow) update(u feed.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.Recovered {
		f.regained++
	}
	for _, r := range u.Rows {
		if r.Removed {
			delete(f.rows, r.Key)
			continue
		}
		f.back = f.back || r.Version <= f.versions[r.Key]
		f.versions[r.Key] = r.Version
		f.rows[r.Key] = string(r.Value)
	}
}

// state returns the rows, how often the store was regained, and whether a row
// went back.
func (f *follow) state() (rows map[string]string, regained int, back bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows), f.regained, f.back
}

func start(t *testing.T, store storage.Rows, parts ...string) (*follow, *feed.Follower) {
	t.Helper()
	seen := &follow{rows: map[string]string{}, versions: map[string]uint64{}}
	f := feed.New(feed.Options{Rows: store, Table: "t", Parts: parts, Update: seen.update})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return seen, f
}

func rowsOf(f *follow) map[string]string {
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

func TestChangesAreSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		put(t, store, "a", "1")
		seen, _ := start(t, store)
		synctest.Wait()
		put(t, store, "b", "2")
		put(t, store, "a", "3")
		synctest.Wait()
		if d := cmp.Diff(map[string]string{"a": "3", "b": "2"}, rowsOf(seen)); d != "" {
			t.Error(d)
		}
	})
}

func TestDroppedHistoryIsBridgedByReadingAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		put(t, store, "a", "1")
		put(t, store, "b", "1")
		seen, _ := start(t, store)
		synctest.Wait()
		store.SetFaults(memory.RowFaults{Silent: true})
		put(t, store, "a", "2")
		remove := storage.RowTransaction{Removes: []storage.RowKey{{Table: "t", Key: "b"}}}
		if _, err := store.ApplyRows(context.Background(), remove); err != nil {
			t.Fatal(err)
		}
		store.DropHistory()
		store.SetFaults(memory.RowFaults{})
		time.Sleep(feed.DefaultPollTimeout + time.Second)
		if d := cmp.Diff(map[string]string{"a": "2"}, rowsOf(seen)); d != "" {
			t.Error(d)
		}
	})
}

func TestOutageIsToldOnceAndNothingIsForgottenInIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		put(t, store, "a", "1")
		seen, f := start(t, store)
		synctest.Wait()
		store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(10 * time.Second)
		if age, ok := f.Age(); !ok || age < 9*time.Second {
			t.Errorf("the age of what is known is %v", age)
		}
		if len(rowsOf(seen)) != 1 {
			t.Error("rows were forgotten in the outage")
		}
		store.SetFaults(memory.RowFaults{})
		put(t, store, "a", "2")
		time.Sleep(time.Second)
		if rows, regained, _ := seen.state(); rows["a"] != "2" || regained != 1 {
			t.Errorf("rows %v, regained %d times", rows, regained)
		}
	})
}

// staleReads answers reads from the past for a while.
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
		seen, _ := start(t, reads)
		synctest.Wait()
		put(t, store, "a", "2")
		put(t, store, "c", "1")
		synctest.Wait()
		reads.stale.Store(true)
		put(t, store, "b", "1")
		store.DropHistory()
		store.SetFaults(memory.RowFaults{})
		time.Sleep(3 * time.Second)
		if rowsOf(seen)["c"] != "1" {
			t.Error("a read from the past removed a row")
		}
		reads.stale.Store(false)
		time.Sleep(3 * time.Second)
		rows, _, back := seen.state()
		if d := cmp.Diff(map[string]string{"a": "2", "b": "1", "c": "1"}, rows); d != "" || back {
			t.Errorf("went back: %v\n%s", back, d)
		}
	})
}

// paged is a store whose answers hold two rows; between is called before each
// answer but the first, and may refuse it.
type paged struct {
	*memory.Rows
	asked   int
	between func(asked int) error
}

func (p *paged) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	if p.asked++; p.asked > 1 {
		if err := p.between(p.asked); err != nil {
			return storage.RowPage{}, err
		}
	}
	return p.Rows.GetRows(ctx, table, part, from, to)
}

func newPaged(t *testing.T) *paged {
	store := &paged{Rows: memory.NewRows()}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		put(t, store.Rows, key, "1")
	}
	store.SetFaults(memory.RowFaults{PageRows: 2})
	return store
}

// TestChangeDuringALongReadIsSeen changes and removes rows that have been read
// while the rest is still to come.
func TestChangeDuringALongReadIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPaged(t)
		store.between = func(asked int) error {
			if asked == 2 {
				put(t, store.Rows, "a", "2")
				remove := storage.RowTransaction{Removes: []storage.RowKey{{Table: "t", Key: "b"}}}
				if _, err := store.ApplyRows(context.Background(), remove); err != nil {
					t.Error(err)
				}
			}
			return nil
		}
		seen, _ := start(t, store)
		time.Sleep(feed.DefaultPollTimeout)
		if d := cmp.Diff(map[string]string{"a": "2", "c": "1", "d": "1", "e": "1"}, rowsOf(seen)); d != "" {
			t.Error(d)
		}
	})
}

// TestPartsAreFollowedAsOneTable reads two parts of three through several answers, one
// of which is refused, while a row of the part that was read is removed; then the
// history is dropped.
func TestPartsAreFollowedAsOneTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &paged{Rows: memory.NewRows()}
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
		store.between = func(asked int) error {
			switch asked {
			case 3: // The first answer of the second part.
				remove("0", "a")
				return code.New(code.StoreThrottled, "the rate is used up")
			case 5:
				putIn(t, store.Rows, "1", "1a", "2")
			}
			return nil
		}
		seen, _ := start(t, store, "0", "1")
		time.Sleep(feed.DefaultPollTimeout)
		if d := cmp.Diff(map[string]string{"b": "1", "c": "1", "1a": "2", "1b": "1", "1c": "1"}, rowsOf(seen)); d != "" {
			t.Error(d)
		}
		if n := store.Counts().Reads; n != 4 {
			t.Errorf("%d answers were read for four", n)
		}
		store.SetFaults(memory.RowFaults{Silent: true})
		remove("1", "1b")
		putIn(t, store.Rows, "0", "b", "2")
		putIn(t, store.Rows, "other", "xa", "2")
		store.DropHistory()
		store.SetFaults(memory.RowFaults{})
		time.Sleep(feed.DefaultPollTimeout + time.Second)
		if d := cmp.Diff(map[string]string{"b": "2", "c": "1", "1a": "2", "1c": "1"}, rowsOf(seen)); d != "" {
			t.Errorf("after the history was dropped:\n%s", d)
		}
	})
}

// TestRefusedAnswerIsAskedForAgainAlone refuses every other answer, as a store
// does whose rate many instances share that start at once.
func TestRefusedAnswerIsAskedForAgainAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPaged(t)
		store.between = func(asked int) error {
			if asked%2 == 0 {
				return code.New(code.StoreThrottled, "the rate is used up")
			}
			return nil
		}
		seen, _ := start(t, store)
		time.Sleep(10 * time.Second)
		if rows := rowsOf(seen); len(rows) != 5 {
			t.Errorf("%d rows", len(rows))
		}
		if n := store.Counts().Reads; n != 3 {
			t.Errorf("%d answers were read for three", n)
		}
	})
}
