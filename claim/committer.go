package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// commitAttempts bounds the attempts of a transaction whose response was lost.
const commitAttempts = 4

// commitBackoff is the delay between them.
var commitBackoff = retry.Backoff{Min: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// committer writes the rows of many calls in shared transactions.
type committer struct {
	*batcher
	table   storage.Table
	metrics *metrics
	logger  *zap.Logger
}

func newCommitter(table storage.Table, interval time.Duration, m *metrics, l *zap.Logger) *committer {
	c := &committer{table: table, metrics: m, logger: l}
	c.batcher = newBatcher(interval, chooseDistinct, c.commit)
	return c
}

// chooseDistinct selects the entries of the next transaction in the order of arrival,
// with each key once.
func chooseDistinct(queue []*entry) (batch, rest []*entry) {
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

// commit applies the batch. Entries with a conflict are removed and the rest is tried
// again. After a lost response the same transaction is sent again: its conditions
// tell whether the first one took effect, since every record has the unique id of its
// claim.
func (c *committer) commit(ctx context.Context, batch []*entry) {
	failed := unavailable
	for attempt := 0; len(batch) > 0; {
		t, err := transaction(batch)
		if err != nil {
			c.logger.Error("claim not encoded", zap.Error(err))
			deliverAll(batch, unavailable)
			return
		}
		c.metrics.transactions.Inc()
		c.metrics.entries.Observe(float64(len(batch)))
		result, err := c.table.Apply(ctx, t)
		switch code.Of(err) {
		case 0:
			for i, e := range batch {
				e.deliver(reply{outcome: applied, version: result.Versions[i]})
			}
			return
		case code.StoreConflict:
			rest := c.dropConflicts(batch, result.Conflicts)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
		case code.StoreUnavailable, code.StoreThrottled, code.StoreTooLarge:
			// The guard has already retried the call. It is repeated here only if an
			// earlier response was lost, so that the outcome is not known yet.
			if failed == unavailable {
				deliverAll(batch, unavailable)
				return
			}
		default:
			failed = unknown
		}
		attempt++
		if attempt >= commitAttempts || commitBackoff.Sleep(ctx, attempt) != nil {
			c.logger.Warn("claims not committed", zap.Int("claims", len(batch)), zap.Error(err))
			deliverAll(batch, failed)
			return
		}
	}
}

// transaction returns the transaction that writes the batch.
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

// dropConflicts replies to the entries whose conditions failed and returns the rest.
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
		e.deliver(c.conflictReply(e, row))
	}
	return rest
}

// conflictReply returns applied when the existing row shows that an earlier attempt
// of the entry took effect, and conflict otherwise.
func (c *committer) conflictReply(e *entry, row storage.Row) reply {
	record, err := decodeRow(row)
	if err != nil {
		c.logger.Error("claim not decoded", zap.Error(err))
		return reply{outcome: unavailable}
	}
	if e.tookEffect(record) {
		return reply{outcome: applied, version: row.Version}
	}
	return reply{outcome: conflict, version: row.Version, present: record}
}

// deliverAll replies to all entries of a batch with the same outcome.
func deliverAll(batch []*entry, o outcome) {
	for _, e := range batch {
		e.deliver(reply{outcome: o})
	}
}
