package guard

import (
	"context"
	"io"
	"time"

	"github.com/daisylb/daisylb/storage"
)

// view is the guarded store for one lane.
type view struct {
	guard *Guard
	lane  Lane
}

var _ storage.Store = (*view)(nil)

// read runs a read; each attempt has the timeout of Options.
func (v *view) read(ctx context.Context, operation func(context.Context) error) error {
	return v.guard.run(ctx, v.guard.reads, v.lane, v.withTimeout(operation))
}

// write runs a write; each attempt has the timeout of Options.
func (v *view) write(ctx context.Context, operation func(context.Context) error) error {
	return v.guard.run(ctx, v.guard.writes, v.lane, v.withTimeout(operation))
}

// withTimeout returns operation with the timeout of one attempt.
func (v *view) withTimeout(operation func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, v.guard.options.Timeout)
		defer cancel()
		return operation(ctx)
	}
}

// Get implements storage.Table.
func (v *view) Get(ctx context.Context, key string) (row storage.Row, err error) {
	err = v.read(ctx, func(ctx context.Context) (err error) {
		row, err = v.guard.options.Store.Get(ctx, key)
		return err
	})
	return row, err
}

// Range implements storage.Table.
func (v *view) Range(ctx context.Context, start, end string, limit int) (rows []storage.Row, err error) {
	err = v.read(ctx, func(ctx context.Context) (err error) {
		rows, err = v.guard.options.Store.Range(ctx, start, end, limit)
		return err
	})
	return rows, err
}

// Apply implements storage.Table. It does not retry after code.StoreUnknown.
func (v *view) Apply(ctx context.Context, t storage.Transaction) (applied storage.Applied, err error) {
	err = v.write(ctx, func(ctx context.Context) (err error) {
		applied, err = v.guard.options.Store.Apply(ctx, t)
		return err
	})
	return applied, err
}

// Put implements storage.Objects. It does not retry after code.StoreUnknown.
func (v *view) Put(ctx context.Context, key string, body []byte) error {
	return v.write(ctx, func(ctx context.Context) error {
		return v.guard.options.Store.Put(ctx, key, body)
	})
}

// Open implements storage.Objects. The timeout bounds the time until the store
// returns the reader; reads from it are bounded by ctx only.
func (v *view) Open(ctx context.Context, key string, offset, length int64) (body io.ReadCloser, err error) {
	err = v.guard.run(ctx, v.guard.reads, v.lane, func(ctx context.Context) (err error) {
		body, err = v.open(ctx, key, offset, length)
		return err
	})
	return body, err
}

// open makes one attempt of Open.
func (v *view) open(ctx context.Context, key string, offset, length int64) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(v.guard.options.Timeout, cancel)
	body, err := v.guard.options.Store.Open(ctx, key, offset, length)
	timer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	return &objectReader{ReadCloser: body, cancel: cancel}, nil
}

// objectReader cancels the context of its read when it is closed.
type objectReader struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the reader and cancels its context.
func (s *objectReader) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}

// Stat implements storage.Objects.
func (v *view) Stat(ctx context.Context, key string) (info storage.ObjectInfo, err error) {
	err = v.read(ctx, func(ctx context.Context) (err error) {
		info, err = v.guard.options.Store.Stat(ctx, key)
		return err
	})
	return info, err
}

// List implements storage.Objects.
func (v *view) List(ctx context.Context, prefix, after string, limit int) (infos []storage.ObjectInfo, err error) {
	err = v.read(ctx, func(ctx context.Context) (err error) {
		infos, err = v.guard.options.Store.List(ctx, prefix, after, limit)
		return err
	})
	return infos, err
}

// Delete implements storage.Objects. It does not retry after code.StoreUnknown.
func (v *view) Delete(ctx context.Context, key string) error {
	return v.write(ctx, func(ctx context.Context) error {
		return v.guard.options.Store.Delete(ctx, key)
	})
}

// Instances implements storage.InstanceList.
func (v *view) Instances(ctx context.Context) (list []storage.ListedInstance, err error) {
	err = v.read(ctx, func(ctx context.Context) (err error) {
		list, err = v.guard.options.Store.Instances(ctx)
		return err
	})
	return list, err
}
