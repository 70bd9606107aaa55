package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// pendingCommit is a commit whose outcome is not known yet. It is retried
// without changes, so that a lost response can be distinguished from a lost
// lease.
type pendingCommit struct {
	startedAt time.Time
	row       segmentRow
	jobEnd    *jobRow
	body      []byte
	// object is the key of the object with the results, or "" if there are none, as
	// in a renewal.
	object       string
	objectStored bool
}

// commit writes a prepared commit. It retries until the outcome is known or
// workCtx ends. A renewal without results is not retried at once but left to the
// next renewal. Errors: code.LeaseLost, code.JobCancelled, and code.Draining
// when workCtx ended or maxDrainAttempts is exceeded.
func (l *lease) commit(workCtx context.Context, p *pendingCommit) error {
	l.addJobEnd(workCtx, p)
	drainAttempts := 0
	for attempt := 0; ; attempt++ {
		version, err := l.tryCommit(workCtx, p)
		if err == nil {
			l.recordCommit(p, version)
			return nil
		}
		number := code.Of(err)
		if number == code.LeaseLost || number == code.JobCancelled {
			return err
		}
		l.runner.metrics.commitFailures.Inc()
		l.runner.recordStoreFailure()
		l.runner.log.Warn("commit failed; results are held", zap.String("job", l.job.row.ID), zap.Int("segment", l.number), zap.Error(err))
		if p.object == "" && p.row.Holder != "" {
			l.renewAt = time.Now().Add(jitter(renewRetryInterval))
			return nil
		}
		if l.runner.isDraining() {
			if drainAttempts++; drainAttempts > maxDrainAttempts {
				return errDrained
			}
		}
		if err := l.waitRetry(workCtx, attempt); err != nil {
			return err
		}
	}
}

// renewRetryInterval is the mean time between attempts of a renewal.
const renewRetryInterval = 10 * time.Second

// maxDrainAttempts is the number of failed attempts of a commit that are retried
// while the instance stops.
const maxDrainAttempts = 3

// waitRetry waits before the next attempt. The wait ends early when a planned stop
// begins. Errors: code.JobCancelled, and code.Draining when workCtx ended.
func (l *lease) waitRetry(workCtx context.Context, attempt int) error {
	if context.Cause(l.ctx) == errCancelled {
		return errCancelled
	}
	draining := l.runner.draining
	if l.runner.isDraining() {
		draining = nil
		attempt = 0
	}
	timer := time.NewTimer(runnerBackoff.Delay(attempt))
	defer timer.Stop()
	select {
	case <-workCtx.Done():
		return errDrained
	case <-draining:
	case <-timer.C:
	}
	return nil
}

// prepareCommit builds the row and the object of a commit. keep says whether the
// commit keeps the lease or releases it, results whether it includes the
// buffered results.
func (l *lease) prepareCommit(keep, results bool) *pendingCommit {
	p := &pendingCommit{startedAt: time.Now(), row: l.row.cloneProgress(int(l.entry.Items))}
	p.row.ExpiresMillis = p.startedAt.Add(l.runner.opts.LeaseDuration).UnixMilli()
	if results && len(l.buffer) > 0 {
		slices.SortFunc(l.buffer, func(a, b pendingResult) int { return cmp.Compare(a.index, b.index) })
		p.object = outputObject(l.job.row.ID, l.number, l.row.Token, uuid.NewString())
		p.body = make([]byte, 0, l.bufferBytes+len(l.buffer)*16)
		p.row.Parts = append(p.row.Parts, resultPart{Object: p.object})
	}
	for _, r := range l.buffer {
		if p.object == "" {
			break
		}
		p.body = appendResult(p.body, int(l.entry.First)+r.index, r.line)
		p.row.Done.set(r.index)
		if r.failed {
			p.row.Failed++
		} else {
			p.row.Completed++
		}
	}
	if l.running == 0 {
		p.row.Suspects = nil
	}
	p.row.Finished = p.row.Done.count() == int(l.entry.Items)
	p.row.Attempts = l.failedAttempts()
	if p.object != "" && !p.row.grouped() {
		p.row.Lapses = 0
	}
	if p.row.Finished || !keep {
		p.row.Holder = ""
		p.row.ExpiresMillis = 0
		p.row.Suspects = nil
	}
	return p
}

