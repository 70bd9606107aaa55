package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// rawEvent is a whole event of a stream as it was sent, its end included.
type rawEvent struct {
	bytes []byte
	// id is the event's id as text; "" when it has none.
	id string
	// data is set when the event has a data field, or an id: comments only keep a
	// connection open.
	data bool
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("an event of the stream is too long")

// rawEvents splits a stream into whole events without changing a byte. It is
// not safe for concurrent use.
type rawEvents struct {
	reader *bufio.Reader
	buffer []byte
}

func newRawEvents(r io.Reader) *rawEvents {
	return &rawEvents{reader: bufio.NewReaderSize(r, connectionBuffer)}
}

var idField = []byte("id:")

// next returns the next event, valid until the next call; empty lines at the end
// of the stream are one without data. It returns io.EOF at
// the clean end and io.ErrUnexpectedEOF when the stream ends within an event.
func (s *rawEvents) next() (rawEvent, error) {
	s.buffer = s.buffer[:0]
	e := rawEvent{}
	// blank is set while only empty lines have come, which belong to the event that
	// follows them.
	blank := true
	for {
		start := len(s.buffer)
		for {
			part, err := s.reader.ReadSlice('\n')
			s.buffer = append(s.buffer, part...)
			if len(s.buffer) > maxEventBytes {
				return e, errEventTooLong
			}
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			switch {
			case !errors.Is(err, io.EOF) || len(s.buffer) == 0:
				return e, err
			case blank && start == len(s.buffer):
				e.bytes = s.buffer
				return e, nil
			}
			return e, io.ErrUnexpectedEOF
		}
		line := bytes.TrimRight(s.buffer[start:], "\r\n")
		if len(line) == 0 {
			if blank {
				continue
			}
			e.bytes = s.buffer
			return e, nil
		}
		blank = false
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.id, e.data = string(bytes.TrimSpace(id)), true
		}
		if bytes.HasPrefix(line, dataField) {
			e.data = true
		}
	}
}

// follows reports whether an event with the id comes after the last one. Ids
// that are no numbers can't be compared and count as new.
func follows(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}
