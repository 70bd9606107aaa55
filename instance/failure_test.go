package instance

import (
	"testing"
	"time"
)

// TestOneWayCutBetweenTwoMembers loses what one member sends to a neighbour.
// Without relays the neighbour is suspected again and again.
func TestOneWayCutBetweenTwoMembers(t *testing.T) {
	for _, test := range []struct {
		name   string
		relays int
		suffer bool
	}{
		{"naive without relays", -1, true},
		{"relays", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, 6, func(o *Options) { o.Relays = test.relays }, func(c *cluster) {
				c.network.setCut(c.hosts[0].address, c.hosts[1].address, true)
				time.Sleep(5 * time.Minute)
				sum := totals(c.hosts...)
				t.Logf("%+v", sum)
				if (sum.Suspicions > 0) != test.suffer || (sum.Deaths > 0) && !test.suffer {
					t.Errorf("%+v, suspicions expected: %v", sum, test.suffer)
				}
			})
		})
	}
}

// TestFrozenMemberWakes freezes a member, at points all over its period, while it
// suspects another one that then recovers. Without the check for own pauses the
// woken member takes the time that it missed for the other one's silence.
func TestFrozenMemberWakes(t *testing.T) {
	for _, test := range []struct {
		name  string
		naive bool
	}{
		{"naive without the check for pauses", true},
		{"check for pauses", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			deaths := uint64(0)
			for i := range 20 {
				tune := func(o *Options) {
					o.ignorePauses = test.naive
					o.Seed += uint64(i) * 100
				}
				offset := time.Duration(i) * 75 * time.Millisecond
				run(t, 10, tune, func(c *cluster) { deaths += freezeWhileSuspecting(c, offset) })
			}
			t.Logf("woken members found %d dead", deaths)
			if (deaths > 0) != test.naive {
				t.Errorf("woken members found %d dead", deaths)
			}
		})
	}
}

// freezeWhileSuspecting returns the deaths that the woken member found.
func freezeWhileSuspecting(c *cluster, offset time.Duration) uint64 {
	frozen, cut := c.hosts[0], c.hosts[1]
	others := without(c.hosts, cut)
	c.separate([]*host{cut}, others, true)
	c.within(20*time.Second, "the member suspects the one that is cut off", func() bool {
		m, ok := frozen.View().Find(cut.id)
		return ok && m.Health == Suspect
	})
	time.Sleep(offset)
	frozen.freeze()
	c.separate([]*host{cut}, others, false)
	c.within(time.Minute, "the others drop the frozen member", func() bool {
		return c.agree(without(c.hosts, frozen)...)
	})
	before := totals(frozen).Deaths
	frozen.wake()
	c.within(time.Minute, "all members know each other again", func() bool { return c.agree(c.hosts...) })
	return totals(frozen).Deaths - before
}

func TestReplacementUnderTheSameAddress(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		old := c.hosts[4]
		rest := without(c.hosts, old)
		c.crash(old)
		c.list(10)
		replacement := c.start("replacement", old.address)
		rest = append(rest, replacement)
		took := c.within(15*time.Second, "the replacement is in every view and the old process in none", func() bool { return c.agree(rest...) })
		t.Logf("replaced after %v", took)
	})
}

// TestRestartUnderTheSameID starts a process with the id of a crashed one,
// whose incarnation it does not know.
func TestRestartUnderTheSameID(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		old := c.hosts[4]
		c.crash(old)
		rest := without(c.hosts, old)
		c.within(20*time.Second, "the others drop it", func() bool { return c.agree(rest...) })
		c.hosts = rest
		c.start(old.id, old.address)
		c.within(20*time.Second, "it is in every view again", func() bool { return c.agree(c.hosts...) })
	})
}

func TestStoreDownForAnHour(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		c.store.Faults().SetDown(true)
		time.Sleep(30 * time.Minute)
		gone := c.hosts[7]
		rest := without(c.hosts, gone)
		c.crash(gone)
		c.within(20*time.Second, "a crash is found without the list", func() bool { return c.agree(rest...) })
		time.Sleep(30 * time.Minute)
		if sum := totals(rest...); c.store.Faults().Counts().Injected == 0 || sum.Deaths != uint64(len(rest)) || !c.agree(rest...) {
			t.Errorf("after an hour: %+v", sum)
		}
		reads := c.store.Faults().Counts().Injected
		t.Logf("%.1f reads a member and minute while the store was down", float64(reads)/10/60)
		c.store.Faults().SetDown(false)
		c.hosts = rest
		c.start("late", "10.0.0.200:7000")
		c.within(10*time.Second, "a new member joins after the outage", func() bool { return c.agree(c.hosts...) })
	})
}

