package job_test

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// machineStore is the store of a history as one process of a machine reaches it.
type machineStore struct {
	*memory.Rows
	m       *machine
	process string
}

const (
	minCallTime = time.Millisecond
	maxCallTime = 30 * time.Millisecond
	// maxLostCallTime is the longest time until a lost answer is noticed.
	maxLostCallTime = time.Second
	// minLateEffect and maxLateEffect bound the time after which a write whose answer was
	// lost takes effect, if it does so late.
	minLateEffect = time.Second
	maxLateEffect = 6 * time.Second
	frozenPoll    = 100 * time.Millisecond
)

// reach waits for the way to the store and while the machine is frozen. It returns an error
// if the store is not reached.
func (s machineStore) reach() error {
	h := s.m.history
	h.pause(minCallTime, maxCallTime)
	for h.locked(func() bool { return s.m.frozen && s.process == s.m.process }) {
		time.Sleep(frozenPoll)
	}
	if h.locked(func() bool { return h.storeDown || s.m.cut || s.m.refused || s.process != s.m.process }) {
		return code.New(code.StoreUnavailable, "the store is not reached")
	}
	return nil
}

// GetRows implements storage.Rows.
func (s machineStore) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	if err := s.reach(); err != nil {
		return storage.RowPage{}, err
	}
	return s.Rows.GetRows(ctx, table, part, from, to)
}

// RowChanges implements storage.Rows.
func (s machineStore) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	if err := s.reach(); err != nil {
		return storage.RowPage{}, err
	}
	return s.Rows.RowChanges(ctx, table, after, min(wait, time.Second))
}

// GetBlob implements storage.Blobs.
func (s machineStore) GetBlob(ctx context.Context, name string) ([]byte, error) {
	if err := s.reach(); err != nil {
		return nil, err
	}
	return s.Rows.GetBlob(ctx, name)
}

// ApplyRows implements storage.Rows.
func (s machineStore) ApplyRows(_ context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if !t.WithinLimits() {
		return storage.RowPage{}, code.New(code.StoreTooLarge, "the transaction is over a limit")
	}
	var page storage.RowPage
	err := s.write(func() (err error) {
		page, err = s.Rows.ApplyRows(context.Background(), t)
		return err
	})
	if code.Of(err) == code.StoreUnknown {
		return storage.RowPage{}, err
	}
	if err == nil {
		newest, readErr := s.Rows.GetRows(context.Background(), "jobs", "", "", "")
		if readErr != nil {
			return storage.RowPage{}, readErr
		}
		page.Version = newest.Version
	}
	return page, err
}

// PutBlob implements storage.Blobs.
func (s machineStore) PutBlob(_ context.Context, name string, body []byte) error {
	return s.write(func() error { return s.Rows.PutBlob(context.Background(), name, body) })
}

// write makes a write. If its answer is to be lost, the write takes effect at once, late,
// or never.
func (s machineStore) write(apply func() error) error {
	h := s.m.history
	if err := s.reach(); err != nil {
		return err
	}
	if !h.locked(func() bool { return h.random.Float64() < h.lossShare }) {
		err := apply()
		h.pause(minCallTime, maxCallTime)
		return err
	}
	switch h.number(3) {
	case 0:
		_ = apply()
	case 1:
		h.late.Go(func() {
			h.pause(minLateEffect, maxLateEffect)
			_ = apply()
		})
	}
	h.pause(minCallTime, maxLostCallTime)
	return code.New(code.StoreUnknown, "the answer was lost")
}
