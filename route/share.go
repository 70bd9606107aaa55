package route

import "time"

// Tenant is an account with waiting requests.
type Tenant struct {
	// Weight is the account's share, at least 1.
	Weight int
	// Waiting counts its requests in the queue.
	Waiting int
	// Virtual is its virtual time: service received divided by weight.
	Virtual float64
}

// Next returns the index of the tenant whose request is served next: the one
// with the least virtual time among those that wait, or -1.
func Next(list []Tenant) int {
	best := -1
	for i := range list {
		if list[i].Waiting > 0 && (best < 0 || list[i].Virtual < list[best].Virtual) {
			best = i
		}
	}
	return best
}

// Advance returns the tenant's virtual time after a request was served; floor
// is the least virtual time of those that wait, so that an idle tenant saves
// nothing up.
func (t Tenant) Advance(floor float64) float64 {
	return max(t.Virtual, floor) + 1/float64(max(t.Weight, 1))
}

// Shed returns the index of the tenant that is refused when the queue is full
// and a request of tenant arriving comes in: the one that waits with most
// requests for its weight, the arriving request included.
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

func tenantLoad(t Tenant, arriving int) float64 {
	return float64(t.Waiting+arriving) / float64(max(t.Weight, 1))
}

// ExpectedWait estimates how long a request waits behind ahead others when
// slots requests run at once for service each.
func ExpectedWait(ahead, slots int, service time.Duration) time.Duration {
	return time.Duration(float64(ahead+1) / float64(max(slots, 1)) * float64(service))
}
