package upstream

import (
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/route"
)

// pool is one service with the subset of its upstreams that this instance uses. Apart
// from poolState it is immutable.
type pool struct {
	name    string
	service contract.Service
	targets []*target
	// poolState is carried over from one document to the next.
	*poolState
}

// retryReserve is the number of unused retries that a service may accumulate.
const retryReserve = 10

// poolState is the observed state of a service and the queues of its requests. The
// retry budget is safe for concurrent use; the rest is guarded by the scheduler's lock.
type poolState struct {
	retryBudget *retry.Budget

	// open has the targets that get new work.
	open []*target
	// ejected has the ejected targets with the time of their ejection.
	ejected map[*target]time.Time
	// suspicions has the targets that are reported as not responding.
	suspicions map[*target]route.Suspicion
	// curve is the learned effect of load on the times between events, capacities is
	// reused by every update.
	curve      route.LoadCurve
	capacities []*route.Capacity
	// health and ejectScratch are reused by every assessment.
	health       []route.Health
	ejectScratch []int

	// shortQueue and longQueue have the waiting online calls, batchQueue the waiting
	// batch calls.
	shortQueue queue
	longQueue  queue
	batchQueue []*waiter
	// shortRunning counts the short online calls that hold a slot. shortPeak is the
	// recent peak of the short online calls that held a slot or waited for one.
	shortRunning int
	shortPeak    route.Peak

	// medianFirstToken is the median of the targets' times to the first token,
	// medianSpacing that of their times between tokens.
	medianFirstToken time.Duration
	medianSpacing    time.Duration
	// batchFirstToken is the average time to the first token of batch requests.
	batchFirstToken route.Average
	// hedgeQuantile is the quantile of the time to the first token after which a
	// request is hedged.
	hedgeQuantile route.Quantile
	// lengths has the lengths of all answers, accountLengths those of each account.
	lengths        route.Length
	accountLengths map[string]route.Length
	// timePerToken is the average slot time of a completed batch request divided by its
	// expected output tokens.
	timePerToken route.Average
	// slotTime is the average time for which an online request holds a slot.
	slotTime route.Average
	// shortestRun is about the least time for which one holds a slot.
	shortestRun route.ShortestRun
	hedgeBudget route.HedgeBudget
	// placements counts the placed requests; it is the position of round robin.
	placements uint64
	// running counts the slots that each account with a share holds, by its hash, apart
	// from accounts that hold none.
	running map[uint32]int
}

func newPoolState(retryShare float64) *poolState {
	return &poolState{
		retryBudget:    retry.NewBudget(retryShare, retryReserve),
		hedgeBudget:    route.NewHedgeBudget(),
		ejected:        map[*target]time.Time{},
		suspicions:     map[*target]route.Suspicion{},
		accountLengths: map[string]route.Length{},
		running:        map[uint32]int{},
	}
}

// targetView implements route.View for a set of targets at one time.
type targetView struct {
	targets          []*target
	now              time.Time
	medianFirstToken time.Duration
	// isOnly is set if there is one target: requests then wait for it in any case.
	isOnly bool
	// held has the targets whose free slots are left to requests that wait at other
	// instances.
	held map[*target]bool
	// leftOut has the targets that are reported as not responding.
	leftOut map[*target]bool
	// steadySince is that of the request.
	steadySince time.Time
}

func (v *targetView) Len() int         { return len(v.targets) }
func (v *targetView) Key(i int) uint64 { return v.targets[i].key }
func (v *targetView) Candidate(i int) route.Candidate {
	c := v.targets[i].candidate(v.now, v.medianFirstToken)
	c.Held = v.held[v.targets[i]]
	c.Closed = c.Closed || v.leftOut[v.targets[i]]
	c.Closed = c.Closed || !v.steadySince.IsZero() && !v.targets[i].isSteady(v.steadySince)
	c.LoadUncertain = c.LoadUncertain && !v.isOnly
	return c
}

// pool returns the pool of a service of the given kind.
func (f *fleet) pool(name string, kind contract.ServiceKind) (*pool, error) {
	if f.document == nil {
		return nil, code.New(code.NoConfiguration, "there is no configuration yet")
	}
	p, ok := f.pools[name]
	if !ok || p.service.Kind != kind {
		return nil, code.New(code.UnknownService, "no %s service %q", kind, name)
	}
	return p, nil
}

// observeDemand updates the peak of short online calls.
func (ps *poolState) observeDemand(now time.Time) {
	ps.shortPeak = ps.shortPeak.Observe(now, ps.shortRunning+ps.shortQueue.waiting)
}

// slots returns how many slots of the open targets this instance's online work uses,
// and how many slots they have.
func (ps *poolState) slots() (used, all int) {
	for _, t := range ps.open {
		all += t.config.Load().Slots
		used += t.online
	}
	return used, all
}
