package job

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

const (
	// commitGather is how long the first result waits for others, so that results
	// that end together cost one transaction.
	commitGather = 30 * time.Millisecond
	// Bounds of the pause after a failed transaction, with jitter.
	minCommitPause = 60 * time.Millisecond
	maxCommitPause = 600 * time.Millisecond
	// maxCommitResults keeps a transaction under the store's number of entries.
	maxCommitResults = 12
)

// commitAll lists results as they come, until all are listed or the job is not
// ours any more.
func (r *run) commitAll() {
	var waiting []finished
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		if len(waiting) == 0 {
			select {
			case <-ticker.C:
				if !r.saveProgress() {
					return
				}
				continue
			case <-r.ctx.Done():
				return
			case ctx := <-r.giveUp:
				r.leave(ctx)
				return
			case f := <-r.finished:
				waiting = append(waiting, f)
				r.gather(&waiting)
			}
		}
		n := r.fit(waiting)
		if !r.commit(waiting[:n]) {
			return
		}
		waiting = waiting[n:]
		if r.done() {
			return
		}
		r.drain(&waiting)
	}
}

func (r *run) gather(waiting *[]finished) {
	select {
	case <-r.ctx.Done():
	case <-time.After(commitGather):
	}
	r.drain(waiting)
}

func (r *run) drain(waiting *[]finished) {
	for {
		select {
		case f := <-r.finished:
			*waiting = append(*waiting, f)
		default:
			return
		}
	}
}

// fit returns how many results go into one transaction.
func (r *run) fit(waiting []finished) int {
	size, n := 0, 0
	for _, f := range waiting {
		size += len(f.result.Text)*5/4 + 256
		if n > 0 && (size > storage.MaxRowTransactionBytes/2 || n == maxCommitResults) {
			break
		}
		n++
	}
	return n
}

// done reports whether all items are listed, and forgets the job if so.
func (r *run) done() bool {
	if r.head.open() {
		return false
	}
	r.forget()
	r.service.options.Log.Info("job complete", zap.String("job", r.id), zap.Int("items", r.head.Total))
	return true
}

// forget takes the job off the service.
func (r *run) forget() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.service.owned[r.id] == r {
		delete(r.service.owned, r.id)
	}
	r.cancel()
}

// commit lists results in one transaction under the condition that the head is
// unchanged. It tries until that is decided, and reports false when the job is
// not ours any more.
func (r *run) commit(batch []finished) bool {
	next := r.head.head
	next.Done = slices.Clone(next.Done)
	t := storage.RowTransaction{}
	results := make([]Result, 0, len(batch))
	for _, f := range batch {
		t.Puts = append(t.Puts, piecesOf(resultTable, r.head.part, r.id, next.Listed, f.result)...)
		next.Listed++
		next.Done = append(next.Done, f.index)
		next.Tokens -= r.items[f.index].Tokens
		results = append(results, f.result)
	}
	first := r.head.Listed
	if !r.apply(r.ctx, &next, t) {
		return false
	}
	r.service.mu.Lock()
	r.service.results.add(r.id, first, results)
	r.service.learn(r.id, r.head)
	r.service.mu.Unlock()
	r.service.options.Log.Info("results listed", zap.String("job", r.id), zap.Int("first", first), zap.Int("count", len(batch)), zap.Uint64("version", r.head.version))
	return true
}

// apply writes the next head with the rows of t, again and again until the store
// has decided. It reports whether the next head holds.
func (r *run) apply(ctx context.Context, next *head, t storage.RowTransaction) bool {
	row := headRow(r.head.part, r.id, next)
	t.Puts = append(t.Puts, row)
	pause := minCommitPause
	for ctx.Err() == nil {
		t.Conditions = []storage.RowCondition{{RowKey: headKey(r.head.part, r.id), Version: r.head.version}}
		page, err := r.service.options.Store.ApplyRows(ctx, t)
		switch code.Of(err) {
		case 0:
			r.head = versioned{*next, page.Version, r.head.part}
			return true
		case code.StoreConflict:
			holds, retry := r.resolve(page, next)
			if !retry {
				return holds
			}
			continue
		}
		if pause == minCommitPause {
			// One line an outage; the line of what is listed in the end follows.
			r.service.options.Log.Info("commit not taken, trying on", zap.String("job", r.id), zap.Int("listed", next.Listed),
				zap.Uint64("version", r.head.version), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, maxCommitPause)
	}
	return false
}

// resolve decides after a conflict: an earlier try may have taken effect, the
// version may only have been unknown, or another has changed the job.
func (r *run) resolve(page storage.RowPage, next *head) (holds, retry bool) {
	for _, row := range page.Rows {
		if row.Table != headTable || row.Key != r.id || row.Removed || row.Version == 0 {
			continue
		}
		present, err := decodeHead(row)
		if err != nil {
			return false, false
		}
		if same(&present.head, next) {
			r.head = present
			return true, false
		}
		if same(&present.head, &r.head.head) && present.version != r.head.version {
			r.head.version = present.version
			return false, true
		}
		r.service.mu.Lock()
		r.service.learn(r.id, present)
		r.service.mu.Unlock()
	}
	r.service.options.Log.Info("job changed by another", zap.String("job", r.id))
	r.forget()
	return false, false
}

// same compares heads.
func same(a, b *head) bool {
	return a.Owner == b.Owner && a.Ended == b.Ended && a.Listed == b.Listed && slices.Equal(a.Done, b.Done)
}

// handOver stops the items and leaves the job, with the progress of its items,
// to another instance.
func (r *run) handOver(ctx context.Context) {
	select {
	case r.giveUp <- ctx:
	default:
	}
	select {
	case <-r.gave:
	case <-r.ctx.Done():
	case <-ctx.Done():
	}
}

// leave lists what has finished and hands the rest over.
func (r *run) leave(ctx context.Context) {
	defer close(r.gave)
	var waiting []finished
	r.drain(&waiting)
	for len(waiting) > 0 {
		n := r.fit(waiting)
		if !r.commit(waiting[:n]) {
			return
		}
		waiting = waiting[n:]
	}
	if !r.done() {
		r.release(ctx)
	}
}

// release writes a head without owner. Items go on running until it is written,
// and their progress up to then is kept.
func (r *run) release(ctx context.Context) {
	next := r.head.head
	next.Owner = ""
	rows := append(r.unsaved, r.gatherProgress(0, r.unsaved)...)
	held := r.apply(ctx, &next, storage.RowTransaction{Puts: rows})
	r.service.options.Log.Info("job handed over", zap.String("job", r.id), zap.Bool("written", held), zap.Int("progress_rows", len(rows)))
	r.forget()
}
