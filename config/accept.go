package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/settings"
	"github.com/daisylb/daisylb/storage"
)

const (
	// acceptTimeout bounds the work on one request for a change.
	acceptTimeout = 15 * time.Second
	// commitAttempts bounds the tries of one transaction.
	commitAttempts = 5
)

// Accepted is the answer to a request for a change that is in the table.
type Accepted struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Repeated is set when the change had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
	// InForce of the Instances that were live have the change in force.
	InForce   int `json:"in_force"`
	Instances int `json:"instances"`
	// Missing are the addresses of the others.
	Missing []string `json:"missing,omitempty"`
}

// Winner names the change that was accepted in place of another.
type Winner struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Conflict is an error with the number code.VersionConflict.
type Conflict struct {
	// BaseVersion is the one that the refused change was made from.
	BaseVersion uint64
	Winner      Winner
}

// Error names the winner.
func (c *Conflict) Error() string { return c.Unwrap().Error() }

// Unwrap returns the numbered error.
func (c *Conflict) Unwrap() error {
	return code.New(code.VersionConflict, "version %d is not the newest: change %q by %q made version %d",
		c.BaseVersion, c.Winner.ChangeID, c.Winner.Author, c.Winner.Version)
}

// Submit asks for a change and returns when it is committed in the table, in
// force here, and pushed to every live peer.
//
// Errors: code.InvalidSettings (settings.Faults) when the edits lead to an
// invalid document; code.VersionConflict (*Conflict) when another change was
// accepted on the base version; code.ChangeIDConflict when the id was used for
// other edits; code.NoConfiguration while the instance starts;
// code.StoreUnavailable when the change was not accepted; code.StoreUnknown
// when it may have been: send it again with the same id.
func (s *Store) Submit(ctx context.Context, r Request) (Accepted, error) {
	// A change that is being committed reaches the peers also when the operator
	// hangs up.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	accepted, err := s.submit(ctx, r)
	s.metrics.countSubmit(err)
	if err != nil {
		s.logger.Info("configuration change refused", zap.String("change_id", r.ID), zap.String("author", r.Author), zap.Error(err))
	}
	return accepted, err
}

func (s *Store) submit(ctx context.Context, r Request) (Accepted, error) {
	if err := settings.Check("request", &r, nil).Err(); err != nil {
		return Accepted{}, err
	}
	if !s.started() {
		return Accepted{}, code.New(code.NoConfiguration, "the instance has not read the configuration yet")
	}
	prior, err := s.readByID(ctx, r.ID)
	if err != nil {
		return Accepted{}, err
	}
	if prior != nil {
		return s.repeat(ctx, prior, r)
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return Accepted{}, err
	}
	base, err := s.base(ctx, h, r.BaseVersion)
	if conflict := (*Conflict)(nil); errors.As(err, &conflict) {
		return s.repeatOrConflict(ctx, r, conflict)
	}
	if err != nil {
		return Accepted{}, err
	}
	if err := checkEdits(r.Edits, base); err != nil {
		return Accepted{}, err
	}
	c := &Change{Version: base.Version + 1, ID: r.ID, Author: r.Author, Time: time.Now().UTC().Truncate(time.Millisecond), Note: r.Note, Edits: r.Edits}
	committed, err := s.commit(ctx, h, base, c)
	if err != nil {
		return Accepted{}, err
	}
	return s.spread(ctx, committed, false), nil
}

// repeat answers a request whose id is in the table.
func (s *Store) repeat(ctx context.Context, prior *Change, r Request) (Accepted, error) {
	if !prior.Edits.Equal(r.Edits) {
		return Accepted{}, code.New(code.ChangeIDConflict, "change id %q made version %d with other edits", r.ID, prior.Version)
	}
	return s.spread(ctx, prior, true), nil
}

// repeatOrConflict answers a request whose base version is not the newest. The same
// request, sent through another instance, may have been accepted since its id was
// looked up: it is then no conflict.
func (s *Store) repeatOrConflict(ctx context.Context, r Request, conflict *Conflict) (Accepted, error) {
	prior, err := s.readByID(ctx, r.ID)
	if err != nil {
		return Accepted{}, err
	}
	if prior == nil {
		return Accepted{}, conflict
	}
	return s.repeat(ctx, prior, r)
}

// base returns the document of the base version, which must be the newest.
func (s *Store) base(ctx context.Context, h head, version uint64) (*contract.Document, error) {
	if h.Version > version {
		return nil, s.conflict(ctx, version)
	}
	if err := s.catchUp(ctx, h); err != nil {
		return nil, err
	}
	d := s.version.Load().document
	if d.Version > version {
		return nil, s.conflict(ctx, version)
	}
	if d.Version < version {
		return nil, settings.Faults{{File: "request", Field: "base_version", Message: fmt.Sprintf("found %d, expected at most %d", version, d.Version)}}
	}
	return d, nil
}

