package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/instance/instancepb"
	"github.com/daisylb/daisylb/storage/memory"
)

func TestCrashIsDetected(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		gone := c.hosts[3]
		rest := without(c.hosts, gone)
		c.crash(gone)
		took := c.within(20*time.Second, "the others drop the crashed member", func() bool { return c.agree(rest...) })
		t.Logf("dropped everywhere after %v", took)
		c.list(10)
		time.Sleep(10 * time.Minute)
		if !c.agree(rest...) {
			t.Error("a crashed member that is still listed came back")
		}
	})
}

// TestQuietRunHasNoSuspicion runs 60 members for a quarter of an hour.
func TestQuietRunHasNoSuspicion(t *testing.T) {
	run(t, 60, nil, func(c *cluster) {
		time.Sleep(15 * time.Minute)
		if sum := totals(c.hosts...); sum.Suspicions != 0 || !c.agree(c.hosts...) {
			t.Errorf("%+v", sum)
		}
	})
}

func TestJoinerIsKnownWithinPeriods(t *testing.T) {
	run(t, 60, nil, func(c *cluster) {
		joiner := c.start("joiner", "10.0.0.200:7000")
		took := c.within(12*time.Second, "the joiner is in every view", func() bool { return c.agree(c.hosts...) })
		<-joiner.Joined()
		t.Logf("known to 60 members after %v", took)
	})
}

// TestColdStartLeavesNoBacklog starts 250 members at once, so that all of them
// are news to all, and expects the next joiner not to wait behind that.
func TestColdStartLeavesNoBacklog(t *testing.T) {
	run(t, 250, nil, func(c *cluster) {
		time.Sleep(10 * time.Second)
		c.start("joiner", "10.0.9.200:7000")
		took := c.within(30*time.Second, "the joiner is in every view", func() bool { return c.agree(c.hosts...) })
		t.Logf("known to 250 members after %v", took)
	})
}

// TestDrainingIsKnownWithinMargin holds the margin of a planned stop to the
// time that the state takes to reach everybody.
func TestDrainingIsKnownWithinMargin(t *testing.T) {
	run(t, 60, nil, func(c *cluster) {
		leaving := c.hosts[9]
		if err := leaving.lifecycle.StartDrain(); err != nil {
			t.Fatal(err)
		}
		took := c.within(DefaultDrainMargin, "every view shows the draining", func() bool {
			for _, h := range c.hosts {
				if m, _ := h.View().Find(leaving.id); m.TakesCallers() {
					return false
				}
			}
			return true
		})
		if err := leaving.lifecycle.Stop(); err != nil {
			t.Fatal(err)
		}
		leaving.Leave(context.Background())
		c.crash(leaving)
		left := c.within(DefaultDrainMargin, "every view drops the stopped member", func() bool { return c.agree(without(c.hosts, leaving)...) })
		if sum := totals(c.hosts...); sum.Suspicions != 0 {
			t.Errorf("%d suspicions in a planned stop", sum.Suspicions)
		}
		t.Logf("draining known after %v, stop after %v", took, left)
	})
}

// TestHigherVersionIsToldToAll gives one member a higher configuration version
// and expects every other one to hear of it, with an address that has it.
func TestHigherVersionIsToldToAll(t *testing.T) {
	var mu sync.Mutex
	versions := map[string]uint64{}
	tune := func(o *Options) {
		own := o.Self.PeerAddress
		o.Version = func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return versions[own]
		}
		o.OnVersion = func(version uint64, address string) {
			mu.Lock()
			defer mu.Unlock()
			if versions[address] < version {
				t.Errorf("%s was named for version %d but has %d", address, version, versions[address])
			}
			versions[own] = max(versions[own], version)
		}
	}
	run(t, 60, tune, func(c *cluster) {
		mu.Lock()
		versions[c.hosts[0].address] = 7
		mu.Unlock()
		c.hosts[0].Announce()
		took := c.within(15*time.Second, "all have the version", func() bool {
			mu.Lock()
			defer mu.Unlock()
			for _, h := range c.hosts {
				if versions[h.address] != 7 {
					return false
				}
			}
			return true
		})
		t.Logf("60 members have the version after %v", took)
	})
}

