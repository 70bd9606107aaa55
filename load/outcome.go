package load

import (
	"fmt"
	"time"

	"github.com/daisylb/daisylb/code"
)

// Kind says how a request ended.
type Kind string

const (
	// Right is a whole answer with the expected text.
	Right Kind = "right"
	// Refused is a numbered error.
	Refused Kind = "error"
	// WrongText is an answer whose text is not the expected one.
	WrongText Kind = "wrong_answer"
	// ShortText is an answer that ended cleanly before it was whole.
	ShortText Kind = "short_answer"
	// BrokenStream is an answer that broke off without a numbered error.
	BrokenStream Kind = "broken_answer"
	// NoConnection means that no endpoint could be reached.
	NoConnection Kind = "no_connection"
	// Unanswered means that the answer was not whole when the run ended.
	Unanswered Kind = "unanswered"
	// NotSent means that too many requests were open.
	NotSent Kind = "not_sent"
)

// Ending is a kind with the number and outcome of an error. It is comparable.
type Ending struct {
	Kind    Kind         `json:"kind"`
	Number  code.Number  `json:"number,omitempty"`
	Outcome code.Outcome `json:"outcome,omitempty"`
}

// String names the ending for people.
func (e Ending) String() string {
	if e.Kind != Refused {
		return string(e.Kind)
	}
	return fmt.Sprintf("%d %s (%s)", e.Number, code.Describe(e.Number).Name, e.Outcome)
}

func refused(err error) Ending {
	e := code.From(err)
	return Ending{Kind: Refused, Number: e.Number, Outcome: e.Outcome}
}

// outcome is what became of one request. Latencies count from the time at
// which it was due.
type outcome struct {
	ending Ending
	// lag is how late the request was sent.
	lag time.Duration
	// first is when the first text came, zero when none came.
	first time.Duration
	// whole is when the request ended, in whichever way.
	whole  time.Duration
	gaps   []time.Duration
	tokens int
	// moves is how often the caller went on to another endpoint.
	moves int
}
