package budget

import "bytes"

// LineBytes is the estimated memory for a line of a head once it is parsed, beside its bytes:
// an entry of the map of headers, which doubles while it grows, and entries in the two copies
// for the upstream.
const LineBytes = 384

// Head measures the head of a request as it is received. It is not safe for concurrent use.
type Head struct {
	// Bytes and Lines are those of the head so far.
	Bytes int
	Lines int
	// Done is set after the empty line at the end.
	Done bool
	// begun is set after the first line that is not empty, inLine within a line that is not
	// empty.
	begun  bool
	inLine bool
}

// Add measures the next bytes that were received, which may extend beyond the head. It
// returns the memory that the part of them in the head will need.
func (h *Head) Add(p []byte) int64 {
	before := h.Lines
	length := 0
	for !h.Done && length < len(p) {
		rest := p[length:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.inLine = h.inLine || len(bytes.Trim(rest, "\r")) > 0
			length = len(p)
			break
		}
		if h.inLine || len(bytes.Trim(rest[:end], "\r")) > 0 {
			h.begun = true
		} else {
			h.Done = h.begun
		}
		h.inLine = false
		h.Lines++
		length += end + 1
	}
	h.Bytes += length
	return int64(length) + int64(h.Lines-before)*LineBytes
}
