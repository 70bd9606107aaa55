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

// testMember is a running Roster.
type testMember struct {
	*roster.Roster
	stop func()
	// lastContact is the time of the last contact with another member other than
	// through the store.
	lastContact atomic.Pointer[time.Time]
}

func (r *testMember) lastPeerContact() time.Time {
	if at := r.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// rejectingStore is a store that can be made to reject writes.
type rejectingStore struct {
	*memory.Rows
	rejecting *atomic.Bool
}

func (r rejectingStore) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if r.rejecting.Load() {
		return storage.RowPage{}, code.New(code.StoreUnknown, "no answer")
	}
	return r.Rows.ApplyRows(ctx, t)
}

func start(store storage.Rows, name string) *testMember {
	ctx, cancel := context.WithCancel(context.Background())
	r := &testMember{}
	r.Roster = roster.New(roster.Options{Rows: store, Log: zap.NewNop(), LastPeerContact: r.lastPeerContact, Self: roster.Member{
		Name: name, ID: name + "/1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
	}})
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	r.stop = func() { cancel(); <-done }
	return r
}

func TestMembersJoinAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		var all []*testMember
		for i := range 4 {
			all = append(all, start(store, fmt.Sprint("i", i)))
		}
		time.Sleep(5 * time.Second)
		for _, r := range all {
			if v := r.View(); len(v.Alive) != 4 || len(v.Peers) != 3 || !r.UpToDate() {
				t.Errorf("%d alive, %d peers; want 4 and 3, up to date", len(v.Alive), len(v.Peers))
			}
		}
		all[3].stop()
		time.Sleep(5 * time.Second)
		if v := all[0].View(); len(v.Alive) != 3 || v.IDs["i3/1"] {
			t.Errorf("%d alive after one of 4 has failed", len(v.Alive))
		}
		all[2].UpdateSelf(func(m *roster.Member) { m.Leaving = true })
		time.Sleep(time.Second)
		leaving := false
		for _, m := range all[0].View().Alive {
			leaving = leaving || m.Name == "i2" && m.Leaving
		}
		if !leaving {
			t.Error("a leaving member is not marked as such after a second")
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
				t.Fatal("a member was removed during the outage")
			}
		}
		if a.UpToDate() {
			t.Error("the list counts as up to date during the outage")
		}
		store.SetFaults(memory.RowFaults{})
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if len(a.View().Alive) != 2 {
				t.Fatal("a member was removed when the store came back")
			}
		}
		a.stop()
		b.stop()
	})
}

// TestStoreThatTakesNoWritesTakesNobodyOffTheList keeps reads working while writes fail, so
// that rows stay unchanged although their members are alive.
func TestStoreThatTakesNoWritesTakesNobodyOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rejectingStore{memory.NewRows(), new(atomic.Bool)}
		a, b := start(store, "a"), start(store, "b")
		time.Sleep(5 * time.Second)
		store.rejecting.Store(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if len(a.View().Alive) != 2 {
				t.Fatal("a member was removed while writes were rejected")
			}
		}
		store.rejecting.Store(false)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if len(a.View().Alive) != 2 {
				t.Fatal("a member was removed when writes were accepted again")
			}
		}
		a.stop()
		b.stop()
	})
}

func TestReplacedProcessIsDetected(t *testing.T) {
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
			t.Error("a running process counts as replaced")
		}
		if view.Replaced("b/2", page.Version) {
			t.Error("a process whose row has not been read yet counts as replaced")
		}
		if !view.Replaced("b/0", 0) {
			t.Error("the previous process does not count as replaced")
		}
		a.stop()
		b.stop()
	})
}

// TestIsolatedWithoutStoreAndPeers cuts an instance off from the store, then from
// its peers as well.
func TestIsolatedWithoutStoreAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		a, b, alone := start(store, "a"), start(store, "b"), start(memory.NewRows(), "alone")
		keepContact := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				now := time.Now()
				a.lastContact.Store(&now)
				if a.Isolated() {
					t.Fatal("an instance in contact with a peer counts as isolated")
				}
			}
		}
		time.Sleep(5 * time.Second)
		if a.Isolated() || alone.Isolated() {
			t.Error("an instance that reaches the store counts as isolated")
		}
		store.SetFaults(memory.RowFaults{Down: true})
		keepContact(20 * time.Second)
		time.Sleep(5 * time.Second)
		if !a.Isolated() || !b.Isolated() {
			t.Error("an instance without any contact does not count as isolated")
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
