package quota

import (
	"time"

	"github.com/daisylb/daisylb/contract"
)

// Bounds say how exactly quotas must hold.
type Bounds struct {
	// Window is the length of the sliding windows in which a quota holds.
	Window time.Duration
	// Overage is the share by which a quota may be exceeded in a window, Slack the number of
	// further requests.
	Overage float64
	Slack   float64
}

const (
	// maxShares is the number of shares of a limit where the bounds allow it. With four, an
	// account that uses three quarters of its limit is served in full while an owner is gone.
	maxShares = 4
	// grantTTL is the time from the request for tokens until they expire. It is several times
	// the longest wait for an answer.
	grantTTL = 300 * time.Millisecond
)

// Shares are the equal shares into which a limit is split.
type Shares struct {
	Count int
	// PerSecond and Burst are the rate and the size of the bucket of one share.
	PerSecond float64
	Burst     float64
	// Initial is the number of tokens with which a bucket begins at a new owner. The previous
	// one may have emptied its own just before.
	Initial float64
}

// Split returns the shares of a limit. A token may be used grantTTL after its owner has granted
// it. The tokens that are used in a window were therefore granted within grantTTL more than the
// window. In that time all buckets together grant at most what is allowed, with one change of
// the owner of each.
func Split(limit contract.RateLimit, b Bounds) Shares {
	window := b.Window.Seconds()
	granting := window + grantTTL.Seconds()
	allowed := (limit.PerSecond*window+limit.Burst)*(1+b.Overage) + b.Slack
	for n := maxShares; n > 0; n /= 2 {
		s := Shares{Count: n, PerSecond: limit.PerSecond / float64(n), Burst: max(limit.Burst/float64(n), 1)}
		if surplus := allowed - float64(n)*(s.Burst+s.PerSecond*granting); surplus >= 0 {
			// Half of what the bounds leave makes up for an uneven use of the shares, the other
			// half for changes of the owners.
			s.Burst += surplus / float64(2*n)
			s.Initial = min(surplus/float64(2*n), s.Burst)
			return s
		}
	}
	// The bounds leave no room for the delay: the rate is lowered by as much.
	s := Shares{Count: 1, Burst: max(limit.Burst, 1)}
	if s.Burst > allowed {
		s.Burst = 0
	}
	s.PerSecond = max(min(limit.PerSecond, (allowed-s.Burst)/granting), 0)
	if s.Burst == 0 {
		s.PerSecond = 0
	}
	return s
}

// bucket is the token bucket of a share at its owner.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	// promisedAt is the time that the last denial gave for the next token.
	promisedAt time.Duration
}

// maxDenial limits how long an instance that was denied tokens does not ask again, since the
// demand of others may have ended.
const maxDenial = time.Second

// take takes up to want tokens and returns their number. If there is none, it returns when the
// instance should ask again: denials within the same time get moments as far apart as tokens
// come, so that those who come back find one.
func (b *bucket) take(s Shares, want int, now time.Duration) (granted int, wait time.Duration) {
	b.advance(s, now)
	if granted = min(want, int(b.tokens)); granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	if s.PerSecond <= 0 {
		return 0, maxDenial
	}
	interval := seconds(1 / s.PerSecond)
	next := now + seconds((1-b.tokens)/s.PerSecond)
	if b.promisedAt >= next {
		next = b.promisedAt + interval
	}
	if next-now > maxDenial {
		return 0, maxDenial
	}
	b.promisedAt = next
	return 0, next - now
}

// advance adds the tokens since the last call.
func (b *bucket) advance(s Shares, now time.Duration) {
	if elapsed := now - b.updatedAt; elapsed > 0 {
		b.tokens += s.PerSecond * elapsed.Seconds()
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, s.Burst)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
