package upstream

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/daisylb/daisylb/contract"
)

var (
	errMismatchedID = errors.New("the answer has the identifier of another request")
	errInvalidChunk = errors.New("invalid chunk in the answer")
	errToolCalls    = errors.New("the answer has tool calls, which are not supported")
)

// wireChunk is a chunk in the form in which engines send it.
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

// attemptPrefix starts the request id of every attempt. An engine that copies the id
// into its answer thereby shows which attempt the answer belongs to.
const attemptPrefix = "dlb-"

// chunkDecoder decodes the chunks of one stream and checks that they belong to the
// attempt that requested them.
type chunkDecoder struct {
	// attemptID is the request id that was sent to the engine.
	attemptID string
	// answerID is the id of the first chunk; all later chunks must have it.
	answerID string
	// chunk is reused for every event.
	chunk wireChunk
}

// reset clears the chunk and keeps its allocated memory.
func (d *chunkDecoder) reset() *wireChunk {
	choices := d.chunk.Choices
	clear(choices)
	d.chunk = wireChunk{Choices: choices[:0]}
	return &d.chunk
}

// checkID returns an error if a chunk belongs to another answer.
func (d *chunkDecoder) checkID(id string) error {
	if d.answerID == "" {
		if strings.Contains(id, attemptPrefix) && !strings.HasSuffix(id, d.attemptID) {
			return errMismatchedID
		}
		d.answerID = id
	}
	if id != d.answerID {
		return errMismatchedID
	}
	return nil
}

// decodeChunk decodes one event and checks that it belongs to this answer.
func (d *chunkDecoder) decodeChunk(data []byte) (contract.Chunk, error) {
	w := d.reset()
	if err := json.Unmarshal(data, w); err != nil {
		return contract.Chunk{}, errInvalidChunk
	}
	if w.Error != nil || len(w.Choices) > 1 {
		return contract.Chunk{}, errInvalidChunk
	}
	if err := d.checkID(w.ID); err != nil {
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

// partialAnswer is the part of an answer that has been delivered to the caller.
type partialAnswer struct {
	text   strings.Builder
	tokens int
}

// resumeRequest returns the request that continues the partial answer: the delivered
// text becomes the final assistant message, and the token limit is reduced by the
// tokens already delivered.
func (p *partialAnswer) resumeRequest(chat contract.ChatRequest, model string) contract.ChatRequest {
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
		var prefix string
		if json.Unmarshal(last.Content, &prefix) == nil {
			text = prefix + text
			messages = messages[:len(messages)-1]
		}
	}
	content, _ := json.Marshal(text)
	chat.Messages = append(messages[:len(messages):len(messages)], contract.Message{Role: "assistant", Content: content})
	extra := make(map[string]json.RawMessage, len(chat.Extra)+2)
	for name, value := range chat.Extra {
		extra[name] = value
	}
	extra["continue_final_message"] = json.RawMessage("true")
	extra["add_generation_prompt"] = json.RawMessage("false")
	chat.Extra = extra
	if chat.MaxTokens > 0 {
		chat.MaxTokens -= p.tokens
	}
	return chat
}
