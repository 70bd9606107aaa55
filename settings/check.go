package settings

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Checker refers to one value of a document and reports the rules that the value
// breaks. It reports nothing for a value that could not be decoded, which has a
// fault already. It is not safe for concurrent use.
type Checker struct {
	report *report
	path   fieldPath
	// node is the value in the syntax tree; nil when it is not in the text.
	node *hujson.Value
	// offset is the position in the text of the value or, if it is not there, of the
	// innermost enclosing value that is.
	offset int
	// invalid is set when the value or an enclosing one could not be decoded.
	invalid bool
}

// Field returns the checker of the field with the given JSON name.
func (c *Checker) Field(name string) *Checker { return c.child(c.path.field(name), c.member(name)) }

// Key returns the checker of the map entry with the given key.
func (c *Checker) Key(name string) *Checker { return c.child(c.path.key(name), c.member(name)) }

// Index returns the checker of element i of an array.
func (c *Checker) Index(i int) *Checker {
	var node *hujson.Value
	if c.node != nil {
		if array, ok := c.node.Value.(*hujson.Array); ok && i < len(array.Elements) {
			node = &array.Elements[i]
		}
	}
	return c.child(c.path.index(i), node)
}

// child returns the checker of a value inside c's value.
func (c *Checker) child(path fieldPath, node *hujson.Value) *Checker {
	child := &Checker{report: c.report, path: path, node: node, offset: c.offset}
	child.invalid = c.invalid || c.report.invalid[path.text]
	if node != nil {
		child.offset = node.StartOffset
	}
	return child
}

// member returns the value with the given name in c's object, or nil.
func (c *Checker) member(name string) *hujson.Value {
	if c.node == nil {
		return nil
	}
	object, ok := c.node.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	return c.report.members(object)[name]
}

// members returns the values of an object by name. It builds the index of each
// object once. If a name is repeated, the first value counts, as in decoding.
func (r *report) members(object *hujson.Object) map[string]*hujson.Value {
	if index, ok := r.objects[object]; ok {
		return index
	}
	index := make(map[string]*hujson.Value, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		if name := memberName(m); index[name] == nil {
			index[name] = &m.Value
		}
	}
	r.objects[object] = index
	return index
}

// Fault reports that the value breaks a rule. The message should say what was found
// and what was expected.
func (c *Checker) Fault(format string, args ...any) {
	if !c.invalid {
		c.report.add(c.offset, c.path.text, format, args...)
	}
}

// Expect reports a fault unless ok is set, and returns ok.
func (c *Checker) Expect(ok bool, format string, args ...any) bool {
	if !ok {
		c.Fault(format, args...)
	}
	return ok
}

// Between reports a fault unless low <= v <= high, and reports whether that holds.
func Between[T cmp.Ordered](c *Checker, v, low, high T) bool {
	return c.Expect(low <= v && v <= high, "found %v, expected %v to %v", v, low, high)
}

// OneOf reports a fault unless v is one of allowed, and reports whether it is.
func OneOf[T ~string](c *Checker, v T, allowed ...T) bool {
	quoted := make([]string, 0, len(allowed))
	for _, a := range allowed {
		quoted = append(quoted, string(a))
	}
	return c.Expect(slices.Contains(allowed, v), "found %q, expected one of %s", v, strings.Join(quoted, ", "))
}

// check runs the given rules, which may be nil, and then those of every struct in v.
// root is the syntax tree of v, or nil.
func (r *report) check(root *hujson.Value, v reflect.Value, rules func(*Checker)) {
	c := &Checker{report: r, node: root, invalid: r.invalid[""]}
	if root != nil {
		c.offset = root.StartOffset
	}
	if rules != nil {
		rules(c)
	}
	c.walk(v)
}

// walk runs the rules of v and of all structs inside it, outer structs first.
func (c *Checker) walk(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			c.walk(v.Elem())
		}
	case reflect.Struct:
		c.runRules(v)
		for name, index := range fieldsOf(v.Type()) {
			if field, err := v.FieldByIndexErr(index); err == nil {
				c.Field(name).walk(field)
			}
		}
	case reflect.Map:
		if v.Type().Key().Kind() != reflect.String {
			return
		}
		for key, entry := range v.Seq2() {
			c.Key(key.String()).walk(entry)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			c.Index(i).walk(v.Index(i))
		}
	}
}

// runRules runs the rules of v if it implements Rules, by value or by pointer.
func (c *Checker) runRules(v reflect.Value) {
	if !v.CanInterface() {
		return
	}
	if rules, ok := v.Interface().(Rules); ok {
		rules.Check(c)
		return
	}
	if !v.CanAddr() {
		addressable := reflect.New(v.Type())
		addressable.Elem().Set(v)
		v = addressable.Elem()
	}
	if rules, ok := v.Addr().Interface().(Rules); ok {
		rules.Check(c)
	}
}
