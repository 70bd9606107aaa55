// Package route decides where, when and whether work runs on the upstreams.
// Every decision is a function of a snapshot and of the time that its caller
// passes in; the package starts no goroutine, takes no lock and does no I/O.
// Package upstream gathers the snapshots and carries the decisions out.
package route

import (
	"math"
	"time"
)

// Report is what an upstream said about its own load.
type Report struct {
	// Running and Waiting count requests of all instances.
	Running int
	Waiting int
	// Age is the time since the report was true.
	Age time.Duration
	// Known is false when there is no report.
	Known bool
}

// Candidate is what an instance knows of one upstream when it places a
// request. The instance's own observations beat the upstream's report.
type Candidate struct {
	// Key is a hash of the upstream's identifier.
	Key uint64
	// Closed is set when the upstream takes no new work.
	Closed bool
	// Held is set while free slots are left to batch work of others.
	Held bool
	// Distance is the one-way latency to the upstream.
	Distance time.Duration
	// Slots is the number of requests that the upstream runs at once; Limit is
	// how many of them online work may use now.
	Slots int
	Limit int
	// Online, Batch and Long count this instance's requests in flight; Long is
	// part of Online.
	Online int
	Batch  int
	Long   int
	// PeerOnline and PeerBatch count those of other instances.
	PeerOnline int
	PeerBatch  int
	// FirstToken is the observed time to the first token, 0 when unknown.
	FirstToken time.Duration
	// Spacing is the observed time between tokens, 0 when unknown.
	Spacing time.Duration
	// Unanswered counts this instance's requests without a first token.
	Unanswered int
	// OldestUnanswered is the age of the oldest request without a first token.
	OldestUnanswered time.Duration
	// SinceToken is the longest time since the last token of a stream.
	SinceToken time.Duration
	Report     Report
}

// OnlineTotal counts the online requests of all instances.
func (c *Candidate) OnlineTotal() int { return c.Online + c.PeerOnline }

// BatchTotal counts the batch requests of all instances.
func (c *Candidate) BatchTotal() int { return c.Batch + c.PeerBatch }

// reportHalfLife is the age at which a report counts half.
const reportHalfLife = 500 * time.Millisecond

// Occupancy estimates the requests in flight on the upstream. A report that
// shows more than is known otherwise raises the estimate, the less the older
// it is; a report never lowers it.
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
	// overdueFirstTokens is how many expected times to the first token a
	// request may wait before its age counts against the upstream.
	overdueFirstTokens = 1.5
	// overdueSpacings is the same for the time between tokens.
	overdueSpacings = 1.5
	// overdueFactor is what an overdue token time costs a new request. A stall
	// of unknown length is expected to last as long again.
	overdueFactor = 2
)

// Cost estimates the time until a new request has its first token. prior is
// the time to the first token of an upstream that has not been observed.
func (c *Candidate) Cost(prior time.Duration) time.Duration {
	base := c.base(prior)
	slots := float64(max(c.Slots, 1))
	load := c.Occupancy() / slots
	cost := time.Duration(float64(base) * (1 + load + unansweredCost*float64(c.Unanswered)))
	if load > 1 {
		cost += time.Duration((load - 1) * slots * float64(base))
	}
	return cost + c.stall(base)
}

const (
	// unansweredCost is the share of the time to the first token by which each
	// request whose prompt is still computed delays the next one.
	unansweredCost = 0.3
	// ordinarySpread is how far over the prior an observed time to the first
	// token may be before it counts: averages of few requests differ by chance,
	// and following them sends bursts to the same upstream.
	ordinarySpread = 1.5
)

// base is the time to the first token without load, as far as it is out of
// the ordinary.
func (c *Candidate) base(prior time.Duration) time.Duration {
	if prior == 0 {
		prior = c.FirstToken
	}
	excess := c.FirstToken - time.Duration(ordinarySpread*float64(prior))
	return prior + max(excess, 2*c.Distance)
}

// stall is the expected time until an upstream goes on that has left requests
// without a token for longer than expected. It grows steadily from the moment
// a token is overdue, so that new requests turn away within a few token times.
func (c *Candidate) stall(base time.Duration) time.Duration {
	owed := overdue(c.OldestUnanswered, base, overdueFirstTokens)
	owed = max(owed, overdue(c.SinceToken, c.Spacing, overdueSpacings))
	return overdueFactor * owed
}

func overdue(age, expected time.Duration, factor float64) time.Duration {
	if expected == 0 {
		return 0
	}
	return max(age-time.Duration(factor*float64(expected)), 0)
}
