package upstream

import (
	"errors"
	"io"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// stream reads the answer of one attempt. It is used by one goroutine.
type stream struct {
	slot    *slot
	body    io.ReadCloser
	events  *eventReader
	decoder chunkDecoder
	// silence ends the attempt if no chunk with text arrives in time.
	silence *silenceTimer

	chunk        contract.Chunk
	finishReason string
	usage        *contract.Usage
	done         bool
}

// advance reads up to the next chunk with text, or to the end of the answer.
func (s *stream) advance() *failure {
	s.chunk = contract.Chunk{}
	for {
		data, err := s.events.next()
		if err != nil {
			return s.endFailure(err)
		}
		if string(data) == "[DONE]" {
			s.done = true
			return s.checkEnd()
		}
		chunk, err := s.decoder.decodeChunk(data)
		if err != nil {
			return &failure{err: code.Wrap(code.UpstreamBadAnswer, err, "the upstream's answer is not valid")}
		}
		s.recordChunk(chunk)
		if chunk.Text != "" {
			now := time.Now()
			s.slot.recordToken(now)
			s.silence.progress(now)
			s.chunk = chunk
			s.chunk.More = s.events.hasBufferedEvent()
			return nil
		}
	}
}

func (s *stream) recordChunk(chunk contract.Chunk) {
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	if chunk.FinishReason != "" {
		s.finishReason = chunk.FinishReason
	}
}

// checkEnd checks a stream after its end marker.
func (s *stream) checkEnd() *failure {
	if s.finishReason == "" {
		return &failure{err: code.New(code.UpstreamBadAnswer, "the stream ended without a finish reason")}
	}
	s.drain()
	return nil
}

// endFailure returns the failure of a stream that ended without its end marker. It
// returns nil if the finish reason has arrived, since the text is then complete.
func (s *stream) endFailure(err error) *failure {
	if s.finishReason != "" {
		s.done = true
		return nil
	}
	switch {
	case errors.Is(err, errAnswerTooLong), errors.Is(err, errLineTooLong):
		return &failure{err: code.Wrap(code.UpstreamAnswerTooLarge, err, "the upstream's answer is too long")}
	case errors.Is(err, errNotEvents):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, err, "the upstream's answer is not valid")}
	case errors.Is(err, io.EOF):
		return &failure{err: code.New(code.StreamBroken, "the stream ended before the answer was whole")}
	}
	return &failure{err: code.Wrap(code.StreamBroken, err, "the stream broke before the answer was whole")}
}

// drainTimeout limits the wait for the end of a body whose answer is complete.
const drainTimeout = 50 * time.Millisecond

// drain reads to the end of the body, so that the connection can be reused. If there
// are bytes after the answer, the connection is closed instead.
func (s *stream) drain() {
	s.silence.stop()
	timer := time.AfterFunc(drainTimeout, s.silence.end)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.events.lines, 1)
}

func (s *stream) close() {
	s.silence.stop()
	_ = s.body.Close()
}

// deliver passes the stream's chunks to the sink until the answer is complete.
func (s *stream) deliver(c *completion) *failure {
	before := c.partial.tokens
	for !s.done {
		if f := c.deliver(s.chunk); f != nil {
			return f
		}
		if f := s.advance(); f != nil {
			return f
		}
	}
	if err := c.deliverEnd(s.finishReason, resumedUsage(s.usage, before)); err != nil {
		return &failure{err: err, final: true}
	}
	return nil
}

// resumedUsage returns the usage of an answer whose first tokens were produced by
// earlier attempts. The last attempt counted these as part of its prompt.
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

// deliver passes one chunk to the sink and adds it to the partial answer.
func (c *completion) deliver(chunk contract.Chunk) *failure {
	if int64(c.partial.text.Len()+len(chunk.Text)) > c.maxAnswerBytes {
		return &failure{err: code.New(code.UpstreamAnswerTooLarge, "the upstream's answer is over %d bytes", c.maxAnswerBytes), final: true}
	}
	c.partial.text.WriteString(chunk.Text)
	c.partial.tokens++
	if err := c.sink(contract.Chunk{Text: chunk.Text, More: chunk.More}); err != nil {
		return &failure{err: err, final: true}
	}
	return nil
}

// deliverEnd passes the finish reason and the usage to the sink.
func (c *completion) deliverEnd(reason string, usage *contract.Usage) error {
	return c.sink(contract.Chunk{FinishReason: reason, Usage: usage})
}
