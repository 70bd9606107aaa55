package settings

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Checker stands at one value of a document and reports rules that the value
// breaks. A value that could not be read has its fault already; rules on it
// are not reported again. It is not safe for concurrent use.
type Checker struct {
	report *report
	at     place
	// node is the value's text; nil when it is absent from the text.
	node *hujson.Value
	// offset is that of the value, or of the nearest enclosing value present.
	offset int
	// bad is set when the value or one that encloses it could not be read.
	bad bool
}

// Field returns the checker of a struct's field by its JSON name.
func (c *Checker) Field(name string) *Checker { return c.child(c.at.field(name), c.member(name)) }

// Key returns the checker of a map's entry.
func (c *Checker) Key(name string) *Checker { return c.child(c.at.key(name), c.member(name)) }

// Index returns the checker of element i of an array.
func (c *Checker) Index(i int) *Checker {
	var node *hujson.Value
	if c.node != nil {
		if array, ok := c.node.Value.(*hujson.Array); ok && i < len(array.Elements) {
			node = &array.Elements[i]
		}
	}
	return c.child(c.at.index(i), node)
}

func (c *Checker) child(at place, node *hujson.Value) *Checker {
	child := &Checker{report: c.report, at: at, node: node, offset: c.offset}
	child.bad = c.bad || c.report.bad[at.path]
	if node != nil {
		child.offset = node.StartOffset
	}
	return child
}

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

// members returns the values of an object by name; it builds the index of each
// object once.
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

// Fault reports that the value breaks a rule. The message says what was found
// and what is expected.
func (c *Checker) Fault(format string, args ...any) {
	if !c.bad {
		c.report.add(c.offset, c.at.path, format, args...)
	}
}

// Expect reports a fault unless ok is set, and returns ok.
func (c *Checker) Expect(ok bool, format string, args ...any) bool {
	if !ok {
		c.Fault(format, args...)
	}
	return ok
}

// Between reports a fault unless low <= v <= high, and returns whether it is.
func Between[T cmp.Ordered](c *Checker, v, low, high T) bool {
	return c.Expect(low <= v && v <= high, "found %v, expected %v to %v", v, low, high)
}

// OneOf reports a fault unless v is one of allowed, and returns whether it is.
func OneOf[T ~string](c *Checker, v T, allowed ...T) bool {
	quoted := make([]string, 0, len(allowed))
	for _, a := range allowed {
		quoted = append(quoted, string(a))
	}
	return c.Expect(slices.Contains(allowed, v), "found %q, expected one of %s", v, strings.Join(quoted, ", "))
}

// check runs the given rules and those of every struct in v.
func (r *report) check(root *hujson.Value, v reflect.Value, rules func(*Checker)) {
	c := &Checker{report: r, node: root, bad: r.bad[""]}
	if root != nil {
		c.offset = root.StartOffset
	}
	if rules != nil {
		rules(c)
	}
	c.walk(v)
}

func (c *Checker) walk(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			c.walk(v.Elem())
		}
	case reflect.Struct:
		c.rules(v)
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

func (c *Checker) rules(v reflect.Value) {
	if !v.CanInterface() {
		return
	}
	if rules, ok := v.Interface().(Rules); ok {
		rules.Check(c)
		return
	}
	if !v.CanAddr() {
		copied := reflect.New(v.Type())
		copied.Elem().Set(v)
		v = copied.Elem()
	}
	if rules, ok := v.Addr().Interface().(Rules); ok {
		rules.Check(c)
	}
}
