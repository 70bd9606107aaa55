package logging_test

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/logging"
)

func TestExplainOrdersLinesAndCountsUnreadableOnes(t *testing.T) {
	a := `  1.2 edge-1 {"level":"info","ts":2000.5,"msg":"forwarded","instance":"b/2","request":"r1","queued":3}
{"level":"info","ts":1000,"msg":"other","instance":"b/2","request":"r2"}
{"level":"in`
	b := `{"level":"warn","ts":1500,"msg":"refused","instance":"a/1","request":"r1"}

no json`
	timeline, err := logging.Explain("r1", strings.NewReader(a), strings.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := timeline.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := `    +0.000s  a/1                      warn  refused  request=r1
    +0.500s  b/2                      info  forwarded  queued=3  request=r1
2 lines, 2 that could not be read
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}

func TestExplainOrdersByUptimeAndReportsClockSteps(t *testing.T) {
	log := `{"level":"info","ts":1000,"up":500,"msg":"sent","instance":"a/1","request":"r1"}
{"level":"info","ts":1200,"up":700,"msg":"forwarding again","instance":"a/1","request":"r1"}
{"level":"info","ts":61400,"up":900,"msg":"forwarded","instance":"a/1","request":"r1"}
{"level":"info","ts":1300,"up":90,"msg":"refused","instance":"b/1","request":"r1"}
`
	timeline, err := logging.Explain("r1", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := timeline.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := `    +0.000s  a/1                      info  sent  request=r1
    +0.200s  a/1                      info  forwarding again  request=r1
    +0.300s  b/1                      info  refused  request=r1
            a/1                      the time of day moved by +60.000s against the steady clock
    +0.400s  a/1                      info  forwarded  request=r1
4 lines, 0 that could not be read
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
}

// repeatReader returns text repeatedly, up to a number of bytes.
type repeatReader struct {
	text      string
	remaining int
	offset    int
}

func (r *repeatReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.remaining)], r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	r.remaining -= n
	return n, nil
}

// TestExplainPassesOverALineWithoutEndAndBoundsTheStory reads a line of 64 MiB and more
// lines than a timeline holds. The long line and the incomplete last line must count as
// unreadable, the lines over the limit as omitted.
func TestExplainPassesOverALineWithoutEndAndBoundsTheStory(t *testing.T) {
	const oversizedBytes, repeatedBytes = 64 << 20, 16 << 20
	line := `{"msg":"sent","request":"r1"}` + "\n"
	log := io.MultiReader(
		strings.NewReader(line),
		&repeatReader{text: strings.Repeat("x", 4<<10), remaining: oversizedBytes}, strings.NewReader("\n"),
		strings.NewReader(line),
		&repeatReader{text: line, remaining: repeatedBytes},
	)
	timeline, err := logging.Explain("r1", log)
	if err != nil {
		t.Fatal(err)
	}
	if len(timeline.Lines) != 100_000 || timeline.Omitted < repeatedBytes/len(line)-100_000 || timeline.Unreadable != 2 {
		t.Errorf("%d lines, %d omitted, %d unreadable", len(timeline.Lines), timeline.Omitted, timeline.Unreadable)
	}
}
