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
func (s breakerChange) gaugeValue() float64 {
	if s == opened {
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
func (c *breaker) allow(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOpen {
		return nil
	}
	if wait := c.openUntil.Sub(now); wait > 0 {
		return code.New(code.StoreUnavailable, "the store is failing; next try in %s", wait).WithRetryAfter(wait)
	}
	if c.probing {
		return code.New(code.StoreUnavailable, "the store is failing; a try is under way").WithRetryAfter(c.openTime.Min)
	}
	c.probing = true
	return nil
}

// abandon ends an attempt without a result, such as one that its caller cancelled.
func (c *breaker) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
}

// record records the result of an attempt and returns the change of state that it
// causes. A failure during the open time does not prolong it.
func (c *breaker) record(now time.Time, failed bool) breakerChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasOpen := c.isOpen
	c.probing = false
	if !failed {
		c.consecutiveFailures, c.trips, c.isOpen = 0, 0, false
		if wasOpen {
			return closed
		}
		return noChange
	}
	c.consecutiveFailures++
	if c.consecutiveFailures < failureThreshold || now.Before(c.openUntil) {
		return noChange
	}
	c.isOpen = true
	c.openUntil = now.Add(c.drawOpenTime())
	c.trips++
	if wasOpen {
		return noChange
	}
	return opened
}

// drawOpenTime returns a random time between half of a limit and the limit, which
// starts at openTime.Min, doubles with every trip, and is at most openTime.Max.
func (c *breaker) drawOpenTime() time.Duration {
	limit := c.openTime.Max
	if grown := c.openTime.Min << min(c.trips, 30); grown > 0 && grown < limit {
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
func (c *breaker) state() BreakerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := BreakerState{Open: c.isOpen, Failures: c.consecutiveFailures, Trips: c.trips}
	if c.isOpen {
		s.RetryAt = c.openUntil
	}
	return s
}
