package job

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

const (
	// progressInterval is the time between two writes of the progress of a job's
	// items. The next owner repeats at most that much work.
	progressInterval = 1500 * time.Millisecond
	// minProgressBytes is the amount of new text from which an item's progress is
	// written.
	minProgressBytes = 1 << 10
	// maxProgressRows bounds the rows of one transaction.
	maxProgressRows = 60
)

// progressChunk is a stored part of an item's text. After is the id of the last event
// of the chunk before it, so that a gap is noticed; Last is the id of its own last
// event.
type progressChunk struct {
	After    string `json:"after,omitempty"`
	Last     string `json:"last"`
	Text     string `json:"text"`
	Failures int    `json:"failures,omitempty"`
}

// itemProgress is what earlier owners have stored of an item. nextRow is the number
// of the next row of progress.
type itemProgress struct {
	text      string
	lastEvent string
	failures  int
	nextRow   int
	// discarded is set if what is stored was not read, so that the item starts anew.
	discarded bool
}

// storedProgress is the progress of the items of a job by their index. It is partial if there
// was no memory for all of it.
type storedProgress struct {
	items   map[int]itemProgress
	partial bool
}

// of returns the progress of an item.
func (p *storedProgress) of(index int) itemProgress {
	if item, ok := p.items[index]; ok {
		return item
	}
	return itemProgress{discarded: p.partial}
}

// textBytes returns the size of the texts.
func (p *storedProgress) textBytes() (n int64) {
	for _, item := range p.items {
		n += int64(len(item.text))
	}
	return n
}

// saveProgress writes the text that items have received since the last write. A write
// that was not confirmed is repeated with the same rows, since the first one may
// still take effect. It reports false when this process does not own the job any
// more.
func (r *run) saveProgress() bool {
	claim := r.service.storing.claim(storeCopies * r.unsavedBytes())
	if r.service.storing.take(r.ctx, claim) != nil {
		return false
	}
	defer r.service.storing.release(claim)
	if len(r.unconfirmed) == 0 {
		r.unconfirmed = r.collectProgress(minProgressBytes, nil)
	}
	if len(r.unconfirmed) == 0 {
		return true
	}
	page, err := r.transact(r.ctx, storage.RowTransaction{Puts: r.unconfirmed})
	switch code.Of(err) {
	case 0:
		r.unconfirmed = nil
	case code.StoreConflict:
		_, retry := r.resolveConflict(page, &r.head.head)
		return retry || r.ctx.Err() == nil
	default:
		r.service.options.Log.Debug("progress not written", zap.String("job", r.id), zap.Error(err))
	}
	return true
}

// unsavedBytes returns the size of the text that the next write of progress may have.
func (r *run) unsavedBytes() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.unconfirmed {
		n += int64(len(row.Value))
	}
	for _, c := range r.unfinished {
		c.mu.Lock()
		n += int64(c.text.Len() - c.savedBytes)
		c.mu.Unlock()
	}
	return min(n, storage.MaxRowTransactionBytes)
}

// collectProgress returns rows with the new text of the unfinished items that have at
// least minBytes of it, and marks that text as saved. The rows stay within the limits
// of one transaction together with along, which are written in the same one.
func (r *run) collectProgress(minBytes int, along []storage.TableRow) []storage.TableRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []storage.TableRow
	size := 0
	for _, row := range along {
		size += len(row.Value) * 4 / 3
	}
	for index, c := range r.unfinished {
		for {
			row, ok := c.progressRow(r.head.part, r.id, index, minBytes)
			if !ok {
				break
			}
			rows = append(rows, row)
			if size += len(row.Value) * 4 / 3; size > storage.MaxRowTransactionBytes/2 || len(rows)+len(along) >= maxProgressRows {
				return rows
			}
		}
	}
	return rows
}

// eventEnd is the id of an event and the length of an item's text up to its end.
type eventEnd struct {
	id    string
	bytes int
}

