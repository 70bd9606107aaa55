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

// Reasons for which a lease stops its items.
var (
	errCancelled = code.New(code.JobCancelled, "the job is cancelled")
	errLapsed    = code.New(code.LeaseLost, "the lease is near its expiry")
	errLost      = code.New(code.LeaseLost, "the segment passed to another holder")
	errRebased   = code.New(code.StoreUnavailable, "a renewal took effect whose answer was lost")
	errDrained   = code.New(code.Draining, "the instance is stopping")
)

// storeTime bounds one exchange of a lease with the store.
const storeTime = 10 * time.Second

// lease is a leased segment and the items that run under it. Its goroutine
// owns all fields but the ones noted.
type lease struct {
	r      *Runner
	job    *jobView
	number int
	entry  entry
	row    segmentRow
	// version is the version of the segment's row.
	version uint64

	// ctx ends the items; abort may be called from any goroutine.
	ctx   context.Context
	abort context.CancelCauseFunc
	// until is the time, by the monotonic clock, at which the holder stops.
	until  atomic.Pointer[time.Time]
	expiry *time.Timer
	renew  time.Time
	// retry is the time before which no group of items is announced again.
	retry time.Time

	tasks   []*task
	waiting []*task
	running int
	// inLane counts running items in the lane of stragglers.
	inLane int
	events chan event
	// spent and ended measure the typical item.
	spent time.Duration
	ended int
	// leased is when the lease was taken. progress is set when an item is seen to
	// run, by its first chunk or its end. starved is set while items wait for a
	// place of the segment.
	leased   time.Time
	progress atomic.Bool
	starved  atomic.Bool
	// slot is true while the lease holds one of the runner's slots.
	slot     bool
	draining bool

	buffer      []stored
	bufferBytes int

	items sync.WaitGroup
}

// stored is a result that waits for its commit.
type stored struct {
	index  int
	line   []byte
	failed bool
}

// lease takes the lease of a segment and starts to run it. Errors:
// code.LeaseLost when another holder was first, code.JobCancelled when the job
// is not open any more, and errors of the store.
func (r *Runner) lease(work context.Context, v *jobView, number int, found versionedSegment) error {
	l := &lease{r: r, job: v, number: number, entry: v.manifest[number]}
	started := time.Now()
	l.row = found.takenOver(int(l.entry.Items))
	l.row.Holder = r.holder
	l.row.Expires = started.Add(r.opts.LeaseDuration).UnixMilli()
	l.version = found.version
	taking, cancel := context.WithTimeout(work, storeTime)
	defer cancel()
	version, err := l.write(taking, l.row, nil)
	if err != nil {
		return err
	}
	l.version = version
	l.leased = started
	l.ctx, l.abort = context.WithCancelCause(work)
	l.expiry = time.AfterFunc(r.opts.LeaseDuration, func() { l.abort(errLapsed) })
	l.extend(started)
	r.add(l)
	r.wait.Go(func() { l.run(work) })
	return nil
}

// add takes a slot, which round has found free, and lists the lease.
func (r *Runner) add(l *lease) {
	r.slots <- struct{}{}
	l.slot = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases[l] = struct{}{}
	r.metrics.leases.Inc()
}

func (r *Runner) remove(l *lease) {
	l.freeSlot()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leases, l)
	r.metrics.leases.Dec()
}

// starvedTime is how long a lease with waiting items, none of which is seen to
// run, keeps the runner from taking another.
const starvedTime = 5 * time.Minute

// progressing reports whether every new lease has seen an item run. Otherwise
// capacity is short, and another lease would only keep work from other
// instances.
func (r *Runner) progressing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.leases {
		patience := r.opts.StragglerAfter
		if l.starved.Load() {
			patience = max(patience, starvedTime)
		}
		if !l.progress.Load() && time.Since(l.leased) < patience {
			return false
		}
	}
	return true
}

// sawProgress notes that an item of the segment runs. It is safe for concurrent
// use.
func (l *lease) sawProgress() {
	if !l.progress.Load() && !l.progress.Swap(true) {
		signal(l.r.wake)
	}
}

func (l *lease) freeSlot() {
	if !l.slot {
		return
	}
	l.slot = false
	l.progress.Store(true)
	<-l.r.slots
	signal(l.r.wake)
}

// extend notes that the lease was written by a write that began at started.
func (l *lease) extend(started time.Time) {
	life := l.r.opts.LeaseDuration - l.r.opts.LeaseMargin
	until := started.Add(life)
	l.until.Store(&until)
	l.renew = started.Add(life / 2)
	l.expiry.Reset(time.Until(until))
}

// live reports whether items may be dispatched under the lease.
func (l *lease) live() bool {
	return l.ctx.Err() == nil && time.Now().Before(*l.until.Load())
}

// run runs the items of the segment and commits their results.
func (l *lease) run(work context.Context) {
	defer l.r.remove(l)
	defer l.expiry.Stop()
	err := l.load()
	if err == nil {
		err = l.loop(work)
	}
	l.abort(errLost)
	l.items.Wait()
	for ; l.inLane > 0; l.inLane-- {
		<-l.r.stragglers
	}
	if err != nil {
		l.r.metrics.lost.Inc()
		l.r.log.Info("lease ended early", zap.String("job", l.job.row.ID), zap.Int("segment", l.number), zap.Uint64("token", l.row.Token), zap.Error(err))
	}
}

