package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
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
	// take charges the memory of long events, and may refuse it; nil does neither.
	take func(n int64) error
}

func newRawEventReader(r io.Reader) *rawEventReader {
	return &rawEventReader{reader: bufio.NewReaderSize(r, connectionBufferBytes)}
}

// unchargedEventBytes is the size of the buffers of usual events, which are not charged.
const unchargedEventBytes = 16 << 10

// extend appends a part of an event to the buffer. Both buffers are charged while a larger one
// replaces the buffer.
func (r *rawEventReader) extend(part []byte) error {
	size := len(r.buffer) + len(part)
	if r.take == nil || size <= max(cap(r.buffer), unchargedEventBytes) {
		r.buffer = append(r.buffer, part...)
		return nil
	}
	next := max(2*cap(r.buffer), size)
	if err := r.take(int64(next)); err != nil {
		return err
	}
	before := cap(r.buffer)
	r.buffer = append(append(make([]byte, 0, next), r.buffer...), part...)
	if before > unchargedEventBytes {
		return r.take(-int64(before))
	}
	return nil
}

var idField = []byte("id:")

// next returns the next event, which is valid until the next call. Empty lines belong
// to the event that follows them; at the end of the stream they form an event without
// content. next returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the
// stream ends within an event, and errNotEvents before text that is not an event: a
// stream without length and chunks may be followed by another response.
func (r *rawEventReader) next() (rawEvent, error) {
	r.buffer = r.buffer[:0]
	e := rawEvent{}
	// blank is set while only empty lines have been read.
	blank := true
	var lines lineKinds
	for {
		start := len(r.buffer)
		for {
			part, err := r.reader.ReadSlice('\n')
			if err := r.extend(part); err != nil {
				return e, err
			}
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
			if !lines.formEvent() {
				return e, errNotEvents
			}
			e.bytes = r.buffer
			return e, nil
		}
		blank = false
		if !lines.add(line) {
			return e, errNotEvents
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.id, e.hasContent = string(bytes.TrimSpace(id)), true
		}
		if bytes.HasPrefix(line, dataField) {
			e.hasContent = true
		}
	}
}

// lineKinds records which kinds of lines an event has.
type lineKinds struct {
	standardField bool
	otherField    bool
}

// add records a line that is not empty. It reports false if the line is neither a
// comment nor a field. Fields other than the standard ones need a colon.
func (k *lineKinds) add(line []byte) bool {
	name, _, hasColon := bytes.Cut(line, []byte{':'})
	switch string(name) {
	case "":
	case "data", "event", "id", "retry":
		k.standardField = true
	default:
		k.otherField = true
		return hasColon && !bytes.ContainsFunc(name, isNoFieldName)
	}
	return true
}

// formEvent reports whether the lines form an event: comments only, or at least one
// standard field.
func (k *lineKinds) formEvent() bool { return k.standardField || !k.otherField }

// isNoFieldName reports whether r is a space, a control character or a delimiter of
// HTTP, which the names of fields do not contain.
func isNoFieldName(r rune) bool {
	return r <= ' ' || strings.ContainsRune("\"(),/:;<=>?@[\\]{}\x7f", r)
}

// isAfter reports whether the event id comes after the id last. Ids that are not
// numbers cannot be compared and count as later.
func isAfter(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

// isComparable reports whether the order of an event's id and the id last is known, or
// at least that both are of the same kind.
func isComparable(id, last string) bool {
	_, err1 := strconv.ParseInt(id, 10, 64)
	_, err2 := strconv.ParseInt(last, 10, 64)
	return id != "" && (err1 == nil) == (err2 == nil)
}
