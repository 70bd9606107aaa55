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
	// maxInlineBytes bounds the edits in the row of a change; larger ones are
	// stored as an object.
	maxInlineBytes = 128 << 10
	// maxObjectBytes bounds what is read from an object or a response.
	maxObjectBytes = 64 << 20
	// rowsPerPage is the number of rows or objects of one read.
	rowsPerPage = 200
)

// head is the row that names the version in force.
type head struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Snapshot is the version of the newest snapshot object, 0 for none.
	Snapshot uint64 `json:"snapshot,omitempty"`

	// rowVersion is the table's version of the row, for conditional writes.
	rowVersion uint64
}

// changeRow is the row of a change.
type changeRow struct {
	Change
	// EditsObject is the key of the object with the edits if they are not
	// inline.
	EditsObject string `json:"edits_object,omitempty"`
}

// idRow maps a change id to the version of the change.
type idRow struct {
	Version uint64 `json:"version"`
}

func changeKey(version uint64) string   { return fmt.Sprintf("%s%020d", changePrefix, version) }
func snapshotKey(version uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, version) }

// editsKey returns the key of the object with the edits of a change. It depends
// on the content, so that two requests with the same id and different edits do
// not share an object.
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
	h := head{rowVersion: row.Version}
	if len(row.Value) == 0 {
		return h, nil
	}
	if err := decodeRow(row, &h); err != nil {
		return head{}, err
	}
	return h, nil
}

// readByID returns the change with the id, or nil if there is none.
func (s *Store) readByID(ctx context.Context, id string) (*Change, error) {
	row, err := s.options.Table.Get(ctx, idPrefix+id)
	s.metrics.reads.Inc()
	if err != nil || len(row.Value) == 0 {
		return nil, err
	}
	var entry idRow
	if err := decodeRow(row, &entry); err != nil {
		return nil, err
	}
	return s.readChange(ctx, entry.Version)
}

func (s *Store) readChange(ctx context.Context, version uint64) (*Change, error) {
	changes, err := s.readChanges(ctx, version, version)
	if err != nil {
		return nil, err
	}
	return changes[0], nil
}

// readChanges returns the changes from first to last, or code.VersionGap if one
// of them is not in the table.
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

// scanChanges returns those changes from first to last that are in the table.
func (s *Store) scanChanges(ctx context.Context, first, last uint64) ([]*Change, error) {
	var changes []*Change
	for first <= last {
		rows, err := s.options.Table.Range(ctx, changeKey(first), changeKey(last+1), rowsPerPage)
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
		if len(rows) < rowsPerPage {
			break
		}
	}
	return changes, nil
}

// decodeChange decodes the row of a change and reads its edits if they are in an
// object.
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

// putObject stores a value as an object. If the object exists already, it has
// the same content, because the content is determined by the key.
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
