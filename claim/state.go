package claim

import "slices"

// ServiceState is the state of a Service as shown in the state dump.
type ServiceState struct {
	// Listed is set when the view has this instance. Only then does it own groups.
	Listed bool `json:"listed"`
	// Calls is the number of calls that this instance holds or is claiming.
	Calls int `json:"calls"`
	// Storing is the number of answers and other final states that wait for the
	// store, HeldBytes the size of the answers.
	Storing   int   `json:"storing"`
	HeldBytes int64 `json:"held_bytes"`
	// Direct is the number of rows that wait to be committed in place of an owner.
	Direct int `json:"direct"`
	// Groups are in the order of their rows.
	Groups []GroupState `json:"groups"`
}

// GroupState is the state of one group of keys.
type GroupState struct {
	// Owner is the id of the instance that should commit for the group.
	Owner string `json:"owner"`
	// Queued is the number of rows that wait at this instance for the next commit.
	Queued int `json:"queued"`
}

// State returns the present state of claims and queues.
func (s *Service) State() ServiceState {
	s.mu.Lock()
	state := ServiceState{Calls: len(s.calls), Storing: s.heldAnswers, HeldBytes: s.heldBytes}
	s.mu.Unlock()
	state.Direct = s.directCommitter.length() + s.directPacker.length()
	live := s.options.View.Live()
	state.Listed = slices.ContainsFunc(live, func(p Peer) bool { return p.ID == s.options.PeerID })
	for group := range s.groupCommitters {
		owner := ownerOf(group, live)
		queued := s.groupCommitters[group].length() + s.groupPackers[group].length()
		state.Groups = append(state.Groups, GroupState{Owner: owner.ID, Queued: queued})
	}
	return state
}
