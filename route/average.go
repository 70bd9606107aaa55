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

// Quantile follows a quantile of a latency. It is a value; its caller stores
// it.
type Quantile struct {
	Value time.Duration
}

// quantileStep is the relative step of a Quantile per observation.
const quantileStep = 0.05

// Observe returns the estimate of quantile q after an observation.
func (e Quantile) Observe(d time.Duration, q float64) Quantile {
	if e.Value == 0 {
		return Quantile{d}
	}
	step := max(float64(e.Value)*quantileStep, 1)
	if d > e.Value {
		e.Value += time.Duration(step * q)
	} else {
		e.Value -= time.Duration(step * (1 - q))
	}
	return e
}
