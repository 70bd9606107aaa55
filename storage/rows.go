package storage

import (
	"context"
	"slices"
	"time"
)

// RowKey identifies a row of Rows. A part is a partition of a table. The keys of a
// transaction must have the same part; their tables may differ.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// TableRow is a row of Rows. Version is 0 for a row that does not exist; Removed
// is set in a feed for a row that was removed.
type TableRow struct {
	RowKey
	Value   []byte
	Version uint64
	Removed bool
}

// RowCondition holds when the row's version equals Version; Version 0 requires
// that the row does not exist.
type RowCondition struct {
	RowKey
	Version uint64
}

// RowTransaction applies all of Puts and Removes, or nothing, when all
// conditions hold. All keys must have the same part.
type RowTransaction struct {
	Conditions []RowCondition
	Puts       []TableRow
	Removes    []RowKey
}

// SinglePart reports whether all keys have the same part, as a store requires.
func (t *RowTransaction) SinglePart() bool {
	var parts []string
	for _, c := range t.Conditions {
		parts = append(parts, c.Part)
	}
	for _, r := range t.Puts {
		parts = append(parts, r.Part)
	}
	for _, k := range t.Removes {
		parts = append(parts, k.Part)
	}
	return len(slices.Compact(parts)) <= 1
}

// WithinLimits reports whether the transaction keeps the limits of a store. A store
// refuses a larger one with code.StoreTooLarge.
func (t *RowTransaction) WithinLimits() bool {
	size := 0
	for _, r := range t.Puts {
		if len(r.Value) > MaxRowBytes {
			return false
		}
		size += len(r.Value)
	}
	return size <= MaxRowTransactionBytes && len(t.Conditions)+len(t.Puts)+len(t.Removes) <= MaxRowWrites
}

// RowPage is the result of an operation on Rows. More is set when further rows
// have to be read with another call. Version is the newest version in the store
// at the time of the result, Now the store's monotonic clock.
type RowPage struct {
	Rows    []TableRow
	More    bool
	Version uint64
	Now     time.Duration
}

// Limits of one RowTransaction.
const (
	// MaxRowBytes is the largest size of the value of a row before encoding. It is three
	// quarters of the smallest limit of a platform, since base64 adds a third.
	MaxRowBytes = 48 << 10
	// MaxRowWrites is the largest number of puts, removes and conditions together.
	MaxRowWrites = 100
	// MaxRowTransactionBytes is the largest size of a transaction before encoding.
	// The store accepts calls of 1 MB; base64 adds a third, JSON the names.
	MaxRowTransactionBytes = 640 << 10
)

// Rows is a table store whose tables have parts and a feed of changes. Rows do not
// expire: they change only by transactions.
//
// Errors: code.StoreUnavailable and code.StoreThrottled when the operation did not
// take effect; code.StoreUnknown when a transaction may have taken effect or may
// still do so; code.StoreConflict when a condition did not hold;
// code.StoreTooLarge when a transaction is over a limit; code.StoreFull when the store has no room;
// code.StoreHistoryGone when a feed cannot be continued and the table has to be
// read again.
type Rows interface {
	// GetRows returns the rows of a part with from <= key < to in key order, all as
	// of one time; an empty from or to is no bound. More is set when the page does
	// not have all of them; NextKey gives the from of the next call.
	GetRows(ctx context.Context, table, part, from, to string) (RowPage, error)
	// ApplyRows runs a transaction. On a conflict the page has the present row of
	// each condition.
	ApplyRows(ctx context.Context, t RowTransaction) (RowPage, error)
	// RowChanges returns the rows of a table that changed after the version after.
	// It waits up to wait for a first change; a page without rows is no error.
	RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (RowPage, error)
	// RowParts lists the parts of a table.
	RowParts(ctx context.Context, table string) ([]string, error)
}

// Blobs is an object store. Objects never change after they are put.
//
// Errors: as for Rows; code.StoreNotFound for an object that does not exist.
type Blobs interface {
	// PutBlob stores body under name. If the name exists, it returns
	// code.StoreConflict and stores nothing.
	PutBlob(ctx context.Context, name string, body []byte) error
	// GetBlob returns an object.
	GetBlob(ctx context.Context, name string) ([]byte, error)
	// DropBlob removes an object; a missing one is not an error.
	DropBlob(ctx context.Context, name string) error
}

// RowStore is the storage of a platform with Rows: the rows and an object store.
type RowStore interface {
	Rows
	Blobs
}

// ReadRows returns all rows of a range, with as many calls as needed. Version is
// that of the first page: a feed from there has the changes made during the read.
// Now is that of the last page.
func ReadRows(ctx context.Context, rows Rows, table, part, from, to string) (RowPage, error) {
	all, err := rows.GetRows(ctx, table, part, from, to)
	for more := all.More; more && err == nil; {
		var page RowPage
		page, err = rows.GetRows(ctx, table, part, NextKey(all.Rows), to)
		all.Rows, all.Now = append(all.Rows, page.Rows...), page.Now
		more = page.More
	}
	all.More = false
	return all, err
}

// NextKey returns the smallest key after that of the last row, "" for no rows.
func NextKey(rows []TableRow) string {
	if len(rows) == 0 {
		return ""
	}
	return rows[len(rows)-1].Key + "\x00"
}
