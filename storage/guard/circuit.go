package guard

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
)

// circuitState is the state of a breaker, or unchanged.
type circuitState string

const (
	unchanged circuitState = ""
	closed    circuitState = "closed"
	opened    circuitState = "open"
)

// gauge is the metric of the state: 1 for open.
func (s circuitState) gauge() float64 {
	if s == opened {
		return 1
	}
	return 0
}

// circuit is a breaker: it opens after a run of failures, and while it is open
// it admits one probe at a time, after a wait that grows with jitter.
type circuit struct {
	open retry.Backoff

	mu       sync.Mutex
	failures int
	isOpen   bool
	trips    int
	until    time.Time
	probing  bool
}

// admit fails with code.StoreUnavailable while the breaker is open.
func (c *circuit) admit(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOpen {
		return nil
	}
	if wait := c.until.Sub(now); wait > 0 {
		return code.New(code.StoreUnavailable, "the store is failing; next try in %s", wait).WithRetryAfter(wait)
	}
	if c.probing {
		return code.New(code.StoreUnavailable, "the store is failing; a try is under way").WithRetryAfter(c.open.Min)
	}
	c.probing = true
	return nil
}

// abandon ends an attempt that says nothing about the store.
func (c *circuit) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
}

// record notes the end of an attempt and returns the new state when it
// changed.
func (c *circuit) record(now time.Time, failed bool) circuitState {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasOpen := c.isOpen
	c.probing = false
	if !failed {
		c.failures, c.trips, c.isOpen = 0, 0, false
		if wasOpen {
			return closed
		}
		return unchanged
	}
	c.failures++
	if c.failures < circuitFailures || now.Before(c.until) {
		return unchanged
	}
	c.isOpen = true
	c.until = now.Add(c.openTime())
	c.trips++
	if wasOpen {
		return unchanged
	}
	return opened
}

// openTime draws between half of the present limit and the limit.
func (c *circuit) openTime() time.Duration {
	limit := c.open.Max
	if grown := c.open.Min << min(c.trips, 30); grown > 0 && grown < limit {
		limit = grown
	}
	return limit/2 + rand.N(limit/2+1)
}

// CircuitState is the state of one breaker for the state dump.
type CircuitState struct {
	Open bool `json:"open"`
	// Failures in a row.
	Failures int `json:"failures"`
	// Trips in a row without a success between them.
	Trips int `json:"trips"`
	// RetryAt is the time of the next try; zero when closed.
	RetryAt time.Time `json:"retry_at,omitzero"`
}

func (c *circuit) state() CircuitState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := CircuitState{Open: c.isOpen, Failures: c.failures, Trips: c.trips}
	if c.isOpen {
		s.RetryAt = c.until
	}
	return s
}
