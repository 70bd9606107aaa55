package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/roster"
	"github.com/daisylb/daisylb/route"
)

const (
	// ownerAge is how long a member must have held its lease before it owns shares, and after
	// how long without an extension it no longer does. An owner grants for roster.LeaseGap after
	// an extension, by a view that is at most as old. When others take over from it, it has
	// stopped; when it joins, those that owned its shares have read of it.
	ownerAge = 45 * time.Second
	// clockMargin covers the differences between the instances' readings of the store's clock
	// and reads of the store that are some seconds out of date. For as long before and after a
	// change of the owner, nobody grants.
	clockMargin = 5 * time.Second
	// minSilence is the least time in which nobody grants tokens of a share when its owner
	// changes: twice clockMargin less the errors of two readings of the clock, 2 s each.
	minSilence = 6 * time.Second
	// ringTTL is how long a ring may be used after it was built. It is rebuilt more often; only
	// a process that was stopped in between has an older one.
	ringTTL = 2 * time.Second
)

// Ring has the members that own shares, as one instance sees them at a moment.
type Ring struct {
	self string
	// owners are the members that others ask for tokens; possible are those that may be
	// granting tokens by the view of any instance.
	owners   []ringMember
	possible []ringMember
	// grantsUntil is the time until which this instance may grant tokens, 0 if it may not.
	grantsUntil time.Duration
	// startsEmpty is set if the shares of this instance begin without tokens when it begins to
	// grant.
	startsEmpty bool
}

type ringMember struct {
	name    string
	hash    uint64
	address string
}

// NewRing returns the ring of the instance self by the leases that it sees at now. window is that
// of the quotas.
func NewRing(self string, leases *roster.Leases, window, now time.Duration) *Ring {
	// Each start of a process fills its buckets with the initial tokens, which the bounds allow
	// once in a window.
	r := &Ring{self: self, startsEmpty: leases.SinceLastStart <= window+grantTTL+clockMargin}
	if leases.StoreNow == 0 {
		return r
	}
	heldSince := func(joined time.Duration) time.Duration {
		if joined == 0 {
			return ownerAge + clockMargin
		}
		return leases.StoreNow - joined
	}
	// The own row may be older than the lease that the store has confirmed.
	if heldSince(leases.Joined) >= ownerAge+clockMargin && leases.ExtendedAt != 0 && leases.ReadAt != 0 {
		r.grantsUntil = min(min(leases.ExtendedAt, leases.ReadAt)+roster.LeaseGap, now+ringTTL)
	}
	for _, l := range leases.Members {
		heldFor, idleFor := heldSince(l.Joined), leases.StoreNow-l.Leased
		m := ringMember{l.Name, xxhash.Sum64String(l.Name), l.Address}
		if heldFor >= ownerAge-clockMargin && idleFor <= ownerAge+clockMargin {
			r.possible = append(r.possible, m)
		}
		if heldFor >= ownerAge && idleFor <= ownerAge {
			r.owners = append(r.owners, m)
		}
	}
	return r
}

// Owner returns the name and the address of the owner of a share, and false if there is none.
func (r *Ring) Owner(account string, share int) (name, address string, ok bool) {
	m := first(r.owners, account, share)
	if m == nil {
		return "", "", false
	}
	return m.name, m.address, true
}

// Grants reports whether this instance may grant tokens of a share at now.
func (r *Ring) Grants(account string, share int, now time.Duration) bool {
	return now <= r.grantsUntil && r.owns(account, share)
}

// owns reports whether this instance is the first of the possible owners of a share.
func (r *Ring) owns(account string, share int) bool {
	m := first(r.possible, account, share)
	return m != nil && m.name == r.self
}

// first returns the first member in the rendezvous order of a share, nil if there is none.
func first(members []ringMember, account string, share int) *ringMember {
	key := xxhash.Sum64String(account) + uint64(share)*shareStep
	best, bestRank := -1, uint64(0)
	for i := range members {
		if rank := route.Mix64(members[i].hash ^ key); best < 0 || rank > bestRank || rank == bestRank && members[i].name < members[best].name {
			best, bestRank = i, rank
		}
	}
	if best < 0 {
		return nil
	}
	return &members[best]
}

// shareStep separates the keys of an account's shares.
const shareStep = 0x9e3779b97f4a7c15

// sameOwners reports whether two rings have the same possible owners.
func (r *Ring) sameOwners(other *Ring) bool {
	if len(r.possible) != len(other.possible) {
		return false
	}
	names := make(map[string]bool, len(r.possible))
	for _, m := range r.possible {
		names[m.name] = true
	}
	for _, m := range other.possible {
		if !names[m.name] {
			return false
		}
	}
	return true
}
