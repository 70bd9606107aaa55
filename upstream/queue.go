package upstream

import (
	"slices"
	"time"

	"github.com/daisylb/daisylb/route"
)

// queue has the online calls that wait for a slot of a service. They are served
// in the order of route.NextFair. It is guarded by the scheduler's lock.
type queue struct {
	// accounts, tenants and waiters have one element for each account that waits.
	accounts []string
	tenants  []route.Tenant
	waiters  [][]*waiter
	waiting  int
	// virtualTime is the virtual time of the account that was served last, virtualTimeAny
	// that of the one served last without regard to priority.
	virtualTime    float64
	virtualTimeAny float64
	// left has the virtual times of the accounts with a share that wait no more, until no
	// request waits: an account does not get ahead of others by waiting with few requests
	// at a time.
	left map[string]route.Tenant
	// served counts the waiters that were served.
	served uint64
}

// tenant returns the index of an account, and adds the account if it is not queued.
func (q *queue) tenant(account string, weight int) int {
	if i := slices.Index(q.accounts, account); i >= 0 {
		return i
	}
	left := q.left[account]
	q.accounts = append(q.accounts, account)
	q.tenants = append(q.tenants, route.Tenant{
		Weight:     max(weight, 1),
		Virtual:    max(q.virtualTime, left.Virtual),
		VirtualAny: max(q.virtualTimeAny, left.VirtualAny),
	})
	q.waiters = append(q.waiters, nil)
	return len(q.accounts) - 1
}

func (q *queue) push(w *waiter) {
	i := q.tenant(w.account, w.weight)
	q.waiters[i] = append(q.waiters[i], w)
	q.tenants[i].Waiting++
	q.waiting++
}

// ahead returns how many requests are served before the next one of an account.
func (q *queue) ahead(account string, weight int) int {
	own, weights := 0, max(weight, 1)
	for i, t := range q.tenants {
		if q.accounts[i] == account {
			own = t.Waiting
			continue
		}
		weights += t.Weight
	}
	return min(q.waiting, (own+1)*weights/max(weight, 1)-1)
}

// next returns the waiter that is served next in the order of route.NextFair, or nil.
// first is the expected time from a slot to the first token.
func (q *queue) next(now time.Time, first time.Duration) *waiter {
	tenant, i := route.NextFair(q.tenants, q.work, now, first, q.ignoresPriority())
	if tenant < 0 {
		return nil
	}
	return q.waiters[tenant][i]
}

// countLate counts the waiters that can no longer be on time, and those whose account is
// over its share.
func (q *queue) countLate(now time.Time, first time.Duration) (n int) {
	for i, waiters := range q.waiters {
		for _, w := range waiters {
			if q.tenants[i].OverShare && !w.begun || w.onlineWork.Late(now, first) {
				n++
			}
		}
	}
	return n
}

// pop removes a waiter that was served, and advances the virtual time.
func (q *queue) pop(w *waiter) {
	i := slices.Index(q.accounts, w.account)
	t := &q.tenants[i]
	if q.ignoresPriority() {
		q.virtualTimeAny = max(t.VirtualAny, q.virtualTimeAny)
		t.VirtualAny = t.AdvanceAny()
	} else {
		q.virtualTime = max(t.Virtual, q.virtualTime)
		t.Virtual = t.Advance(t.Virtual)
	}
	q.served++
	q.removeAt(i, slices.Index(q.waiters[i], w))
}

// remove removes a waiter that was not served. It does nothing if the waiter is not
// queued.
func (q *queue) remove(w *waiter) {
	i := slices.Index(q.accounts, w.account)
	if i < 0 {
		return
	}
	if j := slices.Index(q.waiters[i], w); j >= 0 {
		q.removeAt(i, j)
	}
}

// removeAt removes waiter j of account i, and the account if it has no other.
func (q *queue) removeAt(i, j int) {
	shared := q.waiters[i][j].share > 0
	q.waiters[i] = slices.Delete(q.waiters[i], j, j+1)
	q.tenants[i].Waiting--
	q.waiting--
	if q.tenants[i].Waiting > 0 {
		return
	}
	if shared {
		q.keepVirtual(i)
	}
	q.accounts = slices.Delete(q.accounts, i, i+1)
	q.tenants = slices.Delete(q.tenants, i, i+1)
	q.waiters = slices.Delete(q.waiters, i, i+1)
}

// rejectWaiters removes all waiters of the service and wakes them without a slot. The
// caller holds the lock.
func (ps *poolState) rejectWaiters() {
	for _, q := range []*queue{&ps.shortQueue, &ps.longQueue} {
		for _, waiters := range q.waiters {
			for _, w := range waiters {
				close(w.granted)
			}
		}
		*q = queue{}
	}
	for _, w := range ps.batchQueue {
		close(w.granted)
	}
	ps.batchQueue = nil
}
