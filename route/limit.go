package route

import "time"

// Limit is an adaptive concurrency limit of an upstream. It is a value that the
// user of the package stores.
type Limit struct {
	// Value is the present limit.
	Value float64
	// Slots is the upper bound of the limit.
	Slots int
	// UpdatedAt is the time of the last sample, from which the limit recovers.
	UpdatedAt time.Time
	// LastDecrease is the time of the last decrease.
	LastDecrease time.Time
}

const (
	// limitTolerance is the multiple of the reference latency above which the limit
	// decreases.
	limitTolerance = 3.0
	// limitDecreaseFactor is the factor of a decrease.
	limitDecreaseFactor = 0.85
	// minLimitShare is the lowest limit as a fraction of the slots.
	minLimitShare = 0.25
	// minDecreaseInterval is the least time between two decreases.
	minDecreaseInterval = 250 * time.Millisecond
	// limitRecoveryTime is the time in which a limit without samples rises by all slots.
	limitRecoveryTime = 10 * time.Second
)

// NewLimit returns a limit that allows all slots.
func NewLimit(slots int) Limit { return Limit{Value: float64(slots), Slots: slots} }

// Resize returns the limit for a number of slots. It starts anew at all slots when
// the number has changed.
func (l Limit) Resize(slots int) Limit {
	if slots == l.Slots {
		return l
	}
	return NewLimit(slots)
}

// Allowed returns the limit at now as a whole number of requests, at least 1.
func (l Limit) Allowed(now time.Time) int { return max(int(l.recovered(now).Value), 1) }

// recovered returns the limit at now. It rises with the time since the last sample: the
// requests that caused a decrease may be the only ones that are sampled.
func (l Limit) recovered(now time.Time) Limit {
	elapsed := now.Sub(l.UpdatedAt)
	if l.UpdatedAt.IsZero() || elapsed <= 0 {
		return l
	}
	l.Value = min(l.Value+float64(l.Slots)*elapsed.Seconds()/limitRecoveryTime.Seconds(), float64(l.Slots))
	l.UpdatedAt = now
	return l
}

// Sample is one observation: a latency, the reference latency without load, and the
// number of requests in flight.
type Sample struct {
	Observed  time.Duration
	Reference time.Duration
	InFlight  int
}

// Observe returns the limit after a sample. A latency far above its reference
// decreases the limit when at least half of it is in use; a latency that is not far
// above increases it slowly.
func (l Limit) Observe(now time.Time, s Sample) Limit {
	l = l.recovered(now)
	l.UpdatedAt = now
	slow := s.Reference > 0 && float64(s.Observed) > limitTolerance*float64(s.Reference)
	used := float64(s.InFlight) >= l.Value/2
	switch {
	case slow && used:
		if now.Sub(l.LastDecrease) < minDecreaseInterval {
			return l
		}
		l.LastDecrease = now
		l.Value = max(l.Value*limitDecreaseFactor, float64(l.Slots)*minLimitShare, 1)
	case !slow:
		l.Value = min(l.Value+1/max(l.Value, 1), float64(l.Slots))
	}
	return l
}
