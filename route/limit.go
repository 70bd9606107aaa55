package route

import "time"

// Limit is the adaptive number of online requests that run at once on an
// upstream. It is a value; its caller stores it.
type Limit struct {
	// Value is the present limit.
	Value float64
	// Slots bounds the limit from above.
	Slots int
	// LastCut is when the limit was lowered last.
	LastCut time.Time
}

const (
	// limitTolerance is how much over the reference the observed latency may be
	// before the limit falls.
	limitTolerance = 3.0
	// limitCut is the factor by which it falls.
	limitCut = 0.85
	// limitFloor is the least share of the slots.
	limitFloor = 0.25
	// limitCutInterval is the least time between two cuts.
	limitCutInterval = 250 * time.Millisecond
)

// NewLimit returns a limit that allows all slots.
func NewLimit(slots int) Limit { return Limit{Value: float64(slots), Slots: slots} }

// Resize returns the limit for another number of slots.
func (l Limit) Resize(slots int) Limit {
	if slots == l.Slots {
		return l
	}
	return NewLimit(slots)
}

// Allowed returns the whole number of requests.
func (l Limit) Allowed() int { return max(int(l.Value), 1) }

// Sample is one observation: a latency, what it is without load, and how many
// requests were in flight.
type Sample struct {
	Observed  time.Duration
	Reference time.Duration
	InFlight  int
}

// Observe returns the limit after a sample. A latency far over its reference
// while the limit is in use cuts the limit; any other raises it slowly.
func (l Limit) Observe(now time.Time, s Sample) Limit {
	slow := s.Reference > 0 && float64(s.Observed) > limitTolerance*float64(s.Reference)
	used := float64(s.InFlight) >= l.Value/2
	switch {
	case slow && used:
		if now.Sub(l.LastCut) < limitCutInterval {
			return l
		}
		l.LastCut = now
		l.Value = max(l.Value*limitCut, float64(l.Slots)*limitFloor, 1)
	case !slow:
		l.Value = min(l.Value+1/max(l.Value, 1), float64(l.Slots))
	}
	return l
}
