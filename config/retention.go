package config

import (
	"context"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
)

const (
	// snapshotInterval is the number of versions from one snapshot to the next.
	snapshotInterval = 64
	// keptSnapshots is the number of snapshots that are not deleted.
	keptSnapshots = 3
	// DefaultKeptChanges is the number of changes that the history holds.
	DefaultKeptChanges = 20_000
	// minKeptChanges leaves enough changes for readers of an old snapshot.
	minKeptChanges = 2 * keptSnapshots * snapshotInterval
	// trimRows is the number of changes that are deleted at once. It is over
	// snapshotInterval, so that deleting keeps up with new changes, and each
	// takes two writes of the transaction.
	trimRows = storage.MaxTransactionWrites / 2
)

// snapshot stores the base document when the last snapshot is an interval old.
// It returns the version of the newest snapshot. A failure only leaves a
// longer list of changes to read at a start.
func (s *Store) snapshot(ctx context.Context, h head, base *contract.Document) uint64 {
	if base.Version-h.Snapshot < snapshotInterval {
		return h.Snapshot
	}
	if err := s.putObject(ctx, snapshotKey(base.Version), base); err != nil {
		s.logger.Warn("configuration snapshot not stored", zap.Uint64("version", base.Version), zap.Error(err))
		return h.Snapshot
	}
	s.trimSnapshots(ctx)
	if err := s.trimChanges(ctx, base.Version); err != nil {
		s.logger.Warn("old configuration changes not deleted", zap.Error(err))
	}
	return base.Version
}

// trimSnapshots deletes the oldest snapshots. The one that the head names now
// and the one that it is about to name are among those kept.
func (s *Store) trimSnapshots(ctx context.Context) {
	infos, err := s.options.Objects.List(ctx, snapshotPrefix, "", pageRows)
	s.metrics.reads.Inc()
	if err != nil {
		return
	}
	for _, info := range infos[:max(len(infos)-keptSnapshots, 0)] {
		if err := s.options.Objects.Delete(ctx, info.Key); err != nil {
			s.logger.Warn("old configuration snapshot not deleted", zap.String("key", info.Key), zap.Error(err))
			return
		}
	}
}

// trimChanges deletes the oldest changes before the kept ones, with their ids.
// No reader needs them: the snapshots are newer.
func (s *Store) trimChanges(ctx context.Context, version uint64) error {
	kept := uint64(s.options.KeptChanges)
	if version <= kept {
		return nil
	}
	rows, err := s.options.Table.Range(ctx, changePrefix, changeKey(version-kept+1), trimRows)
	s.metrics.reads.Inc()
	if err != nil || len(rows) == 0 {
		return err
	}
	var t storage.Transaction
	for _, row := range rows {
		var c changeRow
		if err := decodeRow(row, &c); err != nil {
			return err
		}
		if c.EditsObject != "" {
			if err := s.options.Objects.Delete(ctx, c.EditsObject); err != nil {
				return err
			}
		}
		t.Writes = append(t.Writes, storage.Write{Key: row.Key, Delete: true}, storage.Write{Key: idPrefix + c.ID, Delete: true})
	}
	_, err = s.options.Table.Apply(ctx, t)
	s.metrics.writes.Inc()
	return err
}
