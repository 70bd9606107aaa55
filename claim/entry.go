package claim

import (
	"bytes"
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// outcome is the result of the commit of a row.
type outcome int

const (
	// applied means that the row is as requested.
	applied outcome = iota
	// conflict means that the row does not have the expected version.
	conflict
	// unavailable means that the row was not written.
	unavailable
	// unknown means that the row may have been written or may still be written later.
	unknown
)

// reply is the result of an entry.
type reply struct {
	outcome outcome
	version uint64
	// present is the existing record after a conflict, nil when there is none.
	present *claimpb.Record
}

// entry is one row to commit.
type entry struct {
	ctx     context.Context
	key     string
	version uint64
	record  *claimpb.Record
	// answer is an encoded answer to store in an object, empty when there is none.
	answer []byte
	done   chan reply
}

func newEntry(ctx context.Context, key string, version uint64, record *claimpb.Record, answer []byte) *entry {
	return &entry{ctx: ctx, key: key, version: version, record: record, answer: answer, done: make(chan reply, 1)}
}

// deliver passes the reply to wait. It must be called once.
func (e *entry) deliver(r reply) { e.done <- r }

// wait returns the reply, or an unknown outcome when the context of the entry ends
// first.
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

// write returns the write of the entry for a transaction.
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

// tookEffect reports whether the existing record shows that an earlier attempt of the
// entry was applied.
func (e *entry) tookEffect(present *claimpb.Record) bool {
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
