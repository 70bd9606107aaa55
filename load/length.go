package load

import (
	"math"
	"math/rand/v2"

	"github.com/daisylb/daisylb/settings"
)

// maxLength bounds every drawn length.
const maxLength = 1 << 20

// Length is a distribution of lengths: a log-normal body and a Pareto tail. The
// share TailShare of the lengths comes from the tail. A field that is 0 has its
// default.
type Length struct {
	// Median is the median of the body; required.
	Median float64 `json:"median"`
	// Sigma is the standard deviation of the logarithm of the body. With 0 all
	// lengths of the body are equal.
	Sigma float64 `json:"sigma"`
	// TailShare is the probability that a length is drawn from the tail, 0 to
	// 1.
	TailShare float64 `json:"tail_share"`
	// TailFactor is the smallest length of the tail, in multiples of Median;
	// default 10.
	TailFactor float64 `json:"tail_factor"`
	// TailExponent is the exponent of the tail; default 1.5.
	TailExponent float64 `json:"tail_exponent"`
	// Max bounds every length; default 20 times Median.
	Max int `json:"max"`
}

// Defaults of Length. defaultMaxMedians is in multiples of the median.
const (
	defaultTailFactor   = 10
	defaultTailExponent = 1.5
	defaultMaxMedians   = 20
)

// Check implements settings.Rules.
func (l Length) Check(c *settings.Checker) {
	settings.Between(c.Field("median"), l.Median, 1, maxLength)
	settings.Between(c.Field("sigma"), l.Sigma, 0, 5)
	settings.Between(c.Field("tail_share"), l.TailShare, 0, 1)
	settings.Between(c.Field("tail_factor"), l.TailFactor, 0, maxLength)
	settings.Between(c.Field("tail_exponent"), l.TailExponent, 0, 10)
	settings.Between(c.Field("max"), l.Max, 0, maxLength)
}

// draw returns a length of at least 1.
func (l Length) draw(random *rand.Rand) int {
	length := l.Median * math.Exp(l.Sigma*random.NormFloat64())
	// Both numbers are always drawn, so that the lengths that follow do not
	// depend on whether this one is from the tail.
	inTail, tailDraw := random.Float64() < l.TailShare, 1-random.Float64()
	if inTail {
		factor := orDefault(l.TailFactor, defaultTailFactor)
		exponent := orDefault(l.TailExponent, defaultTailExponent)
		length = l.Median * factor * math.Pow(tailDraw, -1/exponent)
	}
	bound := orDefault(float64(l.Max), l.Median*defaultMaxMedians)
	return int(math.Round(min(max(length, 1), bound)))
}

func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}