// conflict names the change that followed the base version.
func (s *Store) conflict(ctx context.Context, version uint64) error {
	winner, err := s.readChange(ctx, version+1)
	if err != nil {
		return err
	}
	return &Conflict{BaseVersion: version, Winner: Winner{winner.Version, winner.ID, winner.Author, winner.Time}}
}

// checkEdits checks the document that the edits lead to.
func checkEdits(e Edits, base *contract.Document) error {
	next := e.apply(base)
	return settings.Check("document", next, func(c *settings.Checker) {
		e.checkRemovals(c, base)
		checkDocument(c, next)
	}).Err()
}

// commit writes the change on the condition that its base is still the newest.
// A transaction whose answer was lost is sent again: the condition keeps it
// from taking effect twice, and the id tells whether the first one did.
func (s *Store) commit(ctx context.Context, h head, base *contract.Document, c *Change) (*Change, error) {
	unknown := false
	for attempt := 0; ; attempt++ {
		err := s.tryCommit(ctx, h, base, c)
		switch code.Of(err) {
		case 0:
			return c, nil
		case code.StoreConflict:
			return s.resolve(ctx, c, unknown)
		case code.StoreUnknown:
			unknown = true
		case code.StoreUnavailable, code.StoreThrottled:
		default:
			return nil, err
		}
		if attempt+1 == commitAttempts || s.options.Backoff.Sleep(ctx, attempt) != nil {
			return nil, unresolved(err, c, unknown)
		}
	}
}

func (s *Store) tryCommit(ctx context.Context, h head, base *contract.Document, c *Change) error {
	row := changeRow{Change: *c}
	edits, err := json.Marshal(c.Edits)
	if err != nil {
		return code.Wrap(code.Internal, err, "encoding edits")
	}
	if len(edits) > maxInlineBytes {
		row.EditsObject, row.Edits = editsKey(c.ID, edits), Edits{}
		if err := s.putObject(ctx, row.EditsObject, c.Edits); err != nil {
			return err
		}
	}
	next := head{Version: c.Version, ChangeID: c.ID, Snapshot: s.snapshot(ctx, h, base)}
	t := storage.Transaction{Conditions: []storage.Condition{{Key: headKey, Version: h.row}, {Key: idPrefix + c.ID}}}
	for _, w := range []struct {
		key   string
		value any
	}{{headKey, next}, {changeKey(c.Version), row}, {idPrefix + c.ID, idRow{c.Version}}} {
		value, err := json.Marshal(w.value)
		if err != nil {
			return code.Wrap(code.Internal, err, "encoding row %q", w.key)
		}
		t.Writes = append(t.Writes, storage.Write{Key: w.key, Value: value})
	}
	_, err = s.options.Table.Apply(ctx, t)
	s.metrics.writes.Inc()
	return err
}

// resolve finds out which change won when the transaction's conditions did not
// hold: this one, by an attempt whose answer was lost, or another.
func (s *Store) resolve(ctx context.Context, c *Change, unknown bool) (*Change, error) {
	for attempt := 0; ; attempt++ {
		prior, err := s.readByID(ctx, c.ID)
		switch {
		case err == nil && prior == nil:
			return nil, s.conflict(ctx, c.Version-1)
		case err == nil && prior.Edits.Equal(c.Edits):
			return prior, nil
		case err == nil:
			return nil, code.New(code.ChangeIDConflict, "change id %q made version %d with other edits", c.ID, prior.Version)
		}
		if attempt+1 == commitAttempts || s.options.Backoff.Sleep(ctx, attempt) != nil {
			return nil, unresolved(err, c, unknown)
		}
	}
}

// unresolved is the error of a commit that was given up.
func unresolved(err error, c *Change, unknown bool) error {
	if unknown {
		return code.Wrap(code.StoreUnknown, err, "change %q may have been accepted; send it again with the same id", c.ID)
	}
	return code.Wrap(code.StoreUnavailable, err, "change %q was not accepted", c.ID)
}

// spread puts a committed change in force here and at the live peers.
func (s *Store) spread(ctx context.Context, c *Change, repeated bool) Accepted {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), distributeTimeout)
	defer cancel()
	if err := s.advance(ctx, c, ""); err != nil {
		s.logger.Warn("committed change not in force here yet", zap.Uint64("version", c.Version), zap.Error(err))
	}
	a := Accepted{Version: c.Version, ChangeID: c.ID, Repeated: repeated}
	addresses := s.options.Peers.Addresses()
	a.Missing = s.distribute(ctx, c, s.options.Address, addresses)
	if s.inForce() < c.Version {
		a.Missing = append(a.Missing, s.options.Address)
	}
	a.Instances = len(addresses) + 1
	a.InForce = a.Instances - len(a.Missing)
	s.logger.Info("configuration change accepted", zap.Uint64("version", c.Version), zap.String("change_id", c.ID),
		zap.String("author", c.Author), zap.Int("in_force", a.InForce), zap.Int("instances", a.Instances))
	return a
}
