package contract

import (
	"strings"
	"time"
)

// ChatAnswer is the complete answer of a model service, in the format of an
// OpenAI chat completion.
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

// ChatMessage is the message with the text of the answer.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// AnswerBuilder joins the chunks of one answer. It is not safe for concurrent use.
type AnswerBuilder struct {
	text         strings.Builder
	finishReason string
	usage        *Usage
}

// Add appends a chunk.
func (b *AnswerBuilder) Add(c Chunk) {
	b.text.WriteString(c.Text)
	if c.FinishReason != "" {
		b.finishReason = c.FinishReason
	}
	if c.Usage != nil {
		b.usage = c.Usage
	}
}

// Len returns the length of the text in bytes.
func (b *AnswerBuilder) Len() int { return b.text.Len() }

// IsComplete reports whether the answer is complete: its last chunk, the one with
// the finish reason, was added.
func (b *AnswerBuilder) IsComplete() bool { return b.finishReason != "" }

// Answer returns the answer with the text of all chunks. Its id is derived from the
// id of the request.
func (b *AnswerBuilder) Answer(requestID, service string, created time.Time) ChatAnswer {
	return ChatAnswer{
		ID:      CompletionID(requestID),
		Object:  "chat.completion",
		Created: created.Unix(),
		Model:   service,
		Choices: []ChatChoice{{
			Message:      ChatMessage{Role: "assistant", Content: b.text.String()},
			FinishReason: b.finishReason,
		}},
		Usage: b.usage,
	}
}

// CompletionID returns the id of the answer to a request, in OpenAI's format.
func CompletionID(requestID string) string { return "chatcmpl-" + requestID }
