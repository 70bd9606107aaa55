package quota

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/contract"
)

// fault is something that happens to the fleet at a time.
type fault struct {
	kind     string
	at, time time.Duration
	machines int
}

var faultKinds = []string{"freeze", "suspend all", "restart", "restart all", "restart owners twice", "cut from store", "cut a third from store", "cut from peers", "add", "remove"}

// apply lets a fault happen to machines at random, every third time to the owners of a share.
func (x *fault) apply(f *fleet) {
	for n := range x.machines {
		m := f.machines[f.random.IntN(len(f.machines))]
		if n%3 == 0 {
			m = f.ownerOf("a", f.random.IntN(maxShares), m)
		}
		x.applyTo(f, m)
	}
	switch x.kind {
	case "suspend all":
		for _, m := range f.machines {
			m.frozenUntil = f.now + x.time
		}
	case "cut a third from store":
		for n := f.random.IntN(3); n < len(f.machines); n += 3 {
			f.machines[n].storeCutUntil = f.now + x.time
		}
	case "restart owners twice":
		for share := range maxShares {
			m := f.ownerOf("a", share, f.machines[0])
			f.restart(m, 0)
			f.after(max(1200*time.Millisecond, f.bounds.Window/3), func() { f.restart(m, 0) })
		}
	case "restart all":
		for _, m := range f.machines {
			f.restart(m, f.jitter(x.time+1))
		}
	case "add":
		for range 4 * x.machines {
			f.start(f.add(), false)
		}
	}
}

func (x *fault) applyTo(f *fleet, m *machine) {
	switch x.kind {
	case "freeze":
		m.frozenUntil = f.now + x.time
	case "restart":
		f.restart(m, f.jitter(x.time+1))
	case "cut from store":
		m.storeCutUntil = f.now + x.time
	case "cut from peers":
		m.peersCutUntil = f.now + x.time
	case "remove":
		m.process, m.removed = nil, true
	}
}

// ownerOf returns the machine that others ask for tokens of a share, other if there is none.
func (f *fleet) ownerOf(account string, share int, other *machine) *machine {
	if other.process == nil {
		return other
	}
	name, _, _ := other.limiter.owner.ring.Owner(account, share)
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return other
}

// restart ends the process of a machine and starts another one after a while, now and then with
// settings that still say that the system starts for the first time.
func (f *fleet) restart(m *machine, down time.Duration) {
	m.process = nil
	f.after(down, func() {
		if m.process == nil && !m.removed {
			f.start(m, f.random.IntN(4) == 0)
		}
	})
}

// setLimit changes the limit of an account. The machines know it within spread; allKnow is
// called when the last one does.
func (f *fleet) setLimit(name string, limit contract.RateLimit, spread time.Duration) {
	next := maps.Clone(f.limits)
	next[name] = limit
	f.limits = next
	for _, m := range f.machines {
		f.after(f.jitter(spread+1), func() { m.limits = next })
	}
}

// fewerChecks lowers the number of checks unless the command line sets it: one takes up to a
// second, and some seconds under the race detector.
func fewerChecks(t *testing.T) {
	const checks = "30"
	f := flag.Lookup("rapid.checks")
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(checks); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(f.DefValue) })
}

