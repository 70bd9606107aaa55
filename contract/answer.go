package contract

import (
	"strings"
	"time"
)

// ChatAnswer is the whole answer of a model service, in the shape of an OpenAI
// chat completion.
type ChatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// ChatChoice is the only choice of a ChatAnswer.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// ChatMessage is the text of the answer.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// AnswerBuilder joins the chunks of one answer. It is for one goroutine.
type AnswerBuilder struct {
	text   strings.Builder
	finish string
	usage  *Usage
}

// Add appends a chunk.
func (b *AnswerBuilder) Add(c Chunk) {
	b.text.WriteString(c.Text)
	if c.FinishReason != "" {
		b.finish = c.FinishReason
	}
	if c.Usage != nil {
		b.usage = c.Usage
	}
}

// Len returns the length of the text in bytes.
func (b *AnswerBuilder) Len() int { return b.text.Len() }

// IsWhole reports whether the finish reason has arrived.
func (b *AnswerBuilder) IsWhole() bool { return b.finish != "" }

// Answer returns the answer to the request of the id.
func (b *AnswerBuilder) Answer(requestID, service string, created time.Time) ChatAnswer {
	return ChatAnswer{
		ID:      CompletionID(requestID),
		Object:  "chat.completion",
		Created: created.Unix(),
		Model:   service,
		Choices: []ChatChoice{{
			Message:      ChatMessage{Role: "assistant", Content: b.text.String()},
			FinishReason: b.finish,
		}},
		Usage: b.usage,
	}
}

// CompletionID returns the id of the answer to a request.
func CompletionID(requestID string) string { return "chatcmpl-" + requestID }
