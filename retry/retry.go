// Package retry provides the backoff and the budget of retries. Every part that
// retries operations uses it, so that retries stay a limited share of the
// traffic. It does no I/O.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff is an exponential backoff with full jitter. It is safe for concurrent
// use as long as nobody changes its fields.
type Backoff struct {
	// Min is the upper limit of the delay before the first retry. The limit doubles
	// with every further retry, up to Max.
	Min time.Duration
	// Max is the upper limit of the delay before any retry.
	Max time.Duration
}

// Delay returns the delay before retry number attempt, counted from 0. It is drawn
// uniformly from 0 to the limit, which is Min doubled attempt times, or Max if that
// is less.
func (b Backoff) Delay(attempt int) time.Duration {
	limit := b.Max
	if attempt < 32 {
		if doubled := b.Min << attempt; doubled > 0 && doubled < limit {
			limit = doubled
		}
	}
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}

// Sleep waits for the delay before retry number attempt. It returns the error of
// ctx if ctx ends first.
func (b Backoff) Sleep(ctx context.Context, attempt int) error {
	delay := b.Delay(attempt)
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Budget limits retries to a share of the first attempts. Every first attempt adds
// the share to the balance, up to the reserve; every retry takes 1 from it. It is
// safe for concurrent use.
type Budget struct {
	share   float64
	reserve float64

	mu      sync.Mutex
	balance float64
}

// NewBudget returns a Budget with a full reserve. share is the number of retries
// per first attempt, reserve the maximum balance in retries.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, balance: reserve}
}

// Earn adds the share of one first attempt to the balance.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.share, b.reserve)
}

// Spend reports whether a retry is allowed. If it is, Spend takes it from the
// balance.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
