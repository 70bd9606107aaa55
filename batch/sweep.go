package batch

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// SweeperOptions configure a Sweeper. Store and View are required. Zero times and
// rates mean the defaults.
type SweeperOptions struct {
	Store Store
	View  View
	// Interval is the mean time between passes; default 1 min.
	Interval time.Duration
	// StoreRate is the maximum number of operations on the store per second; default
	// 20.
	StoreRate float64
	Logger    *zap.Logger
	Metrics   prometheus.Registerer
}

// Limits of one pass of the sweeper, and ages from which it removes data.
const (
	maxSweptUploads = 1000
	maxSweptCancels = storage.MaxTransactionWrites
	maxSweptJobs    = 20
	// cancelRetention is how long a cancellation stays in the list that runners poll.
	cancelRetention = 10 * time.Minute
	// abandonedUploadAge is the age from which an upload is abandoned. No submission
	// is that old, since it ends after uploadTimeout.
	abandonedUploadAge = 2 * uploadTimeout
)

// Sweeper removes expired data: the input of abandoned submissions, old entries
// of the list of cancellations, and jobs past their retention. Every instance has
// one; only the sweeper of the instance that rendezvous hashing prefers works.
// Two that work at once do no harm.
type Sweeper struct {
	opts  SweeperOptions
	store *meteredStore
	log   *zap.Logger
	// cursor is the upload at which the next pass begins.
	cursor string
}

// NewSweeper returns a Sweeper. It fails with code.InvalidSettings if an option is
// missing or out of range, and with code.Internal if the metrics cannot be
// registered.
func NewSweeper(o SweeperOptions) (*Sweeper, error) {
	if o.Store == nil || o.View == nil {
		return nil, code.New(code.InvalidSettings, "batch: Store and View are required")
	}
	orDefault(&o.Interval, time.Minute)
	orDefault(&o.StoreRate, 20)
	if o.Interval < 0 || o.StoreRate < 0 {
		return nil, code.New(code.InvalidSettings, "batch: a time or rate of the sweeper is negative")
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	store, err := newMeteredStore(o.Store, "sweeper", o.StoreRate, o.Metrics)
	if err != nil {
		return nil, err
	}
	return &Sweeper{opts: o, store: store, log: o.Logger}, nil
}

// sweeperHashKey is the key by which rendezvous hashing selects the instance that
// sweeps.
const sweeperHashKey = "sweeper"

// Run sweeps until ctx ends and returns nil.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(jitter(s.opts.Interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if !Preferred(s.opts.View.Self(), s.opts.View.Members(), sweeperHashKey, 1) {
			continue
		}
		if err := s.Sweep(ctx); err != nil {
			s.log.Info("sweep failed", zap.Error(err))
		}
	}
}

// Sweep makes one pass of limited size. The first error ends the pass.
func (s *Sweeper) Sweep(ctx context.Context) error {
	if err := s.sweepAbandoned(ctx); err != nil {
		return err
	}
	if err := s.sweepCancellations(ctx); err != nil {
		return err
	}
	return s.sweepExpired(ctx)
}

// sweepAbandoned removes abandoned uploads and their input objects.
func (s *Sweeper) sweepAbandoned(ctx context.Context) error {
	rows, err := s.store.rangeOnce(ctx, uploadPrefix+s.cursor, storage.PrefixEnd(uploadPrefix), maxSweptUploads)
	if err != nil {
		return err
	}
	s.cursor = ""
	if len(rows) == maxSweptUploads {
		s.cursor = rows[len(rows)-1].Key[len(uploadPrefix):] + "\x00"
	}
	abandonedBefore := time.Now().Add(-abandonedUploadAge).UnixMilli()
	for _, row := range rows {
		upload, err := decode[uploadRow](row)
		if err != nil {
			return err
		}
		if !upload.Dropped && upload.StartedMillis > abandonedBefore {
			continue
		}
		if err := s.store.dropUpload(ctx, row.Key[len(uploadPrefix):]); err != nil {
			return err
		}
	}
	return nil
}

