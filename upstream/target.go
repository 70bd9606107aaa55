package upstream

import (
	"sync/atomic"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// target is one upstream as this instance sees it. The fields below "guarded"
// are guarded by the scheduler's lock.
type target struct {
	id      string
	address string
	terms   atomic.Pointer[terms]
	report  atomic.Pointer[loadReport]

	// guarded
	slots []*slot
	batch int
	down  time.Time
}

// terms is what the document says about an upstream.
type terms struct {
	contract.Upstream
	distance time.Duration
	// model is set when the upstream is an engine, which reports its load.
	model bool
}

func newTarget(id, address string) *target {
	return &target{id: id, address: address}
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
