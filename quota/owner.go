package quota

import (
	"maps"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// Status is the outcome of a request for tokens.
type Status int

const (
	// NotOwner says that the instance does not grant tokens of the share.
	NotOwner Status = iota
	// Granted says that the instance has granted tokens.
	Granted
	// Denied says that the share has none.
	Denied
)

// Grant is the answer to a request for tokens.
type Grant struct {
	Status Status
	Tokens int
	// Wait is the time after a denial until the share is expected to have a token.
	Wait time.Duration
}

// shareKey identifies a share.
type shareKey struct {
	account string
	share   int
}

// owner grants the tokens of the shares that this instance owns. It is not safe for concurrent
// use.
type owner struct {
	bounds  Bounds
	ring    *Ring
	buckets map[shareKey]*bucket
	// since is when this instance has begun to own the shares that have no bucket yet. They had
	// the initial tokens of a share then, or none if startsEmpty is set.
	since       time.Duration
	startsEmpty bool
	// granting is set while the ring allows this instance to grant tokens.
	granting bool
}

// idleBucketTime is the time after which a bucket that was not used is dropped.
const idleBucketTime = 10 * time.Minute

// setRing replaces the ring. Shares that this instance begins to own begin empty.
func (o *owner) setRing(next *Ring, now time.Duration) {
	granting := next.grantsUntil > now
	switch {
	case granting && !o.granting:
		clear(o.buckets)
		o.since, o.startsEmpty = now, next.startsEmpty
	case o.ring == nil || !next.sameOwners(o.ring):
		o.since, o.startsEmpty = now, false
		maps.DeleteFunc(o.buckets, func(key shareKey, _ *bucket) bool { return !next.Grants(key.account, key.share, now) })
	}
	o.ring, o.granting = next, granting
	maps.DeleteFunc(o.buckets, func(_ shareKey, b *bucket) bool { return now-b.updatedAt > idleBucketTime && b.updatedAt > o.since })
}

// grant grants up to want tokens of a share of a limit.
func (o *owner) grant(account string, share, want int, limit contract.RateLimit, now time.Duration) Grant {
	s := Split(limit, o.bounds)
	if o.ring == nil || share >= s.Count || !o.ring.Grants(account, share, now) {
		return Grant{Status: NotOwner}
	}
	key := shareKey{account, share}
	b := o.buckets[key]
	if b == nil {
		b = &bucket{updatedAt: o.since}
		if !o.startsEmpty {
			b.tokens = s.Initial
		}
		o.buckets[key] = b
	}
	tokens, wait := b.take(s, want, now)
	if tokens == 0 {
		return Grant{Status: Denied, Wait: wait}
	}
	return Grant{Status: Granted, Tokens: tokens}
}
