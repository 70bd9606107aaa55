package route

import (
	"math"
	"time"
)

// Average is a moving average of a latency that fades to a prior when it is
// not fed. It is a value; its caller stores it.
type Average struct {
	Value time.Duration
	At    time.Time
}

const (
	// averageWeight is the share of a new observation.
	averageWeight = 0.2
	// averageHalfLife is how fast an old average fades to the prior.
	averageHalfLife = 20 * time.Second
)

// Observe returns the average after an observation.
func (a Average) Observe(now time.Time, d time.Duration) Average {
	if a.Value == 0 {
		return Average{d, now}
	}
	a.Value += time.Duration(averageWeight * float64(d-a.Value))
	a.At = now
	return a
}

// Faded returns the average at now, faded to prior by its age.
func (a Average) Faded(now time.Time, prior time.Duration) time.Duration {
	if a.Value == 0 || prior == 0 {
		return a.Value
	}
	weight := math.Exp2(-float64(now.Sub(a.At)) / float64(averageHalfLife))
	return prior + time.Duration(weight*float64(a.Value-prior))
}
