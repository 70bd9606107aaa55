package quarantine

import "time"

// answerMemory is how long an answer counts as recent, at least; it counts for at most
// twice as long.
const answerMemory = 10 * time.Second

// maxRecentParts limits the parts in one generation of recentAnswers.
const maxRecentParts = 1 << 14

// recentAnswers has the parts of the requests that were answered lately, with the time of
// the last answer. It holds two generations, of which the older is dropped at intervals.
type recentAnswers struct {
	current   map[uint64]time.Time
	previous  map[uint64]time.Time
	startedAt time.Time
}

func newRecentAnswers() recentAnswers {
	return recentAnswers{current: map[uint64]time.Time{}, previous: map[uint64]time.Time{}}
}

// add records an answer to a request with the part.
func (a *recentAnswers) add(partID uint64, now time.Time) {
	a.rotate(now)
	if _, ok := a.current[partID]; ok || len(a.current) < maxRecentParts {
		a.current[partID] = now
	}
}

// last returns the time of the last recent answer, or the zero time.
func (a *recentAnswers) last(partID uint64, now time.Time) time.Time {
	a.rotate(now)
	if at, ok := a.current[partID]; ok {
		return at
	}
	return a.previous[partID]
}

func (a *recentAnswers) rotate(now time.Time) {
	age := now.Sub(a.startedAt)
	if age < answerMemory {
		return
	}
	a.previous = a.current
	if age >= 2*answerMemory {
		a.previous = map[uint64]time.Time{}
	}
	a.current, a.startedAt = map[uint64]time.Time{}, now
}