// sweepCancellations removes old rows of the list of cancellations.
func (s *Sweeper) sweepCancellations(ctx context.Context) error {
	end := cancelTimePrefix(time.Now().Add(-cancelRetention))
	rows, err := s.store.rangeOnce(ctx, cancelPrefix, end, maxSweptCancels)
	if err != nil || len(rows) == 0 {
		return err
	}
	return s.store.deleteRows(ctx, rows)
}

// deleteRows deletes rows without conditions. Nobody may write them any more.
func (m *meteredStore) deleteRows(ctx context.Context, rows []storage.Row) error {
	var t storage.Transaction
	for _, row := range rows {
		t.Writes = append(t.Writes, storage.Write{Key: row.Key, Delete: true})
	}
	_, err := m.apply(ctx, t)
	return err
}

// sweepExpired removes jobs past their retention.
func (s *Sweeper) sweepExpired(ctx context.Context) error {
	end := expiryKey(time.Now(), "")
	rows, err := s.store.rangeOnce(ctx, expiryPrefix, end, maxSweptJobs)
	if err != nil {
		return err
	}
	removed := 0
	for ; removed < len(rows) && err == nil; removed++ {
		err = s.removeJob(ctx, rows[removed])
	}
	if err != nil {
		removed--
	}
	if removed <= 0 {
		return err
	}
	return errors.Join(err, s.store.deleteRows(ctx, rows[:removed]))
}

// removeJob removes a job: first its own rows, so that callers and holders no
// longer see it, then its segments and objects. The row that lists the expired job
// is left to the caller, so that a failed removal is repeated.
func (s *Sweeper) removeJob(ctx context.Context, row storage.Row) error {
	expiry, err := decode[expiryRow](row)
	if err != nil {
		return err
	}
	job, err := s.store.get(ctx, jobKey(expiry.Job))
	if err != nil {
		return err
	}
	if job.Exists() {
		if err := s.deleteJobRows(ctx, job); err != nil {
			return err
		}
	}
	if err := s.deleteSegments(ctx, expiry.Job); err != nil {
		return err
	}
	for _, prefix := range []string{outputsPrefix(expiry.Job), inputPrefix + expiry.Upload + "/"} {
		if err := s.store.deleteObjects(ctx, prefix); err != nil {
			return err
		}
	}
	s.log.Info("job expired", zap.String("job", expiry.Job))
	return nil
}

// firstDeletedSegments is the maximum number of segments that are deleted in one
// transaction with the job's row.
const firstDeletedSegments = 150

// deleteJobRows deletes the rows of a job and its first segments in one
// transaction.
func (s *Sweeper) deleteJobRows(ctx context.Context, row storage.Row) error {
	job, err := decode[jobRow](row)
	if err != nil {
		return err
	}
	t := storage.Transaction{Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}}}
	for _, key := range []string{row.Key, job.OpenKey, idempotencyRowKey(job.Account, job.idempotencyKey()), accountKey(job.Account, job.CreatedAt, job.ID)} {
		t.Writes = append(t.Writes, storage.Write{Key: key, Delete: true})
	}
	prefix := segmentsPrefix(job.ID)
	segments, err := s.store.rangeRows(ctx, prefix, storage.PrefixEnd(prefix), firstDeletedSegments)
	if err != nil {
		return err
	}
	for _, segment := range segments {
		t.Writes = append(t.Writes, storage.Write{Key: segment.Key, Delete: true})
	}
	_, err = s.store.apply(ctx, t)
	return err
}

// deleteSegments deletes the segments of a job.
func (s *Sweeper) deleteSegments(ctx context.Context, job string) error {
	prefix := segmentsPrefix(job)
	for {
		rows, err := s.store.rangeRows(ctx, prefix, storage.PrefixEnd(prefix), storage.MaxTransactionWrites)
		if err != nil || len(rows) == 0 {
			return err
		}
		if err := s.store.deleteRows(ctx, rows); err != nil {
			return err
		}
	}
}
