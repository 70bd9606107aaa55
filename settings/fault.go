package settings

import (
	"fmt"
	"strings"

	"github.com/daisylb/daisylb/code"
)

// Fault is one fault of a document.
type Fault struct {
	// File is the name given to Decode.
	File string `json:"file"`
	// Line and Column are the position in the text, counted from 1, the column in
	// bytes. Both are 0 for a value that was not decoded from a text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path from the root, such as upstreams["u1"].services[0];
	// it is empty for the root.
	Field string `json:"field,omitempty"`
	// Message says what was found and what was expected.
	Message string `json:"message"`
}

// String formats the fault as file:line:column: field: message.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults are all faults of a document, in the order of their positions. It is an
// error with the number code.InvalidSettings. When it is empty, the document is
// valid; Err returns nil then.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error with the number code.InvalidSettings and the same text.
func (f Faults) Unwrap() error { return code.New(code.InvalidSettings, "%s", f.Error()) }

// Err returns f, or nil when there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
