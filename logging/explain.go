package logging

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	// UnixMillis is the wall-clock time of the instance at which it wrote the line, in
	// Unix milliseconds.
	UnixMillis float64
	// UptimeMillis is the time since the start of the process, in milliseconds of its
	// monotonic clock. HasUptime is false when the line has no uptime.
	UptimeMillis float64
	HasUptime    bool

	Instance string
	Level    string
	Message  string
	Fields   map[string]any

	// orderMillis is the time by which lines are sorted: the uptime, converted to the
	// wall clock.
	orderMillis float64
}

// Timeline holds the log lines about a request or a job, sorted by time.
type Timeline struct {
	Lines []Line
	// Unreadable is the number of lines that could not be read. Omitted is the number
	// of lines about the id that were dropped, since the timeline was full.
	Unreadable int
	Omitted    int
}

const (
	// maxLineBytes is the largest log line; longer lines are skipped.
	maxLineBytes = 1 << 20
	// maxTimelineLines is the largest number of lines in a timeline.
	maxTimelineLines = 100_000
	// readerBytes is the size of the buffer through which a log is read.
	readerBytes = 64 << 10
)

// Explain reads logs and returns the lines in which a field equals id. Text before the
// first brace of a line is ignored, so that logs with a prefix can be read. Lines of
// one process are ordered by its monotonic clock.
func Explain(id string, logs ...io.Reader) (Timeline, error) {
	var t Timeline
	for _, log := range logs {
		if err := t.read(id, bufio.NewReaderSize(log, readerBytes)); err != nil {
			return t, err
		}
	}
	t.order()
	return t, nil
}

// read reads one log. Lines over maxLineBytes count as unreadable.
func (t *Timeline) read(id string, log *bufio.Reader) error {
	var line []byte
	oversized := false
	for {
		part, err := log.ReadSlice('\n')
		if oversized = oversized || len(line)+len(part) > maxLineBytes; oversized {
			line = line[:0]
		} else {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if oversized {
			t.Unreadable++
		} else {
			t.add(id, line)
		}
		line, oversized = line[:0], false
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// add parses a line and adds it if it is about id.
func (t *Timeline) add(id string, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		if len(bytes.TrimSpace(text)) > 0 {
			t.Unreadable++
		}
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		t.Unreadable++
		return
	}
	if !mentions(fields, id) {
		return
	}
	if len(t.Lines) == maxTimelineLines {
		t.Omitted++
		return
	}
	l := Line{Fields: fields}
	l.UnixMillis, _ = fields["ts"].(float64)
	l.UptimeMillis, l.HasUptime = fields[uptimeField].(float64)
	l.Instance, _ = fields["instance"].(string)
	l.Level, _ = fields["level"].(string)
	l.Message, _ = fields["msg"].(string)
	for _, name := range []string{"ts", uptimeField, "instance", "level", "msg"} {
		delete(fields, name)
	}
	t.Lines = append(t.Lines, l)
}

// mentions reports whether a field has the value id.
func mentions(fields map[string]any, id string) bool {
	for _, v := range fields {
		if text, ok := v.(string); ok && text == id {
			return true
		}
	}
	return false
}

// startMillis returns the wall-clock time at which the process started, according to
// this line.
func (l *Line) startMillis() float64 { return l.UnixMillis - l.UptimeMillis }

// order sorts the lines by time. For a process whose lines have an uptime, the time of
// a line is its uptime added to the start time of the process, which is the median
// over all its lines. A step of the wall clock therefore moves few lines.
func (t *Timeline) order() {
	starts := map[string][]float64{}
	for _, l := range t.Lines {
		if l.HasUptime {
			starts[l.Instance] = append(starts[l.Instance], l.startMillis())
		}
	}
	for _, values := range starts {
		slices.Sort(values)
	}
	for i := range t.Lines {
		l := &t.Lines[i]
		l.orderMillis = l.UnixMillis
		if l.HasUptime {
			sorted := starts[l.Instance]
			l.orderMillis = l.UptimeMillis + sorted[(len(sorted)-1)/2]
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return cmp.Compare(a.orderMillis, b.orderMillis) })
}

// stepToleranceMillis is the smallest step of the wall clock that is reported. A clock
// that is slewed drifts by less between two lines.
const stepToleranceMillis = 100

// Write prints the timeline, one line for each event, with times relative to the
// first. Where the wall clock of a process moved against its monotonic clock, it prints
// a line that says so: the clock was stepped, or the machine was suspended.
func (t *Timeline) Write(w io.Writer) error {
	starts := map[string]float64{}
	for i := range t.Lines {
		l := &t.Lines[i]
		if before, ok := starts[l.Instance]; ok && l.HasUptime {
			if step := l.startMillis() - before; step > stepToleranceMillis || step < -stepToleranceMillis {
				if _, err := fmt.Fprintf(w, "%12s%-24s the time of day moved by %+.3fs against the steady clock\n", "", l.Instance, step/1000); err != nil {
					return err
				}
			}
		}
		if l.HasUptime {
			starts[l.Instance] = l.startMillis()
		}
		if err := l.write(w, t.Lines[0].orderMillis); err != nil {
			return err
		}
	}
	if t.Omitted > 0 {
		if _, err := fmt.Fprintf(w, "%d more lines name it and are left out\n", t.Omitted); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d that could not be read\n", len(t.Lines), t.Unreadable)
	return err
}

// write prints a line with its time relative to firstMillis.
func (l *Line) write(w io.Writer, firstMillis float64) error {
	elapsed := time.Duration((l.orderMillis - firstMillis) * float64(time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%+10.3fs  %-24s %-5s %s", elapsed.Seconds(), l.Instance, l.Level, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
