package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// failure says how an attempt ended without a whole answer.
type failure struct {
	err error
	// final means that no other upstream can do better.
	final bool
	// unreachable means that nothing was sent.
	unreachable bool
	// refused means that the upstream did not run the request.
	refused bool
}

// attempt runs the call on one upstream and extends the partial answer. It
// returns nil when the answer is whole.
func (d *Dispatcher) attempt(given *slot, c *completion) *failure {
	id := attemptPrefix + uuid.NewString()
	response, f := d.open(given, c, id)
	if f != nil {
		return f
	}
	defer func() { _ = response.Body.Close() }()
	c.dispatched = true
	if f := checkHead(response); f != nil {
		return f
	}
	return c.read(response.Body, binding{attempt: id})
}

func (d *Dispatcher) open(given *slot, c *completion, id string) (*http.Response, *failure) {
	body, err := json.Marshal(c.have.extend(c.call.Chat, c.pool.service.Model))
	if err != nil {
		return nil, &failure{err: code.Wrap(code.InvalidField, err, "the request can't be written"), final: true}
	}
	url := "http://" + given.target.address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(given.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q has a bad address", given.target.id), unreachable: true}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("X-Request-Id", id)
	response, err := d.links.of(given.class).RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if isDialError(err) {
		return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q can't be reached", given.target.id), unreachable: true}
	}
	c.dispatched = true
	return nil, &failure{err: code.Wrap(code.UpstreamFailed, err, "upstream %q failed", given.target.id)}
}

func (l *links) of(class contract.Class) *http.Transport {
	if class == contract.Batch {
		return l.batch
	}
	return l.online
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// maxErrorBytes is how much of an upstream's error is read.
const maxErrorBytes = 4 << 10

// checkHead refuses answers that are no stream.
func checkHead(response *http.Response) *failure {
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &failure{err: code.New(code.UpstreamRefused, "the upstream refused the request"), refused: true}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &failure{err: code.New(code.UpstreamRefused, "the upstream answered status %d: %s", status, text), final: true}
	}
	return &failure{err: code.New(code.UpstreamFailed, "the upstream answered status %d", status)}
}

// read gives the stream's chunks to the sink until the answer is whole.
func (c *completion) read(body io.Reader, b binding) *failure {
	events := newEventReader(body, c.document.Limits.MaxAnswerBytes)
	finish := ""
	var usage *contract.Usage
	for {
		data, err := events.next()
		if err != nil {
			return streamFailure(err)
		}
		if string(data) == "[DONE]" {
			return c.finish(finish, usage)
		}
		chunk, err := b.decodeChunk(data)
		if err != nil {
			return &failure{err: code.Wrap(code.UpstreamBadAnswer, err, "the upstream's answer is not valid")}
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		if chunk.FinishReason != "" {
			finish = chunk.FinishReason
		}
		if f := c.deliver(chunk.Text); f != nil {
			return f
		}
	}
}

func (c *completion) deliver(text string) *failure {
	if text == "" {
		return nil
	}
	c.have.text.WriteString(text)
	c.have.tokens++
	if err := c.sink(contract.Chunk{Text: text}); err != nil {
		return &failure{err: err, final: true}
	}
	return nil
}

// finish ends the answer, if it is whole.
func (c *completion) finish(reason string, usage *contract.Usage) *failure {
	if reason == "" {
		return &failure{err: code.New(code.UpstreamBadAnswer, "the stream ended without a finish reason")}
	}
	if err := c.sink(contract.Chunk{FinishReason: reason, Usage: usage}); err != nil {
		return &failure{err: err, final: true}
	}
	return nil
}

func streamFailure(err error) *failure {
	switch {
	case errors.Is(err, errAnswerTooLong), errors.Is(err, errLineTooLong):
		return &failure{err: code.Wrap(code.UpstreamAnswerSize, err, "the upstream's answer is too long")}
	case errors.Is(err, errNotEvents):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, err, "the upstream's answer is not valid")}
	case errors.Is(err, io.EOF):
		return &failure{err: code.New(code.StreamBroken, "the stream ended before the answer was whole")}
	case errors.Is(err, context.Canceled):
		return &failure{err: code.Wrap(code.StreamBroken, err, "the stream was cancelled")}
	}
	return &failure{err: code.Wrap(code.StreamBroken, err, "the stream broke: %s", fmt.Sprint(err))}
}
