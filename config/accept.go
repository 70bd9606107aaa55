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
	// submitTimeout bounds the work on one request for a change.
	submitTimeout = 15 * time.Second
	// commitAttempts bounds the attempts of one transaction.
	commitAttempts = 5
)

// Accepted is the result of a request for a change that is committed in the
// table.
type Accepted struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Repeated is set when an earlier request had committed the change.
	Repeated bool `json:"repeated,omitempty"`
	// InForce is the number of live instances, out of Instances, that have the
	// change in force.
	InForce   int `json:"in_force"`
	Instances int `json:"instances"`
	// Missing are the peer addresses of the others.
	Missing []string `json:"missing,omitempty"`
}

// Winner identifies the change that was committed instead of a conflicting one.
type Winner struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Conflict is an error with the number code.VersionConflict.
type Conflict struct {
	// BaseVersion is the version that the rejected change was made from.
	BaseVersion uint64
	Winner      Winner
}

// Error returns the text of the numbered error, which names the winner.
func (c *Conflict) Error() string { return c.Unwrap().Error() }

// Unwrap returns the numbered error.
func (c *Conflict) Unwrap() error {
	return code.New(code.VersionConflict, "version %d is not the newest: change %q by %q made version %d",
		c.BaseVersion, c.Winner.ChangeID, c.Winner.Author, c.Winner.Version)
}

