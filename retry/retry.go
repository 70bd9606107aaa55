// Package retry holds the waiting times and the budgets of retries. Every part
// that repeats an operation uses it, so that retries stay a bounded share of
// the traffic. It does no I/O.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff is a policy of growing waiting times with full jitter. It is
// immutable and safe for concurrent use.
type Backoff struct {
	// Min is the longest wait before the first retry.
	Min time.Duration
	// Max is the longest wait before any retry.
	Max time.Duration
}

// Wait returns the time to wait before retry number attempt, counted from 0:
// a uniform draw between 0 and Min doubled attempt times, at most Max.
func (b Backoff) Wait(attempt int) time.Duration {
	limit := b.Max
	if attempt < 32 {
		if grown := b.Min << attempt; grown > 0 && grown < limit {
			limit = grown
		}
	}
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}

// Sleep waits before retry number attempt. It returns the context's error when
// ctx ends first.
func (b Backoff) Sleep(ctx context.Context, attempt int) error {
	wait := b.Wait(attempt)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Budget allows retries as a share of the first attempts. Every first attempt
// earns the share, up to a reserve; every retry costs one. It is safe for
// concurrent use.
type Budget struct {
	share   float64
	reserve float64

	mu      sync.Mutex
	balance float64
}

// NewBudget returns a full budget: share is retries per first attempt, reserve
// the number of retries that may be saved up.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, balance: reserve}
}

// Earn notes a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.share, b.reserve)
}

// Spend reports whether a retry is allowed, and takes it from the budget.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
