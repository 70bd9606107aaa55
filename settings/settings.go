// Package settings decodes JSON with comments into structs. It reports all faults
// of a document together, each with its file, line, column and field: invalid
// syntax, unknown and repeated fields, wrong types, and violations of the rules that
// a struct defines. Each package with settings defines its own struct; programs
// call Decode before they start anything. The package keeps no state, and only
// ReadFile opens files.
package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest size of the text of a document.
	MaxBytes = 16 << 20
	// maxDepth is the deepest nesting of objects and arrays.
	maxDepth = 64
)

// Rules is implemented by structs that check their own values, such as ranges and
// fields that exclude each other. Decode calls Check for its target and for every
// struct inside it, outer structs first, with the checker of that struct.
type Rules interface {
	Check(c *Checker)
}

// Decode decodes data into the struct that into points to. Fields that are not in
// the text keep their values, so defaults are set before the call. Names are those
// of the json tags and are case-sensitive; a time.Duration is a string such as
// "250ms". name is the name of the text in faults, usually that of the file.
//
// If there are faults, some fields of into may have been set; it must not be used.
// Decode panics if into is not a non-nil pointer.
func Decode(name string, data []byte, into any) Faults {
	return DecodeWith(name, data, into, nil)
}

// DecodeWith is like Decode and also runs rules on the whole document, before the
// rules that structs implement. It is for structs of other packages, to which no
// method Check can be added. rules may be nil.
func DecodeWith(name string, data []byte, into any, rules func(*Checker)) Faults {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		panic(fmt.Sprintf("settings: cannot decode into %T", into))
	}
	r := newReport(name, data)
	root, ok := r.parse(data)
	if !ok {
		return r.sorted()
	}
	d := decoder{r}
	d.decode(&root, fieldPath{}, target.Elem())
	r.check(&root, target.Elem(), rules)
	return r.sorted()
}

// Check runs rules on v, then the rules of v and of the structs inside it. It is for
// a value that was not decoded from a text; the faults have no line and column.
func Check(name string, v any, rules func(*Checker)) Faults {
	r := newReport(name, nil)
	r.check(nil, reflect.ValueOf(v), rules)
	return r.sorted()
}

// report collects the faults of one document.
type report struct {
	name string
	// size is the length of the text and lineOffsets the start of each line, in
	// bytes.
	size        int
	lineOffsets []int
	faults      []locatedFault
	// invalid has the paths of the values that could not be decoded; rules skip them.
	invalid map[string]bool
	// objects caches the members of the objects that rules have accessed.
	objects map[*hujson.Object]map[string]*hujson.Value
}

// locatedFault is a fault with its offset in the text, by which faults are sorted.
type locatedFault struct {
	offset int
	fault  Fault
}

// newReport returns a report on data, or on a value without a text if data is nil.
func newReport(name string, data []byte) *report {
	r := &report{name: name, invalid: map[string]bool{}, objects: map[*hujson.Object]map[string]*hujson.Value{}}
	if data == nil {
		return r
	}
	r.size = len(data)
	r.lineOffsets = []int{0}
	for i, b := range data {
		if b == '\n' {
			r.lineOffsets = append(r.lineOffsets, i+1)
		}
	}
	return r
}

// parse returns the syntax tree of data, or false after adding a fault.
func (r *report) parse(data []byte) (hujson.Value, bool) {
	if len(data) > MaxBytes {
		r.add(0, "", "the text has %d bytes, at most %d are allowed", len(data), MaxBytes)
		return hujson.Value{}, false
	}
	if offset, found := findTooDeep(data); found {
		r.add(offset, "", "objects and arrays are nested more than %d deep", maxDepth)
		return hujson.Value{}, false
	}
	// The parser accepts a line comment only when a line break ends it.
	root, err := hujson.Parse(append(bytes.Clone(data), '\n'))
	if err != nil {
		r.addSyntax(err)
		return hujson.Value{}, false
	}
	return root, true
}

// addSyntax adds the fault for an error of the parser. The error gives line and
// column only in its text.
func (r *report) addSyntax(err error) {
	var line, column int
	message := err.Error()
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		r.add(0, "", "not JSON with comments: %s", message)
		return
	}
	prefix := fmt.Sprintf("hujson: line %d, column %d: ", line, column)
	offset := r.size
	if line <= len(r.lineOffsets) {
		offset = min(r.lineOffsets[line-1]+column-1, r.size)
	}
	r.add(offset, "", "not JSON with comments: %s", strings.TrimPrefix(message, prefix))
}

// add adds a fault at an offset of the text.
func (r *report) add(offset int, path, format string, args ...any) {
	f := Fault{File: r.name, Field: path, Message: fmt.Sprintf(format, args...)}
	if r.lineOffsets != nil {
		i := sort.SearchInts(r.lineOffsets, offset+1) - 1
		f.Line = i + 1
		f.Column = offset - r.lineOffsets[i] + 1
	}
	r.faults = append(r.faults, locatedFault{offset, f})
}

// sorted returns the faults in the order of their positions, without repetitions.
func (r *report) sorted() Faults {
	slices.SortStableFunc(r.faults, func(a, b locatedFault) int {
		return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.fault.Field, b.fault.Field))
	})
	faults := make(Faults, 0, len(r.faults))
	for _, l := range r.faults {
		faults = append(faults, l.fault)
	}
	return slices.Compact(faults)
}
