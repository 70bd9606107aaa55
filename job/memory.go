package job

import (
	"bytes"
	"context"
	"math"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// allowance bounds the estimated memory of a part of this process's jobs. A nil allowance has
// no limit. It is safe for concurrent use.
type allowance struct {
	limit    int64
	free     *semaphore.Weighted
	used     atomic.Int64
	waiting  atomic.Int64
	released atomic.Int64
	onChange func(n int64)
}

// newAllowance returns an allowance of so many bytes, or nil if that is not positive. onChange
// is called with each change of what is held.
func newAllowance(limit int64, onChange func(n int64)) *allowance {
	if limit <= 0 {
		return nil
	}
	return &allowance{limit: limit, free: semaphore.NewWeighted(limit), onChange: onChange}
}

// claim returns what something of n bytes takes. What is larger than the limit is held alone.
func (a *allowance) claim(n int64) int64 {
	if a == nil {
		return 0
	}
	return min(n, a.limit)
}

// most returns the limit.
func (a *allowance) most() int64 {
	if a == nil {
		return math.MaxInt64
	}
	return a.limit
}

// tryTake takes a claim if there is room for it beside those that wait.
func (a *allowance) tryTake(claim int64) bool {
	if a == nil {
		return true
	}
	if !a.free.TryAcquire(claim) {
		return false
	}
	a.change(claim)
	return true
}

// take waits until there is room for a claim. Claims are taken in the order of the calls, so
// that each job gets its turn.
func (a *allowance) take(ctx context.Context, claim int64) error {
	if a == nil {
		return ctx.Err()
	}
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	if err := a.free.Acquire(ctx, claim); err != nil {
		return err
	}
	a.change(claim)
	return nil
}

// release gives a claim back.
func (a *allowance) release(claim int64) {
	if a == nil {
		return
	}
	a.change(-claim)
	a.free.Release(claim)
	a.released.Add(1)
}

// releases returns the number of claims that have been given back.
func (a *allowance) releases() int64 {
	if a == nil {
		return 0
	}
	return a.released.Load()
}

func (a *allowance) change(n int64) {
	a.used.Add(n)
	a.onChange(n)
}

// held returns the bytes that are held.
func (a *allowance) held() int64 {
	if a == nil {
		return 0
	}
	return a.used.Load()
}

// contended reports whether something waits for room.
func (a *allowance) contended() bool { return a != nil && a.waiting.Load() > 0 }

const (
	// loadedJobBytes and loadedItemBytes are the memory for a job that this process runs and
	// for each of its items, beside their texts.
	loadedJobBytes  = 8 << 10
	loadedItemBytes = 512
	// runningItemBytes is for the goroutines, the request and the buffers of an item that runs
	// or waits for an upstream, itemHeaderBytes for each of its headers.
	runningItemBytes = 16 << 10
	itemHeaderBytes  = 384
	// textCopies is the number of copies of a text that exist while it grows. tokenBytes is
	// what is expected of a token, with the fields of its event; a text that turns out longer
	// takes textClaimStep at a time, up to wholeTextBytes.
	textCopies       = 2
	tokenBytes       = 32
	minExpectedBytes = 16 << 10
	maxExpectedBytes = 256 << 10
	textClaimStep    = 32 << 10
	wholeTextBytes   = textCopies * maxItemTextBytes
	// unknownJobBytes is for a job whose head does not say how large it is.
	unknownJobBytes = 1 << 20
)

// loadedBytes returns the estimated memory of a job with these items while this process runs it.
func loadedBytes(items []Item) int64 {
	n := loadedJobBytes + loadedItemBytes*len(items)
	for i := range items {
		it := &items[i]
		n += len(it.ID) + len(it.Path) + len(it.Header) + len(it.Body)
	}
	return int64(n)
}

// expectedTextBytes returns the memory for the text that is expected of an item.
func expectedTextBytes(it *Item) int64 {
	return textCopies * min(max(it.Tokens*tokenBytes, minExpectedBytes), maxExpectedBytes)
}

// runningBytes returns the estimated memory of an item from its first attempt to its result,
// beside its text and what its job holds.
func runningBytes(it *Item) int64 {
	// A value with commas makes the number of headers too high.
	headers := bytes.Count(it.Header, []byte{','}) + 1
	return int64(runningItemBytes + 2*(len(it.ID)+len(it.Header)) + itemHeaderBytes*headers)
}
