package route

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRunning is the highest number of running requests that is told apart; an
	// upstream with more slots shows the same above.
	maxRunning = 64
	// speedTime is the time constant of a learned speed. It is less than an answer takes:
	// the answers that run when an upstream slows down must show it, since few follow.
	speedTime = 600 * time.Millisecond
	// curveTime is that of a service's curve. It is much longer, so that the slowdown of
	// one upstream is not taken for an effect of load.
	curveTime = 20 * time.Second
	// rateTime is that of an upstream's rate at one number of running requests.
	rateTime = 1500 * time.Millisecond
	// maxSampleTime bounds the time for which one sample stands after a time without any.
	maxSampleTime = 250 * time.Millisecond
	// speedHalfLife is the time in which a speed without samples moves half of the way
	// to 1. For placement it does so within trialHalfLife, so that an upstream that gets
	// no request because it was slow is soon tried again.
	speedHalfLife = 20 * time.Second
	trialHalfLife = 5 * time.Second
	// usualAge is how old the last sample of an upstream may be that counts for the usual
	// speed of the service.
	usualAge = 5 * time.Second
	// minSpeed and maxSpeed bound a learned speed. Upstreams of one service have been
	// seen at 0.55 to 1.2 times the usual speed.
	minSpeed, maxSpeed = 0.1, 4.0
)

// approach returns the weight of a sample that stands for elapsed under a time constant.
func approach(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(min(elapsed, maxSampleTime))/float64(constant))
}

// smoothed is a moving average over time. The zero value has no sample.
type smoothed struct {
	value     float64
	updatedAt time.Time
	samples   int
}

// The first samples are averaged equally. A curve takes more, since the speeds of the
// upstreams that they come from are not known yet.
const (
	settleSamples      = 4
	settleCurveSamples = 40
)

// observe adds a sample; the first settle ones have equal weights.
func (s *smoothed) observe(now time.Time, v float64, constant time.Duration, settle int) {
	weight := approach(now.Sub(s.updatedAt), constant)
	s.samples++
	if s.samples <= settle {
		weight = max(weight, 1/float64(s.samples))
	}
	s.value += weight * (v - s.value)
	s.updatedAt = now
}

// LoadCurve is the time between events at an upstream of usual speed, by the number of
// requests that run there. A service has one, so that the effect of load is not taken for
// slowness. The zero value is unknown. It is not safe for concurrent use.
type LoadCurve struct {
	spacing [maxRunning + 1]smoothed
}

// Expected returns the time between events with n requests running, that of the nearest
// known number if n has not been seen. It returns 0 if nothing is known.
func (c *LoadCurve) Expected(n int) time.Duration {
	n = min(max(n, 1), maxRunning)
	for d := range maxRunning {
		if n-d >= 1 && c.spacing[n-d].samples > 0 {
			return time.Duration(c.spacing[n-d].value)
		}
		if n+d <= maxRunning && c.spacing[n+d].samples > 0 {
			return time.Duration(c.spacing[n+d].value)
		}
	}
	return 0
}

// Learn updates the curve and an upstream's capacity by a sample: the time between events
// with n requests running.
func (c *LoadCurve) Learn(now time.Time, u *Capacity, n int, spacing time.Duration) {
	if n < 1 || spacing <= 0 {
		return
	}
	n = min(n, maxRunning)
	c.spacing[n].observe(now, float64(spacing)*u.Speed(now), curveTime, settleCurveSamples)
	ratio := c.spacing[n].value / float64(spacing)
	u.observe(now, n, min(max(ratio, minSpeed), maxSpeed), spacing)
}

// Normalize sets the speed of the median upstream to 1 and the curve accordingly: the
// samples only determine the ratios.
func (c *LoadCurve) Normalize(now time.Time, upstreams []*Capacity) {
	var speeds []float64
	for _, u := range upstreams {
		if u.speed.samples > 0 && now.Sub(u.speed.updatedAt) < usualAge {
			speeds = append(speeds, u.speed.value)
		}
	}
	if len(speeds) == 0 {
		return
	}
	slices.Sort(speeds)
	// The upper median: the usual speed is that of sound upstreams.
	usual := speeds[len(speeds)/2]
	for i := range c.spacing {
		c.spacing[i].value /= usual
	}
	for _, u := range upstreams {
		u.speed.value /= usual
	}
}

