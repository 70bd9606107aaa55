package claim

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/storage"
)

// sweepPageRows is the number of rows that one step of the removal reads.
const sweepPageRows = 500

// sweepPageObjects is the number of objects that one step of the removal lists.
const sweepPageObjects = 100

// sweep removes claims that are older than the retention in the groups that this
// instance owns, and the objects of old answers as the owner of the first group.
func (s *Service) sweep(ctx context.Context) {
	ticker := time.NewTicker(s.options.SweepInterval)
	defer ticker.Stop()
	positions := make([]string, s.options.Groups)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for group := range positions {
			if ownerOf(group, s.options.View.Live()).ID != s.options.PeerID {
				continue
			}
			positions[group] = s.sweepRows(ctx, group, positions[group])
			if group == 0 {
				s.sweepObjects(ctx)
			}
		}
	}
}

// sweepRows reads one page of the rows of a group from a key on, removes those that
// are too old, and returns the first key of the next page, "" to start again.
func (s *Service) sweepRows(ctx context.Context, group int, from string) string {
	start, end := groupRange(group, s.options.Groups)
	if from > start {
		start = from
	}
	rows, err := s.options.SweepTable.Range(ctx, start, end, sweepPageRows)
	if err != nil {
		return from
	}
	var t storage.Transaction
	last := ""
	for _, row := range rows {
		if len(t.Writes) == storage.MaxTransactionWrites {
			break
		}
		last = row.Key
		if s.isExpired(row) {
			t.Conditions = append(t.Conditions, storage.Condition{Key: row.Key, Version: row.Version})
			t.Writes = append(t.Writes, storage.Write{Key: row.Key, Delete: true})
		}
	}
	s.removeRows(ctx, t)
	if last == "" {
		return ""
	}
	return last + "\x00"
}

// removeRows applies a removal. It is not retried: the next sweep finds what is left.
func (s *Service) removeRows(ctx context.Context, t storage.Transaction) {
	if len(t.Writes) == 0 {
		return
	}
	if _, err := s.options.SweepTable.Apply(ctx, t); err != nil {
		s.logger.Debug("old claims not removed", zap.Error(err))
		return
	}
	s.metrics.swept.Add(float64(len(t.Writes)))
}

// isExpired reports whether a row is past its retention. A pending claim is kept for
// the longest run in addition, since its call may be running.
func (s *Service) isExpired(row storage.Row) bool {
	record, err := decodeRow(row)
	if err != nil || record == nil {
		return false
	}
	retention := s.options.Retention
	if record.State == claimpb.State_STATE_PENDING {
		retention += s.options.MaxRun + s.options.Margin
	}
	return time.Since(time.UnixMilli(record.ClaimedUnixMs)) > retention
}

// sweepObjects removes objects whose hour is so long ago that every row that refers
// to them is past its retention.
func (s *Service) sweepObjects(ctx context.Context) {
	infos, err := s.options.SweepObjects.List(ctx, objectPrefix, "", sweepPageObjects)
	if err != nil {
		return
	}
	for _, info := range infos {
		hour, _, _ := strings.Cut(strings.TrimPrefix(info.Key, objectPrefix), "/")
		writtenAt, err := time.Parse(objectHourLayout, hour)
		if err != nil || time.Since(writtenAt) < s.options.Retention+time.Hour {
			continue
		}
		if s.options.SweepObjects.Delete(ctx, info.Key) != nil {
			return
		}
	}
}
