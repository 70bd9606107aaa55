package batch

import (
	"context"
	"io"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// meteredStore counts the operations on the store, limits their rate if a limit
// is set, and retries them. It is safe for concurrent use.
type meteredStore struct {
	Store
	limit  *rate.Limiter
	reads  prometheus.Counter
	writes prometheus.Counter
	failed prometheus.Counter
}

// storeBurst is the number of operations that may exceed the rate limit in a
// burst.
const storeBurst = 20

// newMeteredStore returns a meteredStore whose metrics have the label user. At
// most perSecond operations run per second; 0 means no limit.
func newMeteredStore(store Store, user string, perSecond float64, reg prometheus.Registerer) (*meteredStore, error) {
	operations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name:        "daisylb_batch_store_operations_total",
		Help:        "Operations of the batch part on the platform's store.",
		ConstLabels: prometheus.Labels{"user": user},
	}, []string{"kind"})
	if err := register(reg, operations); err != nil {
		return nil, err
	}
	limit := rate.NewLimiter(rate.Inf, 0)
	if perSecond > 0 {
		limit = rate.NewLimiter(rate.Limit(perSecond), storeBurst)
	}
	return &meteredStore{
		Store:  store,
		limit:  limit,
		reads:  operations.WithLabelValues("read"),
		writes: operations.WithLabelValues("write"),
		failed: operations.WithLabelValues("failed"),
	}, nil
}

// register registers the collectors with reg, which may be nil.
func register(reg prometheus.Registerer, collectors ...prometheus.Collector) error {
	if reg == nil {
		return nil
	}
	for _, c := range collectors {
		if err := reg.Register(c); err != nil {
			return code.Wrap(code.Internal, err, "register metrics of the batch part")
		}
	}
	return nil
}

// beginOperation waits until the rate limit allows an operation, and counts it.
// It fails with code.StoreUnavailable if ctx ends first or its deadline is too
// close.
func (m *meteredStore) beginOperation(ctx context.Context, kind prometheus.Counter) error {
	if err := m.limit.Wait(ctx); err != nil {
		return code.Wrap(code.StoreUnavailable, err, "no time left for the store")
	}
	kind.Inc()
	return nil
}

// endOperation counts an operation that failed. A conflict is no failure.
func (m *meteredStore) endOperation(err error) {
	if err != nil && code.Of(err) != code.StoreConflict {
		m.failed.Inc()
	}
}

// Open opens a range of an object for reading, with retries. Errors of later reads
// are not retried.
func (m *meteredStore) Open(ctx context.Context, key string, offset, length int64) (body io.ReadCloser, err error) {
	err = m.retry(ctx, m.reads, func() error {
		body, err = m.Store.Open(ctx, key, offset, length)
		return err
	})
	return body, err
}

// get reads a row, with retries.
func (m *meteredStore) get(ctx context.Context, key string) (row storage.Row, err error) {
	err = m.retry(ctx, m.reads, func() error {
		row, err = m.Store.Get(ctx, key)
		return err
	})
	return row, err
}

// rangeRows reads at most limit rows from start up to end, with retries.
func (m *meteredStore) rangeRows(ctx context.Context, start, end string, limit int) (rows []storage.Row, err error) {
	err = m.retry(ctx, m.reads, func() error {
		rows, err = m.Store.Range(ctx, start, end, limit)
		return err
	})
	return rows, err
}

// rangeOnce is rangeRows without retries, for callers that retry themselves.
func (m *meteredStore) rangeOnce(ctx context.Context, start, end string, limit int) ([]storage.Row, error) {
	if err := m.beginOperation(ctx, m.reads); err != nil {
		return nil, err
	}
	rows, err := m.Range(ctx, start, end, limit)
	m.endOperation(err)
	return rows, err
}

// readObject reads a range of an object into memory.
func (m *meteredStore) readObject(ctx context.Context, key string, offset, length int64) ([]byte, error) {
	body, err := m.Open(ctx, key, offset, length)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	b, err := io.ReadAll(body)
	if err != nil {
		return nil, code.Wrap(code.StoreUnavailable, err, "read object %q", key)
	}
	return b, nil
}

// putObject stores an object, with retries. Nobody else uses the key, so an
// object that exists already is from an earlier attempt with a lost response.
func (m *meteredStore) putObject(ctx context.Context, key string, body []byte) error {
	return m.retry(ctx, m.writes, func() error {
		err := m.Put(ctx, key, body)
		switch code.Of(err) {
		case code.StoreConflict:
			return nil
		case code.StoreUnknown:
			if m.objectExists(ctx, key) {
				return nil
			}
		}
		return err
	})
}

// objectExists reports whether the object is known to exist.
func (m *meteredStore) objectExists(ctx context.Context, key string) bool {
	if m.beginOperation(ctx, m.reads) != nil {
		return false
	}
	_, err := m.Stat(ctx, key)
	m.endOperation(err)
	return err == nil
}

