package upstream

import (
	"errors"
	"io"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// stream is the answer of one attempt while it is read. One goroutine uses it.
type stream struct {
	slot    *slot
	body    io.ReadCloser
	events  *eventReader
	binding binding
	// timer ends the attempt when no chunk arrives within patience.
	timer    *time.Timer
	patience time.Duration

	chunk  contract.Chunk
	finish string
	usage  *contract.Usage
	done   bool
}

// advance reads up to the next chunk with text, or to the end of the answer.
func (s *stream) advance() *failure {
	s.chunk = contract.Chunk{}
	for {
		data, err := s.events.next()
		if err != nil {
			return s.broken(err)
		}
		if string(data) == "[DONE]" {
			s.done = true
			return s.ended()
		}
		chunk, err := s.binding.decodeChunk(data)
		if err != nil {
			return &failure{err: code.Wrap(code.UpstreamBadAnswer, err, "the upstream's answer is not valid")}
		}
		s.note(chunk)
		if chunk.Text != "" {
			s.slot.token(time.Now())
			s.timer.Reset(s.patience)
			s.chunk = chunk
			s.chunk.More = s.events.more()
			return nil
		}
	}
}

func (s *stream) note(chunk contract.Chunk) {
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	if chunk.FinishReason != "" {
		s.finish = chunk.FinishReason
	}
}

// ended checks a stream that said it is complete.
func (s *stream) ended() *failure {
	if s.finish == "" {
		return &failure{err: code.New(code.UpstreamBadAnswer, "the stream ended without a finish reason")}
	}
	s.drain()
	return nil
}

// broken returns the failure of a stream that broke. When the finish reason
// had arrived the text is whole all the same.
func (s *stream) broken(err error) *failure {
	if s.finish != "" {
		s.done = true
		return nil
	}
	switch {
	case errors.Is(err, errAnswerTooLong), errors.Is(err, errLineTooLong):
		return &failure{err: code.Wrap(code.UpstreamAnswerSize, err, "the upstream's answer is too long")}
	case errors.Is(err, errNotEvents):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, err, "the upstream's answer is not valid")}
	case errors.Is(err, io.EOF):
		return &failure{err: code.New(code.StreamBroken, "the stream ended before the answer was whole")}
	}
	return &failure{err: code.Wrap(code.StreamBroken, err, "the stream broke before the answer was whole")}
}

// drainTimeout bounds the wait for the end of a body whose answer is whole.
const drainTimeout = 50 * time.Millisecond

// drain reads to the end of the body, so that the connection can be used
// again. Bytes after the answer close the connection.
func (s *stream) drain() {
	s.timer.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.events.lines, 1)
}

func (s *stream) close() {
	s.timer.Stop()
	_ = s.body.Close()
}

// deliver gives the stream's chunks to the sink until the answer is whole.
func (s *stream) deliver(c *completion) *failure {
	before := c.have.tokens
	for !s.done {
		if f := c.deliver(s.chunk); f != nil {
			return f
		}
		if f := s.advance(); f != nil {
			return f
		}
	}
	if err := c.deliverEnd(s.finish, resumedUsage(s.usage, before)); err != nil {
		return &failure{err: err, final: true}
	}
	return nil
}

// resumedUsage returns the usage of an answer of which the first tokens came
// from earlier attempts and were part of the last attempt's prompt.
func resumedUsage(u *contract.Usage, before int) *contract.Usage {
	if u == nil || before == 0 {
		return u
	}
	return &contract.Usage{
		PromptTokens:     max(u.PromptTokens-before, 0),
		CompletionTokens: u.CompletionTokens + before,
		TotalTokens:      u.TotalTokens,
	}
}

func (c *completion) deliver(chunk contract.Chunk) *failure {
	if int64(c.have.text.Len()+len(chunk.Text)) > c.maxAnswer {
		return &failure{err: code.New(code.UpstreamAnswerSize, "the upstream's answer is over %d bytes", c.maxAnswer), final: true}
	}
	c.have.text.WriteString(chunk.Text)
	c.have.tokens++
	if err := c.sink(contract.Chunk{Text: chunk.Text, More: chunk.More}); err != nil {
		return &failure{err: err, final: true}
	}
	return nil
}

func (c *completion) deliverEnd(reason string, usage *contract.Usage) error {
	return c.sink(contract.Chunk{FinishReason: reason, Usage: usage})
}
