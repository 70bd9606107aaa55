package contract

import (
	"net/http"
	"time"
)

// ForwardRequest is one request to a routed service. Its target and body are
// forwarded unchanged.
type ForwardRequest struct {
	// RequestID is the id that the caller sent; upstreams return it.
	RequestID string
	Service   string
	Class     Class
	// Account is the name of the client account, "" if the deployment has none.
	Account string
	// Priority is the priority of the account, or else of the route; 0 is the highest.
	Priority int
	// Share is the part of the capacity that the account is entitled to under overload,
	// between 0 and 1; 0 if the deployment has no accounts.
	Share  float64
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header has the end-to-end header fields of the request.
	Header http.Header
	Body   []byte
	// Repeatable is set if the request may run more than once, on at most
	// MaxAttempts upstreams.
	Repeatable  bool
	MaxAttempts int
	// Stream is set if the request is answered by a stream of events, Resumable if
	// another upstream can resume the stream.
	Stream    bool
	Resumable bool
	// LastEventID is the id of the last event that the caller has received; "" means
	// none.
	LastEventID string
	// ReceivedEvents is the number of events that earlier calls for the same request
	// have received.
	ReceivedEvents int
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Objective is the latency objective: the time to the first byte within which
	// an answer is on time.
	Objective time.Duration
	// Due is the time at which the result of a batch request is due; the zero value
	// means none.
	Due time.Time
	// MaxGap is the longest time without data that the caller of an online request
	// tolerates.
	MaxGap time.Duration
	// Affinity is a hash of the beginning of the prompt, which is the same for
	// requests that should go to the same upstream; 0 means none.
	Affinity uint64
	// PromptParts are hashes of the parts of the prompt that other requests may share;
	// each is the same wherever the part stands.
	PromptParts []uint64
	// ExpectedTokens is the expected number of output tokens; 0 means unknown.
	ExpectedTokens int
	// MaxTokens is the maximum number of output tokens.
	MaxTokens int
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int
}

// ForwardSink receives the answer to a forwarded request. Begin is called at most
// once, before Write. Each call of Write passes a complete event of a stream, or
// a part of any other body.
type ForwardSink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) error
}
