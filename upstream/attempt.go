package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/code"
)

// failure says how an attempt ended without a whole answer.
type failure struct {
	err    error
	target *target
	// final means that no other upstream can do better.
	final bool
	// unreachable means that nothing was sent.
	unreachable bool
	// refused means that the upstream did not run the request.
	refused bool
	// preempted means that the scheduler ended the attempt, for online work or
	// for a faster upstream.
	preempted bool
}

// opened is the result of an attempt up to its first token.
type opened struct {
	slot    *slot
	stream  *stream
	failure *failure
}

// run makes one attempt, hedged where that is allowed, and extends the partial
// answer. It returns nil when the answer is whole.
func (d *Dispatcher) run(ctx context.Context, given *slot, c *completion) *failure {
	o := opened{slot: given}
	if delay, ok := d.hedgeable(c); ok {
		o = d.race(ctx, given, c, delay)
	} else {
		o = d.begin(given, c)
	}
	f := o.failure
	if f == nil {
		d.sched.observeFirst(o.slot, time.Now())
		f = o.stream.deliver(c)
		o.stream.close()
	}
	d.conclude(o.slot, f)
	return f
}

// conclude gives the slot of an attempt back and notes its failure, if any.
func (d *Dispatcher) conclude(given *slot, f *failure) {
	cause := context.Cause(given.ctx)
	given.cancel(nil)
	d.sched.release(given, time.Now())
	result := "whole"
	if f != nil {
		f.target = given.target
		f.preempted = errors.Is(cause, errPreempted) || errors.Is(cause, errMoved)
		result = "failed"
	}
	blameless := cause != nil && !errors.Is(cause, errStalled)
	if f != nil && !f.final && !blameless {
		d.sched.fail(given.target, f)
	}
	if f != nil && blameless {
		result = "cancelled"
	}
	if f == nil {
		d.sched.succeed(given.target)
	}
	d.metrics.attempts.WithLabelValues(given.class.String(), result).Inc()
}

// begin sends the request and reads up to the first token.
func (d *Dispatcher) begin(given *slot, c *completion) opened {
	o := opened{slot: given}
	first, next := d.sched.patience(given)
	timer := time.AfterFunc(first, func() { given.cancel(errStalled) })
	id := attemptPrefix + uuid.NewString()
	response, f := d.open(given, c, id)
	if f == nil {
		if f = checkHead(response, c); f != nil {
			_ = response.Body.Close()
		}
		if f == nil || !f.refused {
			c.dispatched.Store(true)
		}
	}
	if f != nil {
		timer.Stop()
		o.failure = f
		return o
	}
	o.stream = &stream{
		slot:     given,
		body:     response.Body,
		events:   newEventReader(response.Body, wireBudget(c.maxAnswer)),
		binding:  binding{attempt: id},
		timer:    timer,
		patience: next,
	}
	o.failure = o.stream.advance()
	if o.failure != nil {
		o.stream.close()
	}
	return o
}

// wireBudget bounds the bytes of an event stream for an answer of the given
// size: an event may carry a single byte of the answer.
func wireBudget(maxAnswer int64) int64 {
	const bytesPerEvent, least = 512, 1 << 20
	return maxAnswer*bytesPerEvent + least
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
	response, err := d.links.of(given).RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if isDialError(err) {
		return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q can't be reached", given.target.id), unreachable: true}
	}
	c.dispatched.Store(true)
	return nil, &failure{err: code.Wrap(code.UpstreamFailed, err, "upstream %q failed", given.target.id)}
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// maxErrorBytes is how much of an upstream's error is read.
const maxErrorBytes = 4 << 10

// checkHead refuses answers that are no stream.
func checkHead(response *http.Response, c *completion) *failure {
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &failure{err: code.New(code.UpstreamRefused, "the upstream refused the request"), refused: true}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		err := code.New(code.UpstreamRefused, "the upstream answered status %d: %s", status, text)
		// A resumption that one engine refuses may be accepted by another.
		return &failure{err: err, final: c.have.text.Len() == 0}
	}
	return &failure{err: code.New(code.UpstreamFailed, "the upstream answered status %d", status)}
}
