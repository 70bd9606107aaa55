package instance

import (
	"cmp"
	"slices"
)

// ring is the set of members that the own instance probes. Members stand on
// several rings, each in the order of a hash of its own; the neighbours are the
// next live member on each. So every member is watched by as many others as it
// watches, the watchers are the same on every instance that holds the same
// members, and the connections between them last.
type ring struct {
	valid      bool
	neighbours []handle
	next       int
}

// ringSalt separates the rings.
const ringSalt = 0x9e3779b97f4a7c15

// neighbour returns the next neighbour to probe, or false when there is none.
// Those that the own instance already suspects are passed over, since a probe of
// a dead one takes longer than a period.
func (t *table) neighbour() (*record, bool) {
	if !t.ring.valid {
		t.ring.neighbours = t.neighbours()
		t.ring.valid = true
	}
	for range t.ring.neighbours {
		if r := t.records[t.advance()]; !r.accused {
			return r, true
		}
	}
	return nil, false
}

// advance returns the next neighbour of a round; each round has another order.
func (t *table) advance() handle {
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

// neighbours are the members that the own instance watches.
func (t *table) neighbours() []handle {
	return t.nearest(func(own, other uint64) uint64 { return other - own })
}

// watchers are the members that watch the own instance.
func (t *table) watchers() []handle {
	return t.nearest(func(own, other uint64) uint64 { return own - other })
}

// nearest returns the live member at the smallest distance on each ring, or all
// when there are no more of them than rings.
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

// suspect returns a member that this instance accused, to remind it.
func (t *table) suspect() (*record, bool) {
	return t.draw(func(r *record) bool { return r.accused && r.member.Health == Suspect })
}

// outsider returns the address of a listed instance that is not a live member.
func (t *table) outsider() (handle, string, bool) {
	if r, ok := t.draw(func(r *record) bool { return r.recheck && r.member.Health == Dead }); ok {
		return r.handle, r.member.PeerAddress, true
	}
	type outsider struct {
		handle  handle
		address string
	}
	var all []outsider
	for h, c := range t.candidates {
		all = append(all, outsider{h, c.PeerAddress})
	}
	slices.SortFunc(all, func(a, b outsider) int { return cmp.Compare(a.handle, b.handle) })
	for _, r := range t.order {
		if r.member.Health == Dead && r.listed && r.member.State != Stopped {
			all = append(all, outsider{r.handle, r.member.PeerAddress})
		}
	}
	if len(all) == 0 {
		return 0, "", false
	}
	o := all[t.random.IntN(len(all))]
	return o.handle, o.address, true
}

// relays returns members to ask for an indirect probe of the target: one of
// the own data centre when there is one, since a cut between data centres must
// not look like a fault of the own instance, and others at random.
func (t *table) relays(target handle, n int) []string {
	fit := func(r *record) bool { return r.handle != target && r.member.Health == Alive }
	var chosen []*record
	near := func(r *record) bool { return fit(r) && r.member.DataCentre == t.self.member.DataCentre }
	if r, ok := t.draw(near); ok && n > 0 {
		chosen = append(chosen, r)
	}
	for len(chosen) < n {
		r, ok := t.draw(func(r *record) bool { return fit(r) && !slices.Contains(chosen, r) })
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

// draw returns a random record that fits.
func (t *table) draw(fit func(*record) bool) (*record, bool) {
	var drawn *record
	seen := 0
	for _, r := range t.order {
		if !fit(r) {
			continue
		}
		seen++
		if t.random.IntN(seen) == 0 {
			drawn = r
		}
	}
	return drawn, drawn != nil
}
