package upstream

import (
	"time"

	"github.com/daisylb/daisylb/route"
)

// weightUnits is the weight of an account that is entitled to all of the capacity. It
// resolves the shares of several thousand accounts.
const weightUnits = 1e6

// weightOf returns the weight of an account with a share.
func weightOf(share float64) int { return int(share * weightUnits) }

// hasHeadroom reports whether more slots are free than are kept for requests within the
// shares of their accounts. The caller holds the lock.
func (p *pool) hasHeadroom(now time.Time) bool {
	free, slots := 0, 0
	for _, t := range p.open {
		c := t.candidate(now, p.medianFirstToken)
		free += max(c.Limit-c.OnlineTotal(), 0)
		slots += c.Slots
	}
	return free > route.ShareHeadroom(slots)
}

// ignoresPriority reports whether the next waiter is chosen without regard to priority. The
// priorities are all the same unless the accounts have shares.
func (q *queue) ignoresPriority() bool {
	return q.waiting > 0 && q.waiters[0][0].share > 0 && route.IgnoresPriority(q.served)
}

// keepVirtual records the virtual times of account i, which waits no more.
func (q *queue) keepVirtual(i int) {
	if q.waiting == 0 {
		clear(q.left)
		return
	}
	if q.left == nil {
		q.left = map[string]route.Tenant{}
	}
	q.left[q.accounts[i]] = q.tenants[i]
}

// work describes waiter i of a tenant.
func (q *queue) work(tenant, i int) route.FairWork {
	w := q.waiters[tenant][i]
	return route.FairWork{OnlineWork: w.onlineWork, Priority: w.priority, Begun: w.begun}
}
