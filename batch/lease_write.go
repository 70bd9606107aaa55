package batch

import (
	"bytes"
	"context"
	"slices"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// maxBufferBytes is the size of the buffered results from which they are
// committed.
const maxBufferBytes = 4 << 20

// shouldCommit reports whether the buffered results should be committed: when
// the segment has ended, when only stragglers are left, and when the buffer has
// reached maxBufferBytes.
func (l *lease) shouldCommit() bool {
	if len(l.buffer) == 0 {
		return false
	}
	return len(l.waiting) == 0 && l.running == l.stragglers || l.bufferBytes >= maxBufferBytes
}

// commitAndRelease commits the buffered results and releases the lease.
func (l *lease) commitAndRelease(workCtx context.Context) error {
	if cause := context.Cause(l.ctx); cause == errCancelled {
		return errCancelled
	}
	return l.commit(workCtx, l.prepareCommit(false, true))
}

// releaseUnused releases a lease under which no item ran.
func (l *lease) releaseUnused() error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), storeTimeout)
	defer cancel()
	row := l.row
	row.Holder = ""
	row.ExpiresMillis = 0
	_, err := l.write(ctx, row, nil)
	return err
}

// write writes the segment's row on the condition that the row still has the
// lease's version and that the job is open, and returns the row's new version.
// A non-nil end is the final row of the job, which the same transaction writes.
// A write may be retried with the same row after any error.
func (l *lease) write(ctx context.Context, row segmentRow, end *jobRow) (uint64, error) {
	key := segmentKey(l.job.row.ID, l.number)
	t := storage.Transaction{
		Conditions: []storage.Condition{
			{Key: jobKey(l.job.row.ID), Version: l.job.version},
			{Key: key, Version: l.version},
		},
		Writes: []storage.Write{{Key: key, Value: encode(row)}},
	}
	if end != nil {
		t.Writes = append(t.Writes, endWrites(*end)...)
	}
	var found storage.Row
	applied, err := l.runner.store.applyOnce(ctx, t, func(ctx context.Context) (tookEffect bool, err error) {
		found, err = l.runner.store.get(ctx, key)
		return err == nil && bytes.Equal(found.Value, t.Writes[0].Value), err
	})
	switch {
	case err == nil && len(applied.Versions) > 0:
		return applied.Versions[0], nil
	case err == nil:
		return found.Version, nil
	case code.Of(err) != code.StoreConflict:
		return 0, err
	case slices.ContainsFunc(applied.Conflicts, func(row storage.Row) bool { return row.Key == jobKey(l.job.row.ID) }):
		return 0, errCancelled
	default:
		return 0, l.rebase(found)
	}
}

// rebase handles a conflict with the row found in the store. If the row is a
// newer version of the same lease, as a renewal with a lost response leaves it,
// rebase adopts that version so that the write can be retried. Otherwise the
// lease is lost.
func (l *lease) rebase(found storage.Row) error {
	row, err := decode[segmentRow](found)
	if err != nil {
		return err
	}
	if row.Token != l.row.Token || row.Holder != l.runner.holder {
		return errLost
	}
	l.version = found.Version
	return errRebased
}

// endWrites returns the writes that end a job.
func endWrites(job jobRow) []storage.Write {
	return append(job.writes(), storage.Write{Key: job.OpenKey, Delete: true})
}
