package quota

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// message is a request for tokens, or the answer to one.
type message struct {
	// id identifies the request at the instance that asks.
	id uint64
	// account is the account of a request; answers have none.
	account string
	share   int
	// tokens are the wanted or granted ones.
	tokens int
	// isAnswer is set in answers, which have a status and a wait.
	isAnswer bool
	status   Status
	wait     time.Duration
}

// Fields of a message.
const (
	fieldID = iota + 1
	fieldAccount
	fieldShare
	fieldTokens
	fieldStatus
	fieldWaitMicroseconds
)

// maxMessageBytes bounds a datagram. A request has the name of an account and some 20 bytes.
const maxMessageBytes = 1 << 10

var errMessage = errors.New("the message is malformed")

// append appends the encoded message to b.
func (m *message) append(b []byte) []byte {
	number := func(field protowire.Number, n uint64) {
		b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), n)
	}
	number(fieldID, m.id)
	number(fieldShare, uint64(m.share))
	number(fieldTokens, uint64(m.tokens))
	if m.isAnswer {
		number(fieldStatus, uint64(m.status)+1)
		number(fieldWaitMicroseconds, uint64(max(m.wait.Microseconds(), 0)))
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, fieldAccount, protowire.BytesType), m.account)
}

// decodeMessage decodes a message. Unknown fields are ignored.
func decodeMessage(b []byte) (m message, err error) {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return m, errMessage
		}
		b = b[n:]
		switch {
		case kind == protowire.VarintType:
			value, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return m, errMessage
			}
			b = b[n:]
			m.setNumber(field, value)
		case field == fieldAccount && kind == protowire.BytesType:
			value, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return m, errMessage
			}
			b = b[n:]
			m.account = string(value)
		default:
			n := protowire.ConsumeFieldValue(field, kind, b)
			if n < 0 {
				return m, errMessage
			}
			b = b[n:]
		}
	}
	if m.isAnswer && (m.status < NotOwner || m.status > Denied || (m.status == Granted) != (m.tokens > 0)) || !m.isAnswer && (m.account == "" || m.tokens == 0) || m.share >= maxShares {
		return m, errMessage
	}
	return m, nil
}

// maxWait is more than any owner says.
const maxWait = time.Hour

func (m *message) setNumber(field protowire.Number, value uint64) {
	switch field {
	case fieldID:
		m.id = value
	case fieldShare:
		m.share = int(min(value, maxShares))
	case fieldTokens:
		m.tokens = int(min(value, maxWant))
	case fieldStatus:
		m.isAnswer, m.status = true, Status(min(value, uint64(Denied)+2))-1
	case fieldWaitMicroseconds:
		m.wait = time.Duration(min(value, uint64(maxWait/time.Microsecond))) * time.Microsecond
	}
}
