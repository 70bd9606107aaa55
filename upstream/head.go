package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Limits of the head of a response: its status line and headers. Interim responses
// (1xx) and their headers count as part of the head of the response that follows.
const (
	// maxHeadBytes is the limit of net/http for the request headers of a caller on the
	// users' platform; those of an upstream's response are shorter.
	maxHeadBytes = 64 << 10
	// maxHeadLines keeps many short lines from filling a large header map.
	maxHeadLines = 512
	// maxInterimAnswers is the limit of the HTTP client of net/http.
	maxInterimAnswers = 5
)

// Errors of a head that exceeds a limit or is invalid.
var (
	errHeadBytes         = fmt.Errorf("the answer's head is over %d bytes", maxHeadBytes)
	errHeadLines         = fmt.Errorf("the answer's head is over %d lines", maxHeadLines)
	errInterimAnswers    = fmt.Errorf("over %d interim answers came before the answer", maxInterimAnswers)
	errHeadAmbiguous     = errors.New("the end of the response head is ambiguous")
	errSwitchedProtocols = errors.New("the upstream switched protocols")
	errStatusLine        = errors.New("the status line has no version 1 of HTTP or no status from 100 to 599")
)

// isHeadOverLimit reports whether err means that a head exceeded a limit.
func isHeadOverLimit(err error) bool {
	return errors.Is(err, errHeadBytes) || errors.Is(err, errHeadLines) || errors.Is(err, errInterimAnswers)
}

// headLimiter is a reader that returns an error when the head of a response exceeds a
// limit; http.ReadResponse itself reads a head of any size. Bytes after the head are
// passed through unchecked. It is used by one goroutine.
type headLimiter struct {
	source io.Reader
	// bytes and lines count what has been read of heads.
	bytes int
	lines int
	// lineBytes counts the bytes of the current line, lineStart has the first of
	// them.
	lineBytes int
	lineStart [statusDigit + 1]byte
	// inStatusLine is set while the current line is a status line, interim while the
	// head is that of an interim response, done after the head of the final response.
	// interimHeads counts the complete heads of interim responses.
	inStatusLine bool
	interim      bool
	done         bool
	interimHeads int
	// hasTransferEncoding is set after a header line with the transfer coding, which
	// http.ReadResponse drops from responses of HTTP/1.0.
	hasTransferEncoding bool
	// limitErr is the error of the exceeded limit. It is kept because a parser may
	// return an error about the truncated head instead.
	limitErr error
}

// statusDigit is the index of the first digit of the status code in a status line.
const statusDigit = len("HTTP/1.1 ")

func newHeadLimiter(source io.Reader) *headLimiter {
	return &headLimiter{source: source, inStatusLine: true}
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if l.done {
		return n, err
	}
	if l.limitErr = l.scan(p[:n]); l.limitErr != nil {
		return 0, l.limitErr
	}
	return n, err
}

// scan counts the bytes and lines of the head in p.
func (l *headLimiter) scan(p []byte) error {
	for len(p) > 0 && !l.done {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		used := len(p) - len(rest)
		p = rest
		if l.bytes += used; l.bytes > maxHeadBytes {
			return errHeadBytes
		}
		if l.lineBytes < len(l.lineStart) {
			copy(l.lineStart[l.lineBytes:], line)
		}
		l.lineBytes += len(line)
		if !ended {
			continue
		}
		if l.lines++; l.lines > maxHeadLines {
			return errHeadLines
		}
		l.endLine()
	}
	return nil
}

// endLine processes the end of a line. An empty line ends the head.
func (l *headLimiter) endLine() {
	empty := l.lineBytes == 0 || l.lineBytes == 1 && l.lineStart[0] == '\r'
	switch {
	case l.inStatusLine:
		l.interim = l.lineBytes > statusDigit && l.lineStart[statusDigit] == '1'
		l.inStatusLine = false
	case isTransferEncoding(l.lineStart[:min(l.lineBytes, len(l.lineStart))]):
		l.hasTransferEncoding = true
	case empty:
		l.done = !l.interim
		l.inStatusLine = true
		if l.interim {
			l.interimHeads++
		}
	}
	l.lineBytes = 0
}

// isTransferEncoding reports whether a header line is that of the transfer coding, of whose
// name the beginning is kept.
func isTransferEncoding(lineStart []byte) bool {
	return len(lineStart) > statusDigit && strings.EqualFold(string(lineStart), "Transfer-Encoding"[:statusDigit+1])
}

// receive reads the head of the response and skips interim responses.
func (c *connection) receive(method string) (*http.Response, error) {
	for interim := 0; ; interim++ {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case c.limiter.limitErr != nil:
			return nil, c.limiter.limitErr
		case err != nil:
			return nil, err
		case !isValidStatusLine(response):
			return nil, errStatusLine
		case c.limiter.hasTransferEncoding && !response.ProtoAtLeast(1, 1):
			return nil, errHeadAmbiguous
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchedProtocols
		case c.limiter.interimHeads <= interim:
			// The parser has read more interim responses than the limiter, so that they
			// disagree on where the head ends.
			return nil, errHeadAmbiguous
		case interim == maxInterimAnswers:
			return nil, errInterimAnswers
		}
	}
}

// maxStatus is the largest status of HTTP. http.ReadResponse accepts any of three digits,
// and any version of one digit each.
const maxStatus = 599

func isValidStatusLine(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.StatusCode >= http.StatusContinue && r.StatusCode <= maxStatus
}
