package claim

import (
	"context"
	"sync"
	"time"
)

// batcher queues entries and flushes them in batches: at once when it was idle,
// otherwise at most once per interval.
type batcher struct {
	interval time.Duration
	// choose splits the queue into the next batch and the rest.
	choose func(queue []*entry) (batch, rest []*entry)
	// flush must deliver a reply to every entry of the batch.
	flush func(ctx context.Context, batch []*entry)

	wake chan struct{}

	mu     sync.Mutex
	queue  []*entry
	closed bool
}

func newBatcher(interval time.Duration, choose func([]*entry) ([]*entry, []*entry), flush func(context.Context, []*entry)) *batcher {
	return &batcher{interval: interval, choose: choose, flush: flush, wake: make(chan struct{}, 1)}
}

// add queues an entry, or replies that it is unavailable when the batcher has
// stopped.
func (b *batcher) add(e *entry) {
	b.mu.Lock()
	closed := b.closed
	if !closed {
		b.queue = append(b.queue, e)
	}
	b.mu.Unlock()
	if closed {
		e.deliver(reply{outcome: unavailable})
		return
	}
	b.signal()
}

// signal wakes run.
func (b *batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run flushes batches until ctx ends, and then replies to the queued entries that
// they are unavailable.
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
		if batch, more := b.nextBatch(); len(batch) > 0 {
			if more {
				b.signal()
			}
			b.flush(ctx, batch)
		}
	}
}

// nextBatch removes the next batch from the queue and reports whether entries are
// left. It replies unavailable to entries whose context has ended, since they were
// not written.
func (b *batcher) nextBatch() (batch []*entry, more bool) {
	b.mu.Lock()
	var active, cancelled []*entry
	for _, e := range b.queue {
		if e.ctx.Err() != nil {
			cancelled = append(cancelled, e)
			continue
		}
		active = append(active, e)
	}
	batch, b.queue = b.choose(active)
	more = len(b.queue) > 0
	b.mu.Unlock()
	for _, e := range cancelled {
		e.deliver(reply{outcome: unavailable})
	}
	return batch, more
}

// close stops the batcher and replies unavailable to the queued entries.
func (b *batcher) close() {
	b.mu.Lock()
	b.closed = true
	queue := b.queue
	b.queue = nil
	b.mu.Unlock()
	for _, e := range queue {
		e.deliver(reply{outcome: unavailable})
	}
}

// length returns the number of queued entries.
func (b *batcher) length() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// sleepUntil waits until t. It reports false when ctx ends first.
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
