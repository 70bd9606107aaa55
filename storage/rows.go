package storage

import (
	"context"
	"slices"
	"time"
)

// RowKey names a row of Rows. Transactions are atomic within one part.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// TableRow is a row as the store returned it. Version is 0 for a row that does
// not exist; Removed is set in a feed for a row that was dropped.
type TableRow struct {
	RowKey
	Value   []byte
	Version uint64
	Removed bool
}

// RowCondition holds when the row's version equals Version; 0 asks that the
// row does not exist.
type RowCondition struct {
	RowKey
	Version uint64
}

// RowTransaction applies all of Puts and Removes, or nothing, when all
// conditions hold. All keys share one part.
type RowTransaction struct {
	Conditions []RowCondition
	Puts       []TableRow
	Removes    []RowKey
}

// OnePart reports whether all keys share one part, as they must.
func (t *RowTransaction) OnePart() bool {
	var names []string
	for _, c := range t.Conditions {
		names = append(names, c.Part)
	}
	for _, r := range t.Puts {
		names = append(names, r.Part)
	}
	for _, k := range t.Removes {
		names = append(names, k.Part)
	}
	return len(slices.Compact(names)) <= 1
}

// RowPage is the answer of a read. Version is the newest version of the store
// when it was taken, Now the store's steady clock.
type RowPage struct {
	Rows    []TableRow
	More    bool
	Version uint64
	Now     time.Duration
}

// Limits of one transaction.
const (
	// MaxRowWrites is the number of entries, conditions included.
	MaxRowWrites = 100
	// MaxRowTransactionBytes leaves room for the encoding in a call of 1 MB.
	MaxRowTransactionBytes = 640 << 10
)

// Rows is a table store with parts and a feed of changes. Nothing in it
// expires; only versions and conditions decide.
//
// Errors: code.StoreUnavailable and code.StoreThrottled when nothing was done,
// code.StoreUnknown when a transaction may have taken effect or may still do
// so, code.StoreConflict when a condition did not hold, code.StoreHistoryGone
// when a feed cannot be continued and must be read anew.
type Rows interface {
	// GetRows returns the rows of a part with from <= key < to in key order, as
	// of one moment; "" leaves an end open. More is set when the answer had no
	// room for all of them.
	GetRows(ctx context.Context, table, part, from, to string) (RowPage, error)
	// ApplyRows runs a transaction. On a conflict the page has the present rows
	// of the conditions.
	ApplyRows(ctx context.Context, t RowTransaction) (RowPage, error)
	// RowChanges waits up to wait for changes of a table after a version.
	RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (RowPage, error)
	// RowParts lists the parts of a table.
	RowParts(ctx context.Context, table string) ([]string, error)
}

// Blobs keeps raw objects that never change after they are put.
//
// Errors: as Rows; code.StoreNotFound for an object that does not exist.
type Blobs interface {
	// PutBlob stores body unless the name exists, which is code.StoreConflict.
	PutBlob(ctx context.Context, name string, body []byte) error
	// GetBlob returns an object.
	GetBlob(ctx context.Context, name string) ([]byte, error)
	// DropBlob removes an object; a missing one is not an error.
	DropBlob(ctx context.Context, name string) error
}

// RowStore is a table store beside an object store.
type RowStore interface {
	Rows
	Blobs
}

// ReadRows returns the rows of a range over as many answers as they take. Version
// is that of the first answer: what changed during the read is a change after it.
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

// NextKey returns the least key after the last of some rows.
func NextKey(rows []TableRow) string {
	if len(rows) == 0 {
		return ""
	}
	return rows[len(rows)-1].Key + "\x00"
}
