package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// rawEvent is one complete event of a stream, byte for byte, including its terminating
// empty line.
type rawEvent struct {
	bytes []byte
	// id is the event's id field; "" if it has none.
	id string
	// hasContent is set when the event has a data or an id field. Comments only keep a
	// connection open.
	hasContent bool
}

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("an event of the stream is over the size limit")

// rawEventReader splits a stream into complete events without changing a byte. It is
// not safe for concurrent use.
type rawEventReader struct {
	reader *bufio.Reader
	buffer []byte
}

func newRawEventReader(r io.Reader) *rawEventReader {
	return &rawEventReader{reader: bufio.NewReaderSize(r, connectionBufferBytes)}
}

var idField = []byte("id:")

// next returns the next event, which is valid until the next call. Empty lines belong
// to the event that follows them; at the end of the stream they form an event without
// content. next returns io.EOF at the end of the stream and io.ErrUnexpectedEOF if the
// stream ends within an event.
func (r *rawEventReader) next() (rawEvent, error) {
	r.buffer = r.buffer[:0]
	e := rawEvent{}
	// blank is set while only empty lines have been read.
	blank := true
	for {
		start := len(r.buffer)
		for {
			part, err := r.reader.ReadSlice('\n')
			r.buffer = append(r.buffer, part...)
			if len(r.buffer) > maxEventBytes {
				return e, errEventTooLong
			}
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			switch {
			case !errors.Is(err, io.EOF) || len(r.buffer) == 0:
				return e, err
			case blank && start == len(r.buffer):
				e.bytes = r.buffer
				return e, nil
			}
			return e, io.ErrUnexpectedEOF
		}
		line := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(line) == 0 {
			if blank {
				continue
			}
			e.bytes = r.buffer
			return e, nil
		}
		blank = false
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.id, e.hasContent = string(bytes.TrimSpace(id)), true
		}
		if bytes.HasPrefix(line, dataField) {
			e.hasContent = true
		}
	}
}

// isAfter reports whether the event id comes after the id last. Ids that are not
// numbers cannot be compared and count as later.
func isAfter(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}
