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

// Line is one line of a log.
type Line struct {
	// Millis is the time of day of the instance that wrote it, in Unix
	// milliseconds.
	UnixMillis float64
	// Up is the time since the process began on its steady clock, in milliseconds;
	// Steady is false where the line does not say.
	UptimeMillis float64
	HasUptime    bool

	Instance string
	Level    string
	Message  string
	Fields   map[string]any

	// at orders the lines: the steady time, placed on the time of day.
	orderMillis float64
}

// Story is what logs say about a request or a job.
type Timeline struct {
	Lines []Line
	// Bad counts the lines that could not be read, Omitted those that name the id
	// and are over the number that is kept.
	Unreadable int
	Omitted    int
}

const (
	// maxLineBytes bounds one line of a log; a longer one is passed over.
	maxLineBytes = 1 << 20
	// maxTimelineLines bounds a story.
	maxTimelineLines = 100_000
	readerBytes      = 64 << 10
)

// Explain reads logs and keeps the lines that name an id. Text before the first
// brace of a line is passed over, so that logs with a prefix can be read. The
// lines of one process stand in the order of its steady clock.
func Explain(id string, logs ...io.Reader) (Timeline, error) {
	var s Timeline
	for _, log := range logs {
		if err := s.read(id, bufio.NewReaderSize(log, readerBytes)); err != nil {
			return s, err
		}
	}
	s.order()
	return s, nil
}

// read takes in one log. A line that is too long counts as bad.
func (s *Timeline) read(id string, log *bufio.Reader) error {
	var line []byte
	overlong := false
	for {
		part, err := log.ReadSlice('\n')
		if overlong = overlong || len(line)+len(part) > maxLineBytes; overlong {
			line = line[:0]
		} else {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if overlong {
			s.Unreadable++
		} else {
			s.add(id, line)
		}
		line, overlong = line[:0], false
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (s *Timeline) add(id string, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		if len(bytes.TrimSpace(text)) > 0 {
			s.Unreadable++
		}
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		s.Unreadable++
		return
	}
	if !mentions(fields, id) {
		return
	}
	if len(s.Lines) == maxTimelineLines {
		s.Omitted++
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
	s.Lines = append(s.Lines, l)
}

func mentions(fields map[string]any, id string) bool {
	for _, v := range fields {
		if text, ok := v.(string); ok && text == id {
			return true
		}
	}
	return false
}

// offset is the time of day at which the process began, by what a line says.
func (l *Line) startMillis() float64 { return l.UnixMillis - l.UptimeMillis }

// order sorts the lines. Those of a process are placed by its steady clock and by
// the median of what its lines say of the time at which it began, so that a step
// of the time of day moves few of them.
func (s *Timeline) order() {
	offsets := map[string][]float64{}
	for _, l := range s.Lines {
		if l.HasUptime {
			offsets[l.Instance] = append(offsets[l.Instance], l.startMillis())
		}
	}
	for _, o := range offsets {
		slices.Sort(o)
	}
	for i := range s.Lines {
		l := &s.Lines[i]
		l.orderMillis = l.UnixMillis
		if l.HasUptime {
			o := offsets[l.Instance]
			l.orderMillis = l.UptimeMillis + o[(len(o)-1)/2]
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Compare(a.orderMillis, b.orderMillis) })
}

// stepToleranceMillis is the least step of the time of day that is told, in
// milliseconds. Clocks that are slewed drift by less between two lines.
const stepToleranceMillis = 100

// Write prints the story, one line an event, times from the first. Where the time
// of day of a process moved against its steady clock, a line says so: it was
// stepped, or the machine was suspended.
func (s *Timeline) Write(w io.Writer) error {
	begun := map[string]float64{}
	for i := range s.Lines {
		l := &s.Lines[i]
		if before, ok := begun[l.Instance]; ok && l.HasUptime {
			if step := l.startMillis() - before; step > stepToleranceMillis || step < -stepToleranceMillis {
				if _, err := fmt.Fprintf(w, "%12s%-24s the time of day moved by %+.3fs against the steady clock\n", "", l.Instance, step/1000); err != nil {
					return err
				}
			}
		}
		if l.HasUptime {
			begun[l.Instance] = l.startMillis()
		}
		if err := l.write(w, s.Lines[0].orderMillis); err != nil {
			return err
		}
	}
	if s.Omitted > 0 {
		if _, err := fmt.Fprintf(w, "%d more lines name it and are left out\n", s.Omitted); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d that could not be read\n", len(s.Lines), s.Unreadable)
	return err
}

func (l *Line) write(w io.Writer, first float64) error {
	after := time.Duration((l.orderMillis - first) * float64(time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%+10.3fs  %-24s %-5s %s", after.Seconds(), l.Instance, l.Level, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
