package quota

import (
	"strings"
	"testing"
	"time"
)

// TestMessagesAreSmall guards against control traffic over its bound and fields that get lost.
func TestMessagesAreSmall(t *testing.T) {
	for name, m := range map[string]message{
		"request": {id: 1<<64 - 1, account: strings.Repeat("n", 64), share: 3, tokens: maxWant},
		"granted": {id: 1<<64 - 1, share: 3, tokens: maxWant, isAnswer: true, status: Granted},
		"denied":  {id: 1, isAnswer: true, status: Denied, wait: 999 * time.Millisecond},
		"other":   {id: 1, share: 2, isAnswer: true},
	} {
		data := m.append(nil)
		if got, err := decodeMessage(data); err != nil || got != m || len(data) >= 100 {
			t.Errorf("%s: %d bytes, %+v, %v; want %+v in under 100 bytes", name, len(data), got, err, m)
		}
	}
}

// TestMalformedMessagesAreRefused guards against answers that would fill the stock for ever.
func TestMalformedMessagesAreRefused(t *testing.T) {
	for name, m := range map[string]message{
		"grant of nothing":   {id: 1, isAnswer: true, status: Granted},
		"denial with tokens": {id: 1, isAnswer: true, status: Denied, tokens: 1},
		"unknown status":     {id: 1, isAnswer: true, status: Denied + 1},
		"no account":         {id: 1, tokens: 1},
		"no tokens":          {id: 1, account: "a"},
		"share":              {id: 1, account: "a", tokens: 1, share: maxShares},
	} {
		if got, err := decodeMessage(m.append(nil)); err == nil {
			t.Errorf("%s was accepted as %+v", name, got)
		}
	}
}

// FuzzDecodeMessage guards against panics and against fields out of range.
func FuzzDecodeMessage(f *testing.F) {
	request := message{id: 7, account: "a", share: 1, tokens: 3}
	denial := message{id: 7, share: 1, isAnswer: true, status: Denied, wait: time.Second}
	f.Add(request.append(nil))
	f.Add(denial.append(nil))
	f.Add([]byte{0x08})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		if m.share < 0 || m.share >= maxShares || m.tokens < 0 || m.tokens > maxWant || m.wait < 0 || m.wait > maxWait || m.status < NotOwner || m.status > Denied {
			t.Errorf("a field is out of range: %+v", m)
		}
		if !m.isAnswer && (m.account == "" || m.tokens == 0) || m.isAnswer && (m.status == Granted) != (m.tokens > 0) {
			t.Errorf("the message makes no sense: %+v", m)
		}
		// A field of the other kind of message is ignored and not sent again.
		if m.isAnswer {
			m.account = ""
		} else {
			m.wait = 0
		}
		if again, err := decodeMessage(m.append(nil)); err != nil || again != m {
			t.Errorf("%+v became %+v, %v", m, again, err)
		}
	})
}
