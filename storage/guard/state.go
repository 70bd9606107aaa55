package guard

// State is the state of a Guard in the state dump.
type State struct {
	Writes SideState `json:"writes"`
	Reads  SideState `json:"reads"`
}

// SideState is the state of the reads or of the writes.
type SideState struct {
	Breaker BreakerState `json:"breaker"`
	// SharePerSecond is the instance's part of the store's rate, without the lane
	// Owner, in operations per second.
	SharePerSecond float64 `json:"share_per_second"`
	// Tokens is the number of available tokens of each lane; it is negative while
	// operations wait.
	Tokens map[Lane]float64 `json:"tokens"`
}

// State returns the present state of the breakers and limits.
func (g *Guard) State() State {
	return State{Writes: g.writes.state(), Reads: g.reads.state()}
}

func (s *side) state() SideState {
	state := SideState{Breaker: s.breaker.state(), SharePerSecond: s.share(), Tokens: map[Lane]float64{}}
	for lane, limiter := range s.lanes {
		state.Tokens[lane] = limiter.Tokens()
	}
	return state
}
