package route

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

// LongLimit returns how many of an upstream's slots long work may take.
func LongLimit(slots int) int { return max(slots-max(slots/4, 1), 1) }
