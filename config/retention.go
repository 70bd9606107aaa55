package config

import (
	"context"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
)

const (
	// snapshotInterval is the number of versions between two snapshots.
	snapshotInterval = 64
	// keptSnapshots is the number of snapshots that are kept.
	keptSnapshots = 3
	// DefaultKeptChanges is the default of Options.KeptChanges.
	DefaultKeptChanges = 20_000
	// minKeptChanges keeps the changes that a reader of an old snapshot needs.
	minKeptChanges = 2 * keptSnapshots * snapshotInterval
	// trimBatchSize is the number of changes that are deleted in one
	// transaction; each takes two writes of it. It is larger than
	// snapshotInterval, so that deletion keeps up with new changes.
	trimBatchSize = storage.MaxTransactionWrites / 2
)

// storeSnapshot stores the base document if the last snapshot is at least
// snapshotInterval versions older, and deletes old snapshots and changes. It
// returns the version of the newest snapshot. If it fails, a starting instance
// only has more changes to read.
func (s *Store) storeSnapshot(ctx context.Context, h head, base *contract.Document) uint64 {
	if base.Version-h.Snapshot < snapshotInterval {
		return h.Snapshot
	}
	if err := s.putObject(ctx, snapshotKey(base.Version), base); err != nil {
		s.logger.Warn("storing the configuration snapshot failed", zap.Uint64("version", base.Version), zap.Error(err))
		return h.Snapshot
	}
	s.trimSnapshots(ctx)
	if err := s.trimChanges(ctx, base.Version); err != nil {
		s.logger.Warn("deleting old configuration changes failed", zap.Error(err))
	}
	return base.Version
}

// trimSnapshots deletes all but the newest snapshots. Both the snapshot that
// the head names now and the one that it will name next are kept.
func (s *Store) trimSnapshots(ctx context.Context) {
	infos, err := s.options.Objects.List(ctx, snapshotPrefix, "", rowsPerPage)
	s.metrics.reads.Inc()
	if err != nil {
		return
	}
	for _, info := range infos[:max(len(infos)-keptSnapshots, 0)] {
		if err := s.options.Objects.Delete(ctx, info.Key); err != nil {
			s.logger.Warn("deleting an old configuration snapshot failed", zap.String("key", info.Key), zap.Error(err))
			return
		}
	}
}

// trimChanges deletes the oldest changes beyond Options.KeptChanges, with their
// id rows. No reader needs them, because the kept snapshots are newer.
func (s *Store) trimChanges(ctx context.Context, version uint64) error {
	kept := uint64(s.options.KeptChanges)
	if version <= kept {
		return nil
	}
	rows, err := s.options.Table.Range(ctx, changePrefix, changeKey(version-kept+1), trimBatchSize)
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
