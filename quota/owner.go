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
	// granting is set while the ring allows this instance to grant tokens. emptyUntil is 0
	// before that is set for the first time, and then the time until which startsEmpty holds.
	granting   bool
	emptyUntil time.Duration
}

// idleBucketTime is the time after which a bucket that was not used is dropped. It is longer
// than common windows; see setRing.
const idleBucketTime = 10 * time.Minute

// setRing replaces the ring. A share that this instance begins to own again keeps its bucket
// with at most the initial tokens, so that changes in quick succession add none.
func (o *owner) setRing(next *Ring, now time.Duration) {
	granting := next.grantsUntil > now
	begins := granting && !o.granting
	if begins && o.emptyUntil == 0 {
		o.emptyUntil = now
		if next.startsEmpty {
			o.emptyUntil += o.bounds.granting() + clockMargin
		}
	}
	if begins || o.ring == nil || !next.sameOwners(o.ring) {
		o.since, o.startsEmpty = now, now < o.emptyUntil
		for key, b := range o.buckets {
			b.refilled = b.refilled || begins || !next.owns(key.account, key.share)
		}
	}
	o.ring, o.granting = next, granting
	idle := max(idleBucketTime, 2*o.bounds.granting())
	maps.DeleteFunc(o.buckets, func(_ shareKey, b *bucket) bool { return now-b.updatedAt > idle })
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
	if b.refilled {
		b.advance(s, now)
		b.tokens, b.refilled = min(b.tokens, s.Initial), false
	}
	tokens, wait := b.take(s, want, now)
	if tokens == 0 {
		return Grant{Status: Denied, Wait: wait}
	}
	return Grant{Status: Granted, Tokens: tokens}
}
