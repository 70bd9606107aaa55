package batch

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// Reasons for which a lease ends or a write under it fails.
var (
	errCancelled = code.New(code.JobCancelled, "the job is cancelled")
	errExpired   = code.New(code.LeaseLost, "the lease is near its expiry")
	errLost      = code.New(code.LeaseLost, "the segment passed to another holder")
	errRebased   = code.New(code.StoreUnavailable, "a renewal took effect whose answer was lost")
	errDrained   = code.New(code.Draining, "the instance is stopping")
)

// storeTimeout is the timeout of one exchange with the store, retries included.
const storeTimeout = 10 * time.Second

// lease is a leased segment with the items that run under it. Its fields belong
// to the goroutine of run, except the atomic ones, ctx and abort.
type lease struct {
	runner *Runner
	job    *jobView
	number int
	entry  manifestEntry
	row    segmentRow
	// version is the version of the segment's row.
	version uint64

	// ctx is the context of the items. abort cancels it and may be called from any
	// goroutine.
	ctx   context.Context
	abort context.CancelCauseFunc
	// validUntil is the time, by the monotonic clock, at which the holder stops its
	// items; expiry calls abort at that time. renewAt is the time of the next renewal.
	validUntil atomic.Pointer[time.Time]
	expiry     *time.Timer
	renewAt    time.Time
	// groupRetryAt is the time before which no group of items is started, after the
	// write of its row was not confirmed.
	groupRetryAt time.Time

	// tasks are the items that have not ended, by their number in the segment;
	// waiting are those that were not started; running counts the others.
	tasks   []*task
	waiting []*task
	running int
	// stragglers counts the running items that are in the straggler lane.
	stragglers int
	taskEnds   chan taskEnd
	// itemTime is the total run time of the itemsEnded items that ended.
	itemTime   time.Duration
	itemsEnded int
	// leasedAt is the time at which the lease was acquired. progress is set when the
	// first item has sent a chunk or ended. starved is set while items wait to be
	// started.
	leasedAt time.Time
	progress atomic.Bool
	starved  atomic.Bool
	// hasSlot is true while the lease holds one of the runner's slots.
	hasSlot  bool
	draining bool

	// buffer has the results that are not committed, bufferBytes their size.
	buffer      []pendingResult
	bufferBytes int

	// items waits for the goroutines of the items.
	items sync.WaitGroup
}

// pendingResult is a result that is not committed yet.
type pendingResult struct {
	index  int
	line   []byte
	failed bool
}

// acquire leases a segment and starts to run its items. Errors: code.LeaseLost
// when another holder was first, code.JobCancelled when the job is no longer
// open, and errors of the store.
func (r *Runner) acquire(workCtx context.Context, v *jobView, number int, found versionedSegment) error {
	l := &lease{runner: r, job: v, number: number, entry: v.manifest[number]}
	startedAt := time.Now()
	l.row = found.forNextHolder(int(l.entry.Items))
	l.row.Holder = r.holder
	l.row.ExpiresMillis = startedAt.Add(r.opts.LeaseDuration).UnixMilli()
	l.version = found.version
	writeCtx, cancel := context.WithTimeout(workCtx, storeTimeout)
	defer cancel()
	version, err := l.write(writeCtx, l.row, nil)
	if err != nil {
		return err
	}
	l.version = version
	l.leasedAt = startedAt
	l.ctx, l.abort = context.WithCancelCause(workCtx)
	l.expiry = time.AfterFunc(r.opts.LeaseDuration, func() { l.abort(errExpired) })
	l.extend(startedAt)
	r.add(l)
	r.leaseLoops.Go(func() { l.run(workCtx) })
	return nil
}

// add adds the lease to the runner's leases and takes a slot. finder.poll has
// checked that one is free.
func (r *Runner) add(l *lease) {
	r.slots <- struct{}{}
	l.hasSlot = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases[l] = struct{}{}
	r.metrics.leases.Inc()
}

// remove removes the lease from the runner's leases and frees its slot.
func (r *Runner) remove(l *lease) {
	l.freeSlot()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leases, l)
	r.metrics.leases.Dec()
}

