package guard

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
)

// breakerChange is a change of a breaker's state. The values closed and opened
// are logged.
type breakerChange string

const (
	noChange breakerChange = ""
	closed   breakerChange = "closed"
	opened   breakerChange = "open"
)

// gaugeValue returns the value of the metric after the change: 1 for open, 0 for
// closed.
func (c breakerChange) gaugeValue() float64 {
	if c == opened {
		return 1
	}
	return 0
}

// breaker is a circuit breaker. It opens after failureThreshold consecutive
// failures. While it is open it rejects operations for a time that grows with every
// failed probe and has jitter, and then allows one probe at a time. A success
// closes it. It is safe for concurrent use.
type breaker struct {
	openTime retry.Backoff

	mu                  sync.Mutex
	consecutiveFailures int
	isOpen              bool
	trips               int
	openUntil           time.Time
	probing             bool
}

// allow returns nil if an operation may be attempted, and otherwise
// code.StoreUnavailable with the time after which to retry.
func (b *breaker) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isOpen {
		return nil
	}
	if wait := b.openUntil.Sub(now); wait > 0 {
		return code.New(code.StoreUnavailable, "the store is failing; next try in %s", wait).WithRetryAfter(wait)
	}
	if b.probing {
		return code.New(code.StoreUnavailable, "the store is failing; a try is under way").WithRetryAfter(b.openTime.Min)
	}
	b.probing = true
	return nil
}

// abandon ends an attempt without a result, such as one that its caller cancelled.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// record records the result of an attempt and returns the change of state that it
// causes. A failure during the open time does not prolong it.
func (b *breaker) record(now time.Time, failed bool) breakerChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasOpen := b.isOpen
	b.probing = false
	if !failed {
		b.consecutiveFailures, b.trips, b.isOpen = 0, 0, false
		if wasOpen {
			return closed
		}
		return noChange
	}
	b.consecutiveFailures++
	if b.consecutiveFailures < failureThreshold || now.Before(b.openUntil) {
		return noChange
	}
	b.isOpen = true
	b.openUntil = now.Add(b.drawOpenTime())
	b.trips++
	if wasOpen {
		return noChange
	}
	return opened
}

// drawOpenTime returns a random time between half of a limit and the limit, which
// starts at openTime.Min, doubles with every trip, and is at most openTime.Max.
func (b *breaker) drawOpenTime() time.Duration {
	limit := b.openTime.Max
	if grown := b.openTime.Min << min(b.trips, 30); grown > 0 && grown < limit {
		limit = grown
	}
	return limit/2 + rand.N(limit/2+1)
}

// BreakerState is the state of a breaker in the state dump.
type BreakerState struct {
	Open bool `json:"open"`
	// Failures is the number of consecutive failures.
	Failures int `json:"failures"`
	// Trips is how often the breaker has opened, failed probes included, since the
	// last success.
	Trips int `json:"trips"`
	// RetryAt is the time from which a probe is allowed; zero when closed.
	RetryAt time.Time `json:"retry_at,omitzero"`
}

// state returns the state for the state dump.
func (b *breaker) state() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := BreakerState{Open: b.isOpen, Failures: b.consecutiveFailures, Trips: b.trips}
	if b.isOpen {
		s.RetryAt = b.openUntil
	}
	return s
}
