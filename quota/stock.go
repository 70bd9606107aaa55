package quota

import (
	"math"
	"time"
)

// stock has the tokens of one account that this instance holds, and what it knows of the
// account's shares. It is not safe for concurrent use.
type stock struct {
	// grants are the tokens held, in the order of their expiry.
	grants []heldGrant
	// deniedUntil has, for each share, when it may be asked again.
	deniedUntil [maxShares]time.Duration
	// demand is the decayed number of requests, and demandAt the time of the last one.
	demand   float64
	demandAt time.Duration
	// expired is the number of tokens that were not used in time and not reported yet.
	expired int
	// usedAt is the time of the last request.
	usedAt time.Duration
	// received is the decayed number of tokens received, and receivedAt the time of the last.
	received   float64
	receivedAt time.Duration
	// promisedAt is the time until which the last refused request was told to wait.
	promisedAt time.Duration
}

// heldGrant is a number of tokens that expire together.
type heldGrant struct {
	tokens    int
	expiresAt time.Duration
}

const (
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// aheadTime is the time for which tokens are requested ahead. It is below grantTTL, so that
	// few of them expire.
	aheadTime = 250 * time.Millisecond
	// receivedTime is the time over which the received tokens are averaged.
	receivedTime = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit the hints for refused requests.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxWant bounds the tokens of one request.
	maxWant = 1 << 12
)

// observe counts a request of the account.
func (s *stock) observe(now time.Duration) {
	s.demand = s.demand*math.Exp(-float64(now-s.demandAt)/float64(demandTime)) + 1
	s.demandAt, s.usedAt = now, now
}

// perSecond returns the rate of the account's requests at this instance.
func (s *stock) perSecond(now time.Duration) float64 {
	return s.demand * math.Exp(-float64(now-s.demandAt)/float64(demandTime)) / demandTime.Seconds()
}

// add adds granted tokens, which were requested at a time.
func (s *stock) add(tokens int, requestedAt, now time.Duration) {
	if tokens <= 0 {
		return
	}
	s.received = s.received*math.Exp(-float64(now-s.receivedAt)/float64(receivedTime)) + float64(tokens)
	s.receivedAt = now
	s.grants = append(s.grants, heldGrant{tokens, requestedAt + grantTTL})
}

// retryAfter returns when the caller of a refused request should come back; wait is the time
// until the next token is expected. Requests that are refused one after another get times as
// far apart as tokens have come of late, and at least leastPerSecond of them a second.
func (s *stock) retryAfter(wait time.Duration, leastPerSecond float64, now time.Duration) time.Duration {
	perSecond := max(s.received*math.Exp(-float64(now-s.receivedAt)/float64(receivedTime))/receivedTime.Seconds(), leastPerSecond)
	next := now + wait
	if perSecond > 0 {
		next = max(next, s.promisedAt+seconds(1/perSecond))
	}
	s.promisedAt = min(next, now+maxRetryAfter)
	return max(s.promisedAt-now, minRetryAfter)
}

// take uses one token and returns when it would have expired, or false if there is none.
func (s *stock) take(now time.Duration) (expiresAt time.Duration, ok bool) {
	s.expire(now)
	if len(s.grants) == 0 {
		return 0, false
	}
	g := &s.grants[0]
	expiresAt = g.expiresAt
	if g.tokens--; g.tokens == 0 {
		s.grants = s.grants[1:]
	}
	return expiresAt, true
}

// giveBack returns a token that was not used, unless it has expired.
func (s *stock) giveBack(expiresAt, now time.Duration) {
	if expiresAt > now {
		s.grants = append([]heldGrant{{1, expiresAt}}, s.grants...)
	}
}

// expire drops and counts expired tokens.
func (s *stock) expire(now time.Duration) {
	kept := s.grants[:0]
	for _, g := range s.grants {
		if g.expiresAt <= now {
			s.expired += g.tokens
			continue
		}
		kept = append(kept, g)
	}
	s.grants = kept
}

// drop drops all tokens.
func (s *stock) drop() {
	s.expired += s.held()
	s.grants = nil
}

// held returns the number of tokens held.
func (s *stock) held() (n int) {
	for _, g := range s.grants {
		n += g.tokens
	}
	return n
}

// want returns how many tokens to request for a number of waiting requests and the demand of
// the next aheadTime. Without waiting requests it returns 0 unless half of the tokens for the
// demand are used up. Small demands are not requested ahead: most of the tokens would expire.
func (s *stock) want(waiting int, now time.Duration) int {
	ahead := int(s.perSecond(now) * aheadTime.Seconds())
	if ahead < 2 {
		ahead = 0
	}
	held := s.held()
	if waiting == 0 && held > ahead/2 {
		return 0
	}
	return min(waiting+max(ahead-held, 0), maxWant)
}

// deny records that a share has no tokens for a time.
func (s *stock) deny(share int, wait, now time.Duration) { s.deniedUntil[share] = now + wait }

// shareToAsk returns the share to ask, the first one in the order from start on that may have
// tokens and whose owner is usable. If all shares are known to have none, it returns -1 and the
// time until the first of them may be asked again.
func (s *stock) shareToAsk(count, start int, usable func(share int) bool, now time.Duration) (share int, wait time.Duration) {
	wait = time.Duration(math.MaxInt64)
	unusable := false
	for i := range count {
		share := (start + i) % count
		if remaining := s.deniedUntil[share] - now; remaining > 0 {
			wait = min(wait, remaining)
			continue
		}
		if usable(share) {
			return share, 0
		}
		unusable = true
	}
	if unusable {
		return -1, 0
	}
	return -1, wait
}
