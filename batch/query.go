package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// readJob reads a job of the account and its row. Errors: code.JobUnknown and
// errors of the store.
func (s *Service) readJob(ctx context.Context, account, id string) (jobRow, storage.Row, error) {
	row, err := s.store.get(ctx, jobKey(id))
	if err != nil {
		return jobRow{}, row, err
	}
	if !row.Exists() {
		return jobRow{}, row, unknownJob(id)
	}
	job, err := decode[jobRow](row)
	if err == nil && job.Account != account {
		err = unknownJob(id)
	}
	return job, row, err
}

func unknownJob(id string) error {
	return code.New(code.JobUnknown, "the account has no job %.100q", id)
}

// Status returns the job with the counts of its committed items. Errors:
// code.JobUnknown, also for a job of another account, and errors of the store.
func (s *Service) Status(ctx context.Context, account, id string) (Job, error) {
	job, _, err := s.readJob(ctx, account, id)
	if err != nil || job.State == StateFinished {
		return job.Job, err
	}
	tally, err := s.store.tally(ctx, id)
	if err != nil {
		return Job{}, err
	}
	job.Counts.Completed = tally.completed
	job.Counts.Failed = tally.failed
	return job.Job, nil
}

// tally sums the committed items and the finished segments of a job.
type tally struct {
	completed int
	failed    int
	finished  int
}

// tally sums all segments of a job.
func (m *meteredStore) tally(ctx context.Context, job string) (tally, error) {
	var t tally
	prefix := segmentsPrefix(job)
	start, end := prefix, storage.PrefixEnd(prefix)
	for {
		rows, err := m.rangeRows(ctx, start, end, storage.MaxRangeRows)
		if err != nil {
			return tally{}, err
		}
		for _, row := range rows {
			segment, err := decode[segmentRow](row)
			if err != nil {
				return tally{}, err
			}
			t.add(segment)
		}
		if len(rows) < storage.MaxRangeRows {
			return t, nil
		}
		start = rows[len(rows)-1].Key + "\x00"
	}
}

// add adds a segment.
func (t *tally) add(s segmentRow) {
	t.completed += s.Completed
	t.failed += s.Failed
	if s.Finished {
		t.finished++
	}
}

// maxListJobs is the maximum number of jobs that List returns.
const maxListJobs = 100

// List returns jobs of the account, the newest first. after is the id of the job
// that precedes the first one returned; "" means to begin with the newest. At most
// limit jobs are returned; a limit out of range means maxListJobs. Only finished
// jobs have the counts of their committed items. Errors: code.JobUnknown for after,
// and errors of the store.
func (s *Service) List(ctx context.Context, account, after string, limit int) ([]Job, error) {
	if limit <= 0 || limit > maxListJobs {
		limit = maxListJobs
	}
	prefix := accountJobsPrefix(account)
	start := prefix
	if after != "" {
		lastJob, _, err := s.readJob(ctx, account, after)
		if err != nil {
			return nil, err
		}
		start = accountKey(account, lastJob.CreatedAt, after) + "\x00"
	}
	rows, err := s.store.rangeRows(ctx, start, storage.PrefixEnd(prefix), limit)
	if err != nil {
		return nil, err
	}
	jobs := make([]Job, 0, len(rows))
	for _, row := range rows {
		job, err := decode[Job](row)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// Cancel cancels the job. After it has returned without an error, no further item
// of the job completes: the job is cancelled or had finished before. Committed
// results stay readable. Errors: code.JobUnknown and errors of the store; after
// code.StoreUnknown the job may be cancelled.
func (s *Service) Cancel(ctx context.Context, account, id string) (Job, error) {
	for attempt := 0; ; attempt++ {
		job, row, err := s.readJob(ctx, account, id)
		if err != nil {
			return Job{}, err
		}
		if job.State != StateOpen {
			return s.Status(ctx, account, id)
		}
		err = s.cancel(ctx, job, row.Version)
		if err == nil {
			s.log.Info("job cancelled", zap.String("job", id))
			s.opts.Notify(Hint{Job: id, Cancelled: true})
			return s.Status(ctx, account, id)
		}
		if code.Of(err) != code.StoreConflict || attempt+1 >= maxStoreAttempts {
			return Job{}, err
		}
	}
}

// cancel writes the final row of a cancelled job, on the condition that its row
// still has the version.
func (s *Service) cancel(ctx context.Context, job jobRow, version uint64) error {
	if err := newJobFSM(job.State).Event(ctx, eventCancel); err != nil {
		return code.Wrap(code.JobCancelled, err, "job %s is %s", job.ID, job.State)
	}
	job.State = StateCancelled
	t := storage.Transaction{
		Conditions: []storage.Condition{{Key: jobKey(job.ID), Version: version}},
		Writes: append(endWrites(job), storage.Write{
			Key:   cancelKey(time.Now(), job.ID),
			Value: encode(jobRef{Job: job.ID}),
		}),
	}
	_, err := s.store.applyOnce(ctx, t, func(ctx context.Context) (bool, error) {
		row, err := s.store.get(ctx, jobKey(job.ID))
		if err != nil || !row.Exists() {
			return false, err
		}
		current, err := decode[jobRow](row)
		return current.State == StateCancelled, err
	})
	return err
}
