package upstream

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// target is one upstream as seen by this instance. The fields below the line "guarded"
// are guarded by the scheduler's lock.
type target struct {
	id string
	// key is a hash of the id; it is never 0.
	key     uint64
	address string
	// incarnation is the upstream's start time in Unix milliseconds, which distinguishes
	// upstreams that use the same id one after another; 0 if the id is not reused.
	incarnation int64
	// createdAt is when this instance learned of the upstream.
	createdAt time.Time
	config    atomic.Pointer[upstreamConfig]
	report    atomic.Pointer[loadReport]
	// announcedLeaving is set once the upstream has announced in a response that it
	// shuts down. It is never reset: the next start is another incarnation.
	announcedLeaving atomic.Bool

	// guarded

	// usedSince is when this instance began to use the upstream, or the zero time if it
	// has no peers. answers counts the attempts that have got a first token since.
	usedSince time.Time
	answers   int
	// slots has the slots in use. online, batch and longOnline count them; longOnline
	// is part of online.
	slots      []*slot
	online     int
	batch      int
	longOnline int
	peers      peerLoad
	// batchByPeer has the number of batch requests of each peer.
	batchByPeer map[string]int
	// freeSlots has, by contract.Class, the period in which slots have been free for
	// requests of the class.
	freeSlots [classCount]freePeriod

	// firstToken is the average time to the first token, spacing that between tokens,
	// limit the adaptive limit of online requests.
	firstToken route.Average
	spacing    route.Average
	limit      route.Limit
	// errorRate is the decayed share of attempts that failed.
	errorRate float64
	// suspendedUntil is when new work may be tried again after a refusal or a
	// connection failure; failures counts these in a row.
	suspendedUntil time.Time
	failures       int
	// unreachable engines get no new work until they respond to a request for their
	// load.
	unreachable bool
	// ejections counts the ejections since the last complete answer.
	ejections int
	// lastProbeAt is when the target was last probed, lastFirstTokenAt when a probe or
	// a request last got a first token.
	lastProbeAt      time.Time
	lastFirstTokenAt time.Time

	// failedAt is when an attempt last failed. lastEventAt is when the last event of an attempt that has ended arrived.
	failedAt    time.Time
	lastEventAt time.Time
	// seen is this instance's evidence that the target does not respond, conclusion the
	// suspicion from all instances' reports.
	seen       evidence
	conclusion route.Suspicion
	// reportedAt is when any instance last reported the target, reportedOnset the time of
	// the latest silence then reported. toldHeardAt is the time of the event of which
	// peers were told.
	reportedAt, reportedOnset, toldHeardAt time.Time
	learned                                learned
}

// upstreamConfig is the document's entry for an upstream, with values derived from the
// document.
type upstreamConfig struct {
	contract.Upstream
	distance time.Duration
	// isEngine is set if the upstream serves a model and reports its load.
	isEngine bool
}

func newTarget(id, address string) *target {
	return &target{id: id, key: xxhash.Sum64String(id) | 1, address: address, createdAt: time.Now()}
}

func (t *target) setConfig(next *upstreamConfig) { t.config.Store(next) }

// leaving reports whether the upstream must not get new work, according to the document,
// to its own load report or to a response.
func (t *target) leaving() bool {
	if t.config.Load().Draining || t.announcedLeaving.Load() {
		return true
	}
	r := t.report.Load()
	return r != nil && r.Draining
}

// candidate returns what is known of the target at now. Old observations of its time to
// the first token decay to medianFirstToken, the median of the service. The caller
// holds the lock.
func (t *target) candidate(now time.Time, medianFirstToken time.Duration) route.Candidate {
	config := t.config.Load()
	t.limit = t.limit.Resize(config.Slots)
	c := route.Candidate{
		Key:           t.key,
		Closed:        !t.takesWork(now),
		Distance:      config.distance,
		LoadUncertain: t.isLoadUncertain(now),
		Answers:       t.answers,
		Slots:         config.Slots,
		Limit:         t.limit.Allowed(now),
		Online:        t.online,
		Batch:         t.batch,
		Long:          t.longOnline,
		PeerOnline:    t.peers.online,
		PeerBatch:     t.peers.batch,
		FirstToken:    t.firstToken.Decayed(now, medianFirstToken),
		Spacing:       t.spacing.Value,
	}
	c.Unanswered, c.OldestUnanswered, c.SinceToken = t.tokenDelays(now)
	if r := t.report.Load(); r != nil {
		c.Report = route.Report{Running: r.Running, Waiting: r.Waiting, Age: max(now.Sub(r.TakenAt), 0), Known: true}
	}
	t.learned.addTo(&c, t)
	return c
}

