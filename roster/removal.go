package roster

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

const (
	// removalInterval is the time between two checks for rows to remove.
	removalInterval = 5 * time.Second
	// keptIntervals is the number of the member's heartbeat intervals for which the row of
	// a failed member is kept. Nothing depends on the row any more once the member counts
	// as failed, and a member that is alive after all writes it again.
	keptIntervals = 100
	// maxRemovals bounds the members whose rows one transaction removes. Each takes up to
	// two conditions and two removes of storage.MaxRowWrites.
	maxRemovals = 16
	// removalTimeout bounds the transaction.
	removalTimeout = 2 * time.Second
)

// removeGone removes the rows of members that have been gone for long, at intervals until
// ctx is done.
func (r *Roster) removeGone(ctx context.Context) {
	ticker := time.NewTicker(removalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if t := r.removals(time.Now()); len(t.Removes) > 0 {
				r.remove(ctx, t)
			}
		}
	}
}

// removals returns the transaction that removes the rows of some members that have been
// gone for long. Only the first instance of the list removes rows. Each removal has the
// version of the row as its condition, so that a row that is written again stays.
func (r *Roster) removals(now time.Time) storage.RowTransaction {
	var t storage.RowTransaction
	if !r.UpToDate() || r.View().Alive[0].ID != r.self.Load().ID {
		return t
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []entry
	for _, e := range r.members {
		if e.failed && now.Sub(e.readAt) > keptIntervals*e.writeInterval(r.interval()) {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(a, b entry) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range gone[:min(len(gone), maxRemovals)] {
		keys := map[string]uint64{e.Name: e.version}
		if s, ok := r.suspicions[e.Name]; ok {
			keys[suspicionPrefix+e.Name] = s.version
		}
		for key, version := range keys {
			rowKey := storage.RowKey{Table: Table, Key: key}
			t.Conditions = append(t.Conditions, storage.RowCondition{RowKey: rowKey, Version: version})
			t.Removes = append(t.Removes, rowKey)
		}
	}
	return t
}

// remove runs the transaction of removals. After a failure the next check tries again.
func (r *Roster) remove(ctx context.Context, t storage.RowTransaction) {
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	_, err := r.options.Rows.ApplyRows(ctx, t)
	r.options.Log.Info("removing rows of instances that are gone", zap.Int("rows", len(t.Removes)), zap.Int("number", int(code.Of(err))))
}