// TestLoadSpreads changes the load of every member once. Gossip of loads is
// lossy, as the next change replaces it: nearly all must know nearly all.
func TestLoadSpreads(t *testing.T) {
	const members = 30
	var load atomic.Uint32
	tune := func(o *Options) {
		o.Load = func() Load { return Load{RunningRequests: load.Load()} }
	}
	run(t, members, tune, func(c *cluster) {
		load.Store(1)
		took := c.within(time.Minute, "95 of 100 loads are known", func() bool {
			known := 0
			for _, h := range c.hosts {
				for _, m := range h.View().Live() {
					known += int(m.Load.RunningRequests)
				}
			}
			return known*100 >= members*members*95
		})
		t.Logf("known after %v", took)
	})
}

// TestGossipStaysWithinItsBound draws members with long names and any state.
func TestGossipStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(minGossipBytes, 600).Draw(t, "bound")
		table := newTable(&Options{Self: Identity{ID: "self"}, MaxGossipBytes: bound, Neighbours: 3, Period: time.Second})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 60).Draw(t, "members") {
			id := rapid.StringN(1, 40, 80).Draw(t, "id")
			table.merge(now, &instancepb.Entry{
				Handle:      uint64(handleOf(id)),
				Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				Revision:    rapid.Uint64().Draw(t, "revision"),
				Version:     rapid.Uint64().Draw(t, "version"),
				Health:      rapid.SampledFrom([]instancepb.Health{0, 1, 2}).Draw(t, "health"),
				Identity:    &instancepb.Identity{Id: id, PeerAddress: "10.0.0.1:7000"},
			}, false)
		}
		for range 5 {
			if size := proto.Size(table.gossip(now, 0)); size > bound {
				t.Fatalf("%d bytes of gossip, bound %d", size, bound)
			}
		}
	})
}

// TestViewsConvergeInAnyOrder gives the same reports of one member to two
// tables in different orders.
func TestViewsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		entry := rapid.Custom(func(t *rapid.T) *instancepb.Entry {
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			return &instancepb.Entry{
				Handle:      uint64(handleOf("x")),
				Incarnation: incarnation,
				Revision:    incarnation,
				State:       instancepb.State_STATE_SERVING,
				Health:      rapid.SampledFrom([]instancepb.Health{0, 1}).Draw(t, "health"),
				Identity:    &instancepb.Identity{Id: "x", PeerAddress: "10.0.0.1:7000"},
			}
		})
		entries := rapid.SliceOfN(entry, 1, 8).Draw(t, "entries")
		shuffled := rapid.Permutation(entries).Draw(t, "order")
		a, b := mergeAll(now, entries), mergeAll(now, shuffled)
		if a.Health != b.Health || a.Incarnation != b.Incarnation {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

func mergeAll(now time.Time, entries []*instancepb.Entry) Member {
	table := newTable(&Options{Self: Identity{ID: "self"}, Period: time.Second})
	for _, e := range entries {
		table.merge(now, e, false)
	}
	return table.records[handleOf("x")].member
}

func TestOptionsAreChecked(t *testing.T) {
	whole := Options{
		Self:      Identity{ID: "a", DataCentre: "d", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"},
		Lifecycle: NewLifecycle(nil), List: memory.New(), Prober: &fakeProber{},
	}
	if _, err := New(whole); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Options){
		"identity": func(o *Options) { o.Self.DataCentre = "" },
		"prober":   func(o *Options) { o.Prober = nil },
		"period":   func(o *Options) { o.Period = -1 },
		"gossip":   func(o *Options) { o.MaxGossipBytes = 10 },
	} {
		o := whole
		spoil(&o)
		if _, err := New(o); code.Of(err) != code.InvalidSettings {
			t.Errorf("%s: %v", name, err)
		}
	}
}
