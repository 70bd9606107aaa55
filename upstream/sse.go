package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxLineBytes limits one line of an event stream.
const maxLineBytes = 256 << 10

var (
	errLineTooLong   = errors.New("a line of the event stream is over the size limit")
	errAnswerTooLong = errors.New("the event stream is over the size limit")
	errNotEvents     = errors.New("the body is not an event stream")
)

// eventReader reads the data of server-sent events. Every event has one data line, as
// in OpenAI-compatible streams. It is not safe for concurrent use.
type eventReader struct {
	lines *bufio.Reader
	// longLine has the beginning of a line that exceeds the buffer of lines.
	longLine []byte
	// remainingBytes is how much of the stream may still be read.
	remainingBytes int64
}

func newEventReader(r io.Reader, maxBytes int64) *eventReader {
	return &eventReader{lines: bufio.NewReader(r), remainingBytes: maxBytes}
}

var dataField = []byte("data:")

// next returns the data of the next event, which is valid until the next call. It
// returns io.EOF at the end of the stream.
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

// hasBufferedEvent reports whether the data of another event is already in the buffer.
func (r *eventReader) hasBufferedEvent() bool {
	buffered, _ := r.lines.Peek(r.lines.Buffered())
	buffered = bytes.TrimLeft(buffered, "\r\n")
	return bytes.HasPrefix(buffered, dataField) && bytes.IndexByte(buffered, '\n') >= 0
}

// isIgnored reports whether a line is empty, a comment, or a field that has no meaning
// in OpenAI-compatible streams.
func isIgnored(line []byte) bool {
	return len(line) == 0 || line[0] == ':' ||
		bytes.HasPrefix(line, []byte("event:")) ||
		bytes.HasPrefix(line, []byte("id:")) ||
		bytes.HasPrefix(line, []byte("retry:"))
}

// line returns one line without its line end. It returns io.ErrUnexpectedEOF if the
// stream ends within a line.
func (r *eventReader) line() ([]byte, error) {
	r.longLine = r.longLine[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		r.remainingBytes -= int64(len(part))
		if r.remainingBytes < 0 {
			return nil, errAnswerTooLong
		}
		if err == nil && len(r.longLine) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if len(r.longLine)+len(part) > maxLineBytes {
			return nil, errLineTooLong
		}
		r.longLine = append(r.longLine, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(r.longLine, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.longLine) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
