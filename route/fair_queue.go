package route

import "time"

// Tenant is an account with waiting requests, as weighted fair queueing sees it.
type Tenant struct {
	// Weight is the account's weight, at least 1.
	Weight int
	// Waiting is the number of the account's requests in the queue.
	Waiting int
	// Virtual is its virtual time: the number of served requests divided by the
	// weight.
	Virtual float64
	// VirtualAny is its virtual time in the choices without regard to priority. It is kept
	// apart, since strict priority lets the virtual times of the priorities drift apart.
	VirtualAny float64
	// OverShare is set when the account already uses more than its share of the slots.
	OverShare bool
}

// NextTenant returns the index of the tenant whose request is served next: the one
// with the least virtual time among those with waiting requests, or -1 when there
// is none.
func NextTenant(list []Tenant) int {
	best := -1
	for i := range list {
		if list[i].Waiting > 0 && (best < 0 || list[i].Virtual < list[best].Virtual) {
			best = i
		}
	}
	return best
}

// Advance returns the tenant's virtual time after one of its requests was served.
// floor is the least virtual time of the tenants with waiting requests, so that an
// idle tenant does not accumulate credit.
func (t Tenant) Advance(floor float64) float64 {
	return max(t.Virtual, floor) + 1/float64(max(t.Weight, 1))
}

// Shed returns the index of the tenant to shed a request of when the queue is full
// and a request of tenant arriving comes in: the tenant with the most waiting
// requests per weight, including the arriving one.
func Shed(list []Tenant, arriving int) int {
	worst, worstLoad := arriving, tenantLoad(list[arriving], 1)
	for i := range list {
		if i == arriving {
			continue
		}
		if load := tenantLoad(list[i], 0); load > worstLoad {
			worst, worstLoad = i, load
		}
	}
	return worst
}

// tenantLoad returns the number of waiting and arriving requests divided by the
// weight.
func tenantLoad(t Tenant, arriving int) float64 {
	return float64(t.Waiting+arriving) / float64(max(t.Weight, 1))
}

// ExpectedWait estimates how long a request waits behind ahead others when slots
// requests run concurrently for a service time each.
func ExpectedWait(ahead, slots int, service time.Duration) time.Duration {
	return time.Duration(float64(ahead+1) / float64(max(slots, 1)) * float64(service))
}
