package upstream

import (
	"slices"
	"strings"
	"time"
)

// State is the dispatcher's part of the state dump.
type State struct {
	// DocumentVersion is the version of the document in use.
	DocumentVersion uint64 `json:"document_version"`
	// InFlight counts calls that have not returned, including those that wait for a
	// slot.
	InFlight int `json:"in_flight"`
	// WaitingOnline and WaitingBatch count calls that wait for a slot.
	WaitingOnline int `json:"waiting_online"`
	WaitingBatch  int `json:"waiting_batch"`
	// Upstreams are ordered by id.
	Upstreams []UpstreamState `json:"upstreams"`
}

// UpstreamState is the state of one upstream as seen by this instance.
type UpstreamState struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Limit is the adaptive limit of online requests.
	Limit  int `json:"limit"`
	Online int `json:"online"`
	Batch  int `json:"batch"`
	// PeerOnline and PeerBatch count the requests of other instances.
	PeerOnline int `json:"peer_online"`
	PeerBatch  int `json:"peer_batch"`
	// FirstTokenMillis and SpacingMillis are observed averages.
	FirstTokenMillis float64 `json:"first_token_ms"`
	SpacingMillis    float64 `json:"spacing_ms"`
	// Speed is relative to the usual one of the service, and Knee is the number of requests
	// beyond which the rate does not grow. Both are 0 unless they are learned.
	Speed float64 `json:"speed,omitempty"`
	Knee  int     `json:"knee,omitempty"`
	// Leaving, Suspended and Ejected upstreams get no new work, apart from probes.
	Leaving   bool `json:"leaving"`
	Suspended bool `json:"suspended"`
	Ejected   bool `json:"ejected"`
}

// State returns a copy of the current state.
func (d *Dispatcher) State() State {
	state := State{InFlight: d.InFlight()}
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.document != nil {
		state.DocumentVersion = s.fleet.document.Version
	}
	ejected := map[*target]bool{}
	for _, p := range s.fleet.pools {
		state.WaitingOnline += p.shortQueue.waiting + p.poolState.longQueue.waiting
		state.WaitingBatch += len(p.batchQueue)
		for t := range p.ejected {
			ejected[t] = true
		}
	}
	now := time.Now()
	for _, t := range s.fleet.targets {
		u := t.state(now)
		u.Ejected = ejected[t]
		state.Upstreams = append(state.Upstreams, u)
	}
	slices.SortFunc(state.Upstreams, func(a, b UpstreamState) int { return strings.Compare(a.ID, b.ID) })
	return state
}

func (t *target) state(now time.Time) UpstreamState {
	return UpstreamState{
		ID:               t.id,
		Address:          t.address,
		Slots:            t.config.Load().Slots,
		Limit:            t.limit.Allowed(now),
		Online:           t.online,
		Batch:            t.batch,
		PeerOnline:       t.peers.online,
		PeerBatch:        t.peers.batch,
		FirstTokenMillis: float64(t.firstToken.Value) / float64(time.Millisecond),
		SpacingMillis:    float64(t.spacing.Value) / float64(time.Millisecond),
		Speed:            t.learned.speed,
		Knee:             t.learned.knee,
		Leaving:          t.leaving(),
		Suspended:        now.Before(t.suspendedUntil),
	}
}
