package contract

import (
	"net/http"
	"time"
)

// Forwarding is one opaque request to a routed service. Its body and target
// pass unchanged.
type Forwarding struct {
	// RequestID as the caller sent it; upstreams echo it.
	RequestID string
	Service   string
	Class     Class
	Method    string
	// Target is the path with its query, as it was sent.
	Target string
	Host   string
	// Header has the end-to-end fields of the request.
	Header http.Header
	Body   []byte
	// Repeatable requests may run more than once, up to MaxAttempts upstreams.
	Repeatable  bool
	MaxAttempts int
	// Stream asks for a series of events; Resumable streams may go on elsewhere.
	Stream    bool
	Resumable bool
	// LastEvent is the id of the last event that the caller has; "" for none.
	LastEvent string
	// Deadline is when the final answer is due.
	Deadline time.Time
	// Objective is the time to the first byte within which an answer is on time.
	Objective time.Duration
	// Due is when the result of a batch request is due; the zero time means that
	// it is not.
	Due time.Time
	// Silence is the longest pause that the caller bears.
	Silence time.Duration
	// Affinity is a hash of the beginning of the prompt; 0 means none.
	Affinity uint64
	// Tokens is the expected number of output tokens; 0 means unknown.
	Tokens int
	// Limit is the most output tokens, PromptTokens the size of the prompt.
	Limit        int
	PromptTokens int
}

// ForwardSink receives an answer. Begin is called at most once and before
// Write; each Write is a whole event of a stream, or a part of another body.
type ForwardSink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) error
}
