package instance

import (
	"testing"
	"time"
)

// TestOneWayPartitionBetweenTwoMembers loses every message from one member to a
// neighbour. Without relays, the neighbour's probes fail and each of the two is
// suspected again and again.
func TestOneWayPartitionBetweenTwoMembers(t *testing.T) {
	for _, test := range []struct {
		name      string
		relays    int
		suspected bool
	}{
		{"naive without relays", -1, true},
		{"relays", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, 6, func(o *Options) { o.Relays = test.relays }, func(c *cluster) {
				c.network.setPartitioned(c.hosts[0].address, c.hosts[1].address, true)
				time.Sleep(5 * time.Minute)
				sum := totals(c.hosts...)
				t.Logf("%+v", sum)
				if (sum.Suspicions > 0) != test.suspected || (sum.Deaths > 0) && !test.suspected {
					t.Errorf("got %+v, want suspicions: %v", sum, test.suspected)
				}
			})
		})
	}
}

// TestFrozenMemberResumes freezes a member, at different points of its period,
// while it suspects another member that then recovers. Without pause detection,
// the resumed member counts the time in which it was frozen as time in which
// the other one did not answer, and declares it dead in about every fourth freeze.
func TestFrozenMemberResumes(t *testing.T) {
	for _, test := range []struct {
		name  string
		naive bool
	}{
		{"naive without pause detection", true},
		{"pause detection", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			const (
				freezes      = 20
				naiveFreezes = 200
			)
			deaths := uint64(0)
			for i := 0; i < freezes || test.naive && deaths == 0 && i < naiveFreezes; i++ {
				configure := func(o *Options) {
					o.ignorePauses = test.naive
					o.Seed += uint64(i) * 100
				}
				offset := time.Duration(i%freezes) * 75 * time.Millisecond
				run(t, 10, configure, func(c *cluster) { deaths += freezeWhileSuspecting(c, offset) })
			}
			t.Logf("resumed members declared %d dead", deaths)
			if (deaths > 0) != test.naive {
				t.Errorf("resumed members declared %d dead", deaths)
			}
		})
	}
}

// freezeWhileSuspecting returns the number of members that the resumed member
// declared dead.
func freezeWhileSuspecting(c *cluster, offset time.Duration) uint64 {
	frozen, isolated := c.hosts[0], c.hosts[1]
	others := without(c.hosts, isolated)
	c.setPartitioned([]*host{isolated}, others, true)
	c.waitFor(20*time.Second, "the member suspects the isolated one", func() bool {
		m, ok := frozen.View().Find(isolated.id)
		return ok && m.Health == Suspect
	})
	time.Sleep(offset)
	frozen.freeze()
	c.setPartitioned([]*host{isolated}, others, false)
	c.waitFor(time.Minute, "the others remove the frozen member", func() bool {
		return c.agree(without(c.hosts, frozen)...)
	})
	before := totals(frozen).Deaths
	frozen.resume()
	c.waitFor(time.Minute, "all members know each other again", func() bool { return c.agree(c.hosts...) })
	return totals(frozen).Deaths - before
}

func TestReplacementUnderTheSameAddress(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		old := c.hosts[4]
		rest := without(c.hosts, old)
		c.crash(old)
		c.setList(10)
		replacement := c.start("replacement", old.address)
		rest = append(rest, replacement)
		took := c.waitFor(15*time.Second, "the replacement is in every view and the crashed instance in none", func() bool { return c.agree(rest...) })
		t.Logf("replaced after %v", took)
	})
}

// TestRestartUnderTheSameID starts an instance with the id of a crashed one,
// whose incarnation it does not know.
func TestRestartUnderTheSameID(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		old := c.hosts[4]
		c.crash(old)
		rest := without(c.hosts, old)
		c.waitFor(20*time.Second, "the others remove it", func() bool { return c.agree(rest...) })
		c.hosts = rest
		c.start(old.id, old.address)
		c.waitFor(20*time.Second, "it is in every view again", func() bool { return c.agree(c.hosts...) })
	})
}

func TestStoreDownForAnHour(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		c.store.Faults().SetDown(true)
		time.Sleep(30 * time.Minute)
		crashed := c.hosts[7]
		rest := without(c.hosts, crashed)
		c.crash(crashed)
		c.waitFor(20*time.Second, "a crash is detected without the list", func() bool { return c.agree(rest...) })
		time.Sleep(30 * time.Minute)
		if sum := totals(rest...); c.store.Faults().Counts().Injected == 0 || sum.Deaths != uint64(len(rest)) || !c.agree(rest...) {
			t.Errorf("after an hour without the store, got %+v", sum)
		}
		reads := c.store.Faults().Counts().Injected
		t.Logf("%.1f list reads per member and minute while the store was down", float64(reads)/10/60)
		c.store.Faults().SetDown(false)
		c.hosts = rest
		c.start("late", "10.0.0.200:7000")
		c.waitFor(10*time.Second, "a new member joins after the outage", func() bool { return c.agree(c.hosts...) })
	})
}

