// Package route makes the placement decisions: which upstream runs a request, when
// it runs and whether it is admitted, retried or preempted.
//
// Every decision is a function of a snapshot and of the time that is passed in. The
// package starts no goroutine, takes no lock and does no I/O. Package upstream
// collects the snapshots and carries the decisions out.
package route

import (
	"math"
	"time"
)

// Report is the load that an upstream reported of itself.
type Report struct {
	// Running and Waiting count the requests of all instances.
	Running int
	Waiting int
	// Age is the time since the report was taken.
	Age time.Duration
	// Known is false when there is no report.
	Known bool
}

// Candidate is an instance's view of one upstream when it places a request. The
// instance's own observations take precedence over the upstream's report.
type Candidate struct {
	// Key is a hash of the upstream's identifier.
	Key uint64
	// Closed is set when the upstream must not be given new work.
	Closed bool
	// Held is set while this instance leaves the upstream's free slots to requests
	// that wait at other instances.
	Held bool
	// Distance is the one-way network latency to the upstream.
	Distance time.Duration
	// LoadUncertain is set while the instance has used the upstream for so short a time
	// that it may not know the load of all peers there. Answers counts its requests that
	// have got a first token since then.
	LoadUncertain bool
	Answers       int
	// Slots is the number of requests that the upstream runs concurrently. Limit is
	// the adaptive concurrency limit, at most Slots.
	Slots int
	Limit int
	// Online, Batch and Long count this instance's requests in flight. Long
	// requests are part of Online.
	Online int
	Batch  int
	Long   int
	// PeerOnline and PeerBatch count the requests of other instances in flight.
	PeerOnline int
	PeerBatch  int
	// FirstToken is the average time to the first token, 0 when unknown.
	FirstToken time.Duration
	// Spacing is the average time between tokens, 0 when unknown.
	Spacing time.Duration
	// Unanswered counts this instance's requests without a first token.
	Unanswered int
	// OldestUnanswered is the age of the oldest online request without a first
	// token.
	OldestUnanswered time.Duration
	// SinceToken is the longest time since the last token among the upstream's
	// streams.
	SinceToken time.Duration
	Report     Report
	// Knee is the learned number of requests beyond which the upstream's total rate does
	// not grow, 0 when unknown. Slowdown is the expected time between events with one
	// more request, relative to that of a lone request at an upstream of usual speed, 0
	// when unknown. ErrorRate is the fraction of attempts that failed, if the others are
	// known.
	Knee      int
	Slowdown  float64
	ErrorRate float64
}

// OnlineTotal returns the number of online requests of all instances.
func (c *Candidate) OnlineTotal() int { return c.Online + c.PeerOnline }

// BatchTotal returns the number of batch requests of all instances.
func (c *Candidate) BatchTotal() int { return c.Batch + c.PeerBatch }

// AwaitsAnswers reports whether the instance gives the upstream no further request until it
// has answered. The instance begins with one request at an upstream of uncertain load, and
// has one more in flight for each answer.
func (c *Candidate) AwaitsAnswers() bool {
	return c.LoadUncertain && c.Online+c.Batch > c.Answers
}

// reportHalfLife is the age at which the weight of a report has halved.
const reportHalfLife = 500 * time.Millisecond

// Occupancy estimates the number of requests in flight on the upstream. A report of
// more requests than the instance knows of raises the estimate, with a weight that
// falls with its age. A report never lowers the estimate.
func (c *Candidate) Occupancy() float64 {
	known := float64(c.OnlineTotal() + c.BatchTotal())
	reported := float64(c.Report.Running + c.Report.Waiting)
	if !c.Report.Known || reported <= known {
		return known
	}
	weight := math.Exp2(-float64(c.Report.Age) / float64(reportHalfLife))
	return known + weight*(reported-known)
}

const (
	// overdueFirstTokens is the wait for a first token, in multiples of the
	// expected time, from which a request counts as overdue.
	overdueFirstTokens = 1.5
	// overdueSpacings is the same for the time between tokens.
	overdueSpacings = 1.5
	// stallFactor converts the time by which a token is overdue into the cost of a
	// new request: a stall of unknown length is expected to last as long again.
	stallFactor = 2
)

// Cost estimates the time to the first token of a new request. prior is the time to
// the first token of an upstream without observations.
func (c *Candidate) Cost(prior time.Duration) time.Duration {
	base := c.baseFirstToken(prior)
	slots := float64(max(c.Slots, 1))
	if c.Knee > 0 {
		slots = float64(c.Knee)
	}
	load := c.Occupancy() / slots
	cost := time.Duration(float64(base) * (1 + load + prefillDelayShare*float64(c.Unanswered)))
	if load > 1 {
		cost += time.Duration((load - 1) * slots * float64(base))
	}
	if c.Slowdown > 0 {
		cost = c.learnedCost(cost, load)
	}
	return cost + c.expectedStall(base)
}

const (
	// crowding is the share by which a fully used upstream costs more beyond the linear
	// effect of its load. Without it, all instances fill fast upstreams to the last slot,
	// and requests that are sent at the same time wait there.
	crowding = 1.0
	// maxCostErrorRate bounds the error rate in the cost.
	maxCostErrorRate = 0.9
)

// learnedCost returns the cost of an upstream of known speed. The time to the first event
// and that to the end of the answer both grow with the slowdown; an attempt that fails
// costs a further one.
func (c *Candidate) learnedCost(cost time.Duration, load float64) time.Duration {
	crowded := 1 + crowding*math.Pow(min(load, 1), 4)
	return time.Duration(float64(cost) * c.Slowdown * crowded / (1 - min(c.ErrorRate, maxCostErrorRate)))
}

const (
	// prefillDelayShare is the fraction of the time to the first token by which
	// each request in prefill delays the next one.
	prefillDelayShare = 0.3
	// firstTokenTolerance is the multiple of the prior above which an observed time
	// to the first token adds to the cost. Averages of few requests differ by
	// chance, and following them would send bursts to the same upstream.
	firstTokenTolerance = 1.5
)

// baseFirstToken returns the time to the first token without load: the prior, plus
// the larger of the network round trip and the observed time above the tolerance.
func (c *Candidate) baseFirstToken(prior time.Duration) time.Duration {
	if prior == 0 {
		prior = c.FirstToken
	}
	excess := c.FirstToken - time.Duration(firstTokenTolerance*float64(prior))
	return prior + max(excess, 2*c.Distance)
}

// expectedStall returns the time for which an upstream with overdue tokens is
// expected to remain stalled. It grows continuously from the moment a token is
// overdue, so that new requests avoid the upstream within a few token times.
func (c *Candidate) expectedStall(base time.Duration) time.Duration {
	excess := overdue(c.OldestUnanswered, base, overdueFirstTokens)
	excess = max(excess, overdue(c.SinceToken, c.Spacing, overdueSpacings))
	return stallFactor * excess
}

// overdue returns by how much age is above factor times the expected time, 0 when
// there is no expected time.
func overdue(age, expected time.Duration, factor float64) time.Duration {
	if expected == 0 {
		return 0
	}
	return max(age-time.Duration(factor*float64(expected)), 0)
}