// starvedTimeout is how long a lease that has waiting items but no progress
// prevents the runner from acquiring another.
const starvedTimeout = 5 * time.Minute

// leasesProgress reports whether every lease has made progress or is older than
// its timeout. Otherwise capacity is short, and another lease would only withhold
// work from other instances.
func (r *Runner) leasesProgress() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.leases {
		timeout := r.opts.StragglerAfter
		if l.starved.Load() {
			timeout = max(timeout, starvedTimeout)
		}
		if !l.progress.Load() && time.Since(l.leasedAt) < timeout {
			return false
		}
	}
	return true
}

// recordProgress records that an item of the segment runs. It is safe for
// concurrent use.
func (l *lease) recordProgress() {
	if !l.progress.Load() && !l.progress.Swap(true) {
		signal(l.runner.wake)
	}
}

// freeSlot gives the lease's slot back to the runner, once. The lease then no
// longer counts in leasesProgress.
func (l *lease) freeSlot() {
	if !l.hasSlot {
		return
	}
	l.hasSlot = false
	l.progress.Store(true)
	<-l.runner.slots
	signal(l.runner.wake)
}

// extend extends the lease after a write of its row that began at startedAt. The
// time counts from before the write, so that the holder stops before others take
// over.
func (l *lease) extend(startedAt time.Time) {
	validity := l.runner.opts.LeaseDuration - l.runner.opts.LeaseMargin
	until := startedAt.Add(validity)
	l.validUntil.Store(&until)
	l.renewAt = startedAt.Add(validity / 2)
	l.expiry.Reset(time.Until(until))
}

// isValid reports whether items may be dispatched under the lease.
func (l *lease) isValid() bool {
	return l.ctx.Err() == nil && time.Now().Before(*l.validUntil.Load())
}

// run runs the items of the segment and commits their results.
func (l *lease) run(workCtx context.Context) {
	defer l.runner.remove(l)
	defer l.expiry.Stop()
	err := l.loadTasks()
	if err == nil {
		err = l.loop(workCtx)
	}
	l.abort(errLost)
	l.items.Wait()
	for ; l.stragglers > 0; l.stragglers-- {
		<-l.runner.stragglerLane
	}
	if err != nil {
		l.runner.metrics.leasesLost.Inc()
		l.runner.log.Info("lease ended early", zap.String("job", l.job.row.ID), zap.Int("segment", l.number), zap.Uint64("token", l.row.Token), zap.Error(err))
	}
}

// readInput reads the input of the segment. It retries while the lease lasts
// rather than release it, since a released segment would be leased again at once.
func (l *lease) readInput() ([]byte, error) {
	e := l.entry
	for attempt := 0; ; attempt++ {
		body, err := l.runner.store.readObject(l.ctx, inputObject(l.job.row.Upload, int(e.Object)), int64(e.Offset), int64(e.Length))
		if err == nil {
			return body, nil
		}
		l.runner.recordStoreFailure()
		if l.runner.isDraining() || !l.isValid() || runnerBackoff.Sleep(l.ctx, attempt) != nil {
			return nil, errors.Join(err, l.releaseUnused())
		}
	}
}

// loadTasks creates the tasks of the items that are not done.
func (l *lease) loadTasks() error {
	e := l.entry
	body, err := l.readInput()
	if err != nil {
		return err
	}
	lines := bytes.Split(bytes.TrimSuffix(body, []byte{'\n'}), []byte{'\n'})
	if len(lines) != int(e.Items) {
		return code.New(code.Internal, "segment %d of job %s has %d lines, want %d", l.number, l.job.row.ID, len(lines), e.Items)
	}
	l.tasks = make([]*task, len(lines))
	l.taskEnds = make(chan taskEnd, len(lines))
	for i, line := range lines {
		if l.row.Done.has(i) {
			continue
		}
		// The line is copied so that the memory of finished items can be freed.
		t := &task{lease: l, index: i, line: bytes.Clone(line)}
		t.attempts.Store(int64(l.row.Attempts[i]))
		l.tasks[i] = t
		l.waiting = append(l.waiting, t)
	}
	return nil
}

// tickInterval is the time between checks for renewals and stragglers.
const tickInterval = time.Second

