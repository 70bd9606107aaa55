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

// granting returns the length of the time in which the tokens that are used in a window were
// granted: a token may be used until grantTTL after its owner has granted it.
func (b Bounds) granting() time.Duration { return b.Window + grantTTL }

// refills returns how often a bucket may begin anew with the initial tokens within granting.
// Each machine that owns the share may start a process within that time, after which processes
// of the machine begin with empty buckets, and machines follow each other after minSilence.
func (b Bounds) refills() float64 {
	return float64(1 + 2*(b.granting()/minSilence))
}

// Split returns the shares of a limit. All buckets together grant at most what a window allows
// within Bounds.granting, including the refills. Where the bounds leave no room for the delay,
// the burst is reduced first, since accounts with a steady rate need the rate.
func Split(limit contract.RateLimit, b Bounds) Shares {
	granting := b.granting().Seconds()
	allowed := (limit.PerSecond*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
	room := allowed - limit.PerSecond*granting
	for count := maxShares; count > 0; count /= 2 {
		n := float64(count)
		if room < n {
			continue
		}
		burst := min(max(limit.Burst/n, 1), room/n)
		// Half of what the bounds leave makes up for an uneven use of the shares, as far as that
		// is needed, the rest for changes of the owners.
		burst += min((room/n-burst)/2, maxUnevenness(burst))
		return Shares{
			Count: count, PerSecond: limit.PerSecond / n, Burst: burst,
			Initial: min((room/n-burst)/b.refills(), burst),
		}
	}
	if allowed < 1 {
		return Shares{Count: 1}
	}
	return Shares{Count: 1, Burst: 1, PerSecond: (allowed - 1) / granting}
}

// maxUnevenness returns by how many tokens a share may be used more than the others for a while:
// instances draw their shares by hash, and a token can't be divided.
func maxUnevenness(burst float64) float64 { return max(burst/4, 1) }

// bucket is the token bucket of a share at its owner.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	// refilled is set when the share has had another owner since the last call, so that the
	// bucket holds at most the initial tokens.
	refilled bool
	// promisedAt is the time that the last denial gave for the next token.
	promisedAt time.Duration
}

const (
	// maxDenial limits how long an instance that was denied tokens does not ask again, since
	// the demand of others may have ended.
	maxDenial = time.Second
	// minDenial is about the time of a round trip. Without it, an instance could ask a share
	// again at once whose bucket is a rounding error short of a token.
	minDenial = time.Millisecond
)

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
	return 0, max(next-now, minDenial)
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
