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
	// commitDelay is how long the first result waits for others, so that results that
	// arrive together are written in one transaction.
	commitDelay = 30 * time.Millisecond
	// minCommitBackoff and maxCommitBackoff bound the backoff after a failed
	// transaction. Half of it is random.
	minCommitBackoff = 60 * time.Millisecond
	maxCommitBackoff = 600 * time.Millisecond
	// maxCommitResults keeps a transaction under the store's limit of entries.
	maxCommitResults = 12
	// refusedRetryInterval is the time until a job whose rows the store refuses for their size
	// is taken up again. Another version, or another limit of the store, may take them.
	refusedRetryInterval = time.Minute
)

// commitAll lists results as they arrive and writes progress in between, until all
// results are listed, the job is handed over, or this process no longer owns it.
func (r *run) commitAll() {
	var pending []itemResult
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		if len(pending) == 0 {
			select {
			case <-ticker.C:
				if !r.saveProgress() {
					return
				}
				continue
			case <-r.ctx.Done():
				return
			case ctx := <-r.handOverRequest:
				r.commitAndRelease(ctx)
				return
			case f := <-r.finished:
				pending = append(pending, f)
				r.waitForMore(&pending)
			}
		}
		n := r.batchSize(pending)
		if !r.commit(pending[:n]) {
			return
		}
		pending = pending[n:]
		if r.finishIfComplete() {
			return
		}
		r.takeFinished(&pending)
	}
}

// waitForMore waits for commitDelay and appends the results that have arrived.
func (r *run) waitForMore(pending *[]itemResult) {
	select {
	case <-r.ctx.Done():
	case <-time.After(commitDelay):
	}
	r.takeFinished(pending)
}

// takeFinished appends the results that have arrived to pending. It does not wait.
func (r *run) takeFinished(pending *[]itemResult) {
	for {
		select {
		case f := <-r.finished:
			*pending = append(*pending, f)
		default:
			return
		}
	}
}

// batchSize returns how many results go into one transaction, at least one.
func (r *run) batchSize(pending []itemResult) int {
	size, n := 0, 0
	for _, f := range pending {
		size += f.result.Bytes()*5/4 + 256
		if n > 0 && (size > storage.MaxRowTransactionBytes/2 || n == maxCommitResults) {
			break
		}
		n++
	}
	return n
}

// finishIfComplete reports whether the job has no items left, and detaches the run
// then.
func (r *run) finishIfComplete() bool {
	if r.head.open() {
		return false
	}
	r.detach()
	r.service.options.Log.Info("job complete", zap.String("job", r.id), zap.Int("items", r.head.Total))
	return true
}

// detach cancels the run and removes it from the service.
func (r *run) detach() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.service.owned[r.id] == r {
		delete(r.service.owned, r.id)
	}
	r.cancel()
}

// commit lists results in one transaction on condition that the head is unchanged. It
// retries until the store has decided, and reports false when this process no longer
// owns the job.
func (r *run) commit(batch []itemResult) bool {
	claim := r.service.storing.claim(storeCopies * resultBytes(batch))
	if r.service.storing.take(r.ctx, claim) != nil {
		return false
	}
	defer r.service.storing.release(claim)
	first := r.head.Listed
	var rows []storage.TableRow
	results := make([]Result, 0, len(batch))
	for i, f := range batch {
		rows = append(rows, chunkRows(resultTable, r.head.part, r.id, first+i, f.result)...)
		results = append(results, f.result)
	}
	listedBytes := r.head.ListedBytes
	if first == 0 || listedBytes > 0 {
		for _, row := range rows {
			listedBytes += int64(len(row.Value))
		}
	}
	rows, ok := r.writeAhead(rows)
	if !ok {
		return false
	}
	next := r.head.head
	next.Done, next.Ahead, next.ListedBytes = slices.Clone(next.Done), 0, listedBytes
	for _, f := range batch {
		next.Listed++
		next.Done = append(next.Done, f.index)
		// An older version may have counted less at the acceptance.
		next.Tokens = max(next.Tokens-r.items[f.index].quotaTokens(), 0)
	}
	if !r.apply(r.ctx, &next, storage.RowTransaction{Puts: rows}) {
		return false
	}
	r.service.mu.Lock()
	r.service.results.add(r.id, first, results)
	r.service.updateHead(r.id, r.head)
	r.service.mu.Unlock()
	for _, f := range batch {
		r.collectors[f.index].release()
	}
	r.service.options.Log.Info("results listed", zap.String("job", r.id), zap.Int("first", first), zap.Int("count", len(batch)), zap.Uint64("version", r.head.version.newest()))
	return true
}

