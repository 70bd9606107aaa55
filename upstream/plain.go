package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// Call runs a call of a plain service and returns the upstream's response unchanged,
// whatever its status. A call that is not idempotent is dispatched at most once: a
// failure after that is code.OutcomeUnknown.
//
// Other errors: code.UnknownService, NoConfiguration, InvalidField, NoUpstream,
// Overloaded, AccountLimit and DeadlineTooShort when nothing ran; code.UpstreamFailed,
// UpstreamAnswerTooLarge, DeadlineExceeded and CallerGone.
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
	c := &plainCall{call: call, maxAnswerBytes: f.maxAnswerBytes(), request: request{
		pool:         p,
		class:        call.Class,
		dispatchOnce: !call.Idempotent,
		account:      call.Account,
		weight:       f.document.Accounts[call.Account].Weight,
		deadline:     call.Deadline,
	}}
	p.retryBudget.Earn()
	return d.plainAttempts(ctx, c)
}

// plainCall is the state of one Call.
type plainCall struct {
	call           *contract.PlainCall
	request        request
	maxAnswerBytes int64
	dispatched     bool
}

// plainAttempts makes attempts, one after another, until the call is done.
func (d *Dispatcher) plainAttempts(ctx context.Context, c *plainCall) (*contract.PlainAnswer, error) {
	var counts attemptCounts
	for {
		granted, err := d.sched.acquire(ctx, c.request)
		if err != nil {
			return nil, callEndError(err, c.dispatched)
		}
		answer, f := d.plainAttempt(granted, c)
		d.finishAttempt(granted, f)
		if f == nil {
			return answer, nil
		}
		if f.preempted && ctx.Err() == nil {
			continue
		}
		counts.add(f)
		outcome := route.FailedAttempt{
			Idempotent:  c.call.Idempotent,
			Dispatched:  c.dispatched,
			Final:       f.final,
			Ended:       ctx.Err() != nil,
			Attempts:    counts.reached,
			Unreachable: counts.unreachable,
		}
		if !d.allowRetry(c.request.pool, f, outcome) {
			return nil, c.failureError(ctx, f)
		}
		c.request.avoid = f.target.key
	}
}

// failureError returns the error of a call that may make no further attempt.
func (c *plainCall) failureError(ctx context.Context, f *failure) error {
	switch {
	case c.dispatched && !c.call.Idempotent:
		return code.Wrap(code.OutcomeUnknown, f.err, "the call was dispatched and its outcome is not known")
	case ctx.Err() != nil:
		return callEndError(context.Cause(ctx), c.dispatched)
	case !c.dispatched:
		return code.From(f.err).WithOutcome(code.NotRun).WithRetryAfter(defaultRetryHint)
	}
	return code.From(f.err).WithOutcome(code.Unknown)
}

func (d *Dispatcher) plainAttempt(granted *slot, c *plainCall) (*contract.PlainAnswer, *failure) {
	request, f := c.newRequest(granted)
	if f != nil {
		return nil, f
	}
	response, err := d.transports.single.RoundTrip(request)
	if err != nil && isDialError(err) {
		return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q can't be reached", granted.target.id), unreachable: true}
	}
	c.dispatched = true
	if err != nil {
		return nil, &failure{err: code.Wrap(code.UpstreamFailed, err, "upstream %q failed", granted.target.id)}
	}
	defer func() { _ = response.Body.Close() }()
	if !isValidStatusLine(response) {
		return nil, &failure{err: code.Wrap(code.UpstreamBadAnswer, errStatusLine, "upstream %q: %v", granted.target.id, errStatusLine)}
	}
	d.sched.observeFirst(granted, time.Now())
	return readPlain(response, c.maxAnswerBytes)
}

func (c *plainCall) newRequest(granted *slot) (*http.Request, *failure) {
	url := "http://" + granted.target.address + c.call.Path
	request, err := http.NewRequestWithContext(granted.ctx, c.call.Method, url, bytes.NewReader(c.call.Body))
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
	return request, nil
}

// readPlain reads the body of a response, which must not exceed maxBytes.
func readPlain(response *http.Response, maxBytes int64) (*contract.PlainAnswer, *failure) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, &failure{err: code.Wrap(code.UpstreamFailed, err, "the upstream's answer broke off")}
	}
	if int64(len(body)) > maxBytes {
		return nil, &failure{err: code.New(code.UpstreamAnswerTooLarge, "the upstream's answer is over %d bytes", maxBytes), final: true}
	}
	return &contract.PlainAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
