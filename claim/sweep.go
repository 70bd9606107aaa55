package claim

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/storage"
)

// sweepRows is the number of rows that one step of the removal reads.
const sweepRows = 500

// sweepObjects is the number of objects that one step of the removal lists.
const sweepObjects = 100

// sweep removes claims and answers that are older than the retention, in the
// groups that this instance owns.
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

// sweepRows looks at one page of a group's rows, removes those that are too old
// and returns the place of the next page.
func (s *Service) sweepRows(ctx context.Context, group int, from string) string {
	start, end := groupRange(group, s.options.Groups)
	if from > start {
		start = from
	}
	rows, err := s.options.SweepTable.Range(ctx, start, end, sweepRows)
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
		if s.isOld(row) {
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

// removeRows applies a removal. It is not repeated: what is left is found by
// the next sweep.
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

func (s *Service) isOld(row storage.Row) bool {
	record, err := decodeRow(row)
	if err != nil || record == nil {
		return false
	}
	kept := s.options.Retention
	if record.State == claimpb.State_STATE_PENDING {
		kept += s.options.MaxRun + s.options.Margin
	}
	return time.Since(time.UnixMilli(record.ClaimedUnixMs)) > kept
}

// sweepObjects removes objects whose hour is so old that every row that points
// into them is.
func (s *Service) sweepObjects(ctx context.Context) {
	infos, err := s.options.SweepObjects.List(ctx, objectPrefix, "", sweepObjects)
	if err != nil {
		return
	}
	for _, info := range infos {
		hour, _, _ := strings.Cut(strings.TrimPrefix(info.Key, objectPrefix), "/")
		put, err := time.Parse(objectHourLayout, hour)
		if err != nil || time.Since(put) < s.options.Retention+time.Hour {
			continue
		}
		if s.options.SweepObjects.Delete(ctx, info.Key) != nil {
			return
		}
	}
}
