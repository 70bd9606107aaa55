package roster_test

import (
	"context"
	"fmt"
	"strings"
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

// ring is a fleet of hundreds of members. Each has contact with those that are near
// to it on a ring, as instances that share workers do.
type ring struct {
	store   *memory.Rows
	members []*ringMember
}

// ringMember is a member with the faults that a test injects.
type ringMember struct {
	*roster.Roster
	stop func()
	// A stopped member does not run. The load of a notSending member reaches no
	// other member, and a notReceiving member receives no load. The writes of a
	// failWrites member time out.
	stopped, notSending, notReceiving, failWrites atomic.Bool
	suspicions                                    atomic.Int64

	mu sync.Mutex
	// lastContact holds the last time at which each other member was in contact.
	lastContact map[int]time.Time
}

const (
	callTimeout = 2 * time.Second
	// convergeTime is long enough for all members to know all others and to write
	// at the interval for the size of the fleet.
	convergeTime = 8 * time.Second
	// largeFleet is a fleet of hundreds. smallFleet is one that is just large
	// enough for suspicions to be in use. sharedFraction is how far along the ring
	// a member has contact in either direction, as a fraction of its length.
	largeFleet, smallFleet = 200, 90
	sharedFraction         = 0.18
)

// countAndApply applies a transaction and counts the suspicions in it.
func (m *ringMember) countAndApply(ctx context.Context, store *memory.Rows, t storage.RowTransaction) (storage.RowPage, error) {
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "doubt/") {
			m.suspicions.Add(1)
		}
	}
	return store.ApplyRows(ctx, t)
}

// ringStore is the store as seen by one member.
type ringStore struct {
	*memory.Rows
	member *ringMember
}

func (s ringStore) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if s.member.failWrites.Load() {
		time.Sleep(callTimeout)
		return storage.RowPage{}, code.New(code.StoreUnavailable, "no answer")
	}
	return s.member.countAndApply(ctx, s.Rows, t)
}

func newRing(size int) *ring {
	g := &ring{store: memory.NewRows()}
	for i := range size {
		g.members = append(g.members, &ringMember{lastContact: map[int]time.Time{}})
		g.start(i)
	}
	return g
}

func name(i int) string { return fmt.Sprintf("i%03d", i) }

func (g *ring) start(i int) {
	m := g.members[i]
	ctx, cancel := context.WithCancel(context.Background())
	m.Roster = roster.New(roster.Options{
		Rows: ringStore{g.store, m}, Log: zap.NewNop(), LastPeerContact: time.Now,
		LastContact: func(process string) (time.Time, bool) { return g.contactWith(i, process) },
		Self:        roster.Member{Name: name(i), ID: name(i) + "/1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"},
	})
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	m.stop = sync.OnceFunc(func() { m.stopped.Store(true); cancel(); <-done })
}

// contactWith returns when member i last received the load of a process, and
// whether that shares workers with it.
func (g *ring) contactWith(i int, process string) (time.Time, bool) {
	var j int
	if _, err := fmt.Sscanf(process, "i%03d/1", &j); err != nil || i == j {
		return time.Time{}, false
	}
	size := len(g.members)
	if d := (i - j + size) % size; float64(min(d, size-d)) > sharedFraction*float64(size) {
		return time.Time{}, false
	}
	m, other := g.members[i], g.members[j]
	m.mu.Lock()
	defer m.mu.Unlock()
	if !other.stopped.Load() && !other.notSending.Load() && !m.notReceiving.Load() {
		m.lastContact[j] = time.Now()
	}
	return m.lastContact[j], true
}

func (g *ring) close() {
	for _, m := range g.members {
		m.stop()
	}
}

// views returns the number of running members whose view lacks member j, and of
// those whose view has it.
func (g *ring) views(j int) (without, with int) {
	for i, m := range g.members {
		if i == j || m.stopped.Load() {
			continue
		}
		if m.View().IDs[name(j)+"/1"] {
			with++
		} else {
			without++
		}
	}
	return without, with
}

// suspicions returns the number of suspicions that all members have written.
func (g *ring) suspicions() (n int64) {
	for _, m := range g.members {
		n += m.suspicions.Load()
	}
	return n
}

// detectionTime bounds the time until all members have detected a failure. Callers
// must not be sent to a failed instance for longer than in a small fleet.
const detectionTime = 5 * time.Second

// TestLossIsNoticedSoonInAFleetOfHundreds checks that the detection time does not
// grow with the fleet, and that a few suspicions per failure are enough.
func TestLossIsNoticedSoonInAFleetOfHundreds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(largeFleet)
		defer g.close()
		time.Sleep(convergeTime)
		failed := []int{3, 4, 77, 150}
		for _, j := range failed {
			g.members[j].stop()
		}
		time.Sleep(detectionTime)
		for j := range g.members {
			without, with := g.views(j)
			if stopped := g.members[j].stopped.Load(); stopped && with > 0 || !stopped && without > 0 {
				t.Errorf("%s: stopped %v, %d views have it and %d do not", name(j), stopped, with, without)
			}
		}
		if n := g.suspicions(); n < int64(len(failed)) || n > int64(10*len(failed)) {
			t.Errorf("%d suspicions for %d failures", n, len(failed))
		}
	})
}

