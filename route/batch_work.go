package route

import "time"

// BatchWork describes a batch request for scheduling.
type BatchWork struct {
	// Due is the time by which the result is required; the zero time means that
	// there is none.
	Due time.Time
	// Remaining is the expected time that the request still needs a slot.
	Remaining time.Duration
}

// dueMargin is the time that a request takes when online work interrupts it, in
// multiples of its time on a slot.
const dueMargin = 1.15

// laxity returns the time that may pass before the request has to run without
// interruption.
func (w BatchWork) laxity(now time.Time) time.Duration {
	if w.Due.IsZero() {
		return 1 << 62
	}
	return w.Due.Sub(now) - time.Duration(dueMargin*float64(w.Remaining))
}

// Late reports whether the request can no longer complete in time.
func (w BatchWork) Late(now time.Time) bool { return w.laxity(now) < 0 }

// Before reports whether a batch request is given a slot before another. Requests
// that can still complete in time come first, earliest due time first, followed by
// the late ones, shortest first.
func (w BatchWork) Before(other BatchWork, now time.Time) bool {
	a, b := w.Late(now), other.Late(now)
	switch {
	case a != b:
		return b
	case a:
		return w.Remaining < other.Remaining
	case w.Due.IsZero() || other.Due.IsZero():
		return !w.Due.IsZero()
	}
	return w.Due.Before(other.Due)
}

// YieldsBefore reports whether a running batch request yields its slot before
// another: late ones first, longest first, then those with the most spare time.
func (w BatchWork) YieldsBefore(other BatchWork, now time.Time) bool {
	a, b := w.laxity(now), other.laxity(now)
	if a < 0 != (b < 0) {
		return a < 0
	}
	if a < 0 {
		return w.Remaining > other.Remaining
	}
	return a > b
}
