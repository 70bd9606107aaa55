package route_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/route"
)

// TestFairOrderWithOneAccountIsTheOrderOfNextOnline guards against a change for
// deployments without accounts.
func TestFairOrderWithOneAccountIsTheOrderOfNextOnline(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		work := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) route.OnlineWork {
			if rapid.IntRange(0, 4).Draw(r, "kind") == 0 {
				return route.OnlineWork{}
			}
			return route.OnlineWork{Objective: at(rapid.IntRange(-900, 900).Draw(r, "objective")), Deadline: at(rapid.IntRange(0, 1500).Draw(r, "deadline"))}
		}), 0, 30).Draw(r, "queue")
		tenants := []route.Tenant{{Waiting: len(work), Virtual: rapid.Float64Range(0, 9).Draw(r, "virtual")}}
		want := route.NextOnline(len(work), func(i int) route.OnlineWork { return work[i] }, noon, 50*time.Millisecond)
		_, got := route.NextFair(tenants, func(_, i int) route.FairWork { return route.FairWork{OnlineWork: work[i]} }, noon, 50*time.Millisecond, rapid.Bool().Draw(r, "any"))
		if got != want {
			r.Fatalf("request %d is next, want request %d as without accounts", got, want)
		}
	})
}

func TestFairOrderIsByRankThenPriorityThenVirtualTime(t *testing.T) {
	onTime, late, urgent := route.OnlineWork{Objective: at(900)}, route.OnlineWork{Objective: at(-10), Deadline: at(900)}, route.OnlineWork{Objective: at(-900), Deadline: at(200)}
	type waiting struct {
		work     route.OnlineWork
		priority int
		virtual  float64
		over     bool
	}
	for name, c := range map[string]struct {
		waiting []waiting // one request of each account
		any     bool
		want    int
	}{
		"nobody":                            {nil, false, -1},
		"urgent before a high priority":     {[]waiting{{onTime, 0, 0, false}, {urgent, 5, 9, false}}, false, 1},
		"on time before a high priority":    {[]waiting{{late, 0, 0, false}, {onTime, 5, 9, false}}, false, 1},
		"high priority before least served": {[]waiting{{late, 1, 0, false}, {late, 0, 9, false}}, false, 1},
		"least served of one priority":      {[]waiting{{onTime, 1, 3, false}, {onTime, 1, 2, false}}, false, 1},
		"without regard to priority":        {[]waiting{{onTime, 0, 3, false}, {onTime, 7, 2, false}}, true, 1},
		"urgent but over its share":         {[]waiting{{urgent, 0, 0, true}, {onTime, 1, 9, false}}, false, 1},
		"all are over their shares":         {[]waiting{{late, 1, 0, true}, {urgent, 0, 9, true}}, false, 1},
	} {
		var tenants []route.Tenant
		for _, w := range c.waiting {
			tenants = append(tenants, route.Tenant{Waiting: 1, Virtual: w.virtual, VirtualAny: w.virtual, OverShare: w.over})
		}
		work := func(t, _ int) route.FairWork {
			return route.FairWork{OnlineWork: c.waiting[t].work, Priority: c.waiting[t].priority}
		}
		if got, _ := route.NextFair(tenants, work, noon, 0, c.any); got != c.want {
			t.Errorf("%s: account %d is next, want %d", name, got, c.want)
		}
		if n := testing.AllocsPerRun(10, func() { route.NextFair(tenants, work, noon, 0, c.any) }); n > 0 {
			t.Errorf("%s: %.0f allocations, want 0", name, n)
		}
	}
}
