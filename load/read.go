package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/daisylb/daisylb/code"
)

// chatEvent is the part of a chunk, an answer or an error that is read.
type chatEvent struct {
	Choices []struct {
		Delta        chatText `json:"delta"`
		Message      chatText `json:"message"`
		FinishReason *string  `json:"finish_reason"`
	} `json:"choices"`
	Error *code.BodyDetail `json:"error"`
}

type chatText struct {
	Content string `json:"content"`
}

// answerReader reads one answer and compares it with the expected text.
type answerReader struct {
	due  time.Time
	want string
	o    outcome

	text strings.Builder
	last time.Time
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// stream reads server-sent events up to the end mark.
func (r *answerReader) stream(body io.Reader) {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			r.o.ending = Ending{Kind: BrokenStream}
			return
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(data, doneMark) {
			r.judge()
			return
		}
		if !r.event(data) {
			return
		}
	}
}

// event reads one event; it reports false when the answer has ended.
func (r *answerReader) event(data []byte) bool {
	var e chatEvent
	if err := json.Unmarshal(data, &e); err != nil {
		r.o.ending = Ending{Kind: BrokenStream}
		return false
	}
	if e.Error != nil {
		r.o.ending = refused(code.Body{Error: *e.Error}.Err())
		return false
	}
	for _, c := range e.Choices {
		if c.Delta.Content != "" {
			r.token(c.Delta.Content)
		}
	}
	return true
}

func (r *answerReader) token(text string) {
	now := time.Now()
	if r.last.IsZero() {
		r.o.first = now.Sub(r.due)
	} else {
		r.o.gaps = append(r.o.gaps, now.Sub(r.last))
	}
	r.last = now
	r.o.tokens++
	r.text.WriteString(text)
}

// object reads an answer that came in one piece.
func (r *answerReader) object(body io.Reader) {
	var e chatEvent
	if err := json.NewDecoder(body).Decode(&e); err != nil || len(e.Choices) != 1 {
		r.o.ending = Ending{Kind: BrokenStream}
		return
	}
	r.text.WriteString(e.Choices[0].Message.Content)
	r.judge()
}

// judge compares a whole answer with the expected one.
func (r *answerReader) judge() {
	r.o.ending = Ending{Kind: judge(r.text.String(), r.want)}
}

func judge(got, want string) Kind {
	switch {
	case got == want:
		return Right
	case strings.HasPrefix(want, got):
		return ShortText
	default:
		return WrongText
	}
}
