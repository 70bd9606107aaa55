package contract

import (
	"encoding/json"

	"github.com/daisylb/daisylb/code"
)

// maxMessages is the maximum number of messages of a chat.
const maxMessages = 10_000

// UnmarshalJSON decodes and validates an OpenAI chat completion request. Errors are
// code.MalformedBody or code.InvalidField.
func (r *ChatRequest) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return code.Wrap(code.MalformedBody, err, "the body is not a JSON object")
	}
	*r = ChatRequest{}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var completionTokens *int
	known := []struct {
		name   string
		target any
	}{
		{"model", &r.Model},
		{"messages", &r.Messages},
		{"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &completionTokens},
		{"stream", &r.Stream},
		{"stream_options", &options},
	}
	for _, k := range known {
		raw, ok := fields[k.name]
		if !ok {
			continue
		}
		delete(fields, k.name)
		if err := json.Unmarshal(raw, k.target); err != nil {
			return code.Wrap(code.InvalidField, err, "field %q has the wrong type", k.name)
		}
	}
	if completionTokens != nil {
		r.MaxTokens = *completionTokens
	}
	r.IncludeUsage = options.IncludeUsage
	r.Extra = fields
	return r.check()
}

// check validates the request. Errors are code.InvalidField.
func (r *ChatRequest) check() error {
	switch {
	case r.Model == "":
		return code.New(code.InvalidField, "field \"model\" is missing")
	case len(r.Messages) == 0:
		return code.New(code.InvalidField, "field \"messages\" is missing or empty")
	case len(r.Messages) > maxMessages:
		return code.New(code.InvalidField, "field \"messages\" has %d entries, at most %d are allowed", len(r.Messages), maxMessages)
	case r.MaxTokens < 0:
		return code.New(code.InvalidField, "field \"max_tokens\" is negative")
	}
	for i, m := range r.Messages {
		if m.Role == "" {
			return code.New(code.InvalidField, "messages[%d] has no role", i)
		}
	}
	if raw, ok := r.Extra["n"]; ok && string(raw) != "1" && string(raw) != "null" {
		return code.New(code.InvalidField, "field \"n\" must be 1")
	}
	return nil
}

// MarshalJSON encodes the request with its extra fields.
func (r ChatRequest) MarshalJSON() ([]byte, error) {
	fields := make(map[string]any, len(r.Extra)+5)
	for name, raw := range r.Extra {
		fields[name] = raw
	}
	fields["model"] = r.Model
	fields["messages"] = r.Messages
	if r.MaxTokens > 0 {
		fields["max_tokens"] = r.MaxTokens
	}
	if r.Stream {
		fields["stream"] = true
		fields["stream_options"] = struct {
			IncludeUsage bool `json:"include_usage"`
		}{r.IncludeUsage}
	}
	return json.Marshal(fields)
}
