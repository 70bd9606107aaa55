package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/code"
)

// failure describes why an attempt did not return a complete answer.
type failure struct {
	err    error
	target *target
	// final means that an attempt on another upstream cannot succeed either.
	final bool
	// unreachable means that no connection was made, so that nothing was sent.
	unreachable bool
	// refused means that the upstream did not run the request.
	refused bool
	// withheld means that nothing was sent because the upstream is leaving.
	withheld bool
	// unconfirmed means that the answer may be complete, and that another attempt, behind its
	// last event, tells.
	unconfirmed bool
	// preempted means that the scheduler ended the attempt, either for online work or
	// to migrate the stream to a faster upstream.
	preempted bool
}

// startedAttempt is the state of an attempt after its first token, or its failure
// before that.
type startedAttempt struct {
	slot    *slot
	stream  *stream
	failure *failure
}

// runAttempt makes one attempt, with a hedge where that is allowed, and appends to the
// partial answer. It returns nil when the answer is complete.
func (d *Dispatcher) runAttempt(ctx context.Context, granted *slot, c *completion) *failure {
	o := startedAttempt{slot: granted}
	if delay, ok := d.hedgeDelay(c); ok {
		o = d.runHedged(ctx, granted, c, delay)
	} else {
		o = d.startAttempt(granted, c)
	}
	f := o.failure
	if f == nil {
		d.sched.observeFirst(o.slot, time.Now())
		f = o.stream.deliver(c)
		o.stream.close()
	}
	d.finishAttempt(o.slot, f)
	return f
}

// finishAttempt releases the slot of an attempt and records its result in the health of
// the upstream. Attempts that were cancelled for another reason than a stall do not
// count against the upstream.
func (d *Dispatcher) finishAttempt(granted *slot, f *failure) {
	cause := context.Cause(granted.ctx)
	granted.cancel(nil)
	d.sched.release(granted, time.Now())
	result := "whole"
	if f != nil {
		f.target = granted.target
		f.preempted = errors.Is(cause, errPreempted) || errors.Is(cause, errMigrated)
		result = "failed"
	}
	cancelled := cause != nil && !errors.Is(cause, errStalled)
	if f != nil && !f.final && !f.withheld && !f.unconfirmed && !cancelled {
		d.sched.recordFailure(granted.target, f)
	}
	if f != nil && f.unconfirmed {
		result = "unconfirmed"
	}
	if f != nil && (cancelled || f.withheld) {
		result = "cancelled"
	}
	if f == nil {
		d.sched.recordSuccess(granted.target)
	}
	d.metrics.attempts.WithLabelValues(granted.class.String(), result).Inc()
}

// startAttempt sends the request and reads the answer up to its first token.
func (d *Dispatcher) startAttempt(granted *slot, c *completion) startedAttempt {
	o := startedAttempt{slot: granted}
	silence := d.newSilenceTimer(granted)
	silence.start()
	id := attemptPrefix + uuid.NewString()
	response, f := d.sendAttempt(granted, c, id)
	if f == nil {
		if f = checkStatus(response, c); f != nil {
			_ = response.Body.Close()
		}
		if f == nil || !f.refused {
			c.dispatched.Store(true)
		}
	}
	if f != nil {
		silence.stop()
		o.failure = f
		return o
	}
	o.stream = &stream{
		slot:    granted,
		body:    response.Body,
		events:  newEventReader(response.Body, maxStreamBytes(c.maxAnswerBytes)),
		decoder: chunkDecoder{attemptID: id},
		silence: silence,
	}
	o.failure = o.stream.advance()
	if o.failure != nil {
		o.stream.close()
	}
	return o
}

// maxStreamBytes returns the limit of an event stream for an answer of maxAnswer bytes.
// An event may carry a single byte of the answer, so that the framing may be much
// larger than the answer.
func maxStreamBytes(maxAnswer int64) int64 {
	const bytesPerEvent, minBytes = 512, 1 << 20
	return maxAnswer*bytesPerEvent + minBytes
}

// sendAttempt sends the request of an attempt and returns the response.
func (d *Dispatcher) sendAttempt(granted *slot, c *completion, id string) (*http.Response, *failure) {
	body, err := json.Marshal(c.partial.resumeRequest(c.call.Chat, c.pool.service.Model))
	if err != nil {
		return nil, &failure{err: code.Wrap(code.InvalidField, err, "the request can't be written"), final: true}
	}
	url := "http://" + granted.target.address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(granted.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q has a bad address", granted.target.id), unreachable: true}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("X-Request-Id", id)
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	request = request.WithContext(httptrace.WithClientTrace(granted.ctx, trace))
	response, err := d.transports.forSlot(granted).RoundTrip(request)
	if err == nil {
		return checkAttemptID(response, c, id, reused.Load())
	}
	if isDialError(err) {
		return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q can't be reached", granted.target.id), unreachable: true}
	}
	c.dispatched.Store(true)
	return nil, &failure{err: code.Wrap(code.UpstreamFailed, err, "upstream %q failed", granted.target.id)}
}

// checkAttemptID returns a failure if the response belongs to another attempt. On a
// connection that has carried another attempt, only a response with the attempt's id is
// known to belong to it, so that no other one proves that the attempt did not run.
func checkAttemptID(response *http.Response, c *completion, id string, reused bool) (*http.Response, *failure) {
	answered := response.Header.Get("X-Request-Id")
	if answered == id {
		return response, nil
	}
	if reused {
		c.dispatched.Store(true)
	}
	if !strings.HasPrefix(answered, attemptPrefix) {
		return response, nil
	}
	c.dispatched.Store(true)
	_ = response.Body.Close()
	return nil, &failure{err: code.Wrap(code.UpstreamBadAnswer, errOtherRequest, "the answer belongs to request %q", answered)}
}

// isDialError reports whether the error means that no connection was made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// maxErrorBytes limits how much of an error response is read.
const maxErrorBytes = 4 << 10

// checkStatus returns a failure if the status of the response is not 200 OK.
func checkStatus(response *http.Response, c *completion) *failure {
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &failure{err: code.New(code.UpstreamRefused, "the upstream refused the request"), refused: true}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		err := code.New(code.UpstreamRefused, "the upstream answered status %d: %s", status, text)
		if c.dispatched.Load() {
			err = err.WithOutcome(code.Unknown)
		}
		// A request to resume that one engine rejects may be accepted by another.
		return &failure{err: err, final: c.partial.text.Len() == 0}
	}
	return &failure{err: code.New(code.UpstreamFailed, "the upstream answered status %d", status)}
}
