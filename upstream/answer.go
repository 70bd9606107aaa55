package upstream

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/daisylb/daisylb/contract"
)

var (
	errSwapped   = errors.New("the answer has the identifier of another request")
	errBadChunk  = errors.New("a chunk of the answer could not be understood")
	errToolCalls = errors.New("the answer has tool calls, which are not supported")
)

// wireChunk is a chunk as engines send it.
type wireChunk struct {
	ID      string           `json:"id"`
	Choices []wireChoice     `json:"choices"`
	Usage   *contract.Usage  `json:"usage"`
	Error   *json.RawMessage `json:"error"`
}

type wireChoice struct {
	Delta        wireDelta `json:"delta"`
	FinishReason string    `json:"finish_reason"`
}

type wireDelta struct {
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// attemptPrefix begins the request identifier of every attempt, so that an
// engine that puts the identifier into its answer shows whose answer it is.
const attemptPrefix = "dlb-"

// binding ties the chunks of one stream to the attempt that asked for them.
type binding struct {
	attempt  string
	answerID string
	// wire is used for one chunk after another.
	wire wireChunk
}

// reset clears the wire chunk and keeps its memory.
func (b *binding) reset() *wireChunk {
	choices := b.wire.Choices
	clear(choices)
	b.wire = wireChunk{Choices: choices[:0]}
	return &b.wire
}

// check refuses a chunk that belongs to another answer.
func (b *binding) check(id string) error {
	if b.answerID == "" {
		if strings.Contains(id, attemptPrefix) && !strings.HasSuffix(id, b.attempt) {
			return errSwapped
		}
		b.answerID = id
	}
	if id != b.answerID {
		return errSwapped
	}
	return nil
}

// decodeChunk reads one event of an answer and checks whose it is.
func (b *binding) decodeChunk(data []byte) (contract.Chunk, error) {
	w := b.reset()
	if err := json.Unmarshal(data, w); err != nil {
		return contract.Chunk{}, errBadChunk
	}
	if w.Error != nil || len(w.Choices) > 1 {
		return contract.Chunk{}, errBadChunk
	}
	if err := b.check(w.ID); err != nil {
		return contract.Chunk{}, err
	}
	chunk := contract.Chunk{Usage: w.Usage}
	if len(w.Choices) == 0 {
		return chunk, nil
	}
	c := &w.Choices[0]
	if len(c.Delta.ToolCalls) > 0 && string(c.Delta.ToolCalls) != "null" {
		return contract.Chunk{}, errToolCalls
	}
	chunk.Text = c.Delta.Content
	chunk.FinishReason = c.FinishReason
	return chunk, nil
}

// partial is the part of an answer that the caller has been given.
type partial struct {
	text   strings.Builder
	tokens int
}

// extend returns the request that continues the partial answer.
func (p *partial) extend(chat contract.ChatRequest, model string) contract.ChatRequest {
	chat.Model = model
	chat.Stream = true
	chat.IncludeUsage = true
	if p.tokens == 0 {
		return chat
	}
	text := p.text.String()
	messages := chat.Messages
	if string(chat.Extra["continue_final_message"]) == "true" {
		last := messages[len(messages)-1]
		var begun string
		if json.Unmarshal(last.Content, &begun) == nil {
			text = begun + text
			messages = messages[:len(messages)-1]
		}
	}
	content, _ := json.Marshal(text)
	chat.Messages = append(messages[:len(messages):len(messages)], contract.Message{Role: "assistant", Content: content})
	extra := make(map[string]json.RawMessage, len(chat.Extra)+2)
	for name, raw := range chat.Extra {
		extra[name] = raw
	}
	extra["continue_final_message"] = json.RawMessage("true")
	extra["add_generation_prompt"] = json.RawMessage("false")
	chat.Extra = extra
	if chat.MaxTokens > 0 {
		chat.MaxTokens -= p.tokens
	}
	return chat
}
