package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

const (
	// progressInterval is the time between two writes of the progress of a job's
	// items; the next owner repeats that much work at most.
	progressInterval = 1500 * time.Millisecond
	// minProgress is the new text from which an item's progress is written.
	minProgress = 1 << 10
	// maxProgressRows bounds one transaction.
	maxProgressRows = 60
)

// progress is a piece of an item's text. The pieces of an item follow on one
// another: each names the event before it.
type progress struct {
	After    string `json:"after,omitempty"`
	Last     string `json:"last"`
	Text     string `json:"text"`
	Failures int    `json:"failures,omitempty"`
}

// saved is how far an item got at earlier owners.
type saved struct {
	text     string
	last     string
	failures int
	rows     int
}

// saveProgress writes what items have got since the last time. A write that was
// not confirmed is repeated with the same rows, since the first may still take
// effect. It reports false when the job is not ours any more.
func (r *run) saveProgress() bool {
	if len(r.unsaved) == 0 {
		r.unsaved = r.gatherProgress(minProgress, nil)
	}
	if len(r.unsaved) == 0 {
		return true
	}
	page, err := r.service.options.Store.ApplyRows(r.ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: headKey(r.head.part, r.id), Version: r.head.version}},
		Puts:       r.unsaved,
	})
	switch code.Of(err) {
	case 0:
		r.unsaved = nil
	case code.StoreConflict:
		_, retry := r.resolve(page, &r.head.head)
		return retry || r.ctx.Err() == nil
	default:
		r.service.options.Log.Debug("progress not written", zap.String("job", r.id), zap.Error(err))
	}
	return true
}

// gatherProgress makes rows of the new text of all running items that have at
// least a number of bytes, and notes it as written. before are rows that are
// written along.
func (r *run) gatherProgress(least int, before []storage.TableRow) []storage.TableRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []storage.TableRow
	size := 0
	for _, row := range before {
		size += len(row.Value) * 4 / 3
	}
	for index, c := range r.running {
		row, ok := c.piece(r.head.part, r.id, index, least)
		if !ok {
			continue
		}
		rows = append(rows, row)
		if size += len(row.Value) * 4 / 3; size > storage.MaxRowTransactionBytes/2 || len(rows)+len(before) >= maxProgressRows {
			break
		}
	}
	return rows
}

// piece returns the row of an item's new text.
func (c *collector) piece(part, id string, index, least int) (storage.TableRow, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.text.Len() - c.kept
	news := c.last != c.keptLast && size >= least || c.failures != c.keptFailures
	if !news || size > chunkBytes || c.restarted {
		return storage.TableRow{}, false
	}
	p := progress{After: c.keptLast, Last: c.last, Text: c.text.String()[c.kept:], Failures: c.failures}
	value, err := json.Marshal(p)
	if err != nil {
		panic(err) // Strings and numbers only.
	}
	key := storage.RowKey{Table: progressTable, Part: part, Key: fmt.Sprintf(pieceKey, id, index, c.next)}
	c.kept, c.keptLast, c.keptFailures = c.text.Len(), c.last, c.failures
	c.next++
	return storage.TableRow{RowKey: key, Value: value}, true
}

// loadProgress returns how far the items of a job got.
func (s *Service) loadProgress(ctx context.Context, part, id string) (map[int]saved, error) {
	page, err := storage.ReadRows(ctx, s.options.Store, progressTable, part, id+"/", id+"0")
	if err != nil {
		return nil, err
	}
	return joinProgress(page.Rows), nil
}

// joinProgress puts the pieces of each item together, up to the first that does
// not follow on the one before.
func joinProgress(rows []storage.TableRow) map[int]saved {
	items := map[int]saved{}
	for _, r := range rows {
		fields := strings.Split(r.Key, "/")
		var index, number int
		if len(fields) < 3 {
			continue
		}
		if _, err := fmt.Sscanf(strings.Join(fields[len(fields)-2:], " "), "%d %d", &index, &number); err != nil {
			continue
		}
		var p progress
		if err := json.Unmarshal(r.Value, &p); err != nil {
			continue
		}
		item := items[index]
		item.rows = max(item.rows, number+1)
		if p.After == item.last {
			item.text += p.Text
			item.last, item.failures = p.Last, p.Failures
		}
		items[index] = item
	}
	return items
}
