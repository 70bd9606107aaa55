package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

type chunkBody struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *contract.Usage `json:"usage,omitempty"`
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

// eventStream writes server-sent events of one answer. It is for one
// goroutine.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	body    chunkBody
	choices [1]chunkChoice
	usage   bool
	started bool
}

func newEventStream(w http.ResponseWriter, call *contract.Completion, now time.Time) *eventStream {
	return &eventStream{
		w:       w,
		control: http.NewResponseController(w),
		usage:   call.Chat.IncludeUsage,
		body: chunkBody{
			ID:      completionID(call),
			Object:  "chat.completion.chunk",
			Created: now.Unix(),
			Model:   call.Service,
		},
	}
}

// start sends the headers; errors after it travel inside the stream.
func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// chunk sends one piece of the answer.
func (s *eventStream) chunk(c contract.Chunk) error {
	first := !s.started
	s.start()
	if c.Text != "" || c.FinishReason != "" || first {
		if err := s.sendChoice(c, first); err != nil {
			return err
		}
	}
	if c.Usage != nil && s.usage {
		return s.sendUsage(c.Usage)
	}
	return nil
}

func (s *eventStream) sendChoice(c contract.Chunk, first bool) error {
	choice := chunkChoice{Delta: chunkDelta{Content: c.Text}}
	if first {
		choice.Delta.Role = "assistant"
	}
	if c.FinishReason != "" {
		choice.FinishReason = &c.FinishReason
	}
	s.choices[0] = choice
	s.body.Choices = s.choices[:]
	s.body.Usage = nil
	return sendEvent(s, s.body)
}

func (s *eventStream) sendUsage(u *contract.Usage) error {
	s.body.Choices = s.choices[:0]
	s.body.Usage = u
	return sendEvent(s, s.body)
}

// done ends a whole answer.
func (s *eventStream) done() error { return s.write([]byte("[DONE]")) }

// fail ends a started stream with a numbered error and without the end mark.
func (s *eventStream) fail(requestID string, err error) {
	_ = sendEvent(s, code.NewBody(requestID, code.From(err)))
}

func sendEvent[T any](s *eventStream, body T) error {
	data, err := json.Marshal(body)
	if err != nil {
		return code.Wrap(code.Internal, err, "the event could not be encoded")
	}
	return s.write(data)
}

func (s *eventStream) write(data []byte) error {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return code.Wrap(code.CallerGone, err, "the caller closed the connection")
	}
	if err := s.control.Flush(); err != nil {
		return code.Wrap(code.CallerGone, err, "the caller closed the connection")
	}
	return nil
}

// chatStream relays an answer as it is made.
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

// replay sends a stored answer as a stream.
func replay(w http.ResponseWriter, call *contract.Completion, stored []byte) error {
	var answer chatAnswer
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

// sentError is an error that the caller has already been told of.
type sentError struct{ error }

// Unwrap returns the error that was sent.
func (e *sentError) Unwrap() error { return e.error }