// insert inserts a row and returns its version. Nobody else uses the key, so a
// row that exists already is from an earlier attempt with a lost response.
func (m *meteredStore) insert(ctx context.Context, key string, value []byte) (uint64, error) {
	t := storage.Transaction{
		Conditions: []storage.Condition{{Key: key}},
		Writes:     []storage.Write{{Key: key, Value: value}},
	}
	applied, err := m.applyOnce(ctx, t, func(ctx context.Context) (bool, error) {
		row, err := m.get(ctx, key)
		return row.Exists(), err
	})
	if err != nil {
		return 0, err
	}
	if len(applied.Versions) == 1 {
		return applied.Versions[0], nil
	}
	row, err := m.get(ctx, key)
	return row.Version, err
}

// applyOnce applies a transaction, with at most maxStoreAttempts attempts. After
// every lost response and every conflict it calls tookEffect, which reads back
// whether the transaction has taken effect: a conflict may be with an earlier
// attempt of the same transaction. The result has no Versions if tookEffect
// reported success. StoreConflict means that the transaction has not taken
// effect and cannot; StoreUnknown that its outcome is not known.
func (m *meteredStore) applyOnce(ctx context.Context, t storage.Transaction, tookEffect func(context.Context) (bool, error)) (storage.Applied, error) {
	for attempt := 0; ; attempt++ {
		applied, err := m.apply(ctx, t)
		if err == nil {
			return applied, nil
		}
		number := code.Of(err)
		if number == code.StoreConflict || number == code.StoreUnknown {
			done, readErr := tookEffect(ctx)
			switch {
			case readErr != nil:
				return applied, code.Wrap(code.StoreUnknown, readErr, "the outcome of a transaction is not known")
			case done:
				return storage.Applied{}, nil
			case number == code.StoreConflict:
				return applied, err
			}
		} else if !retryable(number) {
			return applied, err
		}
		if attempt+1 >= maxStoreAttempts || storeBackoff.Sleep(ctx, attempt) != nil {
			return applied, err
		}
	}
}

// apply applies a transaction without retries.
func (m *meteredStore) apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	if err := m.beginOperation(ctx, m.writes); err != nil {
		return storage.Applied{}, err
	}
	applied, err := m.Apply(ctx, t)
	m.endOperation(err)
	return applied, err
}

// retry runs an idempotent operation until it succeeds or fails with an error
// that is not retryable, at most maxStoreAttempts times.
func (m *meteredStore) retry(ctx context.Context, kind prometheus.Counter, operation func() error) error {
	for attempt := 0; ; attempt++ {
		if err := m.beginOperation(ctx, kind); err != nil {
			return err
		}
		err := operation()
		m.endOperation(err)
		if err == nil || !retryable(code.Of(err)) {
			return err
		}
		if attempt+1 >= maxStoreAttempts || storeBackoff.Sleep(ctx, attempt) != nil {
			return err
		}
	}
}

// retryable reports whether an error is a temporary failure of the store.
func retryable(n code.Number) bool {
	return n == code.StoreUnavailable || n == code.StoreThrottled || n == code.StoreUnknown
}

// dropUpload removes the input objects of an upload that created no job. It marks
// the row first, so that the job cannot be created while its input is removed.
func (m *meteredStore) dropUpload(ctx context.Context, upload string) error {
	key := uploadKey(upload)
	row, err := m.get(ctx, key)
	if err != nil || !row.Exists() {
		return err
	}
	markDropped := storage.Transaction{
		Conditions: []storage.Condition{{Key: key, Version: row.Version}},
		Writes:     []storage.Write{{Key: key, Value: encode(uploadRow{Dropped: true})}},
	}
	if _, err := m.apply(ctx, markDropped); err != nil {
		return err
	}
	if err := m.deleteObjects(ctx, inputPrefix+upload+"/"); err != nil {
		return err
	}
	_, err = m.apply(ctx, storage.Transaction{Writes: []storage.Write{{Key: key, Delete: true}}})
	return err
}

// deletePageObjects is the number of objects that are listed at once for
// deletion.
const deletePageObjects = 200

// deleteObjects deletes all objects with the prefix.
func (m *meteredStore) deleteObjects(ctx context.Context, prefix string) error {
	for {
		infos, err := m.listObjects(ctx, prefix)
		if err != nil || len(infos) == 0 {
			return err
		}
		for _, info := range infos {
			err := m.retry(ctx, m.writes, func() error { return m.Delete(ctx, info.Key) })
			if err != nil {
				return err
			}
		}
	}
}

func (m *meteredStore) listObjects(ctx context.Context, prefix string) (infos []storage.ObjectInfo, err error) {
	err = m.retry(ctx, m.reads, func() error {
		infos, err = m.List(ctx, prefix, "", deletePageObjects)
		return err
	})
	return infos, err
}
