package budget

import (
	"errors"
	"io"
)

// firstBodyBytes is the size of the first buffer of a body that is not known to be shorter.
const firstBodyBytes = 8 << 10

// ReadAll reads r to its end into a buffer that is charged with take before it grows: Take or
// TakeAnswer of a Holder. size is the
// expected length, or below 0 if it is not known. The buffer is at most twice as large as what
// has arrived. The bytes stay charged. Errors: those of r, and code.MemoryExhausted.
func ReadAll(take func(n int64) error, r io.Reader, size int64) ([]byte, error) {
	buffer, err := grow(take, nil, size)
	for err == nil {
		if len(buffer) < cap(buffer) {
			n, readErr := r.Read(buffer[len(buffer):cap(buffer)])
			buffer, err = buffer[:len(buffer)+n], readErr
			continue
		}
		// The end of the body may follow: then no larger buffer is needed.
		var next [1]byte
		n, readErr := r.Read(next[:])
		if n > 0 {
			if buffer, err = grow(take, buffer, size); err != nil {
				return nil, err
			}
			buffer = append(buffer, next[0])
		}
		err = readErr
	}
	if errors.Is(err, io.EOF) {
		return buffer, nil
	}
	return buffer, err
}

// grow returns a buffer of twice the size with the same content. Both are charged while both
// exist.
func grow(take func(n int64) error, buffer []byte, size int64) ([]byte, error) {
	next := max(2*int64(cap(buffer)), firstBodyBytes)
	if size > int64(cap(buffer)) {
		next = min(next, size)
	}
	if err := take(next); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, next), buffer...), take(-int64(cap(buffer)))
}
