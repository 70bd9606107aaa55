package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// place is a path from the root.
type place struct{ path string }

func (p place) field(name string) place {
	if p.path == "" {
		return place{name}
	}
	return place{p.path + "." + name}
}

func (p place) key(name string) place { return place{p.path + "[" + strconv.Quote(name) + "]"} }

func (p place) index(i int) place { return place{p.path + "[" + strconv.Itoa(i) + "]"} }

// decoder fills Go values from a syntax tree.
type decoder struct{ report *report }

func (d decoder) fault(v *hujson.Value, at place, format string, args ...any) {
	d.report.bad[at.path] = true
	d.report.add(v.StartOffset, at.path, format, args...)
}

func (d decoder) decode(v *hujson.Value, at place, target reflect.Value) {
	switch {
	case target.Type() == durationType:
		d.duration(v, at, target)
	case isUnmarshaler(target):
		d.unmarshaler(v, at, target)
	case target.Kind() == reflect.Pointer:
		d.pointer(v, at, target)
	case target.Kind() == reflect.Struct:
		d.object(v, at, target)
	case target.Kind() == reflect.Map:
		d.mapping(v, at, target)
	case target.Kind() == reflect.Slice:
		d.array(v, at, target)
	default:
		d.scalar(v, at, target)
	}
}

func isUnmarshaler(target reflect.Value) bool {
	p := reflect.PointerTo(target.Type())
	return p.Implements(jsonUnmarshalerType) || p.Implements(textUnmarshalerType)
}

func (d decoder) unmarshaler(v *hujson.Value, at place, target reflect.Value) {
	if err := json.Unmarshal(standard(v), target.Addr().Interface()); err != nil {
		d.fault(v, at, "%s", err)
	}
}

// standard returns the value as JSON without comments.
func standard(v *hujson.Value) []byte {
	c := v.Clone()
	c.BeforeExtra, c.AfterExtra = nil, nil
	c.Standardize()
	return c.Pack()
}

func (d decoder) duration(v *hujson.Value, at place, target reflect.Value) {
	const expected = `expected a duration such as "250ms" or "1m30s"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fault(v, at, "found %s, %s", kindOf(v), expected)
		return
	}
	length, err := time.ParseDuration(literal.String())
	if err != nil {
		d.fault(v, at, "found %s, %s", shorten(string(literal)), expected)
		return
	}
	target.SetInt(int64(length))
}

func (d decoder) pointer(v *hujson.Value, at place, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		target.SetZero()
		return
	}
	if target.IsNil() {
		target.Set(reflect.New(target.Type().Elem()))
	}
	d.decode(v, at, target.Elem())
}

func (d decoder) object(v *hujson.Value, at place, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v, at, "found %s, expected an object", kindOf(v))
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		if !d.first(m, at.field(name), seen, name) {
			continue
		}
		index, known := fields[name]
		if !known {
			d.report.add(m.Name.StartOffset, at.field(name).path, "unknown field, expected one of %s", names(fields))
			continue
		}
		d.decode(&m.Value, at.field(name), target.FieldByIndex(index))
	}
}

func (d decoder) mapping(v *hujson.Value, at place, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v, at, "found %s, expected an object", kindOf(v))
		return
	}
	if target.IsNil() {
		target.Set(reflect.MakeMapWithSize(target.Type(), len(object.Members)))
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		if !d.first(m, at.key(name), seen, name) {
			continue
		}
		entry := reflect.New(target.Type().Elem()).Elem()
		d.decode(&m.Value, at.key(name), entry)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), entry)
	}
}

// first reports a name that stands twice in one object.
func (d decoder) first(m *hujson.ObjectMember, at place, seen map[string]bool, name string) bool {
	if seen[name] {
		d.report.add(m.Name.StartOffset, at.path, "the name stands twice in its object")
		return false
	}
	seen[name] = true
	return true
}

func (d decoder) array(v *hujson.Value, at place, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(v, at, "found %s, expected an array", kindOf(v))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], at.index(i), list.Index(i))
	}
	target.Set(list)
}

func (d decoder) scalar(v *hujson.Value, at place, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		d.fault(v, at, "found %s, expected %s", kindOf(v), expectedFor(target.Type()))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.fault(v, at, "found %s, expected %s", shorten(string(literal)), expectedFor(target.Type()))
	}
}

// maxQuoted bounds the text of a document that is repeated in a fault, in bytes.
const maxQuoted = 60

func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "…"
}

func memberName(m *hujson.ObjectMember) string {
	return m.Name.Value.(hujson.Literal).String()
}

func kindOf(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "an array"
	}
}

func expectedFor(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a whole number from 0 to %d", ^uint64(0)>>(64-t.Bits()))
	default:
		return fmt.Sprintf("a whole number of at most %d bits", t.Bits())
	}
}

// fieldsOf returns the index of each field by its JSON name, with the fields
// of embedded structs.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" || f.Anonymous && name == "" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Index
	}
	return fields
}

func names(fields map[string][]int) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
