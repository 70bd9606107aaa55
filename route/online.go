package route

import "time"

// OnlineWork is what decides the order of online requests that wait for a slot.
type OnlineWork struct {
	// Objective is until when an answer has to begin to be on time; the zero time
	// means that there is no objective.
	Objective time.Time
	// Patience is until when the caller waits for an answer to begin.
	Patience time.Time
}

// patienceMargin is how long before the end of its caller's patience a late
// request goes before the others. It covers the time to a free slot on a full
// service, a small part of an answer.
const patienceMargin = 250 * time.Millisecond

// Ranks of waiting requests, in the order of service.
const (
	// rankLeaving callers are lost unless their answer begins now.
	rankLeaving = iota
	// rankOnTime answers can still begin within their objective.
	rankOnTime
	// rankLate answers are late by then, and bear some more waiting.
	rankLate
)

// rank returns the place in the order; first is the time from a slot to the
// first byte.
func (w OnlineWork) rank(now time.Time, first time.Duration) int {
	begins := now.Add(first)
	switch {
	case w.Objective.IsZero() || !begins.After(w.Objective):
		return rankOnTime
	case !w.Patience.IsZero() && begins.Add(patienceMargin).After(w.Patience):
		return rankLeaving
	}
	return rankLate
}

// Leaving reports whether the caller is about to give up.
func (w OnlineWork) Leaving(now time.Time, first time.Duration) bool {
	return w.rank(now, first) == rankLeaving
}

// Late reports whether an answer can't begin on time any more, and its caller bears some
// more waiting.
func (w OnlineWork) Late(now time.Time, first time.Duration) bool {
	return w.rank(now, first) == rankLate
}

// FirstOnline returns the index of the request that is served next out of those
// that wait, in the order of their arrival: one that its caller is about to give
// up, then the first that can still be on time, then the first of the late ones.
// After a burst that overfills a service, only what was late already waits
// longer, and what arrives is on time again. It returns -1 when none waits.
func FirstOnline(n int, work func(i int) OnlineWork, now time.Time, first time.Duration) int {
	best, bestRank := -1, rankLate+1
	for i := range n {
		if rank := work(i).rank(now, first); rank < bestRank {
			best, bestRank = i, rank
		}
		if bestRank == rankLeaving {
			break
		}
	}
	return best
}
