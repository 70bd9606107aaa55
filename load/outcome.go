package load

import (
	"fmt"
	"time"

	"github.com/daisylb/daisylb/code"
)

// Kind classifies how a request ended.
type Kind string

const (
	// Right means a complete answer with the expected text.
	Right Kind = "right"
	// NumberedError means an error response, or an error event in a stream,
	// with a code number.
	NumberedError Kind = "error"
	// WrongAnswer means an answer with another text than expected.
	WrongAnswer Kind = "wrong_answer"
	// ShortAnswer means an answer that ended without an error but is only a
	// prefix of the expected text.
	ShortAnswer Kind = "short_answer"
	// BrokenAnswer means an answer that broke off or could not be read, without
	// a numbered error.
	BrokenAnswer Kind = "broken_answer"
	// NoConnection means that no endpoint could be reached.
	NoConnection Kind = "no_connection"
	// Unanswered means that the answer was incomplete when the run ended.
	Unanswered Kind = "unanswered"
	// NotSent means that too many requests were open.
	NotSent Kind = "not_sent"
)

// Ending is a kind, with number and outcome for a NumberedError. It is
// comparable.
type Ending struct {
	Kind    Kind         `json:"kind"`
	Number  code.Number  `json:"number,omitempty"`
	Outcome code.Outcome `json:"outcome,omitempty"`
}

// String returns the ending for reports.
func (e Ending) String() string {
	if e.Kind != NumberedError {
		return string(e.Kind)
	}
	return fmt.Sprintf("%d %s (%s)", e.Number, code.Describe(e.Number).Name, e.Outcome)
}

func errorEnding(err error) Ending {
	e := code.From(err)
	return Ending{Kind: NumberedError, Number: e.Number, Outcome: e.Outcome}
}

// outcome is the result of one request. sendLag, firstToken and total count from
// the time at which the request was due.
type outcome struct {
	ending Ending
	// sendLag is how late the request was sent.
	sendLag time.Duration
	// firstToken is when the first text was received, 0 when there was none.
	firstToken time.Duration
	// total is when the request ended, with or without an answer.
	total time.Duration
	// spacing has the times between consecutive tokens.
	spacing []time.Duration
	tokens  int
	// moves counts the changes to another endpoint.
	moves int
}
