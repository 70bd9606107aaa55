package upstream

import (
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/route"
)

// pool is one service and the subset of its upstreams that this instance uses.
// Its own fields are immutable.
type pool struct {
	name    string
	service contract.Service
	targets []*target
	// history goes on from one document to the next.
	*history
}

// retryReserve is the number of retries that a service may save up.
const retryReserve = 10

// history is what was observed of a service. The budget is safe for concurrent
// use; the rest is guarded by the scheduler's lock.
type history struct {
	budget *retry.Budget

	// open are the targets that take work in the ordinary way.
	open []*target
	// ejected targets, with the time of their ejection.
	ejected map[*target]time.Time
	health  []route.Health
	worst   []int

	short queue
	long  queue
	batch []*waiter
	// shortRunning counts the short online calls that hold a slot, shortPeak
	// the most that did or wanted to lately.
	shortRunning int
	shortPeak    route.Peak

	// prior is the median of the targets' times to the first token, spacing
	// that of the times between tokens.
	prior   time.Duration
	spacing time.Duration
	high    route.Quantile
	length  route.Length
	// lengths by account.
	lengths map[string]route.Length
	// perToken is the average time on a slot of a whole batch request by its
	// expected output tokens.
	perToken route.Average
	// occupied is the average time that a request holds a slot.
	occupied route.Average
	hedges   route.Hedges
	turn     uint64
}

func newHistory(share float64) *history {
	return &history{
		budget:  retry.NewBudget(share, retryReserve),
		hedges:  route.NewHedges(),
		ejected: map[*target]time.Time{},
		lengths: map[string]route.Length{},
	}
}

// view is a route.View over targets at one time.
type view struct {
	targets []*target
	now     time.Time
	prior   time.Duration
	// held are targets whose free slots are left to batch work of others.
	held map[*target]bool
}

func (v *view) Len() int         { return len(v.targets) }
func (v *view) Key(i int) uint64 { return v.targets[i].key }
func (v *view) Candidate(i int) route.Candidate {
	c := v.targets[i].candidate(v.now, v.prior)
	c.Held = v.held[v.targets[i]]
	return c
}

// pool returns the pool of a service.
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

// noteDemand brings the peak of short online calls up to date.
func (h *history) noteDemand(now time.Time) {
	h.shortPeak = h.shortPeak.Observe(now, h.shortRunning+h.short.waiting)
}

// slots counts the slots of the open targets, and those in use by this
// instance's online work.
func (h *history) slots() (used, all int) {
	for _, t := range h.open {
		all += t.terms.Load().Slots
		used += t.online
	}
	return used, all
}
