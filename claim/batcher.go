package claim

import (
	"context"
	"sync"
	"time"
)

// batcher collects entries while a batch is under way. It flushes at once when
// it was idle, and otherwise at most once per interval.
type batcher struct {
	interval time.Duration
	// choose splits the queue into the next batch and the rest.
	choose func(queue []*entry) (batch, rest []*entry)
	// flush ends every entry of the batch.
	flush func(ctx context.Context, batch []*entry)

	wake chan struct{}

	mu     sync.Mutex
	queue  []*entry
	closed bool
}

func newBatcher(interval time.Duration, choose func([]*entry) ([]*entry, []*entry), flush func(context.Context, []*entry)) *batcher {
	return &batcher{interval: interval, choose: choose, flush: flush, wake: make(chan struct{}, 1)}
}

// add queues an entry, or ends it as unavailable when the batcher has stopped.
func (b *batcher) add(e *entry) {
	b.mu.Lock()
	closed := b.closed
	if !closed {
		b.queue = append(b.queue, e)
	}
	b.mu.Unlock()
	if closed {
		e.end(reply{outcome: unavailable})
		return
	}
	b.signal()
}

func (b *batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run flushes batches until ctx ends, and then ends what is queued as
// unavailable.
func (b *batcher) run(ctx context.Context) {
	defer b.close()
	next := time.Now()
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		if !sleepUntil(ctx, next) {
			return
		}
		next = time.Now().Add(b.interval)
		if batch, more := b.take(); len(batch) > 0 {
			if more {
				b.signal()
			}
			b.flush(ctx, batch)
		}
	}
}

// take removes the next batch and reports whether entries are left. Entries
// whose callers have left end as unavailable.
func (b *batcher) take() (batch []*entry, more bool) {
	b.mu.Lock()
	var wanted, left []*entry
	for _, e := range b.queue {
		if e.ctx.Err() != nil {
			left = append(left, e)
			continue
		}
		wanted = append(wanted, e)
	}
	batch, b.queue = b.choose(wanted)
	more = len(b.queue) > 0
	b.mu.Unlock()
	for _, e := range left {
		e.end(reply{outcome: unavailable})
	}
	return batch, more
}

func (b *batcher) close() {
	b.mu.Lock()
	b.closed = true
	queue := b.queue
	b.queue = nil
	b.mu.Unlock()
	for _, e := range queue {
		e.end(reply{outcome: unavailable})
	}
}

func (b *batcher) length() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// sleepUntil reports false when ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
