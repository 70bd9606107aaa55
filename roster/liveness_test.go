package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/roster"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// startAgain starts another process of a machine.
func startAgain(store storage.Rows, name string) *testMember {
	ctx, cancel := context.WithCancel(context.Background())
	r := &testMember{}
	r.Roster = roster.New(roster.Options{Rows: store, Log: zap.NewNop(), Self: roster.Member{
		Name: name, ID: name + "/2", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
	}})
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	r.stop = func() { cancel(); <-done }
	return r
}

// replaceMachines lets machines come, live for a while and go for good, some at a time.
func replaceMachines(store storage.Rows, n, atOnce int) {
	for first := 0; first < n; first += atOnce {
		var all []*testMember
		for i := first; i < first+atOnce; i++ {
			all = append(all, start(store, fmt.Sprintf("gone%04d", i)))
		}
		time.Sleep(200 * time.Millisecond)
		for _, r := range all {
			r.UpdateSelf(func(m *roster.Member) { m.Ready = true })
		}
		time.Sleep(800 * time.Millisecond)
		for _, r := range all {
			r.stop()
		}
	}
}

// rowCount returns the number of rows in the table.
func rowCount(t *testing.T, store storage.Rows) int {
	t.Helper()
	page, err := storage.ReadRows(t.Context(), store, roster.Table, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Rows)
}

func TestRowsOfReplacedMachinesDelayNoFailureAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		all := []*testMember{start(store, "a"), start(store, "b"), start(store, "c")}
		replaceMachines(store, 600, 20)
		time.Sleep(15 * time.Second)
		for _, r := range all {
			r.stop()
		}
		time.Sleep(time.Second)
		b, c := startAgain(store, "b"), startAgain(store, "c")
		defer b.stop()
		defer c.stop()
		time.Sleep(time.Second)
		for _, m := range b.View().Alive {
			if len(m.Name) > 1 {
				t.Fatalf("%s counts as alive, and %d others", m.Name, len(b.View().Alive)-1)
			}
		}
		time.Sleep(detectionTime - time.Second)
		if names := b.View().Names(); !slices.Equal(names, []string{"b", "c"}) {
			t.Errorf("%d count as alive %v after the restart, want b and c", len(names), detectionTime)
		}
	})
}

func TestOutageRevivesNoFailedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		a, b := start(store, "a"), start(store, "b")
		defer a.stop()
		defer b.stop()
		replaceMachines(store, 60, 20)
		time.Sleep(10 * time.Second)
		store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(5 * time.Second)
		store.SetFaults(memory.RowFaults{})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if n := len(a.View().Alive); n != 2 {
				t.Fatalf("%d members count as alive after the outage, 2 live", n)
			}
		}
	})
}

// TestStartDuringAnOutageTakesNobodyOffTheList has all rows old when they are first read.
func TestStartDuringAnOutageTakesNobodyOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		all := []*testMember{start(store, "a"), start(store, "b"), start(store, "c")}
		time.Sleep(10 * time.Second)
		store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(20 * time.Second)
		d := start(store, "d")
		for _, r := range append(all, d) {
			defer r.stop()
		}
		time.Sleep(10 * time.Second)
		store.SetFaults(memory.RowFaults{})
		for !d.Loaded() {
			time.Sleep(time.Millisecond)
		}
		for range 600 {
			if n := len(d.View().Alive); n != 4 {
				t.Fatalf("%d members count as alive after the outage, 4 live", n)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestLossOfMostTakesNoSurvivorOffTheList has survivors that write at the interval of the
// fleet before the loss.
func TestLossOfMostTakesNoSurvivorOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		var all []*testMember
		for i := range 200 {
			all = append(all, start(store, fmt.Sprintf("i%03d", i)))
		}
		time.Sleep(convergeTime)
		survivors := all[:5]
		for _, r := range survivors {
			defer r.stop()
		}
		for _, r := range all[len(survivors):] {
			r.stop()
		}
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			for _, r := range survivors {
				if first := r.View().Names()[:min(len(survivors), len(r.View().Alive))]; !slices.Equal(first, []string{"i000", "i001", "i002", "i003", "i004"}) {
					t.Fatalf("a survivor is off the list, which begins with %v", first)
				}
			}
		}
		if n := len(all[0].View().Alive); n != len(survivors) {
			t.Errorf("%d count as alive, %d live", n, len(survivors))
		}
	})
}

