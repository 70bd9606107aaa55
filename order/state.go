package order

import (
	"maps"
	"slices"
	"time"
)

// LeaseState is what a Lease shows in the state dump.
type LeaseState struct {
	Group string `json:"group"`
	// State is "watching" or "held".
	State string `json:"state"`
	// Token is the fencing number last held.
	Token uint64 `json:"token"`
	// Until is the end of the lease; Settled the earliest time of an order to
	// an upstream that does not check tokens.
	Until   time.Time `json:"until,omitzero"`
	Settled time.Time `json:"settled,omitzero"`
	// Ordering are the upstreams with an order under way.
	Ordering []string `json:"ordering,omitempty"`
}

// State returns the lease as it is now.
func (l *Lease) State() LeaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LeaseState{
		Group:    l.options.Group,
		State:    l.machine.Current(),
		Token:    l.token,
		Until:    l.until,
		Settled:  l.settled,
		Ordering: slices.Sorted(maps.Keys(l.ordering)),
	}
}
