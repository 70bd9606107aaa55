package contract

import (
	"encoding/json"
	"net/http"
	"time"
)

// Class ranks work. Online work never waits behind batch work.
type Class int

const (
	// Online work has a caller waiting.
	Online Class = iota
	// Batch work takes capacity that online work leaves idle.
	Batch
)

// String returns "online" or "batch".
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// Message is one turn of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatRequest is the part of an OpenAI chat completion request that daisylb
// reads. Extra keeps every other field as it was sent.
type ChatRequest struct {
	Model     string
	Messages  []Message
	MaxTokens int
	Stream    bool
	// IncludeUsage is stream_options.include_usage.
	IncludeUsage bool
	Extra        map[string]json.RawMessage
}

// Completion is one call of a model service.
type Completion struct {
	// RequestID is unique to the call and appears in logs on every hop.
	RequestID string
	// Account and Service are names of the document.
	Account string
	Service string
	Class   Class
	// Deadline is absolute; the zero value means none.
	Deadline time.Time
	Chat     ChatRequest
}

// Usage counts tokens of one answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is a piece of a streamed answer. The last chunk of a whole answer has
// FinishReason set.
type Chunk struct {
	Text         string
	FinishReason string
	Usage        *Usage
	// More says that the next chunk, or the end of the answer, has arrived
	// already, so that a writer may send both together.
	More bool
}

// ChunkSink receives the chunks of one answer in order, each exactly once. An
// error stops the call.
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
	// IdempotencyKey is handed to the upstream in the header of that name.
	IdempotencyKey string
	Method         string
	// Path is the part behind /s/{service}, with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// PlainAnswer is a whole answer of a plain service.
type PlainAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}
