// Package memory implements storage.Store and storage.RowStore in memory, with
// faults that can be injected. The stand-in of the platform, the dev command and
// tests use it. It is not for production.
package memory

import (
	"bytes"
	"context"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Store is a storage.Store in memory. It is safe for concurrent use.
type Store struct {
	faults *Faults

	mu   sync.RWMutex
	rows map[string]storage.Row
	// keys has the keys of rows in order.
	keys []string
	// versions has the versions of deleted rows too.
	versions   map[string]uint64
	objects    map[string][]byte
	instances  []listing
	heldWrites []func()
}

// listing is an instance list and the time at which it was set.
type listing struct {
	setAt time.Time
	list  []storage.ListedInstance
}

var _ storage.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		faults:   &Faults{},
		rows:     map[string]storage.Row{},
		versions: map[string]uint64{},
		objects:  map[string][]byte{},
	}
}

// Faults returns the faults of the store, which can be changed at any time.
func (s *Store) Faults() *Faults { return s.faults }

// Get implements storage.Table.
func (s *Store) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return storage.Row{}, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	row, ok := s.rows[key]
	if !ok {
		return storage.Row{Key: key}, nil
	}
	return clone(row), nil
}

// Range implements storage.Table.
func (s *Store) Range(ctx context.Context, start, end string, limit int) ([]storage.Row, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return nil, err
	}
	if limit <= 0 || limit > storage.MaxRangeRows {
		limit = storage.MaxRangeRows
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	var rows []storage.Row
	for i := sort.SearchStrings(s.keys, start); i < len(s.keys) && len(rows) < limit; i++ {
		if end != "" && s.keys[i] >= end {
			break
		}
		rows = append(rows, clone(s.rows[s.keys[i]]))
	}
	return rows, nil
}

// Apply implements storage.Table.
func (s *Store) Apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	if err := checkSize(t); err != nil {
		return storage.Applied{}, err
	}
	fault, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return storage.Applied{}, err
	}
	var applied storage.Applied
	err = s.execute(fault, func() error {
		var err error
		applied, err = s.apply(t)
		return err
	})
	if code.Of(err) == code.StoreUnknown {
		return storage.Applied{}, err
	}
	return applied, err
}

// execute runs the effect of a write according to its fault. It returns the error
// of the effect, or code.StoreUnknown when the response is lost.
func (s *Store) execute(fault writeFault, effect func() error) error {
	switch fault {
	case holdWrite:
		s.mu.Lock()
		s.heldWrites = append(s.heldWrites, func() { _ = effect() })
		s.mu.Unlock()
	case loseResponse:
		_ = effect()
	default:
		return effect()
	}
	return code.New(code.StoreUnknown, "the answer of the store was lost")
}

// ReleaseHeld lets the held writes take effect, in the order of their arrival.
func (s *Store) ReleaseHeld() {
	s.mu.Lock()
	held := s.heldWrites
	s.heldWrites = nil
	s.mu.Unlock()
	for _, effect := range held {
		effect()
	}
}

// checkSize returns code.StoreTooLarge for a transaction over the limits.
func checkSize(t storage.Transaction) error {
	if len(t.Writes) > storage.MaxTransactionWrites {
		return code.New(code.StoreTooLarge, "transaction has %d writes, at most %d are allowed", len(t.Writes), storage.MaxTransactionWrites)
	}
	for _, w := range t.Writes {
		if len(w.Value) > storage.MaxValueBytes {
			return code.New(code.StoreTooLarge, "value of %q has %d bytes, at most %d are allowed", w.Key, len(w.Value), storage.MaxValueBytes)
		}
	}
	return nil
}