func putMember(t *testing.T, store storage.Rows, m roster.Member) {
	t.Helper()
	value, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	row := storage.TableRow{RowKey: storage.RowKey{Table: roster.Table, Key: m.Name}, Value: value}
	if _, err := store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
		t.Fatal(err)
	}
}

// TestTimesOfAnotherClockTakeNobodyOffTheList has rows without a time and one whose time
// the store's clock has not reached.
func TestTimesOfAnotherClockTakeNobodyOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		time.Sleep(time.Minute)
		putMember(t, store, roster.Member{Name: "old", ID: "old/1"})
		putMember(t, store, roster.Member{Name: "early", ID: "early/1", IntervalMillis: 1000, WrittenMillis: 59_500})
		putMember(t, store, roster.Member{Name: "late", ID: "late/1", IntervalMillis: 1000, WrittenMillis: time.Hour.Milliseconds()})
		putMember(t, store, roster.Member{Name: "gone", ID: "gone/1", IntervalMillis: 1000, WrittenMillis: 1000})
		a := start(store, "a")
		defer a.stop()
		time.Sleep(time.Second)
		if names := a.View().Names(); !slices.Equal(names, []string{"a", "early", "late", "old"}) {
			t.Errorf("%v count as alive after the start", names)
		}
		time.Sleep(detectionTime)
		if names := a.View().Names(); !slices.Equal(names, []string{"a"}) {
			t.Errorf("%v count as alive later", names)
		}
	})
}

func TestRowsOfGoneMachinesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		a, b := start(store, "a"), start(store, "b")
		defer a.stop()
		defer b.stop()
		replaceMachines(store, 100, 20)
		time.Sleep(90 * time.Second)
		if n := rowCount(t, store); n != 102 {
			t.Errorf("%d rows soon after the machines are gone, want 102", n)
		}
		time.Sleep(2 * time.Minute)
		if n := rowCount(t, store); n != 2 {
			t.Errorf("%d rows minutes after the machines are gone, want 2", n)
		}
	})
}

// TestMemberWhoseRowWasRemovedComesBack cuts a member off for longer than its row is kept.
func TestMemberWhoseRowWasRemovedComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		cut := rejectingStore{store, new(atomic.Bool)}
		a, b := start(store, "a"), start(cut, "b")
		defer a.stop()
		defer b.stop()
		time.Sleep(5 * time.Second)
		cut.rejecting.Store(true)
		time.Sleep(3 * time.Minute)
		if n := rowCount(t, store); n != 1 {
			t.Errorf("%d rows, want that of the member that writes", n)
		}
		cut.rejecting.Store(false)
		time.Sleep(3 * time.Second)
		if !a.View().IDs["b/1"] || a.View().Replaced("b/1", 0) {
			t.Error("the member is not on the list after its return")
		}
	})
}

// TestLostAnswersRemoveNoRowThatIsWrittenAgain has removals that take effect late, after
// the machine has come back.
func TestLostAnswersRemoveNoRowThatIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		late := &lateRemovals{Rows: store}
		a, b := start(late, "a"), start(store, "b")
		defer a.stop()
		time.Sleep(3 * time.Second)
		b.stop()
		for late.held.Load() == 0 {
			time.Sleep(time.Second)
		}
		b = startAgain(store, "b")
		defer b.stop()
		time.Sleep(5 * time.Second)
		late.release(t)
		time.Sleep(time.Second)
		if !a.View().IDs["b/2"] || rowCount(t, store) != 2 {
			t.Error("the row of a machine that has come back was removed")
		}
	})
}

// lateRemovals is a store that holds removals and loses their answers.
type lateRemovals struct {
	*memory.Rows
	held atomic.Int64
	mu   sync.Mutex
	all  []storage.RowTransaction
}

func (l *lateRemovals) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if len(t.Removes) == 0 {
		return l.Rows.ApplyRows(ctx, t)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, t)
	l.held.Add(1)
	return storage.RowPage{}, code.New(code.StoreUnknown, "no answer")
}

// release applies the held removals.
func (l *lateRemovals) release(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range l.all {
		if _, err := l.Rows.ApplyRows(t.Context(), held); code.Of(err) != code.StoreConflict {
			t.Errorf("a late removal: %v", err)
		}
	}
}
