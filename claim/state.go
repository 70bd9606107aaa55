package claim

import "slices"

// ServiceState is what a Service shows in the state dump.
type ServiceState struct {
	// Listed is set when the live view has this instance; only then does it own
	// groups.
	Listed bool `json:"listed"`
	// Calls that this instance holds or is claiming.
	Calls int `json:"calls"`
	// Storing counts results that wait for the store, HeldBytes their bytes.
	Storing   int   `json:"storing"`
	HeldBytes int64 `json:"held_bytes"`
	// Direct is the number of rows that wait to be committed in place of an
	// owner.
	Direct int `json:"direct"`
	// Groups in the order of their rows.
	Groups []GroupState `json:"groups"`
}

// GroupState describes one group of keys.
type GroupState struct {
	// Owner is the instance that should commit for the group.
	Owner string `json:"owner"`
	// Queued is the number of rows that wait here for the next commit.
	Queued int `json:"queued"`
}

// State returns the claims and queues as they are now.
func (s *Service) State() ServiceState {
	s.mu.Lock()
	state := ServiceState{Calls: len(s.calls), Storing: s.held, HeldBytes: s.heldBytes}
	s.mu.Unlock()
	state.Direct = s.direct.length() + s.directPacks.length()
	live := s.options.View.Live()
	state.Listed = slices.ContainsFunc(live, func(p Peer) bool { return p.ID == s.options.PeerID })
	for group := range s.owned {
		owner := ownerOf(group, live)
		queued := s.owned[group].length() + s.ownedPacks[group].length()
		state.Groups = append(state.Groups, GroupState{Owner: owner.ID, Queued: queued})
	}
	return state
}