// apply runs a transaction.
func (s *Store) apply(t storage.Transaction) (storage.Applied, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied storage.Applied
	for _, c := range t.Conditions {
		row, ok := s.rows[c.Key]
		if !ok {
			row = storage.Row{Key: c.Key}
		}
		if row.Version != c.Version {
			applied.Conflicts = append(applied.Conflicts, clone(row))
		}
	}
	if len(applied.Conflicts) > 0 {
		return applied, code.New(code.StoreConflict, "%d of %d conditions did not hold", len(applied.Conflicts), len(t.Conditions))
	}
	for _, w := range t.Writes {
		applied.Versions = append(applied.Versions, s.applyWrite(w))
	}
	return applied, nil
}

// applyWrite applies one write and returns the new version of its key. The caller
// holds s.mu.
func (s *Store) applyWrite(w storage.Write) uint64 {
	s.versions[w.Key]++
	version := s.versions[w.Key]
	_, existed := s.rows[w.Key]
	i := sort.SearchStrings(s.keys, w.Key)
	if w.Delete {
		if existed {
			delete(s.rows, w.Key)
			s.keys = append(s.keys[:i], s.keys[i+1:]...)
		}
		return version
	}
	if !existed {
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = w.Key
	}
	s.rows[w.Key] = storage.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: version}
	return version
}

// Put implements storage.Objects.
func (s *Store) Put(ctx context.Context, key string, body []byte) error {
	fault, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return err
	}
	body = bytes.Clone(body)
	return s.execute(fault, func() error { return s.putObject(key, body) })
}

func (s *Store) putObject(key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; ok {
		return code.New(code.StoreConflict, "object %q exists", key)
	}
	s.objects[key] = body
	return nil
}

// Open implements storage.Objects.
func (s *Store) Open(ctx context.Context, key string, offset, length int64) (io.ReadCloser, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return nil, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, code.New(code.StoreNotFound, "no object %q", key)
	}
	offset = min(max(offset, 0), int64(len(body)))
	end := int64(len(body))
	if length >= 0 {
		end = min(end, offset+length)
	}
	return io.NopCloser(bytes.NewReader(body[offset:end])), nil
}

// Stat implements storage.Objects.
func (s *Store) Stat(ctx context.Context, key string) (storage.ObjectInfo, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return storage.ObjectInfo{}, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	body, ok := s.objects[key]
	if !ok {
		return storage.ObjectInfo{}, code.New(code.StoreNotFound, "no object %q", key)
	}
	return storage.ObjectInfo{Key: key, Size: int64(len(body))}, nil
}

// List implements storage.Objects.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]storage.ObjectInfo, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return nil, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	var infos []storage.ObjectInfo
	for key, body := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			infos = append(infos, storage.ObjectInfo{Key: key, Size: int64(len(body))})
		}
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].Key < infos[j].Key })
	if limit > 0 && len(infos) > limit {
		infos = infos[:limit]
	}
	return infos, nil
}

// Delete implements storage.Objects.
func (s *Store) Delete(ctx context.Context, key string) error {
	fault, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return err
	}
	return s.execute(fault, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.objects, key)
		return nil
	})
}

// Instances implements storage.InstanceList.
func (s *Store) Instances(ctx context.Context) ([]storage.ListedInstance, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return nil, err
	}
	cutoff := time.Now().Add(-s.faults.Settings().InstanceLag)
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []storage.ListedInstance
	for i, l := range s.instances {
		if i > 0 && l.setAt.After(cutoff) {
			break
		}
		list = l.list
	}
	return append([]storage.ListedInstance(nil), list...), nil
}

// maxListings bounds the old instance lists that are retained for
// FaultSettings.InstanceLag.
const maxListings = 1000

// SetInstances replaces the instance list.
func (s *Store) SetInstances(list []storage.ListedInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list = append([]storage.ListedInstance(nil), list...)
	s.instances = append(s.instances, listing{setAt: time.Now(), list: list})
	if len(s.instances) > maxListings {
		s.instances = s.instances[1:]
	}
}

// clone returns a copy of a row that does not share its value.
func clone(r storage.Row) storage.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
