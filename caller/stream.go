package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// chunkEnvelope holds the fields that all events of one answer have in common.
type chunkEnvelope struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// eventStream writes one answer as server-sent events. It is not safe for
// concurrent use.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// envelope is the encoded chunkEnvelope without its closing brace. It is the
	// same in every event, so it is encoded once.
	envelope []byte
	// buffer holds the event being written and is reused.
	buffer       []byte
	includeUsage bool
	started      bool
}

func newEventStream(w http.ResponseWriter, call *contract.Completion, now time.Time) *eventStream {
	envelope, err := json.Marshal(chunkEnvelope{
		ID:      contract.CompletionID(call.RequestID),
		Object:  "chat.completion.chunk",
		Created: now.Unix(),
		Model:   call.Service,
	})
	if err != nil {
		// Unreachable: strings and integers can always be encoded.
		panic(err)
	}
	return &eventStream{
		w:            w,
		control:      http.NewResponseController(w),
		envelope:     envelope[:len(envelope)-1],
		includeUsage: call.Chat.IncludeUsage,
	}
}

// start sends the headers of the response, once. Errors that occur later are
// sent as events, since the status can no longer change.
func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// chunk sends one chunk of the answer. It implements contract.ChunkSink.
func (s *eventStream) chunk(c contract.Chunk) error {
	first := !s.started
	s.start()
	if c.Text != "" || c.FinishReason != "" || first {
		if err := s.sendChoice(c, first); err != nil {
			return err
		}
	}
	if c.Usage != nil && s.includeUsage {
		if err := s.sendUsage(c.Usage); err != nil {
			return err
		}
	}
	if c.More || c.FinishReason != "" {
		// More output follows immediately, the [DONE] event at the latest, and its
		// flush sends this event too.
		return nil
	}
	return s.flush()
}

// flush sends buffered events. Errors: code.CallerGone.
func (s *eventStream) flush() error {
	if err := s.control.Flush(); err != nil {
		return code.Wrap(code.CallerGone, err, "the caller closed the connection")
	}
	return nil
}

// sendChoice sends the text and the finish reason of a chunk as one event.
func (s *eventStream) sendChoice(c contract.Chunk, first bool) error {
	choice := chunkChoice{Delta: chunkDelta{Content: c.Text}}
	if first {
		choice.Delta.Role = "assistant"
	}
	if c.FinishReason != "" {
		choice.FinishReason = &c.FinishReason
	}
	data, err := json.Marshal(&choice)
	if err != nil {
		return code.Wrap(code.Internal, err, "the event could not be encoded")
	}
	return s.write(s.envelope, []byte(`,"choices":[`), data, []byte(`]}`))
}

// sendUsage sends the token counts as an event without choices.
func (s *eventStream) sendUsage(u *contract.Usage) error {
	data, err := json.Marshal(u)
	if err != nil {
		return code.Wrap(code.Internal, err, "the event could not be encoded")
	}
	return s.write(s.envelope, []byte(`,"choices":[],"usage":`), data, []byte(`}`))
}

// done ends a complete answer with the [DONE] event.
func (s *eventStream) done() error {
	if err := s.write([]byte("[DONE]")); err != nil {
		return err
	}
	return s.flush()
}

// fail ends a started stream with a numbered error. It sends no [DONE] event, so
// that the caller does not take a partial answer for a complete one.
func (s *eventStream) fail(requestID string, err error) {
	data, encodeErr := json.Marshal(code.NewBody(requestID, code.From(err)))
	if encodeErr == nil {
		_ = s.write(data)
	}
	_ = s.flush()
}

// write writes one event whose data is the concatenation of parts.
func (s *eventStream) write(parts ...[]byte) error {
	s.buffer = append(s.buffer[:0], "data: "...)
	for _, part := range parts {
		s.buffer = append(s.buffer, part...)
	}
	s.buffer = append(s.buffer, "\n\n"...)
	if _, err := s.w.Write(s.buffer); err != nil {
		return code.Wrap(code.CallerGone, err, "the caller closed the connection")
	}
	return nil
}

// chatStream sends an answer to the caller as the upstream produces it.
func (l *Listener) chatStream(ctx context.Context, w http.ResponseWriter, call *contract.Completion) error {
	stream := newEventStream(w, call, time.Now())
	err := l.dispatcher.Complete(ctx, call, stream.chunk)
	if err == nil {
		return stream.done()
	}
	if !stream.started {
		return err
	}
	stream.fail(call.RequestID, err)
	return &sentError{err}
}

// replay sends a stored answer as an event stream.
func replay(w http.ResponseWriter, call *contract.Completion, stored []byte) error {
	var answer contract.ChatAnswer
	if err := json.Unmarshal(stored, &answer); err != nil || len(answer.Choices) != 1 {
		return code.New(code.Internal, "the stored answer is damaged")
	}
	stream := newEventStream(w, call, time.Unix(answer.Created, 0))
	choice := answer.Choices[0]
	chunk := contract.Chunk{Text: choice.Message.Content, FinishReason: choice.FinishReason, Usage: answer.Usage}
	if err := stream.chunk(chunk); err != nil {
		return err
	}
	return stream.done()
}

// sentError wraps an error that was already sent to the caller in the stream.
type sentError struct{ error }

// Unwrap returns the error that was sent.
func (e *sentError) Unwrap() error { return e.error }
