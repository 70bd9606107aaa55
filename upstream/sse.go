package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 256 << 10

var (
	errLineTooLong   = errors.New("a line of the event stream is too long")
	errAnswerTooLong = errors.New("the event stream is too long")
	errNotEvents     = errors.New("the body is not an event stream")
)

// eventReader reads the data of server-sent events. Every event has one data
// line, as in OpenAI-compatible streams. It is not safe for concurrent use.
type eventReader struct {
	lines  *bufio.Reader
	long   []byte
	budget int64
}

func newEventReader(r io.Reader, maxBytes int64) *eventReader {
	return &eventReader{lines: bufio.NewReader(r), budget: maxBytes}
}

var dataField = []byte("data:")

// next returns the data of the next event, valid until the next call. It
// returns io.EOF at the clean end of the stream.
func (r *eventReader) next() ([]byte, error) {
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data), nil
		}
		if !isIgnored(line) {
			return nil, errNotEvents
		}
	}
}

// more reports whether the data of another event has arrived already.
func (r *eventReader) more() bool {
	buffered, _ := r.lines.Peek(r.lines.Buffered())
	buffered = bytes.TrimLeft(buffered, "\r\n")
	return bytes.HasPrefix(buffered, dataField) && bytes.IndexByte(buffered, '\n') >= 0
}

// isIgnored reports whether a line is empty, a comment or a field that
// OpenAI-compatible streams give no meaning.
func isIgnored(line []byte) bool {
	return len(line) == 0 || line[0] == ':' ||
		bytes.HasPrefix(line, []byte("event:")) ||
		bytes.HasPrefix(line, []byte("id:")) ||
		bytes.HasPrefix(line, []byte("retry:"))
}

// line returns one line without its end. A last line that has no end is an
// unexpected end of the stream.
func (r *eventReader) line() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		r.budget -= int64(len(part))
		if r.budget < 0 {
			return nil, errAnswerTooLong
		}
		if err == nil && len(r.long) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if len(r.long)+len(part) > maxLineBytes {
			return nil, errLineTooLong
		}
		r.long = append(r.long, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(r.long, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.long) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
