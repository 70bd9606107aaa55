package instance

import (
	"cmp"
	"slices"
)

// ring selects the members that this instance probes. The members are arranged
// on several hash rings, each in the order of a different hash; the neighbours
// are the next live member on each ring. So each member is watched by as many
// others as it watches, or fewer if rings share a neighbour. All instances with
// the same members agree on who watches whom, and connections between
// neighbours are reused.
type ring struct {
	valid      bool
	neighbours []handle
	next       int
}

// ringSalt derives a different hash for each ring.
const ringSalt = 0x9e3779b97f4a7c15

// neighbour returns the next neighbour to probe, or false when there is none.
// Members that this instance suspects already are skipped, since probing a dead
// one takes longer than a period.
func (t *table) neighbour() (*record, bool) {
	if !t.ring.valid {
		t.ring.neighbours = t.neighbours()
		t.ring.valid = true
	}
	for range t.ring.neighbours {
		if r := t.records[t.nextNeighbour()]; !r.suspectedHere {
			return r, true
		}
	}
	return nil, false
}

// nextNeighbour returns the next neighbour of the current round. The order is
// shuffled before each round.
func (t *table) nextNeighbour() handle {
	n := len(t.ring.neighbours)
	if t.ring.next >= n {
		t.ring.next = 0
		t.random.Shuffle(n, func(i, j int) {
			t.ring.neighbours[i], t.ring.neighbours[j] = t.ring.neighbours[j], t.ring.neighbours[i]
		})
	}
	h := t.ring.neighbours[t.ring.next]
	t.ring.next++
	return h
}

// neighbours returns the members that this instance watches.
func (t *table) neighbours() []handle {
	return t.nearest(func(own, other uint64) uint64 { return other - own })
}

// watchers returns the members that watch this instance.
func (t *table) watchers() []handle {
	return t.nearest(func(own, other uint64) uint64 { return own - other })
}

// nearest returns the live member at the smallest distance on each ring, or all
// live members when there are no more of them than rings.
func (t *table) nearest(distance func(own, other uint64) uint64) []handle {
	var live []handle
	for _, r := range t.order {
		if r.member.Health != Dead {
			live = append(live, r.handle)
		}
	}
	if len(live) <= t.options.Neighbours {
		return live
	}
	var chosen []handle
	for i := range t.options.Neighbours {
		salt := uint64(i+1) * ringSalt
		own := mix(uint64(t.self.handle) ^ salt)
		best := slices.MinFunc(live, func(a, b handle) int {
			return cmp.Compare(distance(own, mix(uint64(a)^salt)), distance(own, mix(uint64(b)^salt)))
		})
		if !slices.Contains(chosen, best) {
			chosen = append(chosen, best)
		}
	}
	return chosen
}

// randomOwnSuspect returns a random suspect whose suspicion this instance
// raised.
func (t *table) randomOwnSuspect() (*record, bool) {
	return t.pickRandom(func(r *record) bool { return r.suspectedHere && r.member.Health == Suspect })
}

// nonMember returns a random listed instance that is not a live member and its
// address. Dead members that were reported alive go first, listed or not.
func (t *table) nonMember() (handle, string, bool) {
	if r, ok := t.pickRandom(func(r *record) bool { return r.recheck && r.member.Health == Dead }); ok {
		return r.handle, r.member.PeerAddress, true
	}
	type listedInstance struct {
		handle  handle
		address string
	}
	var all []listedInstance
	for h, c := range t.candidates {
		all = append(all, listedInstance{h, c.PeerAddress})
	}
	slices.SortFunc(all, func(a, b listedInstance) int { return cmp.Compare(a.handle, b.handle) })
	for _, r := range t.order {
		if r.member.Health == Dead && r.listed && r.member.State != Stopped {
			all = append(all, listedInstance{r.handle, r.member.PeerAddress})
		}
	}
	if len(all) == 0 {
		return 0, "", false
	}
	picked := all[t.random.IntN(len(all))]
	return picked.handle, picked.address, true
}

// relays returns the addresses of up to n members that can relay a probe of the
// target: one of this instance's data centre if there is one, since a partition
// between data centres must not look like a fault of this instance, and others
// at random.
func (t *table) relays(target handle, n int) []string {
	usable := func(r *record) bool { return r.handle != target && r.member.Health == Alive }
	var chosen []*record
	local := func(r *record) bool { return usable(r) && r.member.DataCentre == t.self.member.DataCentre }
	if r, ok := t.pickRandom(local); ok && n > 0 {
		chosen = append(chosen, r)
	}
	for len(chosen) < n {
		r, ok := t.pickRandom(func(r *record) bool { return usable(r) && !slices.Contains(chosen, r) })
		if !ok {
			break
		}
		chosen = append(chosen, r)
	}
	addresses := make([]string, len(chosen))
	for i, r := range chosen {
		addresses[i] = r.member.PeerAddress
	}
	return addresses
}

// pickRandom returns a random record for which match returns true.
func (t *table) pickRandom(match func(*record) bool) (*record, bool) {
	var picked *record
	matches := 0
	for _, r := range t.order {
		if !match(r) {
			continue
		}
		matches++
		if t.random.IntN(matches) == 0 {
			picked = r
		}
	}
	return picked, picked != nil
}