// Submit commits a change in the table, puts it in force on this instance and
// pushes it to every live peer. It returns when the pushes have ended. It
// continues when ctx is cancelled.
//
// Errors: code.InvalidSettings (settings.Faults) if the request or the document
// that results from the edits is invalid; code.VersionConflict (*Conflict) if
// another change was committed on the base version; code.ChangeIDConflict if
// the id was used for other edits; code.NoConfiguration while the instance
// starts; code.StoreUnavailable if the change was not committed;
// code.StoreUnknown if it may have been committed and must be sent again with
// the same id.
func (s *Store) Submit(ctx context.Context, r Request) (Accepted, error) {
	// A committed change must reach the peers even if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	accepted, err := s.submit(ctx, r)
	s.metrics.countSubmit(err)
	if err != nil {
		s.logger.Info("configuration change rejected", zap.String("change_id", r.ID), zap.String("author", r.Author), zap.Error(err))
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
		return s.answerRepeated(ctx, prior, r)
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return Accepted{}, err
	}
	base, err := s.baseDocument(ctx, h, r.BaseVersion)
	if conflict := (*Conflict)(nil); errors.As(err, &conflict) {
		return s.answerRepeatedOrConflict(ctx, r, conflict)
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
	return s.applyEverywhere(ctx, committed, false), nil
}

// answerRepeated answers a request whose id belongs to the committed change
// prior.
func (s *Store) answerRepeated(ctx context.Context, prior *Change, r Request) (Accepted, error) {
	if !prior.Edits.Equal(r.Edits) {
		return Accepted{}, code.New(code.ChangeIDConflict, "change id %q made version %d with other edits", r.ID, prior.Version)
	}
	return s.applyEverywhere(ctx, prior, true), nil
}

// answerRepeatedOrConflict answers a request whose base version is not the
// newest. If the same request, sent through another instance, was accepted
// after its id was looked up, it is a repeated request and no conflict.
func (s *Store) answerRepeatedOrConflict(ctx context.Context, r Request, conflict *Conflict) (Accepted, error) {
	prior, err := s.readByID(ctx, r.ID)
	if err != nil {
		return Accepted{}, err
	}
	if prior == nil {
		return Accepted{}, conflict
	}
	return s.answerRepeated(ctx, prior, r)
}

// baseDocument returns the document of the base version, which must be the
// newest version. Otherwise it returns a *Conflict, or faults if there is no
// such version yet.
func (s *Store) baseDocument(ctx context.Context, h head, version uint64) (*contract.Document, error) {
	if h.Version > version {
		return nil, s.newConflict(ctx, version)
	}
	if err := s.catchUp(ctx, h); err != nil {
		return nil, err
	}
	d := s.version.Load().document
	if d.Version > version {
		return nil, s.newConflict(ctx, version)
	}
	if d.Version < version {
		return nil, settings.Faults{{File: "request", Field: "base_version", Message: fmt.Sprintf("found %d, expected at most %d", version, d.Version)}}
	}
	return d, nil
}

// newConflict returns a *Conflict with the change that followed the base
// version.
func (s *Store) newConflict(ctx context.Context, version uint64) error {
	winner, err := s.readChange(ctx, version+1)
	if err != nil {
		return err
	}
	return &Conflict{BaseVersion: version, Winner: Winner{winner.Version, winner.ID, winner.Author, winner.Time}}
}

// checkEdits validates the edits and the document that results from them.
func checkEdits(e Edits, base *contract.Document) error {
	next := e.apply(base)
	return settings.Check("document", next, func(c *settings.Checker) {
		e.checkRemovals(c, base)
		checkDocument(c, next)
	}).Err()
}

// commit writes the change on the condition that its base is still the newest
// version. A transaction whose response was lost is sent again: the condition
// prevents it from taking effect twice, and the id row shows whether the first
// attempt did.
func (s *Store) commit(ctx context.Context, h head, base *contract.Document, c *Change) (*Change, error) {
	unknown := false
	for attempt := 0; ; attempt++ {
		err := s.tryCommit(ctx, h, base, c)
		switch code.Of(err) {
		case 0:
			return c, nil
		case code.StoreConflict:
			return s.resolveConflict(ctx, c, unknown)
		case code.StoreUnknown:
			unknown = true
		case code.StoreUnavailable, code.StoreThrottled:
		default:
			return nil, err
		}
		if attempt+1 == commitAttempts || s.options.Backoff.Sleep(ctx, attempt) != nil {
			return nil, commitError(err, c, unknown)
		}
	}
}

// tryCommit makes one attempt to commit the change. Edits over maxInlineBytes
// are stored as an object first.
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
	next := head{Version: c.Version, ChangeID: c.ID, Snapshot: s.storeSnapshot(ctx, h, base)}
	t := storage.Transaction{Conditions: []storage.Condition{{Key: headKey, Version: h.rowVersion}, {Key: idPrefix + c.ID}}}
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

// resolveConflict determines which change was committed when the conditions of
// the transaction did not hold: c itself, by an attempt whose response was
// lost, or another one. Unknown reports whether a response was lost.
func (s *Store) resolveConflict(ctx context.Context, c *Change, unknown bool) (*Change, error) {
	for attempt := 0; ; attempt++ {
		prior, err := s.readByID(ctx, c.ID)
		switch {
		case err == nil && prior == nil:
			return nil, s.newConflict(ctx, c.Version-1)
		case err == nil && prior.Edits.Equal(c.Edits):
			return prior, nil
		case err == nil:
			return nil, code.New(code.ChangeIDConflict, "change id %q made version %d with other edits", c.ID, prior.Version)
		}
		if attempt+1 == commitAttempts || s.options.Backoff.Sleep(ctx, attempt) != nil {
			return nil, commitError(err, c, unknown)
		}
	}
}

// commitError returns the error of a commit that was given up after err.
func commitError(err error, c *Change, unknown bool) error {
	if unknown {
		return code.Wrap(code.StoreUnknown, err, "change %q may have been accepted; send it again with the same id", c.ID)
	}
	return code.Wrap(code.StoreUnavailable, err, "change %q was not accepted", c.ID)
}

// applyEverywhere puts a committed change in force on this instance and pushes
// it to the live peers.
func (s *Store) applyEverywhere(ctx context.Context, c *Change, repeated bool) Accepted {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), distributeTimeout)
	defer cancel()
	if err := s.applyChange(ctx, c, ""); err != nil {
		s.logger.Warn("applying the committed change failed", zap.Uint64("version", c.Version), zap.Error(err))
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
