package contract

import (
	"encoding/json"
	"net/http"
	"time"
)

// Class is the class of a call. Online calls are never queued behind batch calls.
type Class int

const (
	// Online is the class of calls for which a caller waits.
	Online Class = iota
	// Batch is the class of calls that use the capacity that online calls leave
	// idle.
	Batch
)

// String returns "online" or "batch".
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatRequest is an OpenAI chat completion request. Extra has the fields that
// daisylb does not read, as they were sent.
type ChatRequest struct {
	Model     string
	Messages  []Message
	MaxTokens int
	Stream    bool
	// IncludeUsage is the field stream_options.include_usage.
	IncludeUsage bool
	Extra        map[string]json.RawMessage
}

// Completion is one call of a model service.
type Completion struct {
	// RequestID is unique to the call and appears in the logs of every instance
	// that handles it.
	RequestID string
	// Account and Service are keys of Document.Accounts and Document.Services.
	Account string
	Service string
	Class   Class
	// Deadline is absolute; the zero value means none.
	Deadline time.Time
	Chat     ChatRequest
}

// Usage is the number of tokens of one call.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is a part of a streamed answer. The last chunk of a complete answer has
// FinishReason set.
type Chunk struct {
	Text         string
	FinishReason string
	Usage        *Usage
	// More is set if the next chunk or the end of the answer was already received,
	// so that a writer can send both together.
	More bool
}

// ChunkSink receives the chunks of one answer in order, each exactly once. If it
// returns an error, the call is stopped.
type ChunkSink func(Chunk) error

// PlainCall is one call of a plain service.
type PlainCall struct {
	RequestID string
	Account   string
	Service   string
	Class     Class
	Deadline  time.Time
	// Idempotent is false when the call must be dispatched at most once.
	Idempotent bool
	// IdempotencyKey is sent to the upstream in the Idempotency-Key header.
	IdempotencyKey string
	Method         string
	// Path is the path after /s/{service}, with the query.
	Path   string
	Header http.Header
	Body   []byte
}

// PlainAnswer is a complete answer of a plain service.
type PlainAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}
