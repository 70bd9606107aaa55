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

// chatEvent has the fields that are read of a chunk, an answer or an error.
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
	due     time.Time
	want    string
	outcome outcome

	text        strings.Builder
	lastTokenAt time.Time
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// stream reads server-sent events until the [DONE] event.
func (r *answerReader) stream(body io.Reader) {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			r.outcome.ending = Ending{Kind: BrokenAnswer}
			return
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			r.verify()
			return
		}
		if !r.event(data) {
			return
		}
	}
}

// event reads one event. It reports false when no further events are to be
// read.
func (r *answerReader) event(data []byte) bool {
	var e chatEvent
	if err := json.Unmarshal(data, &e); err != nil {
		r.outcome.ending = Ending{Kind: BrokenAnswer}
		return false
	}
	if e.Error != nil {
		r.outcome.ending = errorEnding(code.Body{Error: *e.Error}.Err())
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
	if r.lastTokenAt.IsZero() {
		r.outcome.firstToken = now.Sub(r.due)
	} else {
		r.outcome.spacing = append(r.outcome.spacing, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.outcome.tokens++
	r.text.WriteString(text)
}

// object reads an answer that is a single JSON object.
func (r *answerReader) object(body io.Reader) {
	var e chatEvent
	if err := json.NewDecoder(body).Decode(&e); err != nil || len(e.Choices) != 1 {
		r.outcome.ending = Ending{Kind: BrokenAnswer}
		return
	}
	r.text.WriteString(e.Choices[0].Message.Content)
	r.verify()
}

// verify compares the complete answer with the expected text.
func (r *answerReader) verify() {
	r.outcome.ending = Ending{Kind: verifyText(r.text.String(), r.want)}
}

func verifyText(got, want string) Kind {
	switch {
	case got == want:
		return Right
	case strings.HasPrefix(want, got):
		return ShortAnswer
	default:
		return WrongAnswer
	}
}
