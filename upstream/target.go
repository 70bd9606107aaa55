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

// target is one upstream as this instance sees it. The fields after "guarded"
// are guarded by the scheduler's lock.
type target struct {
	id      string
	key     uint64
	address string
	// started tells incarnations of an id apart.
	started int64
	terms   atomic.Pointer[terms]
	report  atomic.Pointer[loadReport]

	// guarded

	slots  []*slot
	online int
	batch  int
	long   int
	peers  peerLoad
	// holders has the batch requests of each peer.
	holders map[string]int
	// room has, by contract.Class, the free slots that its requests may use.
	room [classes]room

	first   route.Average
	spacing route.Average
	limit   route.Limit
	// errors is the decayed share of attempts that failed.
	errors float64
	// suspended is when new work may be tried again after a refusal or a
	// connection that could not be made; failures counts these in a row.
	suspended time.Time
	failures  int
	// unreachable engines get no new work until they answer a request for their
	// load.
	unreachable bool
	// ejections counts those since the last whole answer.
	ejections int
	// probed is when the target was probed last, proven when that or another
	// request last brought a token.
	probed time.Time
	proven time.Time
}

// terms is what the document says about an upstream.
type terms struct {
	contract.Upstream
	distance time.Duration
	// model is set when the upstream is an engine, which reports its load.
	model bool
}

func newTarget(id, address string) *target {
	return &target{id: id, key: xxhash.Sum64String(id) | 1, address: address}
}

func (t *target) setContract(next *terms) { t.terms.Store(next) }

// leaving reports whether the upstream must get no new work.
func (t *target) leaving() bool {
	if t.terms.Load().Leaving {
		return true
	}
	r := t.report.Load()
	return r != nil && r.Draining
}

// candidate returns what is known of the target at now.
func (t *target) candidate(now time.Time, prior time.Duration) route.Candidate {
	terms := t.terms.Load()
	t.limit = t.limit.Resize(terms.Slots)
	c := route.Candidate{
		Key:        t.key,
		Closed:     !t.takesWork(now),
		Distance:   terms.distance,
		Slots:      terms.Slots,
		Limit:      t.limit.Allowed(),
		Online:     t.online,
		Batch:      t.batch,
		Long:       t.long,
		PeerOnline: t.peers.online,
		PeerBatch:  t.peers.batch,
		FirstToken: t.first.Faded(now, prior),
		Spacing:    t.spacing.Value,
	}
	c.Unanswered, c.OldestUnanswered, c.SinceToken = t.overdue(now)
	if r := t.report.Load(); r != nil {
		c.Report = route.Report{Running: r.Running, Waiting: r.Waiting, Age: max(now.Sub(r.TakenAt), 0), Known: true}
	}
	return c
}

// overdue returns how many requests have no first token, the age of the oldest
// online one of them, and the longest time since the last token of a stream.
func (t *target) overdue(now time.Time) (count int, unanswered, silent time.Duration) {
	for _, g := range t.slots {
		age := now.Sub(g.started)
		last := time.Duration(g.last.Load())
		if last != 0 {
			silent = max(silent, age-last)
			continue
		}
		count++
		if g.class == contract.Online {
			unanswered = max(unanswered, age)
		}
	}
	return count, unanswered, silent
}

// liveSpacing returns the mean time between tokens of the present streams, or
// 0 when there is none.
func (t *target) liveSpacing() time.Duration {
	var sum time.Duration
	streams := 0
	for _, g := range t.slots {
		if gap := g.gap.Load(); gap > 0 {
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

// drop takes a slot off the target; it reports false when that was done
// before.
func (t *target) drop(g *slot) bool {
	i := slices.Index(t.slots, g)
	if i < 0 {
		return false
	}
	t.slots = slices.Delete(t.slots, i, i+1)
	t.count(g, -1)
	return true
}

func (t *target) count(g *slot, n int) {
	if g.class == contract.Batch {
		t.batch += n
		return
	}
	t.online += n
	if g.long {
		t.long += n
		return
	}
	g.pool.shortRunning += n
}

// slot is the right of one attempt to run on an upstream, and what was
// observed of it.
type slot struct {
	target  *target
	pool    *pool
	class   contract.Class
	long    bool
	firm    bool
	started time.Time
	// expected is the estimated number of tokens.
	expected int
	work     route.BatchWork
	load     placement
	ctx      context.Context
	cancel   context.CancelCauseFunc

	// first and last are the times of the first and the last token since
	// started, in nanoseconds; 0 before the first. gap is the moving average of
	// the time between tokens. One goroutine writes them.
	first  atomic.Int64
	last   atomic.Int64
	gap    atomic.Int64
	tokens atomic.Int64
}

// gapShift makes the weight of a new gap 1/4.
const gapShift = 2

// token notes a token at now.
func (g *slot) token(now time.Time) {
	since := int64(max(now.Sub(g.started), 1))
	last := g.last.Load()
	switch gap := g.gap.Load(); {
	case last == 0:
		g.first.Store(since)
	case gap == 0:
		g.gap.Store(max(since-last, 1))
	default:
		g.gap.Store(max(gap+(since-last-gap)>>gapShift, 1))
	}
	g.last.Store(since)
	g.tokens.Add(1)
}

// workAt returns what is left of a batch attempt's work.
func (g *slot) workAt(now time.Time) route.BatchWork {
	return route.BatchWork{Due: g.work.Due, Left: max(g.work.Left-now.Sub(g.started), 0)}
}

// placement returns what is known of the load.
func (t *target) placement(now time.Time) placement {
	p := placement{online: t.online + t.peers.online, batch: t.batch + t.peers.batch, slots: t.terms.Load().Slots}
	if r := t.report.Load(); r != nil {
		p.reportAge = now.Sub(r.TakenAt)
	}
	return p
}