// storeCopies is the number of copies of a result that exist while it is written to the store: the
// encoded rows, and the transaction with them.
const storeCopies = 4

// resultBytes returns the size of results.
func resultBytes(batch []itemResult) (n int64) {
	for _, f := range batch {
		n += int64(f.result.Bytes())
	}
	return n
}

// writeAhead writes rows of results that are not listed yet, until the rest fits into one
// transaction with the next head, and returns the rest. Each transaction changes the head,
// so that none takes effect after another instance has taken the job over. It reports false
// when this process no longer owns the job.
func (r *run) writeAhead(rows []storage.TableRow) (rest []storage.TableRow, ok bool) {
	for n := fittingRows(rows); n < len(rows); n = fittingRows(rows) {
		next := r.head.head
		next.Ahead += n
		if !r.apply(r.ctx, &next, storage.RowTransaction{Puts: rows[:n:n]}) {
			return nil, false
		}
		rows = rows[n:]
	}
	return rows, true
}

// fittingRows returns how many rows of results one transaction holds beside a head.
func fittingRows(rows []storage.TableRow) int {
	size := 0
	for n, row := range rows {
		if size += len(row.Value); size > storage.MaxRowTransactionBytes-storage.MaxRowBytes || n > storage.MaxRowWrites/2 {
			return n
		}
	}
	return len(rows)
}