// tokenDelays returns the number of requests without a first token, the age of the
// oldest online one of them, and the longest time since the last token of a stream.
func (t *target) tokenDelays(now time.Time) (unanswered int, oldestUnanswered, sinceToken time.Duration) {
	for _, g := range t.slots {
		age := now.Sub(g.startedAt)
		last := time.Duration(g.lastTokenNanos.Load())
		if last != 0 {
			sinceToken = max(sinceToken, age-last)
			continue
		}
		unanswered++
		if g.class == contract.Online {
			oldestUnanswered = max(oldestUnanswered, age)
		}
	}
	return unanswered, oldestUnanswered, sinceToken
}

// liveSpacing returns the mean time between tokens of the running streams, or 0 if
// there are none.
func (t *target) liveSpacing() time.Duration {
	var sum time.Duration
	streams := 0
	for _, g := range t.slots {
		if gap := g.gapNanos.Load(); gap > 0 {
			sum += time.Duration(gap)
			streams++
		}
	}
	if streams == 0 {
		return 0
	}
	return sum / time.Duration(streams)
}

func (t *target) add(g *slot) {
	t.slots = append(t.slots, g)
	t.count(g, 1)
}

// drop removes a slot from the target. It reports false if the slot was removed before.
func (t *target) drop(g *slot) bool {
	i := slices.Index(t.slots, g)
	if i < 0 {
		return false
	}
	t.slots = slices.Delete(t.slots, i, i+1)
	t.count(g, -1)
	return true
}

// count adds n to the counts of a slot's class.
func (t *target) count(g *slot, n int) {
	if g.class == contract.Batch {
		t.batch += n
		return
	}
	t.online += n
	g.pool.countRunning(g.accountHash, n)
	if g.long {
		t.longOnline += n
		return
	}
	g.pool.shortRunning += n
}

// slot is the right of one attempt to run on an upstream, with what was observed of the
// attempt.
type slot struct {
	target       *target
	pool         *pool
	class        contract.Class
	long         bool
	dispatchOnce bool
	// accountHash is that of the request.
	accountHash uint32
	startedAt   time.Time
	// expectedTokens is the estimated length of the answer.
	expectedTokens int
	batchWork      route.BatchWork
	load           knownLoad
	ctx            context.Context
	cancel         context.CancelCauseFunc

	// firstTokenNanos and lastTokenNanos are the times from startedAt to the first and
	// to the last token, 0 before the first. gapNanos is the moving average of the time
	// between tokens. They are written by one goroutine.
	firstTokenNanos atomic.Int64
	lastTokenNanos  atomic.Int64
	gapNanos        atomic.Int64
	tokens          atomic.Int64
	// sentNanos is when the request for a stream was sent, 0 before. passing is set while
	// an event is passed to the caller, passedNanos is when the last one was. All are
	// set for attempts of routed services only.
	sentNanos   atomic.Int64
	passedNanos atomic.Int64
	passing     atomic.Bool
	steady      steadyGap
	// conn is the connection of an attempt that was a standby until its answer began.
	conn *connection
}

// gapShift gives a new gap a weight of 1/4 in the moving average.
const gapShift = 2

// recordToken records that a token arrived at now.
func (g *slot) recordToken(now time.Time) {
	since := int64(max(now.Sub(g.startedAt), 1))
	last := g.lastTokenNanos.Load()
	if last > 0 {
		g.steady.record(time.Duration(since - last))
	}
	switch gap := g.gapNanos.Load(); {
	case last == 0:
		g.firstTokenNanos.Store(since)
	case gap == 0:
		g.gapNanos.Store(max(since-last, 1))
	default:
		g.gapNanos.Store(max(gap+(since-last-gap)>>gapShift, 1))
	}
	g.lastTokenNanos.Store(since)
	g.tokens.Add(1)
}

// remainingWork returns what remains of a batch attempt's work.
func (g *slot) remainingWork(now time.Time) route.BatchWork {
	return route.BatchWork{Due: g.batchWork.Due, Remaining: max(g.batchWork.Remaining-now.Sub(g.startedAt), 0)}
}

// knownLoad returns what is known of the target's load at now.
func (t *target) knownLoad(now time.Time) knownLoad {
	p := knownLoad{online: t.online + t.peers.online, batch: t.batch + t.peers.batch, slots: t.config.Load().Slots}
	if r := t.report.Load(); r != nil {
		p.reportAge = now.Sub(r.TakenAt)
	}
	return p
}