// input reads the input of the segment, and repeats while the lease lasts: a
// lease that was given back would be taken again at once.
func (l *lease) input() ([]byte, error) {
	e := l.entry
	for attempt := 0; ; attempt++ {
		body, err := l.r.store.read(l.ctx, inputObject(l.job.row.Upload, int(e.Object)), int64(e.Offset), int64(e.Length))
		if err == nil {
			return body, nil
		}
		l.r.unsteady()
		if l.r.isDraining() || !l.live() || runnerBackoff.Sleep(l.ctx, attempt) != nil {
			return nil, errors.Join(err, l.giveBack())
		}
	}
}

// load makes the tasks of the items that are not done.
func (l *lease) load() error {
	e := l.entry
	body, err := l.input()
	if err != nil {
		return err
	}
	lines := bytes.Split(bytes.TrimSuffix(body, []byte{'\n'}), []byte{'\n'})
	if len(lines) != int(e.Items) {
		return code.New(code.Internal, "segment %d of job %s has %d lines, want %d", l.number, l.job.row.ID, len(lines), e.Items)
	}
	l.tasks = make([]*task, len(lines))
	l.events = make(chan event, len(lines))
	for i, line := range lines {
		if l.row.Done.has(i) {
			continue
		}
		// A copy of its own lets the memory of finished items go.
		t := &task{l: l, index: i, line: bytes.Clone(line)}
		t.attempts.Store(int64(l.row.Attempts[i]))
		l.tasks[i] = t
		l.waiting = append(l.waiting, t)
	}
	return nil
}

// tick is the time between looks at renewals and stragglers.
const tick = time.Second

// loop runs until every item is committed or the lease has ended. Results
// outlive the time of the lease: they are offered for a commit until another
// holder has taken over or the job has ended.
func (l *lease) loop(work context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	draining := l.r.draining
	var drained <-chan time.Time
	for {
		if err := l.step(work); err != nil || l.row.Finished {
			return err
		}
		if l.running == 0 && (l.draining || !l.live()) {
			return l.leave(work)
		}
		select {
		case e := <-l.events:
			l.record(e)
		case <-ticker.C:
			l.moveStragglers()
		case <-draining:
			draining = nil
			l.draining = true
			timer := time.NewTimer(l.r.opts.DrainTime)
			defer timer.Stop()
			drained = timer.C
		case <-drained:
			l.abort(errDrained)
		}
	}
}

// step starts items and commits or renews when it is time.
func (l *lease) step(work context.Context) error {
	l.drainEvents()
	if err := l.start(work); err != nil {
		return err
	}
	if context.Cause(l.ctx) == errCancelled {
		return errCancelled
	}
	if l.shouldCommit() {
		if err := l.commit(work, l.prepare(true, true)); err != nil {
			return err
		}
	}
	if l.running > 0 && l.running == l.inLane && len(l.waiting) == 0 {
		l.freeSlot()
	}
	if l.live() && time.Now().After(l.renew) {
		return l.commit(work, l.prepare(true, len(l.buffer) >= renewItems))
	}
	return nil
}

// renewItems is the number of waiting results that a renewal commits as well.
const renewItems = segmentItems / 4

func (l *lease) drainEvents() {
	for {
		select {
		case e := <-l.events:
			l.record(e)
		default:
			return
		}
	}
}

// start runs waiting items as far as the bound of the segment allows.
func (l *lease) start(work context.Context) error {
	defer func() { l.starved.Store(len(l.waiting) > 0) }()
	places, err := l.places(work)
	if err != nil {
		return err
	}
	for ; places > 0 && len(l.waiting) > 0; places-- {
		if l.draining || !l.live() {
			return nil
		}
		t := l.waiting[0]
		l.waiting = l.waiting[1:]
		t.started = time.Now()
		l.running++
		l.items.Go(func() { l.events <- t.run() })
	}
	return nil
}

// places returns the number of items that may start now. In a segment that lost
// several holders, a group starts when the one before has ended and the row
// names the items of the group.
func (l *lease) places(work context.Context) (int, error) {
	if !l.row.cautious() {
		return l.r.opts.ItemsPerLease - (l.running - l.inLane), nil
	}
	if l.running > 0 || len(l.waiting) == 0 || l.draining || !l.live() || time.Now().Before(l.retry) {
		return 0, nil
	}
	p := l.prepare(true, true)
	for _, t := range l.waiting[:min(l.row.group(), len(l.waiting))] {
		p.row.Suspects = append(p.row.Suspects, t.index)
	}
	if err := l.commit(work, p); err != nil {
		return 0, err
	}
	if !slices.Equal(l.row.Suspects, p.row.Suspects) {
		l.retry = time.Now().Add(jitter(tick))
		return 0, nil
	}
	return len(p.row.Suspects), nil
}

func (l *lease) record(e event) {
	l.running--
	if e.task.inLane {
		l.inLane--
		<-l.r.stragglers
	}
	l.tasks[e.task.index] = nil
	if e.line == nil {
		return
	}
	took := time.Since(e.task.started)
	l.spent += took
	l.ended++
	l.r.typical.Store(int64(took))
	l.buffer = append(l.buffer, stored{index: e.task.index, line: e.line, failed: e.failed})
	l.bufferBytes += len(e.line)
	l.r.metrics.items(e.failed)
	l.sawProgress()
}
