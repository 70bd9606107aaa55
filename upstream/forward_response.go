package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// connectionFailure returns the failure of an attempt whose connection returned err.
func connectionFailure(granted *slot, err error) *failure {
	switch {
	case code.Of(err) == code.MemoryExhausted:
		// The upstream has not failed.
		return &failure{err: code.From(err).WithOutcome(code.Unknown), final: true}
	case errors.Is(context.Cause(granted.ctx), errStalled):
		return &failure{err: code.Wrap(code.UpstreamSilent, errors.Join(errStalled, err), "upstream %q was silent", granted.target.id)}
	case isHeadOverLimit(err):
		return &failure{err: code.Wrap(code.UpstreamHeadTooLarge, err, "upstream %q: %v", granted.target.id, err)}
	case errors.Is(err, errNotEvents), errors.Is(err, errStatusLine):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, err, "upstream %q: %v", granted.target.id, err)}
	}
	return &failure{err: code.Wrap(code.UpstreamFailed, err, "upstream %q broke off", granted.target.id)}
}

// checkResponse returns a failure if the response is not a valid one of the upstream to
// this request, or if its status is not passed on.
func (f *forwarding) checkResponse(response *http.Response, head Head) *failure {
	status := response.StatusCode
	switch {
	case head.RequestID != f.call.RequestID:
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, errOtherRequest, "the answer belongs to request %q", head.RequestID)}
	case head.NotRun && status != http.StatusBadRequest:
		return &failure{err: code.New(code.UpstreamRefused, "the upstream refused with status %d", status), refused: true}
	case status < http.StatusMultipleChoices && (!head.Signed || head.RequestID == ""):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, errUnsigned, "the answer has no signature")}
	case response.Header.Get("Content-Encoding") != "":
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, errEncoded, "the answer is encoded")}
	case f.call.Class == contract.Batch && status == http.StatusOK && !isEventStream(response.Header):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, errNotEvents, "the answer has the type %.80q", response.Header.Get("Content-Type"))}
	case f.begun && f.call.Class == contract.Batch && status >= http.StatusBadRequest && !provesNotRun(status):
		return &failure{err: &StatusError{Status: status}, final: true}
	case f.begun && (status != http.StatusOK || !isEventStream(response.Header)):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, &StatusError{Status: status}, "the upstream answered status %d to a resumption", status)}
	case provesNotRun(status) || status >= http.StatusInternalServerError && f.call.Repeatable && f.call.Class == contract.Online && f.failedRuns+1 < f.call.MaxAttempts:
		return &failure{err: code.Wrap(code.UpstreamFailed, &StatusError{Status: status}, "the upstream answered status %d", status)}
	}
	return nil
}

// Errors of responses that are not valid for the request.
var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("the answer has no signature")
	errEncoded      = errors.New("the answer is encoded")
	errNoLength     = errors.New("the answer has no length")
	errNoPosition   = errors.New("the first data of a resumed stream has no position")
)

// StatusError is the failure of an attempt whose upstream responded with a status that
// is not passed on.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "the upstream answered status " + strconv.Itoa(e.Status) }

// provesNotRun reports whether callers take a status as proof that the request did not
// run. A response with such a status is not passed on: unless the upstream reported
// that it did not run the request, it may have run it.
func provesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardedAnswer is a response while it is copied to the caller.
type forwardedAnswer struct {
	slot     *slot
	response *http.Response
	header   http.Header
	silence  *silenceTimer
	// holder accounts for what is held for the caller; nil does not.
	holder *budget.Holder
	*forwarding
}

// begin passes the status and the headers to the caller, unless an earlier attempt has.
func (a *forwardedAnswer) begin() error {
	if a.begun {
		return nil
	}
	a.begun = true
	return a.sink.Begin(a.response.StatusCode, a.header)
}

// callerGone returns the failure of an attempt whose caller accepts no more data.
func callerGone(err error) *failure {
	return &failure{err: code.Wrap(code.CallerGone, err, "the caller is gone"), final: true}
}

// copyEvents copies complete events to the caller as they arrive.
func (d *Dispatcher) copyEvents(a *forwardedAnswer) *failure {
	events := newRawEventReader(a.response.Body)
	if a.holder != nil {
		events.take = a.holder.TakeAnswer
	}
	// continues is set until the first new event of an attempt whose events are appended
	// to those of an earlier one.
	continues := a.lastEventID != "" && (a.begun || a.call.Class == contract.Batch)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			fail := d.endEvents(a)
			if fail == nil && !endsWithConnection(a.response) {
				d.recordAnswer(a.forwarding)
			}
			return fail
		}
		if err != nil {
			return connectionFailure(a.slot, err)
		}
		if e.id != "" && a.lastEventID != "" && !isAfter(e.id, a.lastEventID) {
			// A repeated event is not progress: the timeout keeps running.
			continue
		}
		if continues && e.hasContent {
			if !isComparable(e.id, a.lastEventID) {
				return &failure{err: code.Wrap(code.UpstreamBadAnswer, errNoPosition, "after event %q upstream %q sent an event with the id %.40q", a.lastEventID, a.slot.target.id, e.id)}
			}
			continues = false
		}
		if e.hasContent {
			d.recordEvent(a)
		}
		if err := a.passEvent(e.bytes); err != nil {
			return callerGone(err)
		}
		a.events++
		if e.hasContent {
			a.recordData(e.id == "")
		}
		if e.id != "" {
			a.lastEventID = e.id
		}
	}
}

