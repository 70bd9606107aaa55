package claim

import (
	"bytes"
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// outcome is what became of a row's commit.
type outcome int

const (
	// applied means the row is as asked.
	applied outcome = iota
	// conflict means another row stands in the way.
	conflict
	// unavailable means the row was not written.
	unavailable
	// unknown means the row may have been written or be written later.
	unknown
)

// reply ends an entry.
type reply struct {
	outcome outcome
	version uint64
	// present is the row in the way; nil when there is none.
	present *claimpb.Record
}

// entry is one row to commit.
type entry struct {
	ctx     context.Context
	key     string
	version uint64
	record  *claimpb.Record
	// answer waits to become part of an object.
	answer []byte
	done   chan reply
}

func newEntry(ctx context.Context, key string, version uint64, record *claimpb.Record, answer []byte) *entry {
	return &entry{ctx: ctx, key: key, version: version, record: record, answer: answer, done: make(chan reply, 1)}
}

// end delivers the reply; it is called once.
func (e *entry) end(r reply) { e.done <- r }

// wait returns the reply, or unknown when the caller leaves first.
func (e *entry) wait() reply {
	select {
	case r := <-e.done:
		return r
	case <-e.ctx.Done():
	}
	select {
	case r := <-e.done:
		return r
	default:
		return reply{outcome: unknown}
	}
}

// write is the entry's part of a transaction.
func (e *entry) write() (storage.Write, error) {
	if e.record.State == claimpb.State_STATE_RELEASED {
		return storage.Write{Key: e.key, Delete: true}, nil
	}
	value, err := proto.Marshal(e.record)
	if err != nil {
		return storage.Write{}, code.Wrap(code.Internal, err, "a claim cannot be encoded")
	}
	return storage.Write{Key: e.key, Value: value}, nil
}

// landed reports whether the row shows that the entry took effect before.
func (e *entry) landed(present *claimpb.Record) bool {
	mine := present != nil && bytes.Equal(present.Id, e.record.Id)
	switch e.record.State {
	case claimpb.State_STATE_RELEASED:
		return !mine
	case claimpb.State_STATE_PENDING:
		return mine
	}
	return mine && present.State == e.record.State
}

// decodeRow returns the record of a row, or nil for a row that does not exist.
func decodeRow(row storage.Row) (*claimpb.Record, error) {
	if !row.Exists() {
		return nil, nil
	}
	record := &claimpb.Record{}
	if err := proto.Unmarshal(row.Value, record); err != nil {
		return nil, code.Wrap(code.Internal, err, "the claim %q cannot be decoded", row.Key)
	}
	return record, nil
}
