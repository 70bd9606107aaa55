package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Bounds of the head of an answer: its status line and headers. Interim answers
// and their headers count as parts of the head of the answer that follows.
const (
	// maxHeadBytes is the bound of net/http for a caller's request headers on the
	// users' platform; an upstream's are shorter.
	maxHeadBytes = 64 << 10
	// maxHeadLines keeps many short lines from becoming a large map.
	maxHeadLines = 512
	// maxInterimAnswers is the bound of net/http's client.
	maxInterimAnswers = 5
)

// Errors of a head that an upstream does not end, or that is none.
var (
	errHeadBytes      = fmt.Errorf("the answer's head is over %d bytes", maxHeadBytes)
	errHeadLines      = fmt.Errorf("the answer's head is over %d lines", maxHeadLines)
	errInterimAnswers = fmt.Errorf("over %d interim answers came before the answer", maxInterimAnswers)
	errHeadUnclear    = errors.New("the end of the answer's head is not clear")
	errSwitch         = errors.New("the upstream switched protocols")
)

// isEndlessHead reports whether a head went past one of its bounds.
func isEndlessHead(err error) bool {
	return errors.Is(err, errHeadBytes) || errors.Is(err, errHeadLines) || errors.Is(err, errInterimAnswers)
}

// headGuard passes the bytes of a connection on and fails when the head of an
// answer goes past its bounds. http.ReadResponse reads a head of any size.
// Bytes after the head pass without being looked at. One goroutine uses it.
type headGuard struct {
	from io.Reader
	// bytes and lines count what belongs to heads so far.
	bytes int
	lines int
	// begun counts the bytes of the present line, start its first ones.
	begun int
	start [statusDigit + 1]byte
	// first is set in the status line, interim in the head of an interim answer.
	first   bool
	interim bool
	passed  bool
	// fault is the bound that was passed. Parsers may report what they had read
	// until then instead.
	fault error
}

// statusDigit is where the first digit of the status stands in a status line.
const statusDigit = len("HTTP/1.1 ")

func newHeadGuard(from io.Reader) *headGuard { return &headGuard{from: from, first: true} }

// Read implements io.Reader.
func (g *headGuard) Read(p []byte) (int, error) {
	n, err := g.from.Read(p)
	if g.passed {
		return n, err
	}
	if g.fault = g.look(p[:n]); g.fault != nil {
		return 0, g.fault
	}
	return n, err
}

// look counts the bytes of the head in p.
func (g *headGuard) look(p []byte) error {
	for len(p) > 0 && !g.passed {
		line, rest, whole := bytes.Cut(p, []byte{'\n'})
		used := len(p) - len(rest)
		p = rest
		if g.bytes += used; g.bytes > maxHeadBytes {
			return errHeadBytes
		}
		if g.begun < len(g.start) {
			copy(g.start[g.begun:], line)
		}
		g.begun += len(line)
		if !whole {
			continue
		}
		if g.lines++; g.lines > maxHeadLines {
			return errHeadLines
		}
		g.endLine()
	}
	return nil
}

// endLine takes in the end of a line. An empty one ends the head.
func (g *headGuard) endLine() {
	empty := g.begun == 0 || g.begun == 1 && g.start[0] == '\r'
	switch {
	case g.first:
		g.interim = g.begun > statusDigit && g.start[statusDigit] == '1'
		g.first = false
	case empty:
		g.passed = !g.interim
		g.first = true
	}
	g.begun = 0
}

// receive reads the head of the answer. Interim answers are passed over.
func (c *connection) receive(method string) (*http.Response, error) {
	for interim := 0; ; interim++ {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case c.guard.fault != nil:
			return nil, c.guard.fault
		case err != nil:
			return nil, err
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitch
		case c.guard.passed:
			// The guard took the head for that of the answer.
			return nil, errHeadUnclear
		case interim == maxInterimAnswers:
			return nil, errInterimAnswers
		}
	}
}