// TestListLagsBehind has a new member that the list does not name for ten
// minutes, and live members that the list no longer names.
func TestListLagsBehind(t *testing.T) {
	run(t, 8, nil, func(c *cluster) {
		c.setList(5)
		late := c.start("late", "10.0.0.200:7000")
		took := c.waitFor(10*time.Second, "an unlisted member is in every view", func() bool { return c.agree(c.hosts...) })
		t.Logf("joined after %v", took)
		time.Sleep(10 * time.Minute)
		if !c.agree(c.hosts...) {
			t.Fatal("live members that are not listed were removed")
		}
		c.crash(late)
		c.waitFor(20*time.Second, "it is removed when its probes fail", func() bool { return c.agree(without(c.hosts, late)...) })
		time.Sleep(deadRetention + time.Minute)
		for _, m := range c.hosts[0].State().Members {
			if m.ID == late.id {
				t.Errorf("a dead member that is not listed is still kept: %+v", m)
			}
		}
	})
}

// TestSlowMemberIsNotDeclaredDead has a member that delays every message, in
// both directions. A delay above the bound of a whole probe makes it suspect,
// which it refutes each time.
func TestSlowMemberIsNotDeclaredDead(t *testing.T) {
	for _, test := range []struct {
		name      string
		delay     time.Duration
		suspected bool
	}{
		{"longer than the direct probe", 400 * time.Millisecond, false},
		{"longer than the whole probe", time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, 12, nil, func(c *cluster) {
				slow := c.hosts[2]
				c.network.mu.Lock()
				c.network.extraDelay[slow.address] = test.delay
				c.network.mu.Unlock()
				time.Sleep(20 * time.Minute)
				sum := totals(c.hosts...)
				t.Logf("%+v, slowness score of the slow member %d", sum, slow.State().Slowness)
				if sum.Deaths != 0 || (sum.Suspicions > 0) != test.suspected {
					t.Errorf("%+v", sum)
				}
			})
		})
	}
}

// TestDataCentrePartitionHeals partitions a third of the members from the
// others for five minutes. Each side must keep exactly its own members, and
// both must merge again without further deaths.
func TestDataCentrePartitionHeals(t *testing.T) {
	run(t, 12, nil, func(c *cluster) {
		var inside, outside []*host
		for i, h := range c.hosts {
			if dataCentreOf(i) == "zapo" {
				inside = append(inside, h)
			} else {
				outside = append(outside, h)
			}
		}
		c.setPartitioned(inside, outside, true)
		splitAfter := c.waitFor(90*time.Second, "each side holds only its own members", func() bool { return c.agree(inside...) && c.agree(outside...) })
		if owner := inside[0].View().Owner("key"); owner.DataCentre != "zapo" {
			t.Errorf("inside the partition, %s of %s owns a key", owner.ID, owner.DataCentre)
		}
		time.Sleep(5 * time.Minute)
		if !c.agree(inside...) || !c.agree(outside...) {
			t.Error("a side lost or gained members while partitioned")
		}
		c.setPartitioned(inside, outside, false)
		before := totals(c.hosts...).Deaths
		healedAfter := c.waitFor(time.Minute, "both sides have merged again", func() bool { return c.agree(c.hosts...) })
		time.Sleep(5 * time.Minute)
		if deaths := totals(c.hosts...).Deaths - before; deaths != 0 || !c.agree(c.hosts...) {
			t.Errorf("%d deaths after the partition healed", deaths)
		}
		t.Logf("split after %v, healed after %v", splitAfter, healedAfter)
	})
}

// TestManyMembersFreezeTogether freezes half of the members at once.
func TestManyMembersFreezeTogether(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		for _, h := range c.hosts[:5] {
			h.freeze()
		}
		c.waitFor(time.Minute, "the others remove the frozen ones", func() bool { return c.agree(c.hosts[5:]...) })
		time.Sleep(time.Minute)
		for _, h := range c.hosts[:5] {
			h.resume()
		}
		took := c.waitFor(time.Minute, "all members know each other again", func() bool { return c.agree(c.hosts...) })
		t.Logf("healed after %v", took)
		if pauses := totals(c.hosts[:5]...).Pauses; pauses < 5 {
			t.Errorf("%d pauses detected, want at least 5", pauses)
		}
	})
}