// loop runs until every item is committed or the lease has ended. Buffered
// results are kept after the lease has expired: their commit is attempted until
// another holder has taken over or the job has ended.
func (l *lease) loop(workCtx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	draining := l.runner.draining
	var drained <-chan time.Time
	for {
		if err := l.step(workCtx); err != nil || l.row.Finished {
			return err
		}
		if l.running == 0 && (l.draining || !l.isValid()) {
			return l.commitAndRelease(workCtx)
		}
		select {
		case e := <-l.taskEnds:
			l.record(e)
		case <-ticker.C:
			l.moveStragglers()
		case <-draining:
			draining = nil
			l.draining = true
			timer := time.NewTimer(l.runner.opts.DrainTime)
			defer timer.Stop()
			drained = timer.C
		case <-drained:
			l.abort(errDrained)
		}
	}
}

// step starts items, and commits results or renews the lease when that is due.
func (l *lease) step(workCtx context.Context) error {
	l.recordEnded()
	if err := l.startItems(workCtx); err != nil {
		return err
	}
	if context.Cause(l.ctx) == errCancelled {
		return errCancelled
	}
	if l.shouldCommit() {
		if err := l.commit(workCtx, l.prepareCommit(true, true)); err != nil {
			return err
		}
	}
	if l.running > 0 && l.running == l.stragglers && len(l.waiting) == 0 {
		l.freeSlot()
	}
	if l.isValid() && time.Now().After(l.renewAt) {
		return l.commit(workCtx, l.prepareCommit(true, len(l.buffer) >= minRenewResults))
	}
	return nil
}

// minRenewResults is the number of buffered results from which a renewal commits
// them as well.
const minRenewResults = maxSegmentItems / 4

// recordEnded records the items that have ended, without blocking.
func (l *lease) recordEnded() {
	for {
		select {
		case e := <-l.taskEnds:
			l.record(e)
		default:
			return
		}
	}
}

// startItems starts as many waiting items as may start now.
func (l *lease) startItems(workCtx context.Context) error {
	defer func() { l.starved.Store(len(l.waiting) > 0) }()
	free, err := l.startable(workCtx)
	if err != nil {
		return err
	}
	for ; free > 0 && len(l.waiting) > 0; free-- {
		if l.draining || !l.isValid() {
			return nil
		}
		t := l.waiting[0]
		l.waiting = l.waiting[1:]
		t.startedAt = time.Now()
		l.running++
		l.items.Go(func() { l.taskEnds <- t.run() })
	}
	return nil
}

// startable returns the number of items that may start now. If the items run in
// groups, a group starts when the previous one has ended; startable first records
// the items of the group as suspects in the row.
func (l *lease) startable(workCtx context.Context) (int, error) {
	if !l.row.grouped() {
		return l.runner.opts.ItemsPerLease - (l.running - l.stragglers), nil
	}
	if l.running > 0 || len(l.waiting) == 0 || l.draining || !l.isValid() || time.Now().Before(l.groupRetryAt) {
		return 0, nil
	}
	p := l.prepareCommit(true, true)
	for _, t := range l.waiting[:min(l.row.groupSize(), len(l.waiting))] {
		p.row.Suspects = append(p.row.Suspects, t.index)
	}
	if err := l.commit(workCtx, p); err != nil {
		return 0, err
	}
	if !slices.Equal(l.row.Suspects, p.row.Suspects) {
		l.groupRetryAt = time.Now().Add(jitter(tickInterval))
		return 0, nil
	}
	return len(p.row.Suspects), nil
}

// record updates the lease after an item ended, and buffers its result.
func (l *lease) record(e taskEnd) {
	l.running--
	if e.task.isStraggler {
		l.stragglers--
		<-l.runner.stragglerLane
	}
	l.tasks[e.task.index] = nil
	if e.line == nil {
		return
	}
	elapsed := time.Since(e.task.startedAt)
	l.itemTime += elapsed
	l.itemsEnded++
	l.runner.lastItemNanos.Store(int64(elapsed))
	l.buffer = append(l.buffer, pendingResult{index: e.task.index, line: e.line, failed: e.failed})
	l.bufferBytes += len(e.line)
	l.runner.metrics.countItem(e.failed)
	l.recordProgress()
}