// passEvent passes an event to the caller. It marks the slot meanwhile: a caller that
// reads slowly must not make its upstream seem silent.
func (a *forwardedAnswer) passEvent(event []byte) error {
	a.slot.passing.Store(true)
	defer func() {
		a.slot.passedNanos.Store(int64(time.Since(a.slot.startedAt)))
		a.slot.passing.Store(false)
	}()
	if err := a.begin(); err != nil {
		return err
	}
	return a.sink.Write(event)
}

// recordData records that the caller has received data, and whether it follows no event
// id. A silent upstream is waited for if nobody else can finish the answer.
func (a *forwardedAnswer) recordData(unnumbered bool) {
	a.hasData, a.unnumbered = true, unnumbered
	if a.call.Class == contract.Online && !a.mayRunAgain() {
		a.silence.stop()
	}
}

// endEvents ends a stream whose body has ended between events.
func (d *Dispatcher) endEvents(a *forwardedAnswer) *failure {
	if endsWithConnection(a.response) {
		if a.lastEventID == "" && !a.hasData {
			// A worker that crashed before its first event looks the same.
			return connectionFailure(a.slot, io.ErrUnexpectedEOF)
		}
		if fail := d.confirmEnd(a); fail != nil {
			return fail
		}
	}
	if err := a.begin(); err != nil {
		return callerGone(err)
	}
	return nil
}

// confirmEnd returns a failure if the end of a connection need not be that of the answer to a
// batch request: a worker that crashed between two events looks the same, since its kernel closes
// its connections. The answer is complete once an upstream was asked for the rest and has ended
// another one without a further event, and has not crashed then.
func (d *Dispatcher) confirmEnd(a *forwardedAnswer) *failure {
	if a.call.Class != contract.Batch || a.lastEventID == "" {
		return nil
	}
	if a.endedAfter != a.lastEventID {
		a.endedAfter = a.lastEventID
		return &failure{err: code.Wrap(code.UpstreamFailed, errNoLength, "after event %q upstream %q closed the connection", a.lastEventID, a.slot.target.id), unconfirmed: true}
	}
	c, err := d.dial(a.slot.ctx, a.slot.target.address)
	if err != nil {
		return connectionFailure(a.slot, io.ErrUnexpectedEOF)
	}
	c.close()
	return nil
}

// isEndRejected reports whether an upstream that was asked for the rest of an answer has rejected
// that, since there is none.
func (f *forwarding) isEndRejected(fail *failure) bool {
	var status *StatusError
	return fail.final && f.endedAfter != "" && f.endedAfter == f.lastEventID && errors.As(fail.err, &status) && status.Status < http.StatusInternalServerError
}

// endsWithConnection reports whether only the end of its connection ends a response.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// recordEvent records the arrival of an event with content: for the latencies of the
// upstream, and as progress.
func (d *Dispatcher) recordEvent(a *forwardedAnswer) {
	now := time.Now()
	if a.slot.firstTokenNanos.Load() == 0 {
		d.sched.observeFirst(a.slot, now)
		if a.forwarding.firstEvent == 0 {
			a.forwarding.firstEvent = now.Sub(a.startedAt)
		}
	}
	a.slot.recordToken(now)
	a.silences = 0
	a.silence.progress(now)
	a.lastEventAt = now
	if a.slot.tokens.Load() == answeredEvents {
		d.recordAnswer(a.forwarding)
	}
}

// bufferedBodyBytes is the size up to which a body is read completely before it is
// passed on, so that the request can be retried if the body is truncated.
const bufferedBodyBytes = 256 << 10

// heardBody reads a body and records that its upstream is not silent.
type heardBody struct {
	io.Reader
	silence *silenceTimer
}

// Read implements io.Reader.
func (b *heardBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.silence.heard(time.Now())
	}
	return n, err
}

// copyBody copies a response that is not an event stream to the caller.
func (d *Dispatcher) copyBody(a *forwardedAnswer) *failure {
	body, err := budget.ReadAll(a.holder.TakeAnswer, io.LimitReader(&heardBody{a.response.Body, a.silence}, bufferedBodyBytes), min(a.response.ContentLength, bufferedBodyBytes))
	if err != nil {
		return connectionFailure(a.slot, err)
	}
	if a.response.StatusCode < http.StatusMultipleChoices && !a.call.Stream {
		// A plain response to a request for a stream is not counted: it says nothing
		// about the time to a first event.
		d.sched.observeFirst(a.slot, time.Now())
	}
	if a.response.StatusCode < http.StatusMultipleChoices {
		d.recordAnswer(a.forwarding)
	}
	a.recordData(true)
	if err := a.begin(); err != nil {
		return callerGone(err)
	}
	buffer := body
	for {
		if len(buffer) > 0 {
			if err := a.sink.Write(buffer); err != nil {
				return callerGone(err)
			}
		}
		if len(body) < bufferedBodyBytes {
			return nil
		}
		n, err := a.response.Body.Read(body)
		buffer = body[:n]
		a.silence.progress(time.Now())
		if errors.Is(err, io.EOF) {
			if n > 0 {
				if err := a.sink.Write(buffer); err != nil {
					return callerGone(err)
				}
			}
			return nil
		}
		if err != nil {
			return connectionFailure(a.slot, err)
		}
	}
}
