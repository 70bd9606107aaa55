package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/settings"
)

// Edits is the difference between two versions of the document. A nil entry of
// a section removes the entry of that name; every other entry is added or
// replaced. A zero Preset or Limits leaves the present value.
type Edits struct {
	Preset      string                          `json:"preset,omitempty"`
	Presets     map[string]*contract.Preset     `json:"presets,omitempty"`
	DataCentres map[string]*contract.DataCentre `json:"data_centres,omitempty"`
	Services    map[string]*contract.Service    `json:"services,omitempty"`
	Upstreams   map[string]*contract.Upstream   `json:"upstreams,omitempty"`
	Accounts    map[string]*contract.Account    `json:"accounts,omitempty"`
	Limits      *contract.Limits                `json:"limits,omitempty"`
}

// Change is one accepted change: the step from Version-1 to Version. It is
// immutable.
type Change struct {
	Version uint64 `json:"version"`
	// ID is chosen by the operator; a change that is sent again keeps it.
	ID string `json:"id"`
	// Author is the name of the operator.
	Author string `json:"author"`
	// Time is that of the accepting instance's clock.
	Time  time.Time `json:"time"`
	Note  string    `json:"note,omitempty"`
	Edits Edits     `json:"edits"`
}

// Request asks for a change.
type Request struct {
	// ID identifies the change, so that a resend finds it done.
	ID string `json:"id"`
	// BaseVersion is the version that the edits were made from.
	BaseVersion uint64 `json:"base_version"`
	// Author is set by the receiving instance from the operator's key.
	Author string `json:"-"`
	Note   string `json:"note,omitempty"`
	Edits  Edits  `json:"edits"`
}

// Check implements settings.Rules.
func (r *Request) Check(c *settings.Checker) {
	c.Field("id").Expect(nameForm.MatchString(r.ID), "found %q, expected 1 to 63 of a-z, 0-9, '.', '_' and '-'", r.ID)
	c.Field("note").Expect(len(r.Note) <= maxDescriptionBytes, "expected at most %d bytes", maxDescriptionBytes)
	c.Field("edits").Expect(!r.Edits.IsEmpty(), "expected at least one edit")
}

// IsEmpty reports whether the edits change nothing.
func (e Edits) IsEmpty() bool {
	return e.Preset == "" && e.Limits == nil &&
		len(e.Presets)+len(e.DataCentres)+len(e.Services)+len(e.Upstreams)+len(e.Accounts) == 0
}

// Equal reports whether both edits have the same content.
func (e Edits) Equal(other Edits) bool { return sameJSON(e, other) }

// sameJSON compares what is stored, for which nil and empty lists are equal.
func sameJSON[T any](a, b T) bool {
	textA, errA := json.Marshal(a)
	textB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}

// Diff returns the edits that lead from one document to the other.
func Diff(from, to *contract.Document) Edits {
	e := Edits{
		Presets:     diff(from.Presets, to.Presets),
		DataCentres: diff(from.DataCentres, to.DataCentres),
		Services:    diff(from.Services, to.Services),
		Upstreams:   diff(from.Upstreams, to.Upstreams),
		Accounts:    diff(from.Accounts, to.Accounts),
	}
	if from.Preset != to.Preset {
		e.Preset = to.Preset
	}
	if from.Limits != to.Limits {
		limits := to.Limits
		e.Limits = &limits
	}
	return e
}

func diff[T any](from, to map[string]T) map[string]*T {
	edits := map[string]*T{}
	for name := range from {
		if _, ok := to[name]; !ok {
			edits[name] = nil
		}
	}
	for name, entry := range to {
		if old, ok := from[name]; !ok || !sameJSON(old, entry) {
			edits[name] = &entry
		}
	}
	if len(edits) == 0 {
		return nil
	}
	return edits
}

// apply returns the document of the next version. The document that it starts
// from is not changed; sections without edits are shared.
func (e Edits) apply(d *contract.Document) *contract.Document {
	next := *d
	next.Version = d.Version + 1
	if e.Preset != "" {
		next.Preset = e.Preset
	}
	if e.Limits != nil {
		next.Limits = *e.Limits
	}
	next.Presets = edit(d.Presets, e.Presets)
	next.DataCentres = edit(d.DataCentres, e.DataCentres)
	next.Services = edit(d.Services, e.Services)
	next.Upstreams = edit(d.Upstreams, e.Upstreams)
	next.Accounts = edit(d.Accounts, e.Accounts)
	return &next
}

func edit[T any](section map[string]T, edits map[string]*T) map[string]T {
	if len(edits) == 0 {
		return section
	}
	next := make(map[string]T, len(section)+len(edits))
	maps.Copy(next, section)
	for name, entry := range edits {
		if entry == nil {
			delete(next, name)
		} else {
			next[name] = *entry
		}
	}
	return next
}

// checkRemovals reports removals of entries that do not exist.
func (e Edits) checkRemovals(c *settings.Checker, d *contract.Document) {
	removals(c.Field("presets"), d.Presets, e.Presets)
	removals(c.Field("data_centres"), d.DataCentres, e.DataCentres)
	removals(c.Field("services"), d.Services, e.Services)
	removals(c.Field("upstreams"), d.Upstreams, e.Upstreams)
	removals(c.Field("accounts"), d.Accounts, e.Accounts)
}

func removals[T any](c *settings.Checker, section map[string]T, edits map[string]*T) {
	for _, name := range names(edits) {
		_, known := section[name]
		c.Key(name).Expect(known || edits[name] != nil, "the change removes an entry that does not exist")
	}
}