// TestBoundHoldsUnderFaults guards against more requests of an account in a window than its
// limit allows, whatever happens to the instances, and after a lowered limit.
func TestBoundHoldsUnderFaults(t *testing.T) {
	fewerChecks(t)
	rapid.Check(t, func(r *rapid.T) {
		bounds := Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		if rapid.SampledFrom([]bool{true, true, false}).Draw(r, "tight") {
			bounds = Bounds{Window: time.Duration(rapid.IntRange(1, 12).Draw(r, "window")) * time.Second}
		}
		limit := contract.RateLimit{PerSecond: float64(rapid.SampledFrom([]int{5, 20, 50, 100}).Draw(r, "rate")), Burst: float64(rapid.SampledFrom([]int{1, 4, 30, 100}).Draw(r, "burst"))}
		small := contract.RateLimit{PerSecond: 2, Burst: 4}
		f := newFleet(rapid.Uint64().Draw(r, "seed"), rapid.SampledFrom([]int{3, 8, 16, 16, 16, 30, 30, 30, 30, 200}).Draw(r, "fleet"), bounds, map[string]contract.RateLimit{"a": limit, "b": small})
		f.lossShare, f.duplicateShare = rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(r, "lost"), rapid.SampledFrom([]float64{0, 0.2}).Draw(r, "duplicated")
		f.maxDelay = time.Duration(rapid.SampledFrom([]int{3, 3, 30, 500}).Draw(r, "delay_ms")) * time.Millisecond
		const steady, end = 3 * time.Second, 130 * time.Second
		for n := range rapid.IntRange(0, 10).Draw(r, "faults") {
			x := fault{
				kind: rapid.SampledFrom(faultKinds).Draw(r, "kind"), machines: rapid.IntRange(1, 12).Draw(r, "machines"),
				at:   time.Duration(rapid.IntRange(3, 95).Draw(r, "at_s"))*time.Second + time.Duration(n),
				time: time.Duration(rapid.SampledFrom([]int{0, 300, 3000, 15000, 25000, 48000, 52000, 70000}).Draw(r, "time_ms")) * time.Millisecond,
			}
			whenHoarding := rapid.Bool().Draw(r, "when_hoarding")
			f.after(x.at, func() {
				if whenHoarding {
					f.whenHoarding = append(f.whenHoarding, x)
				} else {
					x.apply(f)
				}
			})
		}
		f.run(steady)
		f.varyingLoad("a", limit, end)
		f.load("b", 4, 1, end)
		lowered := contract.RateLimit{PerSecond: limit.PerSecond / 10, Burst: max(limit.Burst/10, 1)}
		lowerAt, spread := 105*time.Second, time.Second
		f.after(lowerAt-steady, func() { f.setLimit("a", lowered, spread) })
		f.run(end)
		check := func(name string, limit contract.RateLimit, from, to time.Duration) {
			if over, at := f.mostOver(name, limit, from, to); over > 1e-6 {
				r.Fatalf("account %s with %+v and bounds %+v: %.1f requests over the bound in the window from %v", name, limit, bounds, over, at)
			}
		}
		check("a", limit, 0, end)
		check("a", lowered, lowerAt+spread+bounds.Window, end)
		check("b", small, 0, end)
	})
}

// TestSteadyAccountsAreServed guards against tokens that are lost or stuck: without faults, an
// account at 0.97 of its limit is served, and one far over its limit gets at least 0.97 of it.
func TestSteadyAccountsAreServed(t *testing.T) {
	for _, c := range []struct {
		machines        int
		limit           contract.RateLimit
		times, minShare float64
	}{
		{64, contract.RateLimit{PerSecond: 20, Burst: 20}, 0.97, 0.97},
		{64, contract.RateLimit{PerSecond: 3, Burst: 6}, 0.97, 0.97},
		{64, contract.RateLimit{PerSecond: 150, Burst: 60}, 0.97, 0.97},
		{200, contract.RateLimit{PerSecond: 20, Burst: 20}, 0.97, 0.97},
		{64, contract.RateLimit{PerSecond: 20, Burst: 20}, 7.5, 0.97},
		{64, contract.RateLimit{PerSecond: 3, Burst: 6}, 7.5, 0.97},
		{64, contract.RateLimit{PerSecond: 150, Burst: 60}, 3, 0.97},
		{200, contract.RateLimit{PerSecond: 20, Burst: 20}, 7.5, 0.97},
	} {
		t.Run(fmt.Sprintf("%d machines, limit %g, %g times", c.machines, c.limit.PerSecond, c.times), func(t *testing.T) {
			f := newFleet(1, c.machines, Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, map[string]contract.RateLimit{"a": c.limit})
			const from, to = 5 * time.Second, 65 * time.Second
			f.run(from)
			f.load("a", c.times*c.limit.PerSecond, 1, to)
			f.run(to)
			started, refused := len(f.started["a"]), f.refused["a"]
			share := float64(started) / ((to - from).Seconds() * c.limit.PerSecond)
			t.Logf("%d started, %d refused, %.3f of the limit", started, refused, share)
			if want := c.minShare * min(c.times/0.97, 1); share < want-0.001 {
				t.Errorf("the account got %.3f of its limit, want %.3f", share, want)
			}
		})
	}
}
