package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
)

// Keys of the table and of the object store.
const (
	headKey        = "config/head"
	changePrefix   = "config/change/"
	idPrefix       = "config/id/"
	snapshotPrefix = "config/snapshot/"
	editsPrefix    = "config/edits/"
)

const (
	// maxInlineBytes bounds the edits inside a change's row; larger ones are
	// kept in an object.
	maxInlineBytes = 128 << 10
	// maxObjectBytes bounds what is read from an object.
	maxObjectBytes = 64 << 20
	// pageRows is the number of rows of one read.
	pageRows = 200
)

// head is the single row that names the version in force.
type head struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Snapshot is the version of the newest snapshot object, 0 for none.
	Snapshot uint64 `json:"snapshot,omitempty"`

	// row is the version of the table's row.
	row uint64
}

// changeRow is a change as it lies in the table.
type changeRow struct {
	Change
	// EditsObject names the object with the edits, when they are not inline.
	EditsObject string `json:"edits_object,omitempty"`
}

// idRow leads from a change id to its version.
type idRow struct {
	Version uint64 `json:"version"`
}

func changeKey(version uint64) string   { return fmt.Sprintf("%s%020d", changePrefix, version) }
func snapshotKey(version uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, version) }

// editsKey depends on the content, so that two requests with one id and
// different edits do not share an object.
func editsKey(id string, edits []byte) string {
	sum := sha256.Sum256(edits)
	return editsPrefix + id + "/" + hex.EncodeToString(sum[:16])
}

func (s *Store) readHead(ctx context.Context) (head, error) {
	row, err := s.options.Table.Get(ctx, headKey)
	s.metrics.reads.Inc()
	if err != nil {
		return head{}, err
	}
	s.confirm()
	h := head{row: row.Version}
	if len(row.Value) == 0 {
		return h, nil
	}
	if err := decodeRow(row, &h); err != nil {
		return head{}, err
	}
	return h, nil
}

// readByID returns the change with the id, or nil when there is none.
func (s *Store) readByID(ctx context.Context, id string) (*Change, error) {
	row, err := s.options.Table.Get(ctx, idPrefix+id)
	s.metrics.reads.Inc()
	if err != nil || len(row.Value) == 0 {
		return nil, err
	}
	var at idRow
	if err := decodeRow(row, &at); err != nil {
		return nil, err
	}
	return s.readChange(ctx, at.Version)
}

func (s *Store) readChange(ctx context.Context, version uint64) (*Change, error) {
	changes, err := s.readChanges(ctx, version, version)
	if err != nil {
		return nil, err
	}
	return changes[0], nil
}

// readChanges returns the changes from first to last, or code.VersionGap when
// one of them is not in the table.
func (s *Store) readChanges(ctx context.Context, first, last uint64) ([]*Change, error) {
	changes, err := s.scanChanges(ctx, first, last)
	if err != nil {
		return nil, err
	}
	for i := range last + 1 - first {
		if i >= uint64(len(changes)) || changes[i].Version != first+i {
			return nil, code.New(code.VersionGap, "change %d is not in the table", first+i)
		}
	}
	return changes, nil
}

// scanChanges returns the changes from first to last that the table has.
func (s *Store) scanChanges(ctx context.Context, first, last uint64) ([]*Change, error) {
	var changes []*Change
	for first <= last {
		rows, err := s.options.Table.Range(ctx, changeKey(first), changeKey(last+1), pageRows)
		s.metrics.reads.Inc()
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			c, err := s.decodeChange(ctx, row)
			if err != nil {
				return nil, err
			}
			changes = append(changes, c)
			first = c.Version + 1
		}
		if len(rows) < pageRows {
			break
		}
	}
	return changes, nil
}

func (s *Store) decodeChange(ctx context.Context, row storage.Row) (*Change, error) {
	var c changeRow
	if err := decodeRow(row, &c); err != nil {
		return nil, err
	}
	if c.EditsObject != "" {
		if err := s.readObject(ctx, c.EditsObject, &c.Edits); err != nil {
			return nil, err
		}
	}
	return &c.Change, nil
}

func (s *Store) readSnapshot(ctx context.Context, version uint64) (*contract.Document, error) {
	d := &contract.Document{}
	if err := s.readObject(ctx, snapshotKey(version), d); err != nil {
		return nil, err
	}
	return d, nil
}

func (s *Store) readObject(ctx context.Context, key string, into any) error {
	body, err := s.options.Objects.Open(ctx, key, 0, -1)
	s.metrics.reads.Inc()
	if err != nil {
		return err
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxObjectBytes))
	if err != nil {
		return code.Wrap(code.StoreUnavailable, err, "reading object %q", key)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return code.Wrap(code.Internal, err, "object %q is not readable", key)
	}
	return nil
}

// putObject stores a value; an object that is there already has the same
// content, because its key depends on it.
func (s *Store) putObject(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return code.Wrap(code.Internal, err, "encoding object %q", key)
	}
	err = s.options.Objects.Put(ctx, key, data)
	if code.Of(err) == code.StoreConflict {
		return nil
	}
	return err
}

func decodeRow(row storage.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return code.Wrap(code.Internal, err, "row %q is not readable", row.Key)
	}
	return nil
}