// Capacity is what is learned of one upstream. The zero value is an upstream of usual
// speed. It is not safe for concurrent use.
type Capacity struct {
	speed smoothed
	// spacing has the time between events by the number of running requests.
	spacing [maxRunning + 1]smoothed
	// knee is the last one found, 0 if none, at kneeAt.
	knee   int
	kneeAt time.Time
}

func (u *Capacity) observe(now time.Time, n int, ratio float64, spacing time.Duration) {
	u.speed.observe(now, ratio, speedTime, settleSamples)
	u.spacing[n].observe(now, float64(spacing), rateTime, settleSamples)
}

// Speed returns the speed relative to the service's usual one, 1 if it is not known.
func (u *Capacity) Speed(now time.Time) float64 { return u.decayed(now, speedHalfLife) }

// PlacementSpeed returns the speed by which requests are placed. It is closer to 1 than
// Speed if the last sample is some time ago.
func (u *Capacity) PlacementSpeed(now time.Time) float64 { return u.decayed(now, trialHalfLife) }

func (u *Capacity) decayed(now time.Time, halfLife time.Duration) float64 {
	if u.speed.samples == 0 {
		return 1
	}
	idle := max(now.Sub(u.speed.updatedAt)-maxSampleTime, 0)
	return 1 + (u.speed.value-1)*math.Exp2(-float64(idle)/float64(halfLife))
}

const (
	// kneeGrowth is the growth of the total rate, with two requests more, below which
	// more requests only slow each other. At a steady time between events, the growth is
	// a third from 6 to 8 requests.
	kneeGrowth = 1.05
	// kneeStep is the difference of running requests that is compared: the rates of
	// neighbouring numbers differ by less than their error.
	kneeStep = 2
	// minRateSamples is the number of samples from which a rate is compared with others.
	minRateSamples = 8
	// rateTTL is how long the rate at a number of running requests is compared with
	// others. All must show the same speed of the upstream.
	rateTTL = 3 * time.Second
	// kneeHold is how long a knee stays; then it rises by one each kneeRise, since an
	// upstream that gets no more requests shows no more than that.
	kneeHold = 5 * time.Second
	kneeRise = 2 * time.Second
	// minKneeShare is the inverse of the lowest knee as a share of the slots, minKnee
	// the lowest in requests. They prevent that an upstream is used less and less.
	minKneeShare, minKnee = 4, 2
)

// Knee returns the number of running requests beyond which the total rate of events does
// not grow, at most slots.
func (u *Capacity) Knee(now time.Time, slots int) int {
	if found := u.findKnee(now); found > 0 {
		u.knee, u.kneeAt = found, now
	}
	if u.knee == 0 {
		return slots
	}
	risen := max(now.Sub(u.kneeAt)-kneeHold, 0) / kneeRise
	return min(max(u.knee+int(risen), slots/minKneeShare, minKnee), slots)
}

// findKnee returns the lowest number of running requests with no more rate at any higher
// one, or 0 if the samples of the last time show none.
func (u *Capacity) findKnee(now time.Time) int {
	// best is the highest rate at kneeStep or more above the number at hand.
	best, knee := 0.0, 0
	for n := maxRunning; n >= 1; n-- {
		if higher := n + kneeStep; higher <= maxRunning && u.isFresh(now, higher) {
			best = max(best, u.rate(higher))
		}
		if best > 0 && u.isFresh(now, n) && best < kneeGrowth*u.rate(n) {
			knee = n
		}
	}
	return knee
}

func (u *Capacity) isFresh(now time.Time, n int) bool {
	return u.spacing[n].samples >= minRateSamples && now.Sub(u.spacing[n].updatedAt) < rateTTL
}

// rate returns the events per nanosecond of all requests with n running.
func (u *Capacity) rate(n int) float64 { return float64(n) / u.spacing[n].value }
