package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/contract"
)

// fixedView is a View of a list of candidates.
type fixedView []Candidate

func (v fixedView) Len() int                  { return len(v) }
func (v fixedView) Key(i int) uint64          { return v[i].Key }
func (v fixedView) Candidate(i int) Candidate { return v[i] }

func drawCandidate(t *rapid.T) Candidate {
	slots := rapid.IntRange(1, 32).Draw(t, "slots")
	ms := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 500).Draw(t, name)) * time.Millisecond
	}
	return Candidate{
		Key: rapid.Uint64Min(1).Draw(t, "key"), Closed: rapid.Bool().Draw(t, "closed"), Slots: slots, Limit: rapid.IntRange(1, slots).Draw(t, "limit"),
		Online: rapid.IntRange(0, 40).Draw(t, "online"), Batch: rapid.IntRange(0, 40).Draw(t, "batch"),
		Long:       rapid.IntRange(0, 40).Draw(t, "long"),
		PeerOnline: rapid.IntRange(0, 40).Draw(t, "peer online"), PeerBatch: rapid.IntRange(0, 40).Draw(t, "peer batch"),
		FirstToken: ms("first"), Spacing: ms("spacing"), OldestUnanswered: ms("unanswered"), SinceToken: ms("since"),
		Report: Report{Running: rapid.IntRange(0, 64).Draw(t, "running"), Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), Age: ms("age"), Known: rapid.Bool().Draw(t, "known")},
	}
}

func drawQuery(t *rapid.T) *Query {
	return &Query{
		Class: contract.Class(rapid.IntRange(0, 1).Draw(t, "class")), Long: rapid.Bool().Draw(t, "is long"),
		Affinity: rapid.Uint64().Draw(t, "affinity"), Prior: time.Millisecond,
		Policy: Policy(rapid.IntRange(0, 3).Draw(t, "policy")), Position: rapid.Uint64().Draw(t, "turn"),
		Batch: BatchLimits{
			Share: rapid.Float64Range(0, 1).Draw(t, "share"), Headroom: rapid.IntRange(0, 4).Draw(t, "headroom"),
			OnlineWaiting: rapid.Bool().Draw(t, "waits"),
		},
	}
}

func TestChooseReturnsAdmittingUpstreamIfAny(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fixedView(rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 12).Draw(t, "candidates"))
		q := drawQuery(t)
		i := Choose(v, q, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		if i >= 0 {
			if !Admits(&v[i], q) {
				t.Fatalf("chose upstream %d, which does not admit the request", i)
			}
			return
		}
		if slices.ContainsFunc(v, func(c Candidate) bool { return Admits(&c, q) }) {
			t.Fatal("an upstream admits the request and none was chosen")
		}
	})
}

func TestBatchIsNeverAdmittedWhileOnlineWaitsNorIntoHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, q := drawCandidate(t), drawQuery(t)
		capacity := BatchCapacity(&c, q.Batch)
		if capacity > 0 && q.Batch.OnlineWaiting {
			t.Fatal("batch was admitted while online work waits")
		}
		if used := c.OnlineTotal() + c.BatchTotal() + capacity; capacity > 0 && used+q.Batch.Headroom > c.Slots {
			t.Fatalf("%d of %d slots used with headroom %d", used, c.Slots, q.Batch.Headroom)
		}
	})
}

func TestAdmittedBatchIsNotCancelledUntilOnlineArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, q := drawCandidate(t), drawQuery(t)
		if BatchCapacity(&c, q.Batch) == 0 {
			return
		}
		c.Batch++
		if n := ProportionalYield(&c, q.Batch); n != 0 {
			t.Fatalf("%d batch requests are cancelled right after one was admitted", n)
		}
	})
}

func TestProportionalYieldFreesTheReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 6).Draw(t, "batch by instance")
		online, slots := rapid.IntRange(0, 20).Draw(t, "online"), rapid.IntRange(1, 20).Draw(t, "slots")
		limits := BatchLimits{Share: 1, Headroom: 1, Reserve: 1}
		total, cancelled := 0, 0
		for _, n := range own {
			total += n
		}
		for _, n := range own {
			cancelled += ProportionalYield(&Candidate{Slots: slots, Limit: slots, Online: online, Batch: n, PeerBatch: total - n}, limits)
		}
		if need := min(online+total+1-slots, total); cancelled < need {
			t.Fatalf("%d of %d batch requests cancelled, %d needed", cancelled, total, need)
		}
	})
}

func TestEjectionStaysBelowHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Health {
			return Health{
				FirstToken:       time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "first")),
				Spacing:          time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "spacing")),
				OldestUnanswered: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "unanswered")),
				SinceToken:       time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "silent")),
				ErrorRate:        rapid.Float64Range(0, 1).Draw(t, "errors"),
				Ejected:          rapid.Bool().Draw(t, "ejected"),
				AwaitingProbe:    rapid.Bool().Draw(t, "unproven"),
			}
		}), 1, 40).Draw(t, "health")
		Eject(list, nil)
		ejected := 0
		for _, h := range list {
			if h.Ejected {
				ejected++
			}
		}
		if 2*ejected >= len(list) && ejected > 0 {
			t.Fatalf("%d of %d ejected", ejected, len(list))
		}
	})
}

func TestEjectionHasHysteresis(t *testing.T) {
	for _, test := range []struct {
		name     string
		ejected  bool
		unproven bool
		first    time.Duration
		want     bool
	}{
		{"slightly slow is not ejected", false, false, 20 * time.Millisecond, false},
		{"slightly slow is not restored", true, false, 20 * time.Millisecond, true},
		{"ten times slower is ejected", false, false, 100 * time.Millisecond, true},
		{"as fast as others is restored", true, false, 11 * time.Millisecond, false},
		{"not restored before a probe", true, true, 11 * time.Millisecond, true},
		{"slow by less than the threshold is not ejected", false, false, 62 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := make([]Health, 10)
			for i := range list {
				list[i].FirstToken = 10 * time.Millisecond
			}
			list[3] = Health{FirstToken: test.first, Ejected: test.ejected, AwaitingProbe: test.unproven}
			Eject(list, nil)
			if list[3].Ejected != test.want {
				t.Errorf("ejected %v, want %v", list[3].Ejected, test.want)
			}
		})
	}
}

func TestEjectionTimeGrows(t *testing.T) {
	var sum time.Duration
	for n := 1; n <= 5; n++ {
		if next := EjectionTime(n + 1); next < EjectionTime(n) || next > maxEjectionTime {
			t.Errorf("%v after %d ejections, %v after one more", EjectionTime(n), n, next)
		}
		sum += EjectionTime(n)
	}
	if sum < time.Minute {
		t.Errorf("five ejections last %v in total, want a minute or more", sum)
	}
}

func TestNonIdempotentCallIsNotRetriedAfterDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := FailedAttempt{
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Dispatched: rapid.Bool().Draw(t, "dispatched"),
			Final: rapid.Bool().Draw(t, "final"), Ended: rapid.Bool().Draw(t, "ended"),
			Attempts: rapid.IntRange(0, 9).Draw(t, "attempts"), Unreachable: rapid.IntRange(0, 9).Draw(t, "unreachable"),
		}
		if MayRetry(o) && (o.Dispatched && !o.Idempotent || o.Final || o.Ended || o.Attempts >= MaxAttempts || o.Unreachable >= MaxUnreachable) {
			t.Fatalf("%+v is retried", o)
		}
	})
}

func TestHedgesStayWithinTheirShareAndCloseUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 0.05
		var h HedgeBudget
		requests, hedges := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			requests++
			h = h.Earn(share)
			used := rapid.IntRange(0, 100).Draw(t, "used")
			var ok bool
			if h, ok = h.Spend(0, used, 100); ok {
				hedges++
				if used >= 80 {
					t.Fatalf("hedged with %d of 100 slots in use", used)
				}
			}
		}
		if float64(hedges) > share*float64(requests) {
			t.Fatalf("%d hedges for %d requests, above their share", hedges, requests)
		}
	})
}

func TestLimitStaysWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		l, now := NewLimit(slots), time.Unix(0, 0)
		for range rapid.IntRange(0, 100).Draw(t, "samples") {
			now = now.Add(time.Second)
			l = l.Observe(now, Sample{
				Observed:  time.Duration(rapid.IntRange(0, 1000).Draw(t, "observed")),
				Reference: time.Duration(rapid.IntRange(0, 1000).Draw(t, "reference")),
				InFlight:  rapid.IntRange(0, 64).Draw(t, "in flight"),
			})
			if a := l.Allowed(now); a < 1 || a > slots {
				t.Fatalf("limit is %d, want 1 to %d", a, slots)
			}
		}
	})
}

func TestLimitAllowsAllSlotsAfterTimeWithoutSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 64).Draw(t, "slots")
		slow := Sample{Observed: time.Second, Reference: 100 * time.Millisecond, InFlight: slots}
		l, now := NewLimit(slots), time.Unix(0, 0)
		for range rapid.IntRange(100, 200).Draw(t, "samples") {
			now = now.Add(100 * time.Millisecond)
			l = l.Observe(now, slow)
		}
		if a := l.Allowed(now); a > slots/2 {
			t.Fatalf("limit is %d while all requests are slow, want at most half of %d slots", a, slots)
		}
		before := 0
		for elapsed := time.Duration(0); elapsed <= limitRecoveryTime; elapsed += time.Second {
			a := l.Allowed(now.Add(elapsed))
			if a < before {
				t.Fatalf("limit falls from %d to %d without a sample", before, a)
			}
			before = a
		}
		if before != slots {
			t.Fatalf("limit is %d after %v without a sample, want %d", before, limitRecoveryTime, slots)
		}
	})
}

func TestFairShareServesByWeightAndShedsLargestQueue(t *testing.T) {
	tenants := []Tenant{{Weight: 1, Waiting: 1000}, {Weight: 3, Waiting: 1000}}
	served := make([]int, 2)
	for range 400 {
		i := NextTenant(tenants)
		served[i]++
		tenants[i].Virtual = tenants[i].Advance(tenants[i].Virtual)
	}
	if served[1] < 298 || served[1] > 302 {
		t.Errorf("tenant with weight 3 of 4 was served %d of 400 times, want about 300", served[1])
	}
	if got := Shed([]Tenant{{Weight: 1, Waiting: 50}, {Weight: 1, Waiting: 2}}, 1); got != 0 {
		t.Errorf("a request of tenant %d was shed, want one of tenant 0, which fills the queue", got)
	}
}

func TestStalledUpstreamCostsMoreWithinFewTokenTimes(t *testing.T) {
	fine := Candidate{Slots: 8, Limit: 8, FirstToken: 10 * time.Millisecond, Spacing: 5 * time.Millisecond, Online: 3}
	stalled := fine
	stalled.SinceToken = 9 * stalled.Spacing
	if stalled.Cost(0) <= 2*fine.Cost(0) {
		t.Errorf("stalled costs %v, fine %v", stalled.Cost(0), fine.Cost(0))
	}
}

func TestOldReportCountsLess(t *testing.T) {
	c := Candidate{Slots: 8, Report: Report{Running: 8, Known: true}}
	fresh := c.Occupancy()
	c.Report.Age = 10 * reportHalfLife
	if old := c.Occupancy(); old >= fresh/100 {
		t.Errorf("fresh report gives %v, old one %v", fresh, old)
	}
}

