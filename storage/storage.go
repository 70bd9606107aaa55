// Package storage defines the storage interfaces that daisylb requires of its
// platform. There are two sets, one for each kind of deployment:
//
//   - Store is a transactional table, an object store and an instance list. Package
//     httpstore implements it over HTTP, package guard adds retries and rate limits.
//   - RowStore is a table of rows in parts, with a feed of changes, and an object
//     store. Package platform implements it over HTTP.
//
// Package memory implements both for tests. Users of the interfaces decide what to
// do in an outage. The package keeps no state.
package storage

import (
	"context"
	"io"
)

// Row is a row of Table. Version is 0 for a key that does not exist and grows with
// every write of the key, deletions included.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Exists reports whether the row was in the table when it was read.
func (r Row) Exists() bool { return r.Version != 0 }

// Condition holds when the key's version equals Version; Version 0 requires that
// the key does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a key, or removes the key when Delete is set.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes when all conditions hold, and nothing
// otherwise. It counts as one write towards the store's rate limit.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Limits of one operation on a Table.
const (
	// MaxTransactionWrites is the largest number of writes of a transaction.
	MaxTransactionWrites = 200
	// MaxValueBytes is the largest size of one value.
	MaxValueBytes = 256 << 10
	// MaxRangeRows is the largest number of rows that Range returns.
	MaxRangeRows = 1000
)

// Applied is the result of a transaction. Versions has the new version of each
// write in the order of Transaction.Writes. When a condition did not hold,
// Apply returns code.StoreConflict, and Conflicts has the present row of every
// condition that did not hold.
type Applied struct {
	Versions  []uint64 `json:"versions,omitempty"`
	Conflicts []Row    `json:"conflicts,omitempty"`
}

// Table is the platform's transactional table. Keys are ordered by their
// bytes. Reads and transactions are linearizable.
//
// Errors: code.StoreUnavailable and code.StoreThrottled when the operation did
// not take effect; code.StoreUnknown when a transaction may have taken effect;
// code.StoreConflict when a condition did not hold.
type Table interface {
	// Get returns the row of key; a row that does not exist has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Range returns at most limit rows with start <= key < end, in key order.
	Range(ctx context.Context, start, end string, limit int) ([]Row, error)
	// Apply runs a transaction.
	Apply(ctx context.Context, t Transaction) (Applied, error)
}

// ObjectInfo describes a stored object; Size is in bytes.
type ObjectInfo struct {
	Key  string `json:"key"`
	Size int64  `json:"size"`
}

// Objects is the platform's object store. Objects never change after they are
// put.
//
// Errors: as for Table; code.StoreNotFound when an object does not exist.
type Objects interface {
	// Put stores body under key unless the key exists, in which case it returns
	// code.StoreConflict and stores nothing.
	Put(ctx context.Context, key string, body []byte) error
	// Open reads length bytes from offset; a negative length reads to the end.
	// The caller closes the reader.
	Open(ctx context.Context, key string, offset, length int64) (io.ReadCloser, error)
	// Stat returns the size of an object.
	Stat(ctx context.Context, key string) (ObjectInfo, error)
	// List returns at most limit objects with the prefix and a key after after,
	// in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]ObjectInfo, error)
	// Delete removes an object; a missing object is not an error.
	Delete(ctx context.Context, key string) error
}

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	// ID is unique to one run of an instance; its replacement has another.
	ID string `json:"id"`
	// DataCentre is the name of the data centre in the configuration.
	DataCentre string `json:"data_centre"`
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// Leaving is set when the platform is about to stop the instance.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. It lags
// behind starts and stops.
type InstanceList interface {
	// Instances returns the list, which may be out of date. An entry that can't be
	// read has no ID.
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// Store is the storage of a platform with a Table: the table, an object store and
// the instance list.
type Store interface {
	Table
	Objects
	InstanceList
}

// PrefixEnd returns the smallest key after every key with the prefix, for use
// as the end of Table.Range. It returns "", which means no end, for a prefix that
// is empty or has only bytes 0xff.
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return ""
}
