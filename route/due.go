package route

import "time"

// BatchWork is what decides the order of batch requests: when they are due and
// how much time on a slot they still need.
type BatchWork struct {
	// Due is when the result is due; the zero time means never.
	Due time.Time
	// Left is the expected time on a slot.
	Left time.Duration
}

// dueMargin is by how much a request that gives way to online work takes longer
// than its time on a slot.
const dueMargin = 1.15

// laxity is the time that may pass before the request has to run without a
// pause.
func (w BatchWork) laxity(now time.Time) time.Duration {
	if w.Due.IsZero() {
		return 1 << 62
	}
	return w.Due.Sub(now) - time.Duration(dueMargin*float64(w.Left))
}

// Late reports whether the request can't be done in time any more.
func (w BatchWork) Late(now time.Time) bool { return w.laxity(now) < 0 }

// Before reports whether a batch request gets a slot before another: those that
// can still be done in time by the time at which they are due, then those that
// are late already, shortest first.
func (w BatchWork) Before(other BatchWork, now time.Time) bool {
	a, b := w.Late(now), other.Late(now)
	switch {
	case a != b:
		return b
	case a:
		return w.Left < other.Left
	case w.Due.IsZero() || other.Due.IsZero():
		return !w.Due.IsZero()
	}
	return w.Due.Before(other.Due)
}

// YieldsBefore reports whether a running batch request gives up its slot before
// another does: late ones first, then those with the most time to spare.
func (w BatchWork) YieldsBefore(other BatchWork, now time.Time) bool {
	a, b := w.laxity(now), other.laxity(now)
	if a < 0 != (b < 0) {
		return a < 0
	}
	if a < 0 {
		return w.Left > other.Left
	}
	return a > b
}
