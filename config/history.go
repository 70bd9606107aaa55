package config

import (
	"context"
	"slices"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// MaxHistory bounds the changes on one page of the history.
const MaxHistory = 200

// History returns up to limit changes with versions below before, newest first;
// before 0 starts at the version in force. Changes that are not in memory are
// read from the table, which holds at least the last Options.KeptChanges.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]*Change, error) {
	v := s.version.Load()
	if v == nil {
		return nil, code.New(code.NoConfiguration, "the instance has not read the configuration yet")
	}
	last := v.document.Version
	if before > 0 {
		last = min(last, before-1)
	}
	if last == 0 {
		return nil, nil
	}
	count := min(uint64(min(max(limit, 1), MaxHistory)), last)
	first := last - count + 1
	changes, err := s.changesBetween(ctx, v, first, last)
	if err != nil {
		return nil, err
	}
	page := slices.Clone(changes)
	slices.Reverse(page)
	return page, nil
}

// changesBetween returns the changes from first to last, from memory if all of
// them are there, else from the table.
func (s *Store) changesBetween(ctx context.Context, v *version, first, last uint64) ([]*Change, error) {
	if recent, ok := v.changesAfter(first - 1); ok {
		return recent[:last-first+1], nil
	}
	return s.scanChanges(ctx, first, last)
}

// Document returns the document in force; its version is 0 if there is none
// yet. It returns code.NoConfiguration while the instance starts.
func (s *Store) Document(context.Context) (*contract.Document, error) {
	v := s.version.Load()
	if v == nil {
		return nil, code.New(code.NoConfiguration, "the instance has not read the configuration yet")
	}
	return v.document, nil
}

// SwitchRequest is an operator's request for another preset.
type SwitchRequest struct {
	// ID and BaseVersion are as in Request.
	ID          string `json:"id"`
	BaseVersion uint64 `json:"base_version"`
	// Preset is the name of an entry of the document's presets.
	Preset string `json:"preset"`
	Author string `json:"-"`
	Note   string `json:"note,omitempty"`
}

// SwitchPreset submits a change to another preset. Its errors are those of
// Submit, and code.UnknownPreset.
func (s *Store) SwitchPreset(ctx context.Context, r SwitchRequest) (Accepted, error) {
	d, err := s.Document(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if _, known := d.Presets[r.Preset]; !known && d.Version == r.BaseVersion {
		return Accepted{}, code.New(code.UnknownPreset, "no preset %q, there are %q", r.Preset, sortedNames(d.Presets))
	}
	return s.Submit(ctx, Request{ID: r.ID, BaseVersion: r.BaseVersion, Author: r.Author, Note: r.Note, Edits: Edits{Preset: r.Preset}})
}

// PresetList holds the presets and the name of the one in force.
type PresetList struct {
	Version uint64                     `json:"version"`
	Active  string                     `json:"active"`
	Presets map[string]contract.Preset `json:"presets"`
}

// Target accepts changes: a Store, or a Client of a Store in another process.
type Target interface {
	// Document returns the document in force; its version is 0 if there is
	// none.
	Document(ctx context.Context) (*contract.Document, error)
	// Submit requests a change.
	Submit(ctx context.Context, r Request) (Accepted, error)
}

var (
	_ Target = (*Store)(nil)
	_ Target = (*Client)(nil)
)

// Bootstrap replaces the whole document of target by d, in one change that
// holds the difference to the document in force. Id, author and note are those
// of r. If d has a version, the change applies only to that version, else to the
// version in force. If there is no difference, Bootstrap submits nothing and
// returns the version in force with an empty change id.
func Bootstrap(ctx context.Context, target Target, r Request, d *contract.Document) (Accepted, error) {
	current, err := target.Document(ctx)
	if err != nil {
		return Accepted{}, err
	}
	r.BaseVersion = current.Version
	if d.Version > 0 {
		r.BaseVersion = d.Version
	}
	r.Edits = Diff(current, d)
	if r.Edits.IsEmpty() {
		return Accepted{Version: current.Version}, nil
	}
	return target.Submit(ctx, r)
}
