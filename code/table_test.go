package code

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// markdown returns the table in Markdown.
func markdown() string {
	var b strings.Builder
	b.WriteString("| number | name | status | outcome | meaning | action |\n|---|---|---|---|---|---|\n")
	for _, d := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | %s | %s |\n", d.Number, d.Name, d.Status, d.Outcome, d.Meaning, d.Action)
	}
	return b.String()
}

// TestDocumentedTable checks that docs/ERRORS.md shows the table. With UPDATE_DOCS=1
// in the environment, it writes the page instead.
func TestDocumentedTable(t *testing.T) {
	const page = "../docs/ERRORS.md"
	const marker = "<!-- table -->\n"
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	head, _, ok := strings.Cut(string(text), marker)
	if !ok {
		t.Fatalf("%s has no line %q", page, marker)
	}
	want := head + marker + markdown()
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(text) != want {
		t.Errorf("%s differs from the code table; run UPDATE_DOCS=1 go test ./code", page)
	}
}

func TestOutcomeFollowsTable(t *testing.T) {
	for _, d := range All() {
		if e := New(d.Number, "x"); e.Outcome != d.Outcome {
			t.Errorf("%d: outcome %s, want %s", d.Number, e.Outcome, d.Outcome)
		}
		if d.Name == "" || d.Status == 0 || d.Meaning == "" || d.Action == "" {
			t.Errorf("%d: a field of the row is empty", d.Number)
		}
	}
}
