package logging

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
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
	Millis   float64
	Instance string
	Level    string
	Message  string
	Fields   map[string]any
}

// Story is what logs say about a request or a job.
type Story struct {
	Lines []Line
	// Bad counts the lines that could not be read.
	Bad int
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Explain reads logs and keeps the lines that name an id. Text before the first
// brace of a line is passed over, so that logs with a prefix can be read.
func Explain(id string, logs ...io.Reader) (Story, error) {
	var s Story
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
		for scanner.Scan() {
			s.add(id, scanner.Bytes())
		}
		if err := scanner.Err(); err != nil {
			return s, err
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Compare(a.Millis, b.Millis) })
	return s, nil
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
	l := Line{Fields: fields}
	l.Millis, _ = fields["ts"].(float64)
	l.Instance, _ = fields["instance"].(string)
	l.Level, _ = fields["level"].(string)
	l.Message, _ = fields["msg"].(string)
	for _, name := range []string{"ts", "instance", "level", "msg"} {
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

// Write prints the story, one line an event, times from the first.
func (s *Story) Write(w io.Writer) error {
	for _, l := range s.Lines {
		after := time.Duration((l.Millis - s.Lines[0].Millis) * float64(time.Millisecond))
		var b strings.Builder
		fmt.Fprintf(&b, "%+10.3fs  %-24s %-5s %s", after.Seconds(), l.Instance, l.Level, l.Message)
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d that could not be read\n", len(s.Lines), s.Bad)
	return err
}
