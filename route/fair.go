package route

import (
	"math"
	"time"
)

// FairWork describes a waiting online request of an account.
type FairWork struct {
	OnlineWork
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Begun is set if the caller has received a part of the answer.
	Begun bool
}

// anyPriorityInterval is the number of served requests among which one is chosen without
// regard to priority, by virtual times of its own. Under any order of
// priorities an account is thereby served about a third as often as all. With one of four
// it would be just the quarter that is required, and below it by chance.
const anyPriorityInterval = 3

// IgnoresPriority reports whether the next request is chosen without regard to priority.
// served is the number of requests that were served from the queue.
func IgnoresPriority(served uint64) bool {
	return served%anyPriorityInterval == anyPriorityInterval-1
}

// AdvanceAny returns the tenant's VirtualAny after one of its requests was served without
// regard to priority.
func (t Tenant) AdvanceAny() float64 { return t.VirtualAny + 1/float64(max(t.Weight, 1)) }

// IsOverShare reports whether an account that runs a number of requests uses more than its
// share of the slots of a service. Requests arrive at random: the number of running ones
// of an account that uses just its share has a standard deviation of about the root of
// its mean. The account may exceed its share by twice that.
func IsOverShare(running, slots int, share float64) bool {
	mean := share * float64(slots)
	return float64(running) >= max(mean+2*math.Sqrt(mean), 1)
}

// shareHeadroomPart is the part of the slots that is kept free of requests over the shares
// of their accounts, since such a request holds a slot for a whole answer. In a burst of one
// account at 24 instances, 0.89 of the others' requests were on time with a sixteenth, 0.91
// with a tenth and 0.94 with a sixth, at which the account itself got a tenth less.
const shareHeadroomPart = 1. / 10

// ShareHeadroom returns how many slots of a service are kept free of requests over the
// shares of their accounts.
func ShareHeadroom(slots int) int { return int(float64(slots) * shareHeadroomPart) }

// fairRank is the rank of a request of a tenant. A tenant over its share counts as late,
// so that its burst does not delay requests of others that can be on time. That does not
// apply to requests whose answer has begun.
func (t *Tenant) fairRank(w FairWork, now time.Time, first time.Duration) int {
	if t.OverShare && !w.Begun {
		return rankLate
	}
	return w.rank(now, first)
}

// NextFair returns the tenant and the index among its requests of the request to serve
// next, or -1 when no request waits. The requests of a tenant are in the order of their
// arrival. The order is that of the ranks of NextOnline, then that of the priorities,
// unless anyPriority is set, then that of the tenants' virtual times, which are those of
// VirtualAny if anyPriority is set. With one tenant that is not over its share and one
// priority it is the order of NextOnline. NextFair does not allocate.
func NextFair(tenants []Tenant, work func(tenant, i int) FairWork, now time.Time, first time.Duration, anyPriority bool) (tenant, index int) {
	tenant, index = -1, -1
	bestRank, bestPriority, bestVirtual := 0, 0, 0.0
	for t := range tenants {
		virtual := tenants[t].Virtual
		if anyPriority {
			virtual = tenants[t].VirtualAny
		}
		for i := range tenants[t].Waiting {
			w := work(t, i)
			rank, priority := tenants[t].fairRank(w, now, first), w.Priority
			if anyPriority {
				priority = 0
			}
			better := tenant < 0 || rank < bestRank || rank == bestRank && (priority < bestPriority ||
				priority == bestPriority && virtual < bestVirtual)
			if better {
				tenant, index, bestRank, bestPriority, bestVirtual = t, i, rank, priority, virtual
			}
			if rank == rankUrgent && priority <= 0 {
				break // No other request of the tenant comes before this one.
			}
		}
	}
	return tenant, index
}
