package guard

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// onceBackoff is the wait between the attempts of ApplyOnce and PutOnce.
var onceBackoff = retry.Backoff{Min: 50 * time.Millisecond, Max: time.Second}

// onceAttempts bounds the attempts of ApplyOnce and PutOnce.
const onceAttempts = 6

// ApplyOnce runs a transaction and finds out its outcome when a response is lost.
// At least one written key must have a condition, and the value that the
// transaction writes to every such key must carry a marker that no other
// transaction writes.
//
// After a lost response the same transaction is sent again. Either it takes effect
// now, or its conditions do not hold and the store returns the present rows, in
// which hasMarker looks for the marker. One marked row shows that the whole
// transaction took effect, since it is atomic. If the first attempt takes effect
// only after the second, it fails on the same conditions.
//
// Others must not overwrite a marked row until ApplyOnce has returned, or hasMarker
// must also recognize the rows that replace it. When the outcome was found out from
// a conflict, Applied.Versions has 0 for written keys without a condition.
//
// Errors: as for storage.Table; code.StoreUnknown when the outcome could not be
// found out.
func ApplyOnce(ctx context.Context, table storage.Table, t storage.Transaction, hasMarker func(storage.Row) bool) (storage.Applied, error) {
	if !hasWriteCondition(t) {
		return storage.Applied{}, code.New(code.Internal, "a transaction without a condition on a written key cannot be resolved")
	}
	var lostErr error
	for attempt := 0; ; attempt++ {
		applied, err := table.Apply(ctx, t)
		switch code.Of(err) {
		case 0:
			return applied, nil
		case code.StoreUnknown:
			lostErr = err
		case code.StoreConflict:
			if lostErr == nil {
				return applied, err
			}
			return resolveConflict(t, applied, err, hasMarker)
		case code.StoreUnavailable, code.StoreThrottled:
			if lostErr == nil {
				return applied, err
			}
		default:
			return applied, err
		}
		if attempt+1 >= onceAttempts || onceBackoff.Sleep(ctx, attempt) != nil {
			return storage.Applied{}, lostErr
		}
	}
}

// hasWriteCondition reports whether a written key has a condition.
func hasWriteCondition(t storage.Transaction) bool {
	for _, c := range t.Conditions {
		for _, w := range t.Writes {
			if w.Key == c.Key {
				return true
			}
		}
	}
	return false
}

// resolveConflict decides from the conflicts of a repeated transaction whether an
// earlier attempt took effect. If none did, it returns the conflict.
func resolveConflict(t storage.Transaction, applied storage.Applied, conflict error, hasMarker func(storage.Row) bool) (storage.Applied, error) {
	conflicts := make(map[string]storage.Row, len(applied.Conflicts))
	for _, row := range applied.Conflicts {
		conflicts[row.Key] = row
	}
	versions := make([]uint64, len(t.Writes))
	marked := false
	for i, w := range t.Writes {
		row, ok := conflicts[w.Key]
		if ok && hasMarker(row) {
			versions[i] = row.Version
			marked = true
		}
	}
	if !marked {
		return applied, conflict
	}
	return storage.Applied{Versions: versions}, nil
}

// PutOnce stores an object under a key that nobody else uses, and finds out the
// outcome when a response is lost: an object that then exists was stored by an
// earlier attempt.
//
// Errors: as for storage.Objects; code.StoreUnknown when the outcome could not be
// found out.
func PutOnce(ctx context.Context, objects storage.Objects, key string, body []byte) error {
	var lostErr error
	for attempt := 0; ; attempt++ {
		err := objects.Put(ctx, key, body)
		switch code.Of(err) {
		case 0:
			return nil
		case code.StoreUnknown:
			lostErr = err
		case code.StoreConflict:
			if lostErr == nil {
				return err
			}
			return nil
		case code.StoreUnavailable, code.StoreThrottled:
			if lostErr == nil {
				return err
			}
		default:
			return err
		}
		if attempt+1 >= onceAttempts || onceBackoff.Sleep(ctx, attempt) != nil {
			return lostErr
		}
	}
}
