package relay

import "time"

// EndDetour lets the next call go to the store itself, as after the detour's
// time.
func (s *Store) EndDetour() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detour = time.Time{}
}

// ReachedDirectly reports whether the store counts as reached by this instance.
func (s *Store) ReachedDirectly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.length == 0
}