// progressRow returns a row with as much of the item's new text as the row holds, and marks
// that text as saved. It reports false when there is too little of it, when a single event
// is larger than a row, or when the text was restarted.
func (c *collector) progressRow(part, id string, index, minBytes int) (storage.TableRow, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := len(c.unsaved) > 0 && c.text.Len()-c.savedBytes >= minBytes || c.failures != c.savedFailures
	if !changed || c.restarted {
		return storage.TableRow{}, false
	}
	value, n := c.progressChunk()
	if len(value) > storage.MaxRowBytes {
		return storage.TableRow{}, false
	}
	key := storage.RowKey{Table: progressTable, Part: part, Key: fmt.Sprintf(chunkKeyFormat, id, index, c.nextRow)}
	if n > 0 {
		c.savedBytes, c.savedEvent = c.unsaved[n-1].bytes, c.unsaved[n-1].id
		c.unsaved = slices.Delete(c.unsaved, 0, n)
	}
	c.savedFailures = c.failures
	c.nextRow++
	return storage.TableRow{RowKey: key, Value: value}, true
}

// progressChunk encodes a chunk with the first n events that are not saved: all, or half as
// many as often as it takes for the chunk to fit into a row, but at least one. The lock is
// held.
func (c *collector) progressChunk() (value []byte, n int) {
	for n = len(c.unsaved); ; n /= 2 {
		last := eventEnd{c.savedEvent, c.savedBytes}
		if n > 0 {
			last = c.unsaved[n-1]
		}
		p := progressChunk{After: c.savedEvent, Last: last.id, Text: c.text.String()[c.savedBytes:last.bytes], Failures: c.failures}
		value, err := json.Marshal(p)
		if err != nil {
			panic(err) // The type has only strings and numbers.
		}
		if n <= 1 || len(value) <= storage.MaxRowBytes {
			return value, n
		}
	}
}

// loadProgress returns the stored progress of the items of a job, and what it takes of
// Service.loaded. Without enough memory, items start anew.
func (s *Service) loadProgress(ctx context.Context, part, id string) (p storedProgress, claim int64, err error) {
	p.items = map[int]itemProgress{}
	for from := id + "/"; ; {
		page, err := s.options.Store.GetRows(ctx, progressTable, part, from, id+"0")
		if err != nil {
			return storedProgress{}, 0, err
		}
		addProgress(p.items, page.Rows)
		if p.textBytes() > s.loaded.most()/maxProgressShare {
			p.partial = true
			break
		}
		if !page.More {
			break
		}
		from = storage.NextKey(page.Rows)
	}
	claim = s.loaded.claim(p.textBytes())
	if p.partial || !s.loaded.tryTake(claim) {
		s.options.Log.Info("no memory for the progress of a job, its items start anew", zap.String("job", id), zap.Int64("bytes", p.textBytes()))
		return storedProgress{partial: true}, 0, nil
	}
	return p, claim, nil
}

// maxProgressShare is the part of the memory for the jobs that run here, as a divisor, that the
// stored progress of a single one may take.
const maxProgressShare = 4

// joinProgress joins the chunks of each item, up to the first that does not follow
// the one before it. Rows that are not progress are left out.
func joinProgress(rows []storage.TableRow) map[int]itemProgress {
	items := map[int]itemProgress{}
	addProgress(items, rows)
	return items
}

// addProgress is like joinProgress for rows that follow those that items were joined from.
func addProgress(items map[int]itemProgress, rows []storage.TableRow) {
	for _, r := range rows {
		fields := strings.Split(r.Key, "/")
		var index, number int
		if len(fields) < 3 {
			continue
		}
		if _, err := fmt.Sscanf(strings.Join(fields[len(fields)-2:], " "), "%d %d", &index, &number); err != nil {
			continue
		}
		var p progressChunk
		if err := json.Unmarshal(r.Value, &p); err != nil {
			continue
		}
		item := items[index]
		item.nextRow = max(item.nextRow, number+1)
		if p.After == item.lastEvent {
			item.text += p.Text
			item.lastEvent, item.failures = p.Last, p.Failures
		}
		items[index] = item
	}
}
