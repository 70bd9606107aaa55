package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedService is a service whose upstreams slow down with their load.
type simulatedService struct {
	random  *rand.Rand
	now     time.Time
	curve   LoadCurve
	learned []*Capacity
	// speed and knee are the actual ones; running returns the number of requests.
	speed, knee []float64
	running     func(i int) int
}

func newSimulatedService(speed ...float64) *simulatedService {
	s := &simulatedService{random: rand.New(rand.NewPCG(1, 2)), now: suspicionStart, speed: speed}
	for range speed {
		s.learned = append(s.learned, &Capacity{})
		s.knee = append(s.knee, 100)
	}
	s.running = func(int) int { return 1 + s.random.IntN(6) }
	return s
}

// spacing returns the actual time between events: 40 ms and 2 ms for each request, and
// such that the total rate does not grow beyond the knee.
func (s *simulatedService) spacing(i, n int) time.Duration {
	at := func(n float64) float64 { return 40 + 2*n }
	ms := at(float64(n))
	if k := s.knee[i]; float64(n) > k {
		ms = at(k) * float64(n) / k
	}
	return time.Duration(ms / s.speed[i] * float64(time.Millisecond))
}

// run lets time pass, with ten samples a second of each upstream.
func (s *simulatedService) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for i, u := range s.learned {
			n := s.running(i)
			noise := 0.85 + 0.3*s.random.Float64()
			s.curve.Learn(s.now, u, n, time.Duration(noise*float64(s.spacing(i, n))))
		}
		s.curve.Normalize(s.now, s.learned)
	}
}

// expectSpeed fails if a learned speed differs by over a tenth.
func (s *simulatedService) expectSpeed(t *testing.T, i int, want float64) {
	t.Helper()
	if got := s.learned[i].Speed(s.now); got < 0.9*want || got > 1.1*want {
		t.Errorf("upstream %d has the learned speed %.2f, want %.2f", i, got, want)
	}
}

// TestSpeedsAreFoundWithinSeconds has upstreams at 0.55 and 1.2 times the usual speed,
// and then a slowdown and a recovery.
func TestSpeedsAreFoundWithinSeconds(t *testing.T) {
	s := newSimulatedService(1, 0.55, 1, 1.2, 1, 1, 1)
	s.run(5 * time.Second)
	for i, want := range s.speed {
		s.expectSpeed(t, i, want)
	}
	for _, next := range []float64{0.5, 1} {
		s.speed[4] = next
		s.run(4 * time.Second)
		s.expectSpeed(t, 4, next)
	}
}

// TestTwoSpeedsShareAService guards against a speed that is only right relative to a
// large majority.
func TestTwoSpeedsShareAService(t *testing.T) {
	s := newSimulatedService(1, 0.6, 1, 0.6)
	s.run(5 * time.Second)
	for i := range s.speed {
		s.expectSpeed(t, i, s.speed[i])
	}
	two := newSimulatedService(0.7, 1)
	two.run(5 * time.Second)
	two.expectSpeed(t, 0, 0.7)
}

// TestLoadIsNotSlowness has one upstream that is always full beside others with little
// load, and then a service that is full everywhere and slows down alike.
func TestLoadIsNotSlowness(t *testing.T) {
	s := newSimulatedService(1, 1, 1, 1, 1)
	s.run(3 * time.Second)
	s.running = func(i int) int {
		if i == 0 {
			return 8
		}
		return 1 + s.random.IntN(3)
	}
	s.run(20 * time.Second)
	s.expectSpeed(t, 0, 1)
	s.running = func(int) int { return 8 }
	for i := range s.speed {
		s.speed[i] = 0.5
	}
	s.run(30 * time.Second)
	for i, u := range s.learned {
		s.expectSpeed(t, i, 1)
		if knee := u.Knee(s.now, 8); knee != 8 {
			t.Errorf("upstream %d has the knee %d at full load, want 8", i, knee)
		}
	}
}

// TestKneeIsFound has an upstream that gains nothing from more than 4 requests. The knee
// must be found, and must rise again once the upstream gains from more.
func TestKneeIsFound(t *testing.T) {
	s := newSimulatedService(1, 1, 1, 1, 1)
	s.knee[2] = 4
	s.running = func(int) int { return 1 + s.random.IntN(8) }
	s.run(8 * time.Second)
	for i, u := range s.learned {
		knee := u.Knee(s.now, 8)
		if i == 2 && (knee < 3 || knee > 5) || i != 2 && knee != 8 {
			t.Errorf("upstream %d has the knee %d", i, knee)
		}
	}
	s.knee[2] = 100
	s.run(20 * time.Second)
	if knee := s.learned[2].Knee(s.now, 8); knee != 8 {
		t.Errorf("the knee is %d after the upstream gains from all slots, want 8", knee)
	}
}

// TestKneeNeverFallsToOneRequest guards against a downward spiral at an upstream whose
// rate falls with each request.
func TestKneeNeverFallsToOneRequest(t *testing.T) {
	s := newSimulatedService(1, 1, 1)
	s.knee[0] = 1
	s.running = func(int) int { return 1 + s.random.IntN(8) }
	s.run(10 * time.Second)
	if knee := s.learned[0].Knee(s.now, 8); knee != 2 {
		t.Errorf("knee %d, want 2", knee)
	}
}

// TestIdleUpstreamIsTriedAgain guards against a slow upstream that gets no request and
// is taken for slow for ever.
func TestIdleUpstreamIsTriedAgain(t *testing.T) {
	s := newSimulatedService(1, 1, 0.5)
	s.run(5 * time.Second)
	if speed := s.learned[2].PlacementSpeed(s.now.Add(15 * time.Second)); speed < 0.9 {
		t.Errorf("placed with speed %.2f after 15 s without a sample, want nearly 1", speed)
	}
}

// TestFailingUpstreamCostsMore guards against an upstream that fails at once and looks
// idle.
func TestFailingUpstreamCostsMore(t *testing.T) {
	sound := Candidate{Slots: 8, Online: 2, Knee: 8, Slowdown: 1}
	failing := Candidate{Slots: 8, Knee: 8, Slowdown: 1, ErrorRate: 0.4}
	if a, b := sound.Cost(time.Second), failing.Cost(time.Second); a >= b {
		t.Errorf("a sound upstream costs %v, a failing one %v", a, b)
	}
}

// TestWorkAboveTheKneeWaitsForTheOthers has an upstream at its knee.
func TestWorkAboveTheKneeWaitsForTheOthers(t *testing.T) {
	c := Candidate{Slots: 8, Limit: 8, Online: 3, PeerBatch: 1, Knee: 4}
	if Admits(&c, &Query{WithinKnee: true}) || !Admits(&c, &Query{}) {
		t.Error("want a request admitted only when all others are at their knee")
	}
	if n := BatchCapacity(&Candidate{Slots: 8, Limit: 8, Online: 3, Knee: 4}, BatchLimits{Share: 1}); n != 1 {
		t.Errorf("room for %d batch requests below a knee of 4 with 3 online requests, want 1", n)
	}
}
