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
	Millis float64
	// Up is the time since the process began on its steady clock, in milliseconds;
	// Steady is false where the line does not say.
	Up     float64
	Steady bool

	Instance string
	Level    string
	Message  string
	Fields   map[string]any

	// at orders the lines: the steady time, placed on the time of day.
	at float64
}

// Story is what logs say about a request or a job.
type Story struct {
	Lines []Line
	// Bad counts the lines that could not be read, LeftOut those that name the id
	// and are over the number that is kept.
	Bad     int
	LeftOut int
}

const (
	// maxLineBytes bounds one line of a log; a longer one is passed over.
	maxLineBytes = 1 << 20
	// maxStoryLines bounds a story.
	maxStoryLines = 100_000
	readerBytes   = 64 << 10
)

// Explain reads logs and keeps the lines that name an id. Text before the first
// brace of a line is passed over, so that logs with a prefix can be read. The
// lines of one process stand in the order of its steady clock.
func Explain(id string, logs ...io.Reader) (Story, error) {
	var s Story
	for _, log := range logs {
		if err := s.read(id, bufio.NewReaderSize(log, readerBytes)); err != nil {
			return s, err
		}
	}
	s.order()
	return s, nil
}

// read takes in one log. A line that is too long counts as bad.
func (s *Story) read(id string, log *bufio.Reader) error {
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
			s.Bad++
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

func (s *Story) add(id string, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		if len(bytes.TrimSpace(text)) > 0 {
			s.Bad++
		}
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		s.Bad++
		return
	}
	if !mentions(fields, id) {
		return
	}
	if len(s.Lines) == maxStoryLines {
		s.LeftOut++
		return
	}
	l := Line{Fields: fields}
	l.Millis, _ = fields["ts"].(float64)
	l.Up, l.Steady = fields[upField].(float64)
	l.Instance, _ = fields["instance"].(string)
	l.Level, _ = fields["level"].(string)
	l.Message, _ = fields["msg"].(string)
	for _, name := range []string{"ts", upField, "instance", "level", "msg"} {
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
func (l *Line) offset() float64 { return l.Millis - l.Up }

// order sorts the lines. Those of a process are placed by its steady clock and by
// the median of what its lines say of the time at which it began, so that a step
// of the time of day moves few of them.
func (s *Story) order() {
	offsets := map[string][]float64{}
	for _, l := range s.Lines {
		if l.Steady {
			offsets[l.Instance] = append(offsets[l.Instance], l.offset())
		}
	}
	for _, o := range offsets {
		slices.Sort(o)
	}
	for i := range s.Lines {
		l := &s.Lines[i]
		l.at = l.Millis
		if l.Steady {
			o := offsets[l.Instance]
			l.at = l.Up + o[(len(o)-1)/2]
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Compare(a.at, b.at) })
}

// stepTolerance is the least step of the time of day that is told, in
// milliseconds. Clocks that are slewed drift by less between two lines.
const stepTolerance = 100

// Write prints the story, one line an event, times from the first. Where the time
// of day of a process moved against its steady clock, a line says so: it was
// stepped, or the machine was suspended.
func (s *Story) Write(w io.Writer) error {
	begun := map[string]float64{}
	for i := range s.Lines {
		l := &s.Lines[i]
		if before, ok := begun[l.Instance]; ok && l.Steady {
			if step := l.offset() - before; step > stepTolerance || step < -stepTolerance {
				if _, err := fmt.Fprintf(w, "%12s%-24s the time of day moved by %+.3fs against the steady clock\n", "", l.Instance, step/1000); err != nil {
					return err
				}
			}
		}
		if l.Steady {
			begun[l.Instance] = l.offset()
		}
		if err := l.write(w, s.Lines[0].at); err != nil {
			return err
		}
	}
	if s.LeftOut > 0 {
		if _, err := fmt.Fprintf(w, "%d more lines name it and are left out\n", s.LeftOut); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d that could not be read\n", len(s.Lines), s.Bad)
	return err
}

func (l *Line) write(w io.Writer, first float64) error {
	after := time.Duration((l.at - first) * float64(time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%+10.3fs  %-24s %-5s %s", after.Seconds(), l.Instance, l.Level, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
