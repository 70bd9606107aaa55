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
		crashed := c.hosts[3]
		rest := without(c.hosts, crashed)
		c.crash(crashed)
		took := c.waitFor(20*time.Second, "the others remove the crashed member", func() bool { return c.agree(rest...) })
		t.Logf("removed from every view after %v", took)
		c.setList(10)
		time.Sleep(10 * time.Minute)
		if !c.agree(rest...) {
			t.Error("a crashed member that is still listed came back")
		}
	})
}

// TestStableMembershipHasNoSuspicion runs 60 members without faults for a
// quarter of an hour.
func TestStableMembershipHasNoSuspicion(t *testing.T) {
	run(t, 60, nil, func(c *cluster) {
		time.Sleep(15 * time.Minute)
		if sum := totals(c.hosts...); sum.Suspicions != 0 || !c.agree(c.hosts...) {
			t.Errorf("%+v", sum)
		}
	})
}

func TestJoiningMemberReachesEveryView(t *testing.T) {
	run(t, 60, nil, func(c *cluster) {
		joiner := c.start("joiner", "10.0.0.200:7000")
		took := c.waitFor(12*time.Second, "the joiner is in every view", func() bool { return c.agree(c.hosts...) })
		<-joiner.Joined()
		t.Logf("known to 60 members after %v", took)
	})
}

// TestColdStartLeavesNoBacklog starts 250 members at once, so that all of them
// are new to all, and expects the next joining member not to be delayed by
// gossip about the others.
func TestColdStartLeavesNoBacklog(t *testing.T) {
	run(t, 250, nil, func(c *cluster) {
		time.Sleep(10 * time.Second)
		c.start("joiner", "10.0.9.200:7000")
		took := c.waitFor(30*time.Second, "the joiner is in every view", func() bool { return c.agree(c.hosts...) })
		t.Logf("known to 250 members after %v", took)
	})
}

// TestDrainingIsKnownWithinMargin checks that the draining state reaches every
// member within the margin of a planned stop.
func TestDrainingIsKnownWithinMargin(t *testing.T) {
	run(t, 60, nil, func(c *cluster) {
		leaving := c.hosts[9]
		if err := leaving.lifecycle.StartDrain(); err != nil {
			t.Fatal(err)
		}
		drainKnown := c.waitFor(DefaultDrainMargin, "every view shows the draining", func() bool {
			for _, h := range c.hosts {
				if m, _ := h.View().Find(leaving.id); m.AcceptsNewCallers() {
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
		stopKnown := c.waitFor(DefaultDrainMargin, "every view removes the stopped member", func() bool { return c.agree(without(c.hosts, leaving)...) })
		if sum := totals(c.hosts...); sum.Suspicions != 0 {
			t.Errorf("%d suspicions in a planned stop", sum.Suspicions)
		}
		t.Logf("draining known after %v, stop after %v", drainKnown, stopKnown)
	})
}

// TestHigherVersionReachesEveryMember gives one member a higher configuration
// version and expects OnVersion to be called on every other one, with the
// address of a member that has the version.
func TestHigherVersionReachesEveryMember(t *testing.T) {
	var mu sync.Mutex
	versions := map[string]uint64{}
	configure := func(o *Options) {
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
	run(t, 60, configure, func(c *cluster) {
		mu.Lock()
		versions[c.hosts[0].address] = 7
		mu.Unlock()
		c.hosts[0].Announce()
		took := c.waitFor(15*time.Second, "all have the version", func() bool {
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

// TestLoadSpreads changes the load of every member once. Gossip of loads may be
// lost, as the next change replaces it, so 95 % of the loads must be known.
func TestLoadSpreads(t *testing.T) {
	const members = 30
	var load atomic.Uint32
	configure := func(o *Options) {
		o.Load = func() Load { return Load{RunningRequests: load.Load()} }
	}
	run(t, members, configure, func(c *cluster) {
		load.Store(1)
		took := c.waitFor(time.Minute, "95 of 100 loads are known", func() bool {
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

// TestGossipStaysWithinItsBound uses random members with long ids and any
// health.
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
				t.Fatalf("got %d bytes of gossip, want at most %d", size, bound)
			}
		}
	})
}

// TestViewsConvergeInAnyOrder merges the same entries of one member into two
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
			t.Fatalf("the tables differ: %v and %v", a, b)
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
	valid := Options{
		Self:      Identity{ID: "a", DataCentre: "d", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"},
		Lifecycle: NewLifecycle(nil), List: memory.New(), Prober: &fakeProber{},
	}
	if _, err := New(valid); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Options){
		"identity": func(o *Options) { o.Self.DataCentre = "" },
		"prober":   func(o *Options) { o.Prober = nil },
		"period":   func(o *Options) { o.Period = -1 },
		"gossip":   func(o *Options) { o.MaxGossipBytes = 10 },
	} {
		o := valid
		invalidate(&o)
		if _, err := New(o); code.Of(err) != code.InvalidSettings {
			t.Errorf("invalid %s: got %v, want InvalidSettings", name, err)
		}
	}
}
