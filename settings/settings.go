// Package settings reads JSON with comments into typed structs and reports
// every fault at once with its file, line, column and field: syntax, unknown
// and repeated fields, wrong types, and the rules that a struct checks itself.
// Each part defines its own struct; programs call Decode before they start
// anything. The package opens no files and keeps no state.
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
	// MaxBytes bounds the text of one document.
	MaxBytes = 16 << 20
	// maxDepth bounds the nesting of objects and arrays.
	maxDepth = 64
)

// Rules is implemented by structs that check their own ranges and
// contradictions. Decode calls Check on every struct that it has filled, outer
// structs first, with a checker that stands at the struct.
type Rules interface {
	Check(c *Checker)
}

// Decode reads data into the struct that into points to. Fields that the text
// does not name keep their value, so defaults are set before the call. Names
// are those of the json tags and match case-sensitively; a time.Duration is
// written as a string such as "250ms". Name stands for the text in faults.
//
// When the result is not empty, into holds the fields that could be read and
// must not be used.
func Decode(name string, data []byte, into any) Faults {
	return DecodeWith(name, data, into, nil)
}

// DecodeWith is Decode with rules for a struct of another package.
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
	d.decode(&root, place{}, target.Elem())
	r.check(&root, target.Elem(), rules)
	return r.sorted()
}

// Check applies the rules of v, and of the structs in it, to a value that did
// not come from a text. Its faults have fields but no lines.
func Check(name string, v any, rules func(*Checker)) Faults {
	r := newReport(name, nil)
	r.check(nil, reflect.ValueOf(v), rules)
	return r.sorted()
}

// report collects the faults of one document.
type report struct {
	name string
	// size is the length of the text, lines the offset of each line, in bytes.
	size   int
	lines  []int
	faults []located
	// bad holds the paths whose value could not be read; rules skip them.
	bad map[string]bool
	// objects has the members of each object that a rule has looked into.
	objects map[*hujson.Object]map[string]*hujson.Value
}

type located struct {
	offset int
	fault  Fault
}

func newReport(name string, data []byte) *report {
	r := &report{name: name, bad: map[string]bool{}, objects: map[*hujson.Object]map[string]*hujson.Value{}}
	if data == nil {
		return r
	}
	r.size = len(data)
	r.lines = []int{0}
	for i, b := range data {
		if b == '\n' {
			r.lines = append(r.lines, i+1)
		}
	}
	return r
}

func (r *report) parse(data []byte) (hujson.Value, bool) {
	if len(data) > MaxBytes {
		r.add(0, "", "the text has %d bytes, at most %d are allowed", len(data), MaxBytes)
		return hujson.Value{}, false
	}
	if offset, deep := tooDeep(data); deep {
		r.add(offset, "", "objects and arrays are nested more than %d deep", maxDepth)
		return hujson.Value{}, false
	}
	// The parser takes a line comment only when a line break ends it.
	root, err := hujson.Parse(append(bytes.Clone(data), '\n'))
	if err != nil {
		r.addSyntax(err)
		return hujson.Value{}, false
	}
	return root, true
}

// addSyntax turns an error of the parser, which names line and column, into a
// fault.
func (r *report) addSyntax(err error) {
	var line, column int
	message := err.Error()
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		r.add(0, "", "not JSON with comments: %s", message)
		return
	}
	prefix := fmt.Sprintf("hujson: line %d, column %d: ", line, column)
	offset := r.size
	if line <= len(r.lines) {
		offset = min(r.lines[line-1]+column-1, r.size)
	}
	r.add(offset, "", "not JSON with comments: %s", strings.TrimPrefix(message, prefix))
}

func (r *report) add(offset int, path, format string, args ...any) {
	f := Fault{File: r.name, Field: path, Message: fmt.Sprintf(format, args...)}
	if r.lines != nil {
		i := sort.SearchInts(r.lines, offset+1) - 1
		f.Line = i + 1
		f.Column = offset - r.lines[i] + 1
	}
	r.faults = append(r.faults, located{offset, f})
}

func (r *report) sorted() Faults {
	slices.SortStableFunc(r.faults, func(a, b located) int {
		return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.fault.Field, b.fault.Field))
	})
	faults := make(Faults, 0, len(r.faults))
	for _, l := range r.faults {
		faults = append(faults, l.fault)
	}
	return slices.Compact(faults)
}
