package batch

import (
	"context"
	"io"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// meteredStore counts the operations on the store and, with a limit, spaces
// them. It is safe for concurrent use.
type meteredStore struct {
	Store
	limit  *rate.Limiter
	reads  prometheus.Counter
	writes prometheus.Counter
	failed prometheus.Counter
}

// storeBurst is the number of operations that may run at once within the limit.
const storeBurst = 20

// newMeteredStore returns a store for one user; perSecond 0 means no limit.
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

// register adds collectors to reg; a nil reg is none.
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

func (m *meteredStore) begin(ctx context.Context, kind prometheus.Counter) error {
	if err := m.limit.Wait(ctx); err != nil {
		return code.Wrap(code.StoreUnavailable, err, "no time left for the store")
	}
	kind.Inc()
	return nil
}

func (m *meteredStore) end(err error) {
	if err != nil && code.Of(err) != code.StoreConflict {
		m.failed.Inc()
	}
}

// Open reads from an object; a failure to open is retried.
func (m *meteredStore) Open(ctx context.Context, key string, offset, length int64) (body io.ReadCloser, err error) {
	err = m.retry(ctx, m.reads, func() error {
		body, err = m.Store.Open(ctx, key, offset, length)
		return err
	})
	return body, err
}

// get reads a row.
func (m *meteredStore) get(ctx context.Context, key string) (row storage.Row, err error) {
	err = m.retry(ctx, m.reads, func() error {
		row, err = m.Store.Get(ctx, key)
		return err
	})
	return row, err
}

// rows reads at most limit rows from start.
func (m *meteredStore) rows(ctx context.Context, start, end string, limit int) (rows []storage.Row, err error) {
	err = m.retry(ctx, m.reads, func() error {
		rows, err = m.Store.Range(ctx, start, end, limit)
		return err
	})
	return rows, err
}

// once is rows without retries, for callers that repeat on their own account.
func (m *meteredStore) once(ctx context.Context, start, end string, limit int) ([]storage.Row, error) {
	if err := m.begin(ctx, m.reads); err != nil {
		return nil, err
	}
	rows, err := m.Range(ctx, start, end, limit)
	m.end(err)
	return rows, err
}

// read reads the whole of a part of an object.
func (m *meteredStore) read(ctx context.Context, key string, offset, length int64) ([]byte, error) {
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

// put stores an object under a key that no one else uses, so an object that
// exists is an earlier try whose answer was lost.
func (m *meteredStore) put(ctx context.Context, key string, body []byte) error {
	return m.retry(ctx, m.writes, func() error {
		err := m.Put(ctx, key, body)
		switch code.Of(err) {
		case code.StoreConflict:
			return nil
		case code.StoreUnknown:
			if m.stored(ctx, key) {
				return nil
			}
		}
		return err
	})
}

// stored reports whether the object is known to exist.
func (m *meteredStore) stored(ctx context.Context, key string) bool {
	if m.begin(ctx, m.reads) != nil {
		return false
	}
	_, err := m.Stat(ctx, key)
	m.end(err)
	return err == nil
}

// insert writes a row under a key that no one else uses and returns its version.
func (m *meteredStore) insert(ctx context.Context, key string, value []byte) (uint64, error) {
	t := storage.Transaction{
		Conditions: []storage.Condition{{Key: key}},
		Writes:     []storage.Write{{Key: key, Value: value}},
	}
	applied, err := m.settle(ctx, t, func(ctx context.Context) (bool, error) {
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

// settle applies a transaction until its outcome is known or storeAttempts are
// used up. took reads back whether the transaction took effect; it is asked
// after every lost answer and every conflict. The result has no Versions when
// the answer was read back. A conflict of an earlier try with itself counts as
// success; StoreConflict means that the transaction did not take effect and
// cannot.
func (m *meteredStore) settle(ctx context.Context, t storage.Transaction, took func(context.Context) (bool, error)) (storage.Applied, error) {
	for attempt := 0; ; attempt++ {
		applied, err := m.apply(ctx, t)
		if err == nil {
			return applied, nil
		}
		number := code.Of(err)
		if number == code.StoreConflict || number == code.StoreUnknown {
			done, readErr := took(ctx)
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
		if attempt+1 >= storeAttempts || storeBackoff.Sleep(ctx, attempt) != nil {
			return applied, err
		}
	}
}

// apply runs a transaction once.
func (m *meteredStore) apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	if err := m.begin(ctx, m.writes); err != nil {
		return storage.Applied{}, err
	}
	applied, err := m.Apply(ctx, t)
	m.end(err)
	return applied, err
}

// retry repeats an idempotent operation while it fails for reasons of the
// store, at most storeAttempts times.
func (m *meteredStore) retry(ctx context.Context, kind prometheus.Counter, operation func() error) error {
	for attempt := 0; ; attempt++ {
		if err := m.begin(ctx, kind); err != nil {
			return err
		}
		err := operation()
		m.end(err)
		if err == nil || !retryable(code.Of(err)) {
			return err
		}
		if attempt+1 >= storeAttempts || storeBackoff.Sleep(ctx, attempt) != nil {
			return err
		}
	}
}

func retryable(n code.Number) bool {
	return n == code.StoreUnavailable || n == code.StoreThrottled || n == code.StoreUnknown
}

// dropUpload removes the input objects of an upload that made no job. The row
// is marked first, so that the job cannot be made while its input goes.
func (m *meteredStore) dropUpload(ctx context.Context, upload string) error {
	key := uploadKey(upload)
	row, err := m.get(ctx, key)
	if err != nil || !row.Exists() {
		return err
	}
	mark := storage.Transaction{
		Conditions: []storage.Condition{{Key: key, Version: row.Version}},
		Writes:     []storage.Write{{Key: key, Value: encode(uploadRow{Dropped: true})}},
	}
	if _, err := m.apply(ctx, mark); err != nil {
		return err
	}
	if err := m.deleteObjects(ctx, inputPrefix+upload+"/"); err != nil {
		return err
	}
	_, err = m.apply(ctx, storage.Transaction{Writes: []storage.Write{{Key: key, Delete: true}}})
	return err
}

// deletePage is the number of objects that are listed at once for deletion.
const deletePage = 200

func (m *meteredStore) deleteObjects(ctx context.Context, prefix string) error {
	for {
		infos, err := m.list(ctx, prefix)
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

func (m *meteredStore) list(ctx context.Context, prefix string) (infos []storage.ObjectInfo, err error) {
	err = m.retry(ctx, m.reads, func() error {
		infos, err = m.List(ctx, prefix, "", deletePage)
		return err
	})
	return infos, err
}
