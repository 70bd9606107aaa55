package settings

import "bytes"

// skipComment returns the offset of the last byte of the comment that starts at i;
// i when none starts there, and len(data) when the comment does not end.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	var end []byte
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		end = []byte("*/")
	default:
		return i
	}
	n := bytes.Index(rest[2:], end)
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}

// findTooDeep returns the offset of the first bracket that is nested deeper than
// maxDepth, and whether there is one. It must run before the parser, whose recursion
// is not limited.
func findTooDeep(data []byte) (offset int, found bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
	}
	return 0, false
}

// skipString returns the offset of the quote that closes the string at i; an offset
// past the data when the string does not end.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}
