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

// SweeperOptions are the parts of a Sweeper. Zero times and rates mean the
// defaults.
type SweeperOptions struct {
	Store Store
	View  View
	// Interval is the mean time between passes; default 1 min.
	Interval time.Duration
	// StoreRate bounds the operations on the store per second; default 20.
	StoreRate float64
	Logger    *zap.Logger
	Metrics   prometheus.Registerer
}

// Bounds of one pass of the sweeper.
const (
	sweepUploads = 1000
	sweepCancels = storage.MaxTransactionWrites
	sweepJobs    = 20
	// cancelAge is how long a cancellation is listed for the watchers.
	cancelAge = 10 * time.Minute
	// uploadAge is after every end of an upload that is still under way.
	uploadAge = 2 * uploadTime
)

// Sweeper removes what no one needs any more: the input of submissions that
// never ended, listed cancellations, and jobs past their retention. Every
// instance has one; the instance that rendezvous hashing prefers does the work.
// Two at once do the same work twice and no harm.
type Sweeper struct {
	opts  SweeperOptions
	store *meteredStore
	log   *zap.Logger
	// cursor is the upload behind which the next pass begins.
	cursor string
}

// NewSweeper returns a Sweeper, or an error when an option is missing.
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

// sweepShard is what rendezvous hashing assigns to one instance.
const sweepShard = "sweeper"

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
		if !Preferred(s.opts.View.Self(), s.opts.View.Members(), sweepShard, 1) {
			continue
		}
		if err := s.Sweep(ctx); err != nil {
			s.log.Info("sweep broke off", zap.Error(err))
		}
	}
}

// Sweep makes one pass of bounded size.
func (s *Sweeper) Sweep(ctx context.Context) error {
	if err := s.uploads(ctx); err != nil {
		return err
	}
	if err := s.cancels(ctx); err != nil {
		return err
	}
	return s.jobs(ctx)
}

func (s *Sweeper) uploads(ctx context.Context) error {
	rows, err := s.store.once(ctx, uploadPrefix+s.cursor, storage.PrefixEnd(uploadPrefix), sweepUploads)
	if err != nil {
		return err
	}
	s.cursor = ""
	if len(rows) == sweepUploads {
		s.cursor = rows[len(rows)-1].Key[len(uploadPrefix):] + "\x00"
	}
	latest := time.Now().Add(-uploadAge).UnixMilli()
	for _, row := range rows {
		upload, err := decode[uploadRow](row)
		if err != nil {
			return err
		}
		if !upload.Dropped && upload.Started > latest {
			continue
		}
		if err := s.store.dropUpload(ctx, row.Key[len(uploadPrefix):]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sweeper) cancels(ctx context.Context) error {
	end := cancelStart(time.Now().Add(-cancelAge))
	rows, err := s.store.once(ctx, cancelPrefix, end, sweepCancels)
	if err != nil || len(rows) == 0 {
		return err
	}
	return s.store.deleteRows(ctx, rows)
}

// deleteRows removes rows that no one writes any more.
func (m *meteredStore) deleteRows(ctx context.Context, rows []storage.Row) error {
	var t storage.Transaction
	for _, row := range rows {
		t.Writes = append(t.Writes, storage.Write{Key: row.Key, Delete: true})
	}
	_, err := m.apply(ctx, t)
	return err
}

func (s *Sweeper) jobs(ctx context.Context) error {
	end := expiryKey(time.Now(), "")
	rows, err := s.store.once(ctx, expiryPrefix, end, sweepJobs)
	if err != nil {
		return err
	}
	gone := 0
	for ; gone < len(rows) && err == nil; gone++ {
		err = s.expire(ctx, rows[gone])
	}
	if err != nil {
		gone--
	}
	if gone <= 0 {
		return err
	}
	return errors.Join(err, s.store.deleteRows(ctx, rows[:gone]))
}

// expire removes a job: first from the sight of callers and holders, then its
// segments and objects. The caller removes the row that remembers to do so.
func (s *Sweeper) expire(ctx context.Context, row storage.Row) error {
	expiry, err := decode[expiryRow](row)
	if err != nil {
		return err
	}
	job, err := s.store.get(ctx, jobKey(expiry.Job))
	if err != nil {
		return err
	}
	if job.Exists() {
		if err := s.hide(ctx, job); err != nil {
			return err
		}
	}
	if err := s.dropSegments(ctx, expiry.Job); err != nil {
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

// hideSegments is the number of segments that go with the job's row.
const hideSegments = 150

func (s *Sweeper) hide(ctx context.Context, row storage.Row) error {
	job, err := decode[jobRow](row)
	if err != nil {
		return err
	}
	t := storage.Transaction{Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}}}
	for _, key := range []string{row.Key, job.OpenKey, keyKey(job.Account, job.boundKey()), accountKey(job.Account, job.CreatedAt, job.ID)} {
		t.Writes = append(t.Writes, storage.Write{Key: key, Delete: true})
	}
	prefix := segmentsPrefix(job.ID)
	segments, err := s.store.rows(ctx, prefix, storage.PrefixEnd(prefix), hideSegments)
	if err != nil {
		return err
	}
	for _, segment := range segments {
		t.Writes = append(t.Writes, storage.Write{Key: segment.Key, Delete: true})
	}
	_, err = s.store.apply(ctx, t)
	return err
}

func (s *Sweeper) dropSegments(ctx context.Context, job string) error {
	prefix := segmentsPrefix(job)
	for {
		rows, err := s.store.rows(ctx, prefix, storage.PrefixEnd(prefix), storage.MaxTransactionWrites)
		if err != nil || len(rows) == 0 {
			return err
		}
		if err := s.store.deleteRows(ctx, rows); err != nil {
			return err
		}
	}
}
