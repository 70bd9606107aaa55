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

// ring is a fleet of hundreds. A member hears of those that are near to it on a
// ring, as those that share workers do.
type ring struct {
	store   *memory.Rows
	members []*ringMember
}

type ringMember struct {
	*roster.Roster
	stop func()
	// down members run no more; mute ones are not heard by others, deaf ones hear
	// nobody, cut ones do not reach the store.
	down, mute, deaf, cut atomic.Bool
	doubts                atomic.Int64

	mu sync.Mutex
	// last has when others were heard before they fell silent.
	last map[int]time.Time
}

const (
	callTimeout = 2 * time.Second
	// settled is when all know all, and rows are written at the pace of the fleet.
	settled = 8 * time.Second
	// large is a fleet of hundreds, small the least whose rows alone tell a loss too
	// late; reach is the part of a fleet that shares workers with a member.
	large, small = 200, 90
	reach        = 0.18
)

func (m *ringMember) ApplyRows(ctx context.Context, store *memory.Rows, t storage.RowTransaction) (storage.RowPage, error) {
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "doubt/") {
			m.doubts.Add(1)
		}
	}
	return store.ApplyRows(ctx, t)
}

// ringStore is the store as one member reaches it.
type ringStore struct {
	*memory.Rows
	member *ringMember
}

func (s ringStore) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if s.member.cut.Load() {
		time.Sleep(callTimeout)
		return storage.RowPage{}, code.New(code.StoreUnavailable, "no answer")
	}
	return s.member.ApplyRows(ctx, s.Rows, t)
}

func newRing(size int) *ring {
	g := &ring{store: memory.NewRows()}
	for i := range size {
		g.members = append(g.members, &ringMember{last: map[int]time.Time{}})
		g.start(i)
	}
	return g
}

func name(i int) string { return fmt.Sprintf("i%03d", i) }

func (g *ring) start(i int) {
	m := g.members[i]
	ctx, cancel := context.WithCancel(context.Background())
	m.Roster = roster.New(roster.Options{
		Rows: ringStore{g.store, m}, Log: zap.NewNop(), PeerHeard: time.Now,
		Heard: func(process string) (time.Time, bool) { return g.heard(i, process) },
		Self:  roster.Member{Name: name(i), ID: name(i) + "/1", Callers: "10.0.0.1:1", Peers: "10.0.0.1:2"},
	})
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	m.stop = sync.OnceFunc(func() { m.down.Store(true); cancel(); <-done })
}

func (g *ring) heard(i int, process string) (time.Time, bool) {
	var j int
	if _, err := fmt.Sscanf(process, "i%03d/1", &j); err != nil || i == j {
		return time.Time{}, false
	}
	size := len(g.members)
	if d := (i - j + size) % size; float64(min(d, size-d)) > reach*float64(size) {
		return time.Time{}, false
	}
	m, other := g.members[i], g.members[j]
	m.mu.Lock()
	defer m.mu.Unlock()
	if !other.down.Load() && !other.mute.Load() && !m.deaf.Load() {
		m.last[j] = time.Now()
	}
	return m.last[j], true
}

func (g *ring) close() {
	for _, m := range g.members {
		m.stop()
	}
}

// missing returns how many lists of living members lack a member, and how many
// have it.
func (g *ring) missing(j int) (lack, have int) {
	for i, m := range g.members {
		if i == j || m.down.Load() {
			continue
		}
		if m.View().Processes[name(j)+"/1"] {
			have++
		} else {
			lack++
		}
	}
	return lack, have
}

func (g *ring) doubts() (n int64) {
	for _, m := range g.members {
		n += m.doubts.Load()
	}
	return n
}

// noticed bounds the time until all know of a loss. Callers on the users' platform
// must not be sent to a lost instance for longer than that of a small fleet.
const noticed = 5 * time.Second

// TestLossIsNoticedSoonInAFleetOfHundreds: the time does not grow with the fleet,
// and one doubt or a few serve a loss.
func TestLossIsNoticedSoonInAFleetOfHundreds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(large)
		defer g.close()
		time.Sleep(settled)
		lost := []int{3, 4, 77, 150}
		for _, j := range lost {
			g.members[j].stop()
		}
		time.Sleep(noticed)
		for j := range g.members {
			lack, have := g.missing(j)
			if down := g.members[j].down.Load(); down && have > 0 || !down && lack > 0 {
				t.Errorf("%s: down %v, %d lists have it and %d do not", name(j), down, have, lack)
			}
		}
		if n := g.doubts(); n < int64(len(lost)) || n > int64(10*len(lost)) {
			t.Errorf("%d doubts of %d losses", n, len(lost))
		}
	})
}

// TestSilenceAloneTakesNobodyOffTheList has a member that nobody hears though it
// reaches the store, one that hears nobody, and one that the store does not take
// writes of while others hear it.
func TestSilenceAloneTakesNobodyOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(small)
		defer g.close()
		time.Sleep(settled)
		const mute, deaf = 10, 60
		g.members[mute].mute.Store(true)
		g.members[deaf].deaf.Store(true)
		for range 60 {
			time.Sleep(250 * time.Millisecond)
			for _, j := range []int{mute, deaf} {
				if lack, _ := g.missing(j); lack > 0 {
					t.Fatalf("%s: %d lists lack it", name(j), lack)
				}
			}
		}
		if g.members[deaf].doubts.Load() > 0 {
			t.Error("a member that hears nobody doubted others")
		}
		if n := g.doubts(); n == 0 || n > 40 {
			t.Errorf("%d doubts of a member that nobody hears", n)
		}
	})
}

// TestLostMemberComesBack pauses a member as a freeze does.
func TestLostMemberComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(small)
		defer g.close()
		time.Sleep(settled)
		const j = 42
		m := g.members[j]
		m.mute.Store(true)
		m.cut.Store(true)
		time.Sleep(noticed)
		if _, have := g.missing(j); have > 0 {
			t.Errorf("%d lists have a member that is silent everywhere", have)
		}
		m.mute.Store(false)
		m.cut.Store(false)
		time.Sleep(noticed)
		if lack, _ := g.missing(j); lack > 0 {
			t.Errorf("%d lists lack the member after its return", lack)
		}
	})
}

// TestDoubtBeforeAnOutageTakesNobodyOffTheListAfterIt doubts a member that cannot
// answer because the store goes away: it has its time to answer when the store is
// back.
func TestDoubtBeforeAnOutageTakesNobodyOffTheListAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRing(small)
		defer g.close()
		time.Sleep(settled)
		const j = 42
		g.members[j].mute.Store(true)
		for g.doubts() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		g.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(6 * time.Second)
		g.store.SetFaults(memory.RowFaults{})
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if lack, _ := g.missing(j); lack > 0 {
				t.Fatalf("%d lists lack a member that was doubted before the outage", lack)
			}
		}
	})
}
