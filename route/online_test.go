package route_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/route"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func TestOrderOfWaitingOnlineRequests(t *testing.T) {
	for name, c := range map[string]struct {
		waiting []route.OnlineWork
		want    int
	}{
		"nobody":                       {nil, -1},
		"on time in order of arrival":  {[]route.OnlineWork{{at(200), at(2000)}, {at(100), at(2000)}}, 0},
		"on time before late":          {[]route.OnlineWork{{at(-10), at(1000)}, {at(100), at(2000)}}, 1},
		"late by the time to start":    {[]route.OnlineWork{{at(20), at(1000)}, {at(100), at(2000)}}, 1},
		"late in order of arrival":     {[]route.OnlineWork{{at(-30), at(1000)}, {at(-20), at(900)}}, 0},
		"about to expire before all":   {[]route.OnlineWork{{at(100), at(2000)}, {at(-900), at(200)}}, 1},
		"on time though near deadline": {[]route.OnlineWork{{at(100), at(150)}, {at(100), at(2000)}}, 0},
		"no objective":                 {[]route.OnlineWork{{at(-10), at(1000)}, {}}, 1},
	} {
		work := func(i int) route.OnlineWork { return c.waiting[i] }
		if got := route.NextOnline(len(c.waiting), work, noon, 50*time.Millisecond); got != c.want {
			t.Errorf("%s: got index %d, want %d", name, got, c.want)
		}
	}
}

// TestBurstLosesNoRequest simulates bursts on one slot that serves faster than the
// mean arrival rate. No request may wait past its deadline, and at least as many must
// be on time as in the order of arrival.
func TestBurstLosesNoRequest(t *testing.T) {
	const (
		objective = 300
		deadline  = 2000
		service   = 40
	)
	play := func(arrivals []int, next func(queue []int, now int) int) (onTime, lost int) {
		var queue []int
		for now := 0; len(arrivals) > 0 || len(queue) > 0; {
			for len(arrivals) > 0 && arrivals[0] <= now {
				queue, arrivals = append(queue, arrivals[0]), arrivals[1:]
			}
			if len(queue) == 0 {
				now = arrivals[0]
				continue
			}
			i := next(queue, now)
			switch waited := now - queue[i]; {
			case waited <= objective:
				onTime++
			case waited > deadline:
				lost++
			}
			queue = append(queue[:i:i], queue[i+1:]...)
			now += service
		}
		return onTime, lost
	}
	rapid.Check(t, func(r *rapid.T) {
		var arrivals []int
		start := 0
		for range rapid.IntRange(1, 4).Draw(r, "bursts") {
			for i := range rapid.IntRange(1, 40).Draw(r, "size") {
				arrivals = append(arrivals, start+i*rapid.IntRange(5, 35).Draw(r, "gap"))
			}
			last := arrivals[len(arrivals)-1]
			start = max(last, start+len(arrivals)*service) + 1
		}
		slices.Sort(arrivals)
		byArrival, _ := play(slices.Clone(arrivals), func([]int, int) int { return 0 })
		onTime, lost := play(slices.Clone(arrivals), func(queue []int, now int) int {
			return route.NextOnline(len(queue), func(i int) route.OnlineWork {
				return route.OnlineWork{Objective: at(queue[i] + objective), Deadline: at(queue[i] + deadline)}
			}, at(now), 0)
		})
		if lost > 0 || onTime < byArrival {
			r.Fatalf("%d lost, want 0; %d on time, want the %d of the order of arrival or more", lost, onTime, byArrival)
		}
	})
}
