package route

import (
	"math"
	"time"
)

// Length estimates how long the answers of a service are. The zero value knows
// nothing. It is a value; its caller stores it.
type Length struct {
	// Median is the estimated median length in tokens.
	Median float64
	// Seen counts the answers, up to lengthWarmup.
	Seen int
}

const (
	// lengthWarmup is the number of answers before the estimate is used.
	lengthWarmup = 16
	// lengthStep is the relative step of the estimate per answer.
	lengthStep = 0.05
	// longFactor is how many medians make an answer long.
	longFactor = 4
	// bytesPerToken converts the size of a prompt.
	bytesPerToken = 4
	// prefillTokens is how many prompt tokens cost as much as a generated one.
	prefillTokens = 50
)

// Observe returns the estimate after an answer of the given length.
func (l Length) Observe(tokens int) Length {
	observed := float64(tokens)
	if l.Seen < lengthWarmup {
		l.Seen++
		l.Median += (observed - l.Median) / float64(l.Seen)
		return l
	}
	step := max(l.Median*lengthStep, 1)
	switch {
	case observed > l.Median:
		l.Median = min(l.Median+step, observed)
	case observed < l.Median:
		l.Median = max(l.Median-step, observed)
	}
	return l
}

// Estimate returns the expected work of a request in generated tokens. limit
// is the number of tokens asked for, 0 when there is none; history is the
// estimate for the account.
func Estimate(limit, promptBytes int, history Length) float64 {
	work := history.Median
	if limit > 0 {
		work = float64(limit)
		if history.Seen == lengthWarmup {
			// Callers ask for more than they use; history tells how much.
			work = min(work, max(history.Median*longFactor, 1)+work/longFactor)
		}
	}
	return work + float64(promptBytes)/bytesPerToken/prefillTokens
}

// IsLong reports whether work is long for a service.
func IsLong(work float64, service Length) bool {
	return service.Seen == lengthWarmup && work > longFactor*service.Median
}

// LongLimit returns how many of an upstream's slots long work may take when
// reserve slots are kept for short work; a quarter is kept at least.
func LongLimit(slots, reserve int) int { return max(slots-max(slots/4, reserve, 1), 1) }

// Peak follows the highest recent demand. It is a value; its caller stores it.
type Peak struct {
	Value float64
	At    time.Time
}

// peakHalfLife is the time in which a peak fades by half.
const peakHalfLife = 10 * time.Second

// Observe returns the peak at now with a present demand.
func (p Peak) Observe(now time.Time, demand int) Peak {
	faded := p.Value * math.Exp2(-float64(now.Sub(p.At))/float64(peakHalfLife))
	return Peak{max(faded, float64(demand)), now}
}

// ShortReserve returns how many slots of each of n upstreams are kept for
// short work of which the peak ran at once, with one slot to spare.
func (p Peak) ShortReserve(n int) int {
	return int(math.Ceil(p.Value/float64(max(n, 1)))) + 1
}
