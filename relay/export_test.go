package relay

import "time"

// EndRelayPeriod lets the next call go to the store itself, as when the relay
// period has passed.
func (s *Store) EndRelayPeriod() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayUntil = time.Time{}
}

// ReachedDirectly reports whether this instance last reached the store without
// a peer.
func (s *Store) ReachedDirectly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayPeriod == 0
}