// TestSilenceAloneTakesNobodyOffTheList has one member whose load reaches no other
// although it can write to the store, and one that receives no load.
func TestSilenceAloneTakesNobodyOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(smallFleet)
		defer g.close()
		time.Sleep(convergeTime)
		const notSending, notReceiving = 10, 60
		g.members[notSending].notSending.Store(true)
		g.members[notReceiving].notReceiving.Store(true)
		for range 60 {
			time.Sleep(250 * time.Millisecond)
			for _, j := range []int{notSending, notReceiving} {
				if without, _ := g.views(j); without > 0 {
					t.Fatalf("%s: %d views lack it", name(j), without)
				}
			}
		}
		if g.members[notReceiving].suspicions.Load() > 0 {
			t.Error("a member that receives no load suspected others")
		}
		if n := g.suspicions(); n == 0 || n > 40 {
			t.Errorf("%d suspicions of a member whose load reaches no other", n)
		}
	})
}

// TestFailedMemberRejoins isolates a member for a while, as when its process is frozen.
func TestFailedMemberRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(smallFleet)
		defer g.close()
		time.Sleep(convergeTime)
		const j = 42
		m := g.members[j]
		m.notSending.Store(true)
		m.failWrites.Store(true)
		time.Sleep(detectionTime)
		if _, with := g.views(j); with > 0 {
			t.Errorf("%d views have a member without any contact", with)
		}
		m.notSending.Store(false)
		m.failWrites.Store(false)
		time.Sleep(detectionTime)
		if without, _ := g.views(j); without > 0 {
			t.Errorf("%d views lack the member after its return", without)
		}
	})
}

// TestSuspicionBeforeAnOutageRemovesNobodyAfterIt has a member suspected that
// cannot refute it because the store fails. Once the store is back, the member has
// the full time to do so.
func TestSuspicionBeforeAnOutageRemovesNobodyAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(smallFleet)
		defer g.close()
		time.Sleep(convergeTime)
		const j = 42
		g.members[j].notSending.Store(true)
		for g.suspicions() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		g.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(6 * time.Second)
		g.store.SetFaults(memory.RowFaults{})
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if without, _ := g.views(j); without > 0 {
				t.Fatalf("%d views lack a member that was suspected before the outage", without)
			}
		}
	})
}

// stalledSuspect runs one member of a fleet of smallFleet. Once it has read the table, the
// feed stalls and change is called. It returns the number of suspicions that the member then
// tries to write of a silent one, and the version of the suspicion's row, 0 for none.
func stalledSuspect(t *testing.T, change func(store *memory.Rows, silent roster.Member)) (tries int64, version uint64) {
	t.Helper()
	store, m := memory.NewRows(), &ringMember{}
	all := make([]roster.Member, smallFleet)
	for i := range all {
		all[i] = roster.Member{Name: name(i), ID: name(i) + "/1", IntervalMillis: time.Minute.Milliseconds()}
		putMember(t, store, all[i])
	}
	silent := all[smallFleet/2]
	started := time.Now()
	m.Roster = roster.New(roster.Options{
		Rows: ringStore{store, m}, Log: zap.NewNop(), Self: roster.Member{Name: "self", ID: "self/1"},
		LastContact: func(process string) (time.Time, bool) {
			if process == silent.ID {
				return started, true
			}
			return time.Now(), process != "self/1"
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	defer func() { cancel(); <-done }()
	time.Sleep(time.Second)
	store.SetFaults(memory.RowFaults{FeedsStalled: true})
	change(store, silent)
	time.Sleep(4 * time.Second)
	page, err := store.GetRows(t.Context(), roster.Table, "", "doubt/", "doubt0")
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Rows) > 0 {
		version = page.Rows[0].Version
	}
	return m.suspicions.Load(), version
}

func TestLateFeedRepeatsNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries, version := stalledSuspect(t, func(*memory.Rows, roster.Member) {})
		if tries != 1 || version == 0 {
			t.Errorf("%d tries after an accepted suspicion, version %d; want 1", tries, version)
		}
		tries, version = stalledSuspect(t, func(store *memory.Rows, silent roster.Member) { putMember(t, store, silent) })
		if tries != 2 || version == 0 {
			t.Errorf("%d tries beside a newer heartbeat, version %d; want 2, of which one holds", tries, version)
		}
		tries, version = stalledSuspect(t, func(store *memory.Rows, silent roster.Member) {
			silent.ID = silent.Name + "/2"
			putMember(t, store, silent)
		})
		if tries != 1 || version != 0 {
			t.Errorf("%d tries of a process that was replaced, version %d; want 1 and none", tries, version)
		}
	})
}
