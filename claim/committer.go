package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// commitAttempts bounds the tries of a group commit whose answer was lost.
const commitAttempts = 4

// commitBackoff is the wait between them.
var commitBackoff = retry.Backoff{Min: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// committer writes the rows of many callers in shared transactions.
type committer struct {
	*batcher
	table   storage.Table
	metrics *metrics
	logger  *zap.Logger
}

func newCommitter(table storage.Table, interval time.Duration, m *metrics, l *zap.Logger) *committer {
	c := &committer{table: table, metrics: m, logger: l}
	c.batcher = newBatcher(interval, distinct, c.commit)
	return c
}

// distinct chooses entries for one transaction: each key once, in the order of
// arrival.
func distinct(queue []*entry) (batch, rest []*entry) {
	seen := make(map[string]bool, len(queue))
	for _, e := range queue {
		if seen[e.key] || len(batch) == storage.MaxTransactionWrites {
			rest = append(rest, e)
			continue
		}
		seen[e.key] = true
		batch = append(batch, e)
	}
	return batch, rest
}

// commit applies the batch. Entries with a conflict drop out and the rest is
// tried again. After a lost answer the same transaction is sent again: its
// conditions tell whether it took effect, since every record has the unique id
// of its claim.
func (c *committer) commit(ctx context.Context, batch []*entry) {
	failed := unavailable
	for attempt := 0; len(batch) > 0; {
		t, err := transaction(batch)
		if err != nil {
			c.logger.Error("claim not encoded", zap.Error(err))
			endAll(batch, unavailable)
			return
		}
		c.metrics.transactions.Inc()
		c.metrics.entries.Observe(float64(len(batch)))
		result, err := c.table.Apply(ctx, t)
		switch code.Of(err) {
		case 0:
			for i, e := range batch {
				e.end(reply{outcome: applied, version: result.Versions[i]})
			}
			return
		case code.StoreConflict:
			rest := c.dropConflicts(batch, result.Conflicts)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
		case code.StoreUnavailable, code.StoreThrottled, code.StoreTooLarge:
			// The guard has repeated it already; only a lost answer before it is
			// still to be resolved.
			if failed == unavailable {
				endAll(batch, unavailable)
				return
			}
		default:
			failed = unknown
		}
		attempt++
		if attempt >= commitAttempts || commitBackoff.Sleep(ctx, attempt) != nil {
			c.logger.Warn("claims not committed", zap.Int("claims", len(batch)), zap.Error(err))
			endAll(batch, failed)
			return
		}
	}
}

func transaction(batch []*entry) (storage.Transaction, error) {
	var t storage.Transaction
	for _, e := range batch {
		w, err := e.write()
		if err != nil {
			return t, err
		}
		t.Writes = append(t.Writes, w)
		t.Conditions = append(t.Conditions, storage.Condition{Key: e.key, Version: e.version})
	}
	return t, nil
}

// dropConflicts ends the entries whose conditions failed and returns the rest.
func (c *committer) dropConflicts(batch []*entry, rows []storage.Row) []*entry {
	present := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		present[row.Key] = row
	}
	var rest []*entry
	for _, e := range batch {
		row, ok := present[e.key]
		if !ok {
			rest = append(rest, e)
			continue
		}
		e.end(c.conflictReply(e, row))
	}
	return rest
}

func (c *committer) conflictReply(e *entry, row storage.Row) reply {
	record, err := decodeRow(row)
	if err != nil {
		c.logger.Error("claim not decoded", zap.Error(err))
		return reply{outcome: unavailable}
	}
	if e.landed(record) {
		return reply{outcome: applied, version: row.Version}
	}
	return reply{outcome: conflict, version: row.Version, present: record}
}

func endAll(batch []*entry, o outcome) {
	for _, e := range batch {
		e.end(reply{outcome: o})
	}
}
