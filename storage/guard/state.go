package guard

// State is what a Guard shows in the state dump.
type State struct {
	Writes SideState `json:"writes"`
	Reads  SideState `json:"reads"`
}

// SideState describes the reads or the writes.
type SideState struct {
	Breaker CircuitState `json:"breaker"`
	// SharePerSecond is the instance's part of the store's rate.
	SharePerSecond float64 `json:"share_per_second"`
	// Tokens left by lane; negative while operations wait.
	Tokens map[Lane]float64 `json:"tokens"`
}

// State returns the breakers and limits as they are now.
func (g *Guard) State() State {
	return State{Writes: g.writes.state(), Reads: g.reads.state()}
}

func (s *side) state() SideState {
	state := SideState{Breaker: s.circuit.state(), SharePerSecond: s.share(), Tokens: map[Lane]float64{}}
	for lane, limiter := range s.lanes {
		state.Tokens[lane] = limiter.Tokens()
	}
	return state
}
