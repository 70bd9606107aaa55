package route

import (
	"math"
	"time"
)

// Average is an exponentially weighted moving average of a latency that decays to a
// prior while there are no observations. It is a value that the user of the package
// stores. The zero value has no observation.
type Average struct {
	Value     time.Duration
	UpdatedAt time.Time
}

const (
	// averageWeight is the weight of a new observation.
	averageWeight = 0.2
	// averageHalfLife is the time in which the difference between an average and
	// its prior halves.
	averageHalfLife = 20 * time.Second
)

// Observe returns the average after an observation.
func (a Average) Observe(now time.Time, d time.Duration) Average {
	if a.Value == 0 {
		return Average{d, now}
	}
	a.Value += time.Duration(averageWeight * float64(d-a.Value))
	a.UpdatedAt = now
	return a
}

// Decayed returns the average at now, decayed towards prior by the time since the
// last observation.
func (a Average) Decayed(now time.Time, prior time.Duration) time.Duration {
	if a.Value == 0 || prior == 0 {
		return a.Value
	}
	weight := math.Exp2(-float64(now.Sub(a.UpdatedAt)) / float64(averageHalfLife))
	return prior + time.Duration(weight*float64(a.Value-prior))
}

// Quantile estimates a quantile of a latency. It is a value that the user of the
// package stores. The zero value has no observation.
type Quantile struct {
	Value time.Duration
}

// quantileStep is the step of a Quantile per observation, relative to its value.
const quantileStep = 0.05

// Observe returns the estimate of quantile q, between 0 and 1, after an
// observation.
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
