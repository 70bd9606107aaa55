package upstream

import (
	"slices"
	"time"

	"github.com/daisylb/daisylb/route"
)

// queue holds the online calls that wait for a slot of a service, in the order
// of weighted fair sharing among accounts. It is guarded by the scheduler's
// lock.
type queue struct {
	accounts []string
	tenants  []route.Tenant
	waiters  [][]*waiter
	waiting  int
	// served is the virtual time of the account that was served last.
	served float64
}

func (q *queue) tenant(account string, weight int) int {
	if i := slices.Index(q.accounts, account); i >= 0 {
		return i
	}
	q.accounts = append(q.accounts, account)
	q.tenants = append(q.tenants, route.Tenant{Weight: max(weight, 1), Virtual: q.served})
	q.waiters = append(q.waiters, nil)
	return len(q.accounts) - 1
}

func (q *queue) push(w *waiter) {
	i := q.tenant(w.account, w.weight)
	q.waiters[i] = append(q.waiters[i], w)
	q.tenants[i].Waiting++
	q.waiting++
}

// ahead returns how many requests are served before the next one of an
// account.
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

// front returns the waiter that is served next, or nil: the first of the account
// whose turn it is, in the order of route.FirstOnline.
func (q *queue) front(now time.Time, first time.Duration) *waiter {
	i := route.Next(q.tenants)
	if i < 0 {
		return nil
	}
	waiters := q.waiters[i]
	return waiters[route.FirstOnline(len(waiters), func(j int) route.OnlineWork { return waiters[j].online }, now, first)]
}

// late counts the waiters that can't be on time any more.
func (q *queue) late(now time.Time, first time.Duration) (n int) {
	for _, waiters := range q.waiters {
		for _, w := range waiters {
			if w.online.Late(now, first) {
				n++
			}
		}
	}
	return n
}

// pop takes a waiter out of the queue after it was served.
func (q *queue) pop(w *waiter) {
	i := slices.Index(q.accounts, w.account)
	t := &q.tenants[i]
	q.served = max(t.Virtual, q.served)
	t.Virtual = t.Advance(t.Virtual)
	q.take(i, slices.Index(q.waiters[i], w))
}

// remove takes a waiter out; it does nothing when the waiter is not queued.
func (q *queue) remove(w *waiter) {
	i := slices.Index(q.accounts, w.account)
	if i < 0 {
		return
	}
	if j := slices.Index(q.waiters[i], w); j >= 0 {
		q.take(i, j)
	}
}

func (q *queue) take(i, j int) {
	q.waiters[i] = slices.Delete(q.waiters[i], j, j+1)
	q.tenants[i].Waiting--
	q.waiting--
	if q.tenants[i].Waiting > 0 {
		return
	}
	q.accounts = slices.Delete(q.accounts, i, i+1)
	q.tenants = slices.Delete(q.tenants, i, i+1)
	q.waiters = slices.Delete(q.waiters, i, i+1)
}
