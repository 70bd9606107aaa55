package route

import (
	"slices"
	"time"
)

// Health is what the ejection looks at for one upstream.
type Health struct {
	// FirstToken and Spacing are observed averages; 0 when unknown.
	FirstToken time.Duration
	Spacing    time.Duration
	// Unanswered is the age of the oldest request without a first token, Silent
	// the longest time since the last token of a stream.
	Unanswered time.Duration
	Silent     time.Duration
	// Errors is the decayed share of attempts that failed, 0 to 1.
	Errors float64
	// Ejected is the present state.
	Ejected bool
	// Unproven is set while an ejected upstream has not been probed since: no
	// news of it is not good news, since it gets no requests.
	Unproven bool
}

const (
	// ejectFactor and returnFactor are multiples of the median latency; the
	// distance between them keeps an upstream from toggling.
	ejectFactor  = 3.0
	returnFactor = 1.7
	// ejectErrors and returnErrors are the same for the share of failures.
	ejectErrors  = 0.5
	returnErrors = 0.1
	// Latencies under these are no reason to eject, whatever the median: a caller does
	// not notice them, and averages of few requests differ by as much by chance.
	leastFirst      = 100 * time.Millisecond
	leastSpacing    = 60 * time.Millisecond
	leastUnanswered = 250 * time.Millisecond
	leastSilent     = 250 * time.Millisecond
	// maxEjectedShare bounds the ejected upstreams, in hundredths.
	maxEjectedPercent = 50
)

const (
	// minRetrial is how long an upstream that gets no probes of its own stays
	// ejected the first time; a worker that is lost has left the list by then.
	// maxRetrial bounds the time after several in a row.
	minRetrial = 4 * time.Second
	maxRetrial = 32 * time.Second
	// RetrialErrors is the share of failures with which it is taken in again: one
	// failure ejects it anew, one whole answer does not let it go again soon.
	RetrialErrors = 0.35
)

// RetrialAfter returns how long an upstream stays ejected that only requests of
// callers can prove, when it has been ejected a number of times without a whole
// answer in between. Were it tried at a fixed pace by all instances of a large
// fleet, a worker that fails would get more requests than one that serves.
func RetrialAfter(ejections int) time.Duration {
	return min(minRetrial<<min(max(ejections-1, 0), 8), maxRetrial)
}

// MaxEjected returns how many of n upstreams may be ejected: never half of
// them or more.
func MaxEjected(n int) int {
	return max((n*maxEjectedPercent-1)/100, 0)
}

// Eject sets Ejected for each upstream: those that are far slower than the
// median or fail often, the worst first, within MaxEjected. It uses scratch,
// which may be nil, and returns it for the next call.
func Eject(list []Health, scratch []int) []int {
	first, spacing := Medians(list)
	worst := scratch[:0]
	for i := range list {
		if list[i].badness(first, spacing) >= 1 {
			worst = append(worst, i)
		}
	}
	slices.SortStableFunc(worst, func(a, b int) int {
		x, y := list[a].badness(first, spacing), list[b].badness(first, spacing)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return a - b
	})
	for i := range list {
		list[i].Ejected = false
	}
	for _, i := range worst[:min(len(worst), MaxEjected(len(list)))] {
		list[i].Ejected = true
	}
	return worst
}

// badness is 1 or more when the upstream should be ejected.
func (h *Health) badness(first, spacing time.Duration) float64 {
	factor, errors := ejectFactor, ejectErrors
	if h.Ejected {
		factor, errors = returnFactor, returnErrors
	}
	worst := h.Errors / errors
	if h.Ejected && h.Unproven {
		worst = max(worst, 1)
	}
	worst = max(worst, h.ratio(h.FirstToken, first, factor, leastFirst))
	worst = max(worst, h.ratio(h.Spacing, spacing, factor, leastSpacing))
	worst = max(worst, h.ratio(h.Unanswered, first, factor*overdueFirstTokens, leastUnanswered))
	return max(worst, h.ratio(h.Silent, spacing, factor*overdueSpacings, leastSilent))
}

// ratio compares a latency with a multiple of a reference. One under the least that
// counts ejects nobody.
func (h *Health) ratio(value, reference time.Duration, factor float64, least time.Duration) float64 {
	if reference <= 0 || !h.Ejected && value < least {
		return 0
	}
	return float64(value) / (factor * float64(reference))
}

// Medians returns the lower medians of the known latencies, so that a slowed
// half doesn't become the reference.
func Medians(list []Health) (first, spacing time.Duration) {
	return median(list, func(h *Health) time.Duration { return h.FirstToken }),
		median(list, func(h *Health) time.Duration { return h.Spacing })
}

func median(list []Health, of func(*Health) time.Duration) time.Duration {
	known := make([]time.Duration, 0, len(list))
	for i := range list {
		if v := of(&list[i]); v > 0 {
			known = append(known, v)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
