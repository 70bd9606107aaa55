package route

import (
	"slices"
	"time"
)

// Health is the state of one upstream that outlier detection evaluates.
type Health struct {
	// FirstToken and Spacing are average latencies, 0 when unknown.
	FirstToken time.Duration
	Spacing    time.Duration
	// OldestUnanswered is the age of the oldest request without a first token.
	// SinceToken is the longest time since the last token of a stream.
	OldestUnanswered time.Duration
	SinceToken       time.Duration
	// ErrorRate is the decayed fraction of attempts that failed, 0 to 1.
	ErrorRate float64
	// Ejected is set while the upstream is ejected.
	Ejected bool
	// AwaitingProbe is set while an ejected upstream has not answered since its
	// ejection. It receives no ordinary requests, so the absence of errors does not
	// show that it has recovered.
	AwaitingProbe bool
}

const (
	// ejectFactor and restoreFactor are multiples of the median latency at which an
	// upstream is ejected and restored. The difference between them prevents
	// flapping.
	ejectFactor   = 3.0
	restoreFactor = 1.7
	// ejectErrorRate and restoreErrorRate are the corresponding error rates.
	ejectErrorRate   = 0.5
	restoreErrorRate = 0.1
	// Latencies below these values do not eject, whatever the median: callers do
	// not notice them, and averages of few requests differ by as much by chance.
	minEjectFirstToken = 100 * time.Millisecond
	minEjectSpacing    = 60 * time.Millisecond
	minEjectUnanswered = 250 * time.Millisecond
	minEjectSinceToken = 250 * time.Millisecond
	// maxEjectedPercent bounds the number of ejected upstreams.
	maxEjectedPercent = 50
)

const (
	// minEjectionTime is the time for which an upstream that gets no probes stays
	// ejected the first time; a worker that has failed is no longer listed by then.
	// maxEjectionTime bounds the time after several ejections in a row.
	minEjectionTime = 4 * time.Second
	maxEjectionTime = 32 * time.Second
	// RestoredErrorRate is the highest error rate with which such an upstream is
	// restored. The first failure ejects it again, but a single failure after a
	// complete answer does not.
	RestoredErrorRate = 0.35
)

// EjectionTime returns how long an upstream that gets no probes stays ejected before
// requests of callers are sent to it again, given the number of ejections without a
// complete answer in between. The time doubles: if all instances of a large fleet
// retried at a fixed interval, a failing worker would receive more requests than a
// healthy one.
func EjectionTime(ejections int) time.Duration {
	return min(minEjectionTime<<min(max(ejections-1, 0), 8), maxEjectionTime)
}

// MaxEjected returns how many of n upstreams may be ejected, which is less than
// half of them.
func MaxEjected(n int) int {
	return max((n*maxEjectedPercent-1)/100, 0)
}

// Eject sets Ejected for each upstream. It ejects those that are far slower than
// the median or fail often, highest score first, up to MaxEjected. It uses scratch,
// which may be nil, as a buffer and returns the buffer for the next call.
func Eject(list []Health, scratch []int) []int {
	first, spacing := Medians(list)
	worst := scratch[:0]
	for i := range list {
		if list[i].score(first, spacing) >= 1 {
			worst = append(worst, i)
		}
	}
	slices.SortStableFunc(worst, func(a, b int) int {
		x, y := list[a].score(first, spacing), list[b].score(first, spacing)
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

// score returns a value that is 1 or more when the upstream should be ejected, or
// remain so.
func (h *Health) score(first, spacing time.Duration) float64 {
	factor, errors := ejectFactor, ejectErrorRate
	if h.Ejected {
		factor, errors = restoreFactor, restoreErrorRate
	}
	worst := h.ErrorRate / errors
	if h.Ejected && h.AwaitingProbe {
		worst = max(worst, 1)
	}
	worst = max(worst, h.latencyScore(h.FirstToken, first, factor, minEjectFirstToken))
	worst = max(worst, h.latencyScore(h.Spacing, spacing, factor, minEjectSpacing))
	worst = max(worst, h.latencyScore(h.OldestUnanswered, first, factor*overdueFirstTokens, minEjectUnanswered))
	return max(worst, h.latencyScore(h.SinceToken, spacing, factor*overdueSpacings, minEjectSinceToken))
}

// latencyScore returns the ratio of a latency to a multiple of a reference. It is 0
// without a reference, and for an upstream that is not ejected also when the
// latency is below least.
func (h *Health) latencyScore(value, reference time.Duration, factor float64, least time.Duration) float64 {
	if reference <= 0 || !h.Ejected && value < least {
		return 0
	}
	return float64(value) / (factor * float64(reference))
}

// Medians returns the lower medians of the known latencies. With the upper ones, a
// slow half of the upstreams would become the reference.
func Medians(list []Health) (first, spacing time.Duration) {
	return median(list, func(h *Health) time.Duration { return h.FirstToken }),
		median(list, func(h *Health) time.Duration { return h.Spacing })
}

// median returns the lower median of the latencies that are not 0, or 0 when there
// are none.
func median(list []Health, latency func(*Health) time.Duration) time.Duration {
	known := make([]time.Duration, 0, len(list))
	for i := range list {
		if v := latency(&list[i]); v > 0 {
			known = append(known, v)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
