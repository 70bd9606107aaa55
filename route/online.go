package route

import "time"

// OnlineWork describes a waiting online request for scheduling.
type OnlineWork struct {
	// Objective is the time by which the answer has to begin to be on time; the
	// zero time means that there is none.
	Objective time.Time
	// Deadline is the time by which the answer has to begin before the caller gives
	// up; the zero time means that there is none.
	Deadline time.Time
}

// deadlineMargin is how long before its caller's deadline a late request is served
// ahead of the others. It covers the wait for a free slot of a fully used service,
// which is a small part of an answer.
const deadlineMargin = 250 * time.Millisecond

// Ranks of waiting requests, in the order in which they are served.
const (
	// rankUrgent requests are lost unless their answer begins now.
	rankUrgent = iota
	// rankOnTime requests can still begin within their objective.
	rankOnTime
	// rankLate requests can no longer begin within their objective, but their
	// caller waits some more.
	rankLate
)

// rank returns the rank of the request. first is the time from the start on a slot
// to the first byte of the answer.
func (w OnlineWork) rank(now time.Time, first time.Duration) int {
	startsAt := now.Add(first)
	switch {
	case w.Objective.IsZero() || !startsAt.After(w.Objective):
		return rankOnTime
	case !w.Deadline.IsZero() && startsAt.Add(deadlineMargin).After(w.Deadline):
		return rankUrgent
	}
	return rankLate
}

// Urgent reports whether the answer can no longer begin on time and the caller is
// about to give up.
func (w OnlineWork) Urgent(now time.Time, first time.Duration) bool {
	return w.rank(now, first) == rankUrgent
}

// Late reports whether the answer can no longer begin on time, but the caller waits
// some more.
func (w OnlineWork) Late(now time.Time, first time.Duration) bool {
	return w.rank(now, first) == rankLate
}

// NextOnline returns the index of the request to serve next, or -1 when n is 0. The
// requests are in the order of their arrival. An urgent request comes first, then
// the first that can still be on time, then the first late one. first is the time
// from the start on a slot to the first byte of an answer.
//
// With this order, a burst above the capacity of a service delays only requests
// that are late already, and new arrivals are on time again.
func NextOnline(n int, work func(i int) OnlineWork, now time.Time, first time.Duration) int {
	best, bestRank := -1, rankLate+1
	for i := range n {
		if rank := work(i).rank(now, first); rank < bestRank {
			best, bestRank = i, rank
		}
		if bestRank == rankUrgent {
			break
		}
	}
	return best
}
