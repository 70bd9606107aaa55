package guard

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// onceBackoff is the wait between the tries of ApplyOnce and PutOnce.
var onceBackoff = retry.Backoff{Min: 50 * time.Millisecond, Max: time.Second}

// onceAttempts bounds the tries of ApplyOnce and PutOnce.
const onceAttempts = 6

// ApplyOnce runs a transaction and resolves lost answers. At least one written
// key must have a condition, and the value that the transaction writes under
// every such key must carry a marker that no other transaction writes. After a
// lost answer the same transaction is sent again: it either takes effect for
// the first time, or its conditions fail and name the rows in the table, in
// which landed looks for the marker. One marked row proves the whole, since a
// transaction is atomic. A late effect of the lost attempt then fails on the
// same conditions.
//
// A marked row must not be overwritten by others before the answer is
// resolved, or landed must recognize its successors. Applied.Versions is zero
// for written keys without a condition when the answer was lost.
//
// Errors: as storage.Table; code.StoreUnknown when an answer stayed lost.
func ApplyOnce(ctx context.Context, table storage.Table, t storage.Transaction, landed func(storage.Row) bool) (storage.Applied, error) {
	if !isConditioned(t) {
		return storage.Applied{}, code.New(code.Internal, "a transaction without a condition on a written key cannot be resolved")
	}
	var lost error
	for attempt := 0; ; attempt++ {
		applied, err := table.Apply(ctx, t)
		switch code.Of(err) {
		case 0:
			return applied, nil
		case code.StoreUnknown:
			lost = err
		case code.StoreConflict:
			if lost == nil {
				return applied, err
			}
			return resolve(t, applied, err, landed)
		case code.StoreUnavailable, code.StoreThrottled:
			if lost == nil {
				return applied, err
			}
		default:
			return applied, err
		}
		if attempt+1 >= onceAttempts || onceBackoff.Sleep(ctx, attempt) != nil {
			return storage.Applied{}, lost
		}
	}
}

func isConditioned(t storage.Transaction) bool {
	for _, c := range t.Conditions {
		for _, w := range t.Writes {
			if w.Key == c.Key {
				return true
			}
		}
	}
	return false
}

// resolve decides from the conflicts of a repeated transaction whether an
// earlier attempt took effect.
func resolve(t storage.Transaction, applied storage.Applied, conflict error, landed func(storage.Row) bool) (storage.Applied, error) {
	present := make(map[string]storage.Row, len(applied.Conflicts))
	for _, row := range applied.Conflicts {
		present[row.Key] = row
	}
	versions := make([]uint64, len(t.Writes))
	marked := false
	for i, w := range t.Writes {
		row, ok := present[w.Key]
		if ok && landed(row) {
			versions[i] = row.Version
			marked = true
		}
	}
	if !marked {
		return applied, conflict
	}
	return storage.Applied{Versions: versions}, nil
}

// PutOnce stores an object under a key that only the caller uses, and resolves
// lost answers: an object that exists after a lost answer is the caller's own.
//
// Errors: as storage.Objects; code.StoreUnknown when an answer stayed lost.
func PutOnce(ctx context.Context, objects storage.Objects, key string, body []byte) error {
	var lost error
	for attempt := 0; ; attempt++ {
		err := objects.Put(ctx, key, body)
		switch code.Of(err) {
		case 0:
			return nil
		case code.StoreUnknown:
			lost = err
		case code.StoreConflict:
			if lost == nil {
				return err
			}
			return nil
		case code.StoreUnavailable, code.StoreThrottled:
			if lost == nil {
				return err
			}
		default:
			return err
		}
		if attempt+1 >= onceAttempts || onceBackoff.Sleep(ctx, attempt) != nil {
			return lost
		}
	}
}
