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
// a section removes the entry of that name; any other entry is added or
// replaces the existing one. An empty Preset or nil Limits keeps the current
// value.
type Edits struct {
	Preset      string                          `json:"preset,omitempty"`
	Presets     map[string]*contract.Preset     `json:"presets,omitempty"`
	DataCentres map[string]*contract.DataCentre `json:"data_centres,omitempty"`
	Services    map[string]*contract.Service    `json:"services,omitempty"`
	Upstreams   map[string]*contract.Upstream   `json:"upstreams,omitempty"`
	Accounts    map[string]*contract.Account    `json:"accounts,omitempty"`
	Limits      *contract.Limits                `json:"limits,omitempty"`
}

// Change is one committed change, from Version-1 to Version. It is immutable.
type Change struct {
	Version uint64 `json:"version"`
	// ID is chosen by the operator and stays the same when a request is sent
	// again.
	ID string `json:"id"`
	// Author is the name of the operator.
	Author string `json:"author"`
	// Time is the time of acceptance by the accepting instance's clock.
	Time  time.Time `json:"time"`
	Note  string    `json:"note,omitempty"`
	Edits Edits     `json:"edits"`
}

// Request is an operator's request for a change.
type Request struct {
	// ID identifies the change, so that sending the request again does not
	// commit it twice.
	ID string `json:"id"`
	// BaseVersion is the version that the edits were made from.
	BaseVersion uint64 `json:"base_version"`
	// Author is set by the receiving instance according to the operator's key.
	Author string `json:"-"`
	Note   string `json:"note,omitempty"`
	Edits  Edits  `json:"edits"`
}

// Check implements settings.Rules.
func (r *Request) Check(c *settings.Checker) {
	c.Field("id").Expect(namePattern.MatchString(r.ID), "found %q, expected 1 to 63 of a-z, 0-9, '.', '_' and '-'", r.ID)
	c.Field("note").Expect(len(r.Note) <= maxDescriptionBytes, "expected at most %d bytes", maxDescriptionBytes)
	c.Field("edits").Expect(!r.Edits.IsEmpty(), "expected at least one edit")
}

// IsEmpty reports whether the edits change nothing.
func (e Edits) IsEmpty() bool {
	return e.Preset == "" && e.Limits == nil &&
		len(e.Presets)+len(e.DataCentres)+len(e.Services)+len(e.Upstreams)+len(e.Accounts) == 0
}

// Equal reports whether both edits have the same content.
func (e Edits) Equal(other Edits) bool { return equalJSON(e, other) }

// equalJSON compares a and b as they are stored, where nil and empty lists are
// equal.
func equalJSON[T any](a, b T) bool {
	textA, errA := json.Marshal(a)
	textB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}

// Diff returns the edits that turn one document into the other.
func Diff(from, to *contract.Document) Edits {
	e := Edits{
		Presets:     diffSection(from.Presets, to.Presets),
		DataCentres: diffSection(from.DataCentres, to.DataCentres),
		Services:    diffSection(from.Services, to.Services),
		Upstreams:   diffSection(from.Upstreams, to.Upstreams),
		Accounts:    diffSection(from.Accounts, to.Accounts),
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

// diffSection returns the edits that turn one section into the other, nil if
// they are equal.
func diffSection[T any](from, to map[string]T) map[string]*T {
	edits := map[string]*T{}
	for name := range from {
		if _, ok := to[name]; !ok {
			edits[name] = nil
		}
	}
	for name, entry := range to {
		if old, ok := from[name]; !ok || !equalJSON(old, entry) {
			edits[name] = &entry
		}
	}
	if len(edits) == 0 {
		return nil
	}
	return edits
}

// apply returns the document of the next version. It does not modify d; the
// result shares the sections without edits with d.
func (e Edits) apply(d *contract.Document) *contract.Document {
	next := *d
	next.Version = d.Version + 1
	if e.Preset != "" {
		next.Preset = e.Preset
	}
	if e.Limits != nil {
		next.Limits = *e.Limits
	}
	next.Presets = editSection(d.Presets, e.Presets)
	next.DataCentres = editSection(d.DataCentres, e.DataCentres)
	next.Services = editSection(d.Services, e.Services)
	next.Upstreams = editSection(d.Upstreams, e.Upstreams)
	next.Accounts = editSection(d.Accounts, e.Accounts)
	return &next
}

// editSection returns the section with the edits applied.
func editSection[T any](section map[string]T, edits map[string]*T) map[string]T {
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

// checkRemovals reports removals of entries that do not exist in d.
func (e Edits) checkRemovals(c *settings.Checker, d *contract.Document) {
	checkSectionRemovals(c.Field("presets"), d.Presets, e.Presets)
	checkSectionRemovals(c.Field("data_centres"), d.DataCentres, e.DataCentres)
	checkSectionRemovals(c.Field("services"), d.Services, e.Services)
	checkSectionRemovals(c.Field("upstreams"), d.Upstreams, e.Upstreams)
	checkSectionRemovals(c.Field("accounts"), d.Accounts, e.Accounts)
}

func checkSectionRemovals[T any](c *settings.Checker, section map[string]T, edits map[string]*T) {
	for _, name := range sortedNames(edits) {
		_, known := section[name]
		c.Key(name).Expect(known || edits[name] != nil, "the change removes an entry that does not exist")
	}
}
