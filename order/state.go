package order

import (
	"maps"
	"slices"
	"time"
)

// LeaseState is the state of a Lease for the state dump.
type LeaseState struct {
	Group string `json:"group"`
	// State is "watching" or "held".
	State string `json:"state"`
	// Token is the fencing token of the last grant to this instance.
	Token uint64 `json:"token"`
	// Until is the end of the lease. UnfencedFrom is the earliest time of an order
	// to an upstream that does not check tokens.
	Until        time.Time `json:"until,omitzero"`
	UnfencedFrom time.Time `json:"settled,omitzero"`
	// InFlight has the ids of the upstreams with an order in flight.
	InFlight []string `json:"ordering,omitempty"`
}

// State returns the present state of the lease.
func (l *Lease) State() LeaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LeaseState{
		Group:        l.options.Group,
		State:        l.machine.Current(),
		Token:        l.token,
		Until:        l.validUntil,
		UnfencedFrom: l.unfencedFrom,
		InFlight:     slices.Sorted(maps.Keys(l.inFlight)),
	}
}
