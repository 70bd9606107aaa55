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

// pending is a commit that is not known to have taken effect. It is repeated as
// it is, so that a lost answer can be told from a lost lease.
type pending struct {
	started time.Time
	row     segmentRow
	end     *jobRow
	body    []byte
	// object is "" when there are no results to put, as in a renewal.
	object string
	put    bool
}

// commit writes what was prepared. It repeats until the outcome is known or
// work ends; a mere renewal is left to a later one instead. Errors:
// code.LeaseLost, code.JobCancelled, and code.Draining when work ended.
func (l *lease) commit(work context.Context, p *pending) error {
	l.end(work, p)
	last := 0
	for attempt := 0; ; attempt++ {
		version, err := l.try(work, p)
		if err == nil {
			l.committed(p, version)
			return nil
		}
		number := code.Of(err)
		if number == code.LeaseLost || number == code.JobCancelled {
			return err
		}
		l.r.metrics.held.Inc()
		l.r.unsteady()
		l.r.log.Warn("commit failed; results are held", zap.String("job", l.job.row.ID), zap.Int("segment", l.number), zap.Error(err))
		if p.object == "" && p.row.Holder != "" {
			l.renew = time.Now().Add(jitter(renewRetry))
			return nil
		}
		if l.r.isDraining() {
			if last++; last > drainAttempts {
				return errDrained
			}
		}
		if err := l.rest(work, attempt); err != nil {
			return err
		}
	}
}

// renewRetry is the mean time between tries of a renewal.
const renewRetry = 10 * time.Second

// drainAttempts bounds the tries of a commit while the instance stops.
const drainAttempts = 3

// rest waits before the next try. The end of the job ends it early, and so does
// the beginning of a planned stop.
func (l *lease) rest(work context.Context, attempt int) error {
	if context.Cause(l.ctx) == errCancelled {
		return errCancelled
	}
	draining := l.r.draining
	if l.r.isDraining() {
		draining = nil
		attempt = 0
	}
	timer := time.NewTimer(runnerBackoff.Wait(attempt))
	defer timer.Stop()
	select {
	case <-work.Done():
		return errDrained
	case <-draining:
	case <-timer.C:
	}
	return nil
}

// prepare builds the row and the object of a commit that keeps the lease or
// gives it back, with the waiting results or without.
func (l *lease) prepare(keep, results bool) *pending {
	p := &pending{started: time.Now(), row: l.row.clone(int(l.entry.Items))}
	p.row.Expires = p.started.Add(l.r.opts.LeaseDuration).UnixMilli()
	if results && len(l.buffer) > 0 {
		slices.SortFunc(l.buffer, func(a, b stored) int { return cmp.Compare(a.index, b.index) })
		p.object = outputObject(l.job.row.ID, l.number, l.row.Token, uuid.NewString())
		p.body = make([]byte, 0, l.bufferBytes+len(l.buffer)*16)
		p.row.Parts = append(p.row.Parts, part{Object: p.object})
	}
	for _, s := range l.buffer {
		if p.object == "" {
			break
		}
		p.body = appendStored(p.body, int(l.entry.First)+s.index, s.line)
		p.row.Done.set(s.index)
		if s.failed {
			p.row.Failed++
		} else {
			p.row.Completed++
		}
	}
	if l.running == 0 {
		p.row.Suspects = nil
	}
	p.row.Finished = p.row.Done.count() == int(l.entry.Items)
	p.row.Attempts = l.attempts()
	if p.object != "" && !p.row.cautious() {
		p.row.Lapses = 0
	}
	if p.row.Finished || !keep {
		p.row.Holder = ""
		p.row.Expires = 0
		p.row.Suspects = nil
	}
	return p
}

// endCheckSegments is the most segments of a job whose end each commit looks
// for. Larger jobs are ended by the look for work.
const endCheckSegments = 64

// end adds the end of the job to the commit when all other segments are
// finished. A finished segment stays so, hence the commit needs no further
// condition; what an end misses, the look for work finds.
func (l *lease) end(work context.Context, p *pending) {
	if !p.row.Finished || l.job.row.Segments > endCheckSegments {
		return
	}
	var t tally
	if l.job.row.Segments > 1 {
		ctx, cancel := context.WithTimeout(work, storeTime)
		defer cancel()
		var err error
		t, err = l.r.store.others(ctx, l.job.row.ID, l.number, l.job.row.Segments)
		if err != nil {
			return
		}
	}
	t.add(p.row)
	if t.finished == l.job.row.Segments {
		job := l.job.row.ended(t)
		p.end = &job
	}
}

// others sums the segments of a job but one.
func (m *meteredStore) others(ctx context.Context, job string, but, segments int) (tally, error) {
	rows, err := m.segments(ctx, job, 0, segments)
	var t tally
	for number, row := range rows {
		if number != but {
			t.add(row.segmentRow)
		}
	}
	return t, err
}

// ended returns the row of the job at its end.
func (j jobRow) ended(t tally) jobRow {
	j.State = StateFinished
	j.Counts.Completed = t.completed
	j.Counts.Failed = t.failed
	return j
}

// attempts returns the failed attempts of the items that are not done.
func (l *lease) attempts() map[int]int {
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

// try puts the object and writes the row.
func (l *lease) try(work context.Context, p *pending) (uint64, error) {
	ctx, cancel := context.WithTimeout(work, storeTime)
	defer cancel()
	if p.object != "" && !p.put {
		if err := l.r.store.put(ctx, p.object, p.body); err != nil {
			return 0, err
		}
		p.put = true
	}
	return l.write(ctx, p.row, p.end)
}

// committed takes over the row that was written.
func (l *lease) committed(p *pending, version uint64) {
	l.row = p.row
	l.version = version
	if p.object != "" {
		l.buffer = nil
		l.bufferBytes = 0
		l.r.metrics.commits.Inc()
	}
	if l.row.Holder != "" && l.ctx.Err() == nil {
		l.extend(p.started)
	}
	if l.row.Finished {
		signal(l.r.wake)
	}
}

// finish ends a job whose segments are all finished.
func (r *Runner) finish(ctx context.Context, v *jobView) error {
	t, err := r.store.tally(ctx, v.row.ID)
	if err != nil || t.finished < v.row.Segments {
		return err
	}
	if !newMachine(v.row.State).Can(eventFinish) {
		return code.New(code.Internal, "job %s is %s and cannot end", v.row.ID, v.row.State)
	}
	return r.store.endJob(ctx, v.row.ended(t), v.version)
}

// endJob writes the final row of a job. A job that has ended already is left as
// it is.
func (m *meteredStore) endJob(ctx context.Context, end jobRow, version uint64) error {
	t := storage.Transaction{
		Conditions: []storage.Condition{{Key: jobKey(end.ID), Version: version}},
		Writes:     endWrites(end),
	}
	_, err := m.settle(ctx, t, func(ctx context.Context) (bool, error) {
		row, err := m.get(ctx, jobKey(end.ID))
		return row.Version != version, err
	})
	return err
}
