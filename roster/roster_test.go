package roster_test

import (
	"context"
	"fmt"
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

type running struct {
	*roster.Roster
	stop func()
	// heard is when another member was heard of other than through the store.
	heard atomic.Pointer[time.Time]
}

func (r *running) peerHeard() time.Time {
	if at := r.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// readOnly is a store that can be made to take no writes.
type readOnly struct {
	*memory.Rows
	on *atomic.Bool
}

func (r readOnly) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if r.on.Load() {
		return storage.RowPage{}, code.New(code.StoreUnknown, "no answer")
	}
	return r.Rows.ApplyRows(ctx, t)
}

func start(store storage.Rows, name string) *running {
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{}
	r.Roster = roster.New(roster.Options{Rows: store, Log: zap.NewNop(), PeerHeard: r.peerHeard, Self: roster.Member{
		Name: name, ID: name + "/1", Callers: "10.0.0.1:1", Peers: "10.0.0.1:2",
	}})
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	r.stop = func() { cancel(); <-done }
	return r
}

func TestMembersComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		var all []*running
		for i := range 4 {
			all = append(all, start(store, fmt.Sprint("i", i)))
		}
		time.Sleep(5 * time.Second)
		for _, r := range all {
			if v := r.View(); len(v.Alive) != 4 || len(v.Peers) != 3 || !r.Followed() {
				t.Errorf("%d alive, %d peers", len(v.Alive), len(v.Peers))
			}
		}
		all[3].stop()
		time.Sleep(5 * time.Second)
		if v := all[0].View(); len(v.Alive) != 3 || v.Processes["i3/1"] {
			t.Errorf("%d alive after one was lost", len(v.Alive))
		}
		all[2].Announce(func(m *roster.Member) { m.Leaving = true })
		time.Sleep(time.Second)
		leaving := false
		for _, m := range all[0].View().Alive {
			leaving = leaving || m.Name == "i2" && m.Leaving
		}
		if !leaving {
			t.Error("a member that leaves is not known to leave after a second")
		}
		for _, r := range all[:3] {
			r.stop()
		}
	})
}

func TestOutageOfTheStoreTakesNobodyOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		a, b := start(store, "a"), start(store, "b")
		time.Sleep(5 * time.Second)
		store.SetFaults(memory.RowFaults{Down: true})
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if len(a.View().Alive) != 2 {
				t.Fatal("a member was taken off in the outage")
			}
		}
		if a.Followed() {
			t.Error("the list counts as up to date in the outage")
		}
		store.SetFaults(memory.RowFaults{})
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if len(a.View().Alive) != 2 {
				t.Fatal("a member was taken off when the store came back")
			}
		}
		a.stop()
		b.stop()
	})
}

// TestStoreThatTakesNoWritesTakesNobodyOffTheList lets reads go on: rows stay
// unchanged though their members live.
func TestStoreThatTakesNoWritesTakesNobodyOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := readOnly{memory.NewRows(), new(atomic.Bool)}
		a, b := start(store, "a"), start(store, "b")
		time.Sleep(5 * time.Second)
		store.on.Store(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if len(a.View().Alive) != 2 {
				t.Fatal("a member was taken off while nobody could write")
			}
		}
		store.on.Store(false)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if len(a.View().Alive) != 2 {
				t.Fatal("a member was taken off when writes were taken again")
			}
		}
		a.stop()
		b.stop()
	})
}

func TestReplacedProcessIsToldFromOneThatHasJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		a, b := start(store, "a"), start(store, "b")
		time.Sleep(3 * time.Second)
		page, err := store.GetRows(t.Context(), roster.Table, "", "", "")
		if err != nil {
			t.Fatal(err)
		}
		view := a.View()
		if view.Replaced("b/1", page.Version) || view.Replaced("unknown/1", 1) {
			t.Error("a process that runs counts as replaced")
		}
		if view.Replaced("b/2", page.Version) {
			t.Error("a process whose row is not read yet counts as replaced")
		}
		if !view.Replaced("b/0", 0) {
			t.Error("a process before the present one does not count as replaced")
		}
		a.stop()
		b.stop()
	})
}

// TestIsolatedWithoutStoreAndPeers takes the store away from an instance, then
// its peers too.
func TestIsolatedWithoutStoreAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		a, b, alone := start(store, "a"), start(store, "b"), start(memory.NewRows(), "alone")
		hear := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				now := time.Now()
				a.heard.Store(&now)
				if a.Isolated() {
					t.Fatal("an instance that hears of a peer counts as isolated")
				}
			}
		}
		time.Sleep(5 * time.Second)
		if a.Isolated() || alone.Isolated() {
			t.Error("an instance that reaches the store counts as isolated")
		}
		store.SetFaults(memory.RowFaults{Down: true})
		hear(20 * time.Second)
		time.Sleep(5 * time.Second)
		if !a.Isolated() || !b.Isolated() {
			t.Error("an instance that reaches nobody does not count as isolated")
		}
		store.SetFaults(memory.RowFaults{})
		time.Sleep(2 * time.Second)
		if a.Isolated() {
			t.Error("an instance that reaches the store again counts as isolated")
		}
		a.stop()
		b.stop()
		alone.stop()
	})
}
