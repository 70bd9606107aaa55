package route

import (
	"math"
	"time"
)

// Length estimates the length of the answers of a service. The zero value has no
// observation. It is a value that the user of the package stores.
type Length struct {
	// Median is the estimated median length in tokens.
	Median float64
	// Count is the number of observed answers, up to lengthWarmup.
	Count int
}

const (
	// lengthWarmup is the number of answers from which on the estimate is used.
	lengthWarmup = 16
	// lengthStep is the step of the estimate per answer, relative to its value.
	lengthStep = 0.05
	// longFactor is the multiple of the median from which an answer is long.
	longFactor = 4
	// bytesPerToken is the average size of a prompt token.
	bytesPerToken = 4
	// prefillTokens is the number of prompt tokens that cost as much as one
	// generated token.
	prefillTokens = 50
)

// Observe returns the estimate after an answer with the given number of tokens.
func (l Length) Observe(tokens int) Length {
	observed := float64(tokens)
	if l.Count < lengthWarmup {
		l.Count++
		l.Median += (observed - l.Median) / float64(l.Count)
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

// Estimate returns the expected work of a request in generated tokens. limit is the
// requested maximum number of tokens, 0 when there is none. promptBytes is the size
// of the prompt, and history is the account's estimate.
func Estimate(limit, promptBytes int, history Length) float64 {
	work := history.Median
	if limit > 0 {
		work = float64(limit)
		if history.Count == lengthWarmup {
			// Callers request more tokens than they use; the history shows how many more.
			work = min(work, max(history.Median*longFactor, 1)+work/longFactor)
		}
	}
	return work + float64(promptBytes)/bytesPerToken/prefillTokens
}

// IsLong reports whether the work of a request is long compared with the service's
// answers.
func IsLong(work float64, service Length) bool {
	return service.Count == lengthWarmup && work > longFactor*service.Median
}

// LongLimit returns how many slots of an upstream long work may use when reserve
// slots are kept for short work. At least a quarter of the slots is kept.
func LongLimit(slots, reserve int) int { return max(slots-max(slots/4, reserve, 1), 1) }

// Peak tracks the highest recent demand. It is a value that the user of the package
// stores.
type Peak struct {
	Value     float64
	UpdatedAt time.Time
}

// peakHalfLife is the time in which a peak decays by half.
const peakHalfLife = 10 * time.Second

// Observe returns the peak at now, given the present demand.
func (p Peak) Observe(now time.Time, demand int) Peak {
	decayed := p.Value * math.Exp2(-float64(now.Sub(p.UpdatedAt))/float64(peakHalfLife))
	return Peak{max(decayed, float64(demand)), now}
}

// ShortReserve returns how many slots of each of n upstreams are reserved for short
// work with this peak of concurrent requests. It includes one spare slot per
// upstream.
func (p Peak) ShortReserve(n int) int {
	return int(math.Ceil(p.Value/float64(max(n, 1)))) + 1
}
