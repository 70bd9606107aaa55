package upstream

import (
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// weightUnits is the weight of an account that is entitled to all of the capacity. It
// resolves the shares of several thousand accounts.
const weightUnits = 1e6

// weightOf returns the weight of an account with a share.
func weightOf(share float64) int { return int(share * weightUnits) }

// isShared reports whether the request counts towards the share of an account.
func (r *request) isShared() bool {
	return r.share > 0 && r.account != "" && r.class == contract.Online
}

// isOverShare reports whether the account of a request already uses more than its share of
// the slots. The caller holds the lock.
func (r *request) isOverShare() bool {
	if !r.isShared() {
		return false
	}
	_, slots := r.pool.slots()
	return route.IsOverShare(r.pool.running[r.account], slots, r.share)
}

// isUrgent reports whether the caller of an online request is about to leave. A request
// over the share of its account takes no slot ahead of others for that.
func (r *request) isUrgent(now time.Time) bool {
	return r.onlineWork.Urgent(now, r.pool.medianFirstToken) && !r.isOverShare()
}

// countRunning adds n to the number of slots that an account holds.
func (ps *poolState) countRunning(account string, n int) {
	if account == "" {
		return
	}
	if ps.running[account] += n; ps.running[account] <= 0 {
		delete(ps.running, account)
	}
}

// markOverShare records which waiting accounts use more than their share.
func (q *queue) markOverShare() {
	for i := range q.tenants {
		q.tenants[i].OverShare = q.waiters[i][0].isOverShare()
	}
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
	return route.FairWork{OnlineWork: w.onlineWork, Priority: w.priority}
}
