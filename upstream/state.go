package upstream

import (
	"slices"
	"strings"
)

// State is the dispatcher's part of the state dump.
type State struct {
	// DocumentVersion is the version that the dispatcher routes by.
	DocumentVersion uint64 `json:"document_version"`
	// InFlight counts calls that have not returned, waiting ones included.
	InFlight int `json:"in_flight"`
	// WaitingOnline and WaitingBatch count calls that wait for a slot.
	WaitingOnline int `json:"waiting_online"`
	WaitingBatch  int `json:"waiting_batch"`
	// Upstreams by id.
	Upstreams []UpstreamState `json:"upstreams"`
}

// UpstreamState is one upstream as this instance sees it.
type UpstreamState struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Online  int    `json:"online"`
	Batch   int    `json:"batch"`
	Leaving bool   `json:"leaving"`
}

// State returns a copy of the present state.
func (d *Dispatcher) State() State {
	f := d.fleet.Load()
	state := State{InFlight: d.InFlight()}
	if f.document != nil {
		state.DocumentVersion = f.document.Version
	}
	d.sched.mu.Lock()
	defer d.sched.mu.Unlock()
	state.WaitingOnline = len(d.sched.online)
	state.WaitingBatch = len(d.sched.batch)
	for _, t := range f.targets {
		state.Upstreams = append(state.Upstreams, UpstreamState{
			ID:      t.id,
			Address: t.address,
			Slots:   t.terms.Load().Slots,
			Online:  len(t.slots) - t.batch,
			Batch:   t.batch,
			Leaving: t.leaving(),
		})
	}
	slices.SortFunc(state.Upstreams, func(a, b UpstreamState) int { return strings.Compare(a.ID, b.ID) })
	return state
}
