package batch

import (
	"bytes"
	"context"
	"slices"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// maxBufferBytes bounds the results that wait for a commit.
const maxBufferBytes = 4 << 20

// shouldCommit reports whether it is time to commit what is done: at the end of
// the segment, when only stragglers are left, and when the results grow large.
func (l *lease) shouldCommit() bool {
	if len(l.buffer) == 0 {
		return false
	}
	return len(l.waiting) == 0 && l.running == l.inLane || l.bufferBytes >= maxBufferBytes
}

// leave commits what is done and gives the lease back.
func (l *lease) leave(work context.Context) error {
	if cause := context.Cause(l.ctx); cause == errCancelled {
		return errCancelled
	}
	return l.commit(work, l.prepare(false, true))
}

// giveBack releases a lease under which nothing ran.
func (l *lease) giveBack() error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), storeTime)
	defer cancel()
	row := l.row
	row.Holder = ""
	row.Expires = 0
	_, err := l.write(ctx, row, nil)
	return err
}

// write writes the segment's row on the condition that the row still has the
// lease's version and that the job is open, and returns the row's new version.
// end is written along when the segment ends the job. A write may be repeated
// with the same row after any error.
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
	applied, err := l.r.store.settle(ctx, t, func(ctx context.Context) (took bool, err error) {
		found, err = l.r.store.get(ctx, key)
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

// rebase looks at the row that a write met. A renewal whose answer was lost
// leaves a newer version of the same lease; the write can be repeated on top of
// it. Otherwise the lease is lost.
func (l *lease) rebase(found storage.Row) error {
	row, err := decode[segmentRow](found)
	if err != nil {
		return err
	}
	if row.Token != l.row.Token || row.Holder != l.r.holder {
		return errLost
	}
	l.version = found.Version
	return errRebased
}

// endWrites are the writes that end a job.
func endWrites(job jobRow) []storage.Write {
	return append(job.writes(), storage.Write{Key: job.OpenKey, Delete: true})
}
