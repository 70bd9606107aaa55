package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/storage"
)

const (
	// checkInterval is the time between two steps of Run while there is evidence,
	// idleInterval while there is none.
	checkInterval = time.Second
	idleInterval  = time.Minute
	// writeTimeout bounds one write. retryDelay is the longest time to the next one
	// after a failure.
	writeTimeout = time.Second
	retryDelay   = 500 * time.Millisecond
	// evidenceTTL is how long evidence is kept that does not suffice for a quarantine,
	// quarantineTTL how long a quarantine lasts without a crash or a trial.
	evidenceTTL   = time.Minute
	quarantineTTL = time.Hour
	// maxRemovalDelay is the longest time by which an instance delays the removal of
	// refuted evidence, which other instances may remove first.
	maxRemovalDelay = time.Second
	// maxRowsPerWrite is below the limit of a transaction, conditions included.
	maxRowsPerWrite = storage.MaxRowWrites / 2
)

// Run publishes evidence, removes refuted and expired evidence and claims trials until
// ctx ends. It always returns nil.
func (l *List) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-time.After(l.step(ctx)):
		}
	}
	return nil
}

// step does what is due, and returns the time until the next step.
func (l *List) step(ctx context.Context) time.Duration {
	delay := l.confirm(time.Now())
	if l.options.Rows == nil {
		return delay
	}
	t := l.transaction(time.Now())
	if len(t.Puts)+len(t.Removes) > 0 {
		if err := l.write(ctx, t, writeTimeout); err != nil {
			l.options.Log.Debug("evidence not written", zap.Int("puts", len(t.Puts)), zap.Int("removes", len(t.Removes)), zap.Error(err))
			// New evidence does not shorten the pause.
			sleep(ctx, retryDelay/2+rand.N(retryDelay/2))
			return 0
		}
		l.recordWritten(t)
		delay = 0
	}
	return delay
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (l *List) write(ctx context.Context, t storage.RowTransaction, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := l.options.Rows.ApplyRows(ctx, t)
	return err
}

// confirm turns the unconfirmed evidence that no answer has refuted in time into
// suspicions, and returns the time until the next step.
func (l *List) confirm(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := idleInterval
	if len(l.parts) > 0 {
		delay = checkInterval
	}
	for _, p := range l.parts {
		if remaining := p.removalAt.Sub(now); remaining > 0 {
			delay = min(delay, remaining)
		}
	}
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(c ownCrash) bool {
		if remaining := confirmDelay - now.Sub(c.seenAt); remaining > 0 {
			delay = min(delay, remaining)
			return false
		}
		if !l.answers.last(c.partID, now).After(c.seenAt) {
			l.suspect(c, now)
		}
		return true
	})
	l.assess(now)
	return delay
}

// transaction returns the writes that are due.
func (l *List) transaction(now time.Time) storage.RowTransaction {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t storage.RowTransaction
	for id, p := range l.parts {
		if keys := l.removableKeys(id, p, now); len(t.Removes)+len(keys) <= maxRowsPerWrite {
			t.Removes = append(t.Removes, keys...)
		}
	}
	l.unpublished = slices.DeleteFunc(l.unpublished, func(c ownCrash) bool {
		p, ok := l.parts[c.partID]
		return !ok || c.crash.At <= p.answeredAt || !p.quarantined && l.storeTime(now)-c.crash.At > evidenceTTL
	})
	for _, c := range l.unpublished {
		if len(t.Puts)+len(t.Removes) >= maxRowsPerWrite {
			break
		}
		value, err := encode(c.crash)
		if err != nil {
			l.options.Log.Error("evidence dropped", zap.Error(err))
			continue
		}
		t.Puts = append(t.Puts, l.row(crashKey(c.partID, c.incarnation), value))
	}
	return t
}

// removableKeys returns the keys of the rows of a part that this instance is to remove
// now: those that an answer has refuted, or all if they have expired. The caller holds
// the lock.
func (l *List) removableKeys(id uint64, p *part, now time.Time) []storage.RowKey {
	expired := l.options.RemovesExpired() && l.isExpired(p, now)
	refuted := p.answeredAt != neverAnswered && !now.Before(p.removalAt)
	if !expired && !refuted {
		return nil
	}
	var keys []storage.RowKey
	if p.trialVersion > 0 && (expired || p.crashCount() == 0) {
		keys = append(keys, l.rowKey(trialKey(id)))
	}
	for incarnation, c := range p.crashes {
		if (expired || c.At <= p.answeredAt) && len(keys) < maxRowsPerWrite {
			keys = append(keys, l.rowKey(crashKey(id, incarnation)))
		}
	}
	return keys
}

// isExpired reports whether the evidence against a part is too old to be kept. The caller
// holds the lock.
func (l *List) isExpired(p *part, now time.Time) bool {
	ttl := evidenceTTL
	if p.quarantined || p.crashCount() >= minCrashes && !p.contested {
		ttl = quarantineTTL
	}
	return l.storeTime(now)-p.lastAt() > ttl
}

// recordWritten records that a transaction took effect.
func (l *List) recordWritten(t storage.RowTransaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	written := make(map[string]bool, len(t.Puts))
	for _, r := range t.Puts {
		written[r.Key] = true
	}
	l.unpublished = slices.DeleteFunc(l.unpublished, func(c ownCrash) bool {
		return written[crashKey(c.partID, c.incarnation)]
	})
	for _, key := range t.Removes {
		if id, incarnation, isTrial, ok := parseKey(key.Key); ok {
			l.applyRemoval(id, incarnation, isTrial)
			if p, ok := l.parts[id]; ok {
				p.removalAt = time.Time{}
			}
		}
	}
	l.assess(time.Now())
}