// TestListLagsBehind has a new member that the list does not name for ten
// minutes, and living members that the list no longer names.
func TestListLagsBehind(t *testing.T) {
	run(t, 8, nil, func(c *cluster) {
		c.list(5)
		late := c.start("late", "10.0.0.200:7000")
		took := c.within(10*time.Second, "an unlisted member is in every view", func() bool { return c.agree(c.hosts...) })
		t.Logf("joined after %v", took)
		time.Sleep(10 * time.Minute)
		if !c.agree(c.hosts...) {
			t.Fatal("living members that are not listed were dropped")
		}
		c.crash(late)
		c.within(20*time.Second, "it is dropped when its probes fail", func() bool { return c.agree(without(c.hosts, late)...) })
		time.Sleep(forgetAfter + time.Minute)
		for _, m := range c.hosts[0].State().Members {
			if m.ID == late.id {
				t.Errorf("a dead member that is not listed is remembered: %+v", m)
			}
		}
	})
}

// TestSlowMemberIsNotDead has a member that adds a delay to every message, both
// ways. A delay past the bound of a whole probe makes it a suspect, which it
// refutes each time.
func TestSlowMemberIsNotDead(t *testing.T) {
	for _, test := range []struct {
		name      string
		delay     time.Duration
		suspected bool
	}{
		{"past the direct probe", 400 * time.Millisecond, false},
		{"past the whole probe", time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, 12, nil, func(c *cluster) {
				slow := c.hosts[2]
				c.network.mu.Lock()
				c.network.slow[slow.address] = test.delay
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

// TestDataCentreCutAndReturn cuts a third of the members off for five minutes.
// Both sides must keep to themselves, and heal without further deaths.
func TestDataCentreCutAndReturn(t *testing.T) {
	run(t, 12, nil, func(c *cluster) {
		var inside, outside []*host
		for i, h := range c.hosts {
			if dataCentreOf(i) == "zapo" {
				inside = append(inside, h)
			} else {
				outside = append(outside, h)
			}
		}
		c.separate(inside, outside, true)
		apart := c.within(90*time.Second, "each side holds itself alone", func() bool { return c.agree(inside...) && c.agree(outside...) })
		if owner := inside[0].View().Owner("key"); owner.DataCentre != "zapo" {
			t.Errorf("inside, %s of %s owns a key", owner.ID, owner.DataCentre)
		}
		time.Sleep(5 * time.Minute)
		if !c.agree(inside...) || !c.agree(outside...) {
			t.Error("a side did not stay whole")
		}
		c.separate(inside, outside, false)
		before := totals(c.hosts...).Deaths
		healed := c.within(time.Minute, "both sides are one again", func() bool { return c.agree(c.hosts...) })
		time.Sleep(5 * time.Minute)
		if deaths := totals(c.hosts...).Deaths - before; deaths != 0 || !c.agree(c.hosts...) {
			t.Errorf("%d deaths after the return", deaths)
		}
		t.Logf("apart after %v, healed after %v", apart, healed)
	})
}

// TestManyMembersFreezeTogether freezes half of the members at once.
func TestManyMembersFreezeTogether(t *testing.T) {
	run(t, 10, nil, func(c *cluster) {
		for _, h := range c.hosts[:5] {
			h.freeze()
		}
		c.within(time.Minute, "the others drop the frozen ones", func() bool { return c.agree(c.hosts[5:]...) })
		time.Sleep(time.Minute)
		for _, h := range c.hosts[:5] {
			h.wake()
		}
		took := c.within(time.Minute, "all members know each other again", func() bool { return c.agree(c.hosts...) })
		t.Logf("healed after %v", took)
		if pauses := totals(c.hosts[:5]...).Pauses; pauses < 5 {
			t.Errorf("%d pauses noticed", pauses)
		}
	})
}
