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
	// stallFirstTokens is how many expected times to the first token a request
	// may wait before its age counts against the upstream.
	stallFirstTokens = 3
	// stallSpacings is the same for the time between tokens.
	stallSpacings = 8
)

// Cost estimates the time until a new request has its first token. prior is
// the time to the first token of an upstream that has not been observed.
func (c *Candidate) Cost(prior time.Duration) time.Duration {
	base := c.FirstToken
	if base == 0 {
		base = prior + 2*c.Distance
	}
	slots := float64(max(c.Slots, 1))
	load := c.Occupancy() / slots
	cost := time.Duration(float64(base) * (1 + load))
	if load > 1 {
		cost += time.Duration((load - 1) * slots * float64(base))
	}
	return cost + c.stall(base)
}

// stall is the time that the upstream owes to requests which it leaves without
// a token for longer than expected. A stall of unknown length is expected to
// last as long again.
func (c *Candidate) stall(base time.Duration) time.Duration {
	var owed time.Duration
	if c.OldestUnanswered > stallFirstTokens*base {
		owed = c.OldestUnanswered
	}
	if c.Spacing > 0 && c.SinceToken > stallSpacings*c.Spacing {
		owed = max(owed, c.SinceToken)
	}
	return 2 * owed
}
