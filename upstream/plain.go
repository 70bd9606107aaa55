package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// Call runs a call of a plain service. A call that is not idempotent is
// dispatched at most once: a failure after that is code.OutcomeUnknown.
//
// Other errors: code.UnknownService, NoConfiguration, NoUpstream and
// Overloaded when nothing ran; code.UpstreamFailed, UpstreamAnswerSize,
// DeadlineExceeded and CallerGone.
func (d *Dispatcher) Call(ctx context.Context, call *contract.PlainCall) (*contract.PlainAnswer, error) {
	d.calls.Add(1)
	defer d.calls.Add(-1)
	f := d.current()
	p, err := f.pool(call.Service, contract.KindPlain)
	if err != nil {
		return nil, err
	}
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	c := &plainCall{call: call, pool: p, maxAnswer: f.document.Limits.MaxAnswerBytes}
	return d.plainAttempts(ctx, c)
}

// plainCall is the state of one Call.
type plainCall struct {
	call       *contract.PlainCall
	pool       *pool
	maxAnswer  int64
	dispatched bool
}

// repeatable reports whether another attempt may follow a failure.
func (c *plainCall) repeatable() bool { return c.call.Idempotent || !c.dispatched }

func (d *Dispatcher) plainAttempts(ctx context.Context, c *plainCall) (*contract.PlainAnswer, error) {
	var avoid *target
	var last *failure
	for range maxAttempts {
		given, err := d.sched.acquire(ctx, c.pool, c.call.Class, avoid)
		if err != nil {
			return nil, c.ended(err)
		}
		var answer *contract.PlainAnswer
		answer, last = d.plainAttempt(given, c)
		d.sched.release(given)
		if last == nil {
			return answer, nil
		}
		d.blame(given.target, last)
		if !c.repeatable() {
			return nil, code.Wrap(code.OutcomeUnknown, last.err, "the outcome of the call is not known")
		}
		if last.final || ctx.Err() != nil {
			break
		}
		avoid = given.target
	}
	if ctx.Err() != nil {
		return nil, c.ended(ctx.Err())
	}
	e := code.From(last.err)
	if !c.dispatched {
		e = e.WithOutcome(code.NotRun)
	}
	return nil, e
}

func (d *Dispatcher) plainAttempt(given *slot, c *plainCall) (*contract.PlainAnswer, *failure) {
	url := "http://" + given.target.address + c.call.Path
	request, err := http.NewRequestWithContext(given.ctx, c.call.Method, url, bytes.NewReader(c.call.Body))
	if err != nil {
		return nil, &failure{err: code.Wrap(code.InvalidField, err, "the path is not valid"), final: true}
	}
	for name, values := range c.call.Header {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", c.call.RequestID)
	if c.call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.call.IdempotencyKey)
	}
	transport := d.links.of(c.call.Class)
	if !c.call.Idempotent {
		transport = d.links.once
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if isDialError(err) {
			return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q can't be reached", given.target.id), unreachable: true}
		}
		c.dispatched = true
		return nil, &failure{err: code.Wrap(code.UpstreamFailed, err, "upstream %q failed", given.target.id)}
	}
	c.dispatched = true
	defer func() { _ = response.Body.Close() }()
	return readPlain(response, c.maxAnswer)
}

func readPlain(response *http.Response, maxBytes int64) (*contract.PlainAnswer, *failure) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, &failure{err: code.Wrap(code.UpstreamFailed, err, "the upstream's answer broke off")}
	}
	if int64(len(body)) > maxBytes {
		return nil, &failure{err: code.New(code.UpstreamAnswerSize, "the upstream's answer is over %d bytes", maxBytes), final: true}
	}
	return &contract.PlainAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// ended returns the error of a call whose context has ended.
func (c *plainCall) ended(cause error) error {
	switch {
	case errors.Is(cause, context.DeadlineExceeded) && !c.dispatched:
		return code.New(code.Overloaded, "no upstream had room before the deadline").WithRetryAfter(time.Second)
	case errors.Is(cause, context.DeadlineExceeded):
		return code.New(code.DeadlineExceeded, "there was no answer at the deadline")
	}
	e := code.Wrap(code.CallerGone, cause, "the call was cancelled")
	if !c.dispatched {
		e = e.WithOutcome(code.NotRun)
	}
	return e
}
