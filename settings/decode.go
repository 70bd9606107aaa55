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

// fieldPath is the path of a value from the root, as in Fault.Field.
type fieldPath struct{ text string }

func (p fieldPath) field(name string) fieldPath {
	if p.text == "" {
		return fieldPath{name}
	}
	return fieldPath{p.text + "." + name}
}

func (p fieldPath) key(name string) fieldPath {
	return fieldPath{p.text + "[" + strconv.Quote(name) + "]"}
}

func (p fieldPath) index(i int) fieldPath { return fieldPath{p.text + "[" + strconv.Itoa(i) + "]"} }

// decoder decodes a syntax tree into Go values and reports the faults.
type decoder struct{ report *report }

// fault reports that v could not be decoded, so that no rule is checked on it.
func (d decoder) fault(v *hujson.Value, path fieldPath, format string, args ...any) {
	d.report.invalid[path.text] = true
	d.report.add(v.StartOffset, path.text, format, args...)
}

// decode decodes v into target, which must be settable. path is the path of v.
func (d decoder) decode(v *hujson.Value, path fieldPath, target reflect.Value) {
	switch {
	case target.Type() == durationType:
		d.decodeDuration(v, path, target)
	case isUnmarshaler(target):
		d.decodeUnmarshaler(v, path, target)
	case target.Kind() == reflect.Pointer:
		d.decodePointer(v, path, target)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(v, path, target)
	case target.Kind() == reflect.Map:
		d.decodeMap(v, path, target)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(v, path, target)
	default:
		d.decodeScalar(v, path, target)
	}
}

// isUnmarshaler reports whether target decodes itself from JSON or from text.
func isUnmarshaler(target reflect.Value) bool {
	p := reflect.PointerTo(target.Type())
	return p.Implements(jsonUnmarshalerType) || p.Implements(textUnmarshalerType)
}

func (d decoder) decodeUnmarshaler(v *hujson.Value, path fieldPath, target reflect.Value) {
	if err := json.Unmarshal(standardJSON(v), target.Addr().Interface()); err != nil {
		d.fault(v, path, "%s", err)
	}
}

// standardJSON returns the text of v as standard JSON, without comments and
// trailing commas.
func standardJSON(v *hujson.Value) []byte {
	c := v.Clone()
	c.BeforeExtra, c.AfterExtra = nil, nil
	c.Standardize()
	return c.Pack()
}

func (d decoder) decodeDuration(v *hujson.Value, path fieldPath, target reflect.Value) {
	const expected = `expected a duration such as "250ms" or "1m30s"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fault(v, path, "found %s, %s", describeKind(v), expected)
		return
	}
	duration, err := time.ParseDuration(literal.String())
	if err != nil {
		d.fault(v, path, "found %s, %s", truncate(string(literal)), expected)
		return
	}
	target.SetInt(int64(duration))
}

func (d decoder) decodePointer(v *hujson.Value, path fieldPath, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		target.SetZero()
		return
	}
	if target.IsNil() {
		target.Set(reflect.New(target.Type().Elem()))
	}
	d.decode(v, path, target.Elem())
}

func (d decoder) decodeStruct(v *hujson.Value, path fieldPath, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v, path, "found %s, expected an object", describeKind(v))
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		if !d.checkUnique(m, path.field(name), seen, name) {
			continue
		}
		index, known := fields[name]
		if !known {
			d.report.add(m.Name.StartOffset, path.field(name).text, "unknown field, expected one of %s", joinNames(fields))
			continue
		}
		d.decode(&m.Value, path.field(name), target.FieldByIndex(index))
	}
}

func (d decoder) decodeMap(v *hujson.Value, path fieldPath, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v, path, "found %s, expected an object", describeKind(v))
		return
	}
	if target.IsNil() {
		target.Set(reflect.MakeMapWithSize(target.Type(), len(object.Members)))
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		if !d.checkUnique(m, path.key(name), seen, name) {
			continue
		}
		entry := reflect.New(target.Type().Elem()).Elem()
		d.decode(&m.Value, path.key(name), entry)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), entry)
	}
}

// checkUnique reports a fault if the name of m is in seen, and adds it otherwise. It
// reports whether the name is new.
func (d decoder) checkUnique(m *hujson.ObjectMember, path fieldPath, seen map[string]bool, name string) bool {
	if seen[name] {
		d.report.add(m.Name.StartOffset, path.text, "the name stands twice in its object")
		return false
	}
	seen[name] = true
	return true
}

func (d decoder) decodeSlice(v *hujson.Value, path fieldPath, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(v, path, "found %s, expected an array", describeKind(v))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], path.index(i), list.Index(i))
	}
	target.Set(list)
}

func (d decoder) decodeScalar(v *hujson.Value, path fieldPath, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		d.fault(v, path, "found %s, expected %s", describeKind(v), describeType(target.Type()))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.fault(v, path, "found %s, expected %s", truncate(string(literal)), describeType(target.Type()))
	}
}

// maxQuotedBytes bounds the text that a fault quotes from a document.
const maxQuotedBytes = 60

// truncate returns text, cut to at most maxQuotedBytes and an ellipsis.
func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "…"
}

func memberName(m *hujson.ObjectMember) string {
	return m.Name.Value.(hujson.Literal).String()
}

// describeKind returns the JSON type of v for a message.
func describeKind(v *hujson.Value) string {
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

// describeType returns what a value for t must be, for a message.
func describeType(t reflect.Type) string {
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

// fieldsOf returns the index of each field of the struct t by its JSON name. Fields
// of embedded structs are included.
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

// joinNames returns the names of fields in order, for a message.
func joinNames(fields map[string][]int) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
