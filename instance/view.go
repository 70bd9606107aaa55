package instance

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the membership. The zero value is empty.
type View struct {
	self    Member
	live    []Member
	serving []servingMember
}

// servingMember is the hash of a serving member's id and its index in
// View.live.
type servingMember struct {
	hash  uint64
	index int
}

// NewView returns a view of self and the other members. Dead members are
// omitted. Tests of other packages use it to build views.
func NewView(self Member, others ...Member) *View {
	v := &View{self: self, live: make([]Member, 0, len(others)+1)}
	v.live = append(v.live, self)
	for _, m := range others {
		if m.Health != Dead && m.ID != self.ID {
			v.live = append(v.live, m)
		}
	}
	slices.SortFunc(v.live, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	for i, m := range v.live {
		if m.State == Serving {
			v.serving = append(v.serving, servingMember{hash: xxhash.Sum64String(m.ID), index: i})
		}
	}
	return v
}

// Self returns this instance.
func (v *View) Self() Member { return v.self }

// Live returns every member that is alive or suspect, in any state and
// including this instance, in the order of the ids. The slice must not be
// modified.
func (v *View) Live() []Member { return v.live }

// Find returns the live member with the id.
func (v *View) Find(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.live, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.live[i], true
}

// Owner returns the live serving member that owns the key by rendezvous
// hashing: a change of the membership moves only the keys of members that
// joined or left. It returns the zero Member when no member is serving. Two
// instances may see different owners for a while.
func (v *View) Owner(key string) Member {
	keyHash := xxhash.Sum64String(key)
	best, bestScore := -1, uint64(0)
	for _, s := range v.serving {
		if score := mix(s.hash ^ keyHash); best < 0 || score > bestScore {
			best, bestScore = s.index, score
		}
	}
	if best < 0 {
		return Member{}
	}
	return v.live[best]
}

// Owns reports whether this instance owns the key.
func (v *View) Owns(key string) bool {
	owner := v.Owner(key)
	return owner.ID != "" && owner.ID == v.self.ID
}

// mix is the finalizer of splitmix64: each input bit flips each output bit with
// a probability of about one half.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
