package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/contract"
)

// vocabulary is the tokens of answers: words of different lengths, some with
// multi-byte characters.
var vocabulary = [...]string{
	" plaza", " permiso", " renovación", " alfombra", " ruta", " sí", " mañana", " €120",
	" portal", " recoger", " niño", " ഇന്ന്", " carta", " turno", " 靴", " lista",
}

// bytesPerToken is the length of a prompt token in bytes.
const bytesPerToken = 4

// Token returns the token at index, counted from 0, of the answer to messages.
func Token(messages []contract.Message, index int) string {
	return tokenOf(seed(messages), index)
}

// Answer returns the first n tokens of the answer to messages.
func Answer(messages []contract.Message, n int) string {
	var b strings.Builder
	s := seed(messages)
	for i := range n {
		b.WriteString(tokenOf(s, i))
	}
	return b.String()
}

// tokenOf returns the token at index of the answer with this seed.
func tokenOf(seed uint64, index int) string {
	x := seed + uint64(index)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return vocabulary[x%uint64(len(vocabulary))]
}

// seed returns the hash of messages that determines the answer.
func seed(messages []contract.Message) uint64 {
	d := xxhash.New()
	for _, m := range messages {
		hashMessage(d, m)
	}
	return d.Sum64()
}

func hashMessage(d *xxhash.Digest, m contract.Message) {
	_, _ = d.WriteString(m.Role)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(m.Content)
	_, _ = d.Write([]byte{0})
}

// resumePoint returns where an answer continues after partial: the index of the
// first token that partial lacks or has only in part, and the number of its bytes
// that partial already has. ok is false when partial is not a prefix of the answer.
func resumePoint(seed uint64, partial string) (index int, skipBytes int, ok bool) {
	for partial != "" {
		token := tokenOf(seed, index)
		if len(partial) < len(token) {
			return index, len(partial), strings.HasPrefix(token, partial)
		}
		if !strings.HasPrefix(partial, token) {
			return 0, 0, false
		}
		partial = partial[len(token):]
		index++
	}
	return index, 0, true
}

// contentText returns the content of a message, and false unless it is a string.
func contentText(m contract.Message) (string, bool) {
	var s string
	if err := json.Unmarshal(m.Content, &s); err != nil {
		return "", false
	}
	return s, true
}