func TestSubsetChangesByOneWhenAnUpstreamIsLost(t *testing.T) {
	var ids []string
	for i := range 1700 {
		ids = append(ids, fmt.Sprintf("upstream-%04d", i))
	}
	before := Subset(ids, "instance-7", 32)
	after := Subset(slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == before[4] }), "instance-7", 32)
	kept := 0
	for _, id := range after {
		if slices.Contains(before, id) {
			kept++
		}
	}
	if len(before) != 32 || kept != 31 {
		t.Errorf("%d members, %d kept; want 32 and 31", len(before), kept)
	}
}

func TestPrefixGoesToOneUpstreamUntilThatIsLoaded(t *testing.T) {
	v := make(fixedView, 10)
	for i := range v {
		v[i] = Candidate{Key: Mix64(uint64(i + 1)), Slots: 16, Limit: 16, FirstToken: time.Millisecond}
	}
	random := rand.New(rand.NewPCG(1, 1))
	q := &Query{Affinity: 42}
	preferred := Choose(v, q, random)
	for range 100 {
		if got := Choose(v, q, random); got != preferred {
			t.Fatalf("idle fleet: chose %d, then %d", preferred, got)
		}
	}
	v[preferred].Online = 12
	if got := Choose(v, q, random); got == preferred {
		t.Error("the loaded upstream was chosen for its prefix")
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 32, 100, 1700} {
		v := make(fixedView, n)
		for i := range v {
			v[i] = Candidate{Key: Mix64(uint64(i + 1)), Slots: 16, Limit: 16, Online: i % 8, FirstToken: 10 * time.Millisecond, Report: Report{Running: 9, Age: time.Second, Known: true}}
		}
		for name, affinity := range map[string]uint64{"plain": 0, "prefix": 42} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				random := rand.New(rand.NewPCG(1, 1))
				q := &Query{Affinity: affinity, Prior: time.Millisecond}
				view := View(v)
				for b.Loop() {
					Choose(view, q, random)
				}
			})
		}
	}
}

func TestLongWorkLeavesThePeakOfShortWorkFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 40).Draw(t, "upstreams"), rapid.IntRange(2, 64).Draw(t, "slots")
		demand := rapid.IntRange(0, n*(slots-2)).Draw(t, "demand")
		peak := Peak{}.Observe(time.Unix(1, 0), demand)
		long := LongLimit(slots, peak.ShortReserve(n))
		if long < 1 || n*(slots-long) < demand {
			t.Fatalf("long work may use %d of %d slots per upstream, short work needs %d on %d upstreams", long, slots, demand, n)
		}
	})
}

func TestNoHedgeWithoutAShare(t *testing.T) {
	h := NewHedgeBudget().Earn(0)
	if _, ok := h.Spend(0, 0, 16); ok {
		t.Error("a hedge is allowed with a share of 0")
	}
	if _, ok := NewHedgeBudget().Earn(0.05).Spend(0, 0, 16); !ok {
		t.Error("no hedge is allowed with a share of 0.05")
	}
}

// TestUpstreamOfUncertainLoadGetsOneMoreRequestThanItHasAnswered sends requests to an upstream without
// known load, some of which it answers.
func TestUpstreamOfUncertainLoadGetsOneMoreRequestThanItHasAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 32).Draw(t, "slots")
		c := Candidate{Slots: slots, Limit: slots, LoadUncertain: true}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "is answered") && c.Online+c.Batch > c.Answers {
				c.Answers++
			}
			class := contract.Class(rapid.IntRange(0, 1).Draw(t, "class"))
			before := c.Online + c.Batch
			if !Admits(&c, &Query{Class: class, Batch: BatchLimits{Share: 1}}) {
				if before <= c.Answers && before < slots {
					t.Fatalf("no request admitted with %d in flight, %d answers and %d slots", before, c.Answers, slots)
				}
				continue
			}
			if before > c.Answers {
				t.Fatalf("a request admitted with %d in flight and %d answers", before, c.Answers)
			}
			if class == contract.Batch {
				c.Batch++
			} else {
				c.Online++
			}
		}
	})
}