// maxEndCheckSegments is the maximum number of segments of a job for which every
// commit that finishes a segment checks whether the job is finished. Larger jobs
// are finished by the poll for work.
const maxEndCheckSegments = 64

// addJobEnd adds the final row of the job to the commit if all other segments
// are finished. The commit needs no condition for that, since a finished segment
// stays finished. The poll for work ends the jobs that addJobEnd misses.
func (l *lease) addJobEnd(workCtx context.Context, p *pendingCommit) {
	if !p.row.Finished || l.job.row.Segments > maxEndCheckSegments {
		return
	}
	var t tally
	if l.job.row.Segments > 1 {
		ctx, cancel := context.WithTimeout(workCtx, storeTimeout)
		defer cancel()
		var err error
		t, err = l.runner.store.tallyOthers(ctx, l.job.row.ID, l.number, l.job.row.Segments)
		if err != nil {
			return
		}
	}
	t.add(p.row)
	if t.finished == l.job.row.Segments {
		job := l.job.row.finishedRow(t)
		p.jobEnd = &job
	}
}

// tallyOthers sums the segments of a job except one.
func (m *meteredStore) tallyOthers(ctx context.Context, job string, except, segments int) (tally, error) {
	rows, err := m.segments(ctx, job, 0, segments)
	var t tally
	for number, row := range rows {
		if number != except {
			t.add(row.segmentRow)
		}
	}
	return t, err
}

// finishedRow returns the final row of a job that is finished.
func (j jobRow) finishedRow(t tally) jobRow {
	j.State = StateFinished
	j.Counts.Completed = t.completed
	j.Counts.Failed = t.failed
	return j
}

// failedAttempts returns the numbers of failed attempts of the items that are
// not done, by the number of the item in the segment.
func (l *lease) failedAttempts() map[int]int {
	var failed map[int]int
	for _, t := range l.tasks {
		if t == nil || t.attempts.Load() == 0 {
			continue
		}
		if failed == nil {
			failed = map[int]int{}
		}
		failed[t.index] = int(t.attempts.Load())
	}
	return failed
}

// tryCommit stores the object and writes the row, once.
func (l *lease) tryCommit(workCtx context.Context, p *pendingCommit) (uint64, error) {
	ctx, cancel := context.WithTimeout(workCtx, storeTimeout)
	defer cancel()
	if p.object != "" && !p.objectStored {
		if err := l.runner.store.putObject(ctx, p.object, p.body); err != nil {
			return 0, err
		}
		p.objectStored = true
	}
	return l.write(ctx, p.row, p.jobEnd)
}

// recordCommit updates the lease after a commit has taken effect.
func (l *lease) recordCommit(p *pendingCommit, version uint64) {
	l.row = p.row
	l.version = version
	if p.object != "" {
		l.buffer = nil
		l.bufferBytes = 0
		l.runner.metrics.commits.Inc()
	}
	if l.row.Holder != "" && l.ctx.Err() == nil {
		l.extend(p.startedAt)
	}
	if l.row.Finished {
		signal(l.runner.wake)
	}
}

// finish writes the final row of the job if all its segments are finished.
func (r *Runner) finish(ctx context.Context, v *jobView) error {
	t, err := r.store.tally(ctx, v.row.ID)
	if err != nil || t.finished < v.row.Segments {
		return err
	}
	if !newJobFSM(v.row.State).Can(eventFinish) {
		return code.New(code.Internal, "job %s is %s and cannot end", v.row.ID, v.row.State)
	}
	return r.store.finishJob(ctx, v.row.finishedRow(t), v.version)
}

// finishJob writes the final row of a job. It leaves a job that has ended
// already as it is.
func (m *meteredStore) finishJob(ctx context.Context, end jobRow, version uint64) error {
	t := storage.Transaction{
		Conditions: []storage.Condition{{Key: jobKey(end.ID), Version: version}},
		Writes:     endWrites(end),
	}
	_, err := m.applyOnce(ctx, t, func(ctx context.Context) (bool, error) {
		row, err := m.get(ctx, jobKey(end.ID))
		return row.Version != version, err
	})
	return err
}