// apply writes the next head together with the rows of t. It retries until the store
// has decided or ctx ends, and reports whether the next head is in force. If the store refuses
// the rows for their size, it ends the run.
func (r *run) apply(ctx context.Context, next *head, t storage.RowTransaction) bool {
	row := headRow(r.head.part, r.id, next)
	t.Puts = append(t.Puts, row)
	backoff := minCommitBackoff
	for ctx.Err() == nil {
		page, err := r.transact(ctx, t)
		switch code.Of(err) {
		case 0:
			r.head = versionedHead{*next, versionWritten(r.head.version.base, page.Version), r.head.part}
			return true
		case code.StoreConflict:
			applied, retry := r.resolveConflict(page, next)
			if !retry {
				return applied
			}
			continue
		case code.StoreTooLarge:
			r.giveUp(err)
			return false
		}
		if backoff == minCommitBackoff {
			// One line for each outage is enough. "results listed" follows when it is over.
			r.service.options.Log.Info("commit not taken, trying on", zap.String("job", r.id), zap.Int("listed", next.Listed),
				zap.Uint64("version", r.head.version.newest()), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		}
		backoff = min(2*backoff, maxCommitBackoff)
	}
	return false
}

// giveUp ends the run of a job whose rows the store refuses for their size, since the same rows
// would be refused again. What the job holds is free for others meanwhile.
func (r *run) giveUp(err error) {
	r.service.options.Log.Error("job given up for a while, the store refuses its rows", zap.String("job", r.id), zap.Int("listed", r.head.Listed),
		zap.Int("items", r.head.Total), zap.Duration("retry_after", refusedRetryInterval), zap.Error(err))
	r.detach()
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.orphans[r.id] = time.Now().Add(refusedRetryInterval)
}

// transact runs a transaction on condition that the head is the one that this process wrote
// last. Errors: those of storage.Rows.
func (r *run) transact(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if err := r.confirmHead(ctx); err != nil {
		return storage.RowPage{}, err
	}
	t.Conditions = []storage.RowCondition{{RowKey: headKey(r.head.part, r.id), Version: r.head.version.base}}
	return r.service.options.Store.ApplyRows(ctx, t)
}

// confirmHead learns the version of the head that this process wrote last, from the feed or by
// a read. Errors: code.StoreConflict when another process has changed the job, and those of a
// read.
func (r *run) confirmHead(ctx context.Context) error {
	if r.head.version.known() {
		return nil
	}
	current, err := r.service.confirmedHead(ctx, r.id, r.head.version)
	switch {
	case code.Of(err) == code.JobUnknown:
		return code.Wrap(code.StoreConflict, err, "job %q was removed", r.id)
	case err != nil:
		return err
	case !sameState(&current.head, &r.head.head):
		return code.New(code.StoreConflict, "job %q was changed", r.id)
	}
	r.head.version = current.version
	return nil
}

// resolveConflict decides what a conflict means from the rows that the store
// returned: an earlier attempt took effect (applied), only the version of the head
// differs from the known one (retry), or another process has changed the job. In the
// last case, and when the head can't be read, it detaches the run. This or another
// process takes the job over once its head can be read.
func (r *run) resolveConflict(page storage.RowPage, next *head) (applied, retry bool) {
	for _, row := range page.Rows {
		if row.Table != headTable || row.Key != r.id || row.Removed || row.Version == 0 {
			continue
		}
		current, err := decodeHead(row)
		if err != nil {
			r.service.options.Log.Error("job head can't be read", zap.String("job", r.id), zap.Error(err))
			continue
		}
		if sameState(&current.head, next) {
			r.head = current
			return true, false
		}
		if sameState(&current.head, &r.head.head) && current.version != r.head.version {
			r.head.version = current.version
			return false, true
		}
		r.service.mu.Lock()
		r.service.updateHead(r.id, current)
		r.service.mu.Unlock()
	}
	r.service.options.Log.Info("job changed by another instance", zap.String("job", r.id), zap.Uint64("condition", r.head.version.base))
	r.detach()
	return false, false
}

// sameState reports whether two heads have the same owner and the same results, and
// whether both or neither are ended.
func sameState(a, b *head) bool {
	return a.Owner == b.Owner && a.Ended == b.Ended && a.Listed == b.Listed && a.Ahead == b.Ahead && slices.Equal(a.Done, b.Done)
}

// handOver makes commitAll release the job, with the progress of its items, so that
// another instance takes it over. It waits until that is done, the run has ended, or
// ctx ends.
func (r *run) handOver(ctx context.Context) {
	select {
	case r.handOverRequest <- ctx:
	default:
	}
	select {
	case <-r.handOverDone:
	case <-r.ctx.Done():
	case <-ctx.Done():
	}
}

// commitAndRelease lists the results that have arrived and hands over the rest of the
// job.
func (r *run) commitAndRelease(ctx context.Context) {
	defer close(r.handOverDone)
	var pending []itemResult
	r.takeFinished(&pending)
	for len(pending) > 0 {
		n := r.batchSize(pending)
		if !r.commit(pending[:n]) {
			return
		}
		pending = pending[n:]
	}
	if !r.finishIfComplete() {
		r.release(ctx)
	}
}

// release writes a head without an owner, together with the progress of the running
// items as far as one transaction holds it. Items run until the head is written.
func (r *run) release(ctx context.Context) {
	next := r.head.head
	next.Owner, next.Ahead = "", 0
	rows := append(r.unconfirmed, r.collectProgress(0, r.unconfirmed)...)
	written := r.apply(ctx, &next, storage.RowTransaction{Puts: rows})
	r.service.options.Log.Info("job handed over", zap.String("job", r.id), zap.Bool("written", written), zap.Int("progress_rows", len(rows)))
	r.detach()
}
