package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

func broken(given *slot, err error) *failure {
	switch {
	case errors.Is(context.Cause(given.ctx), errStalled):
		return &failure{err: code.Wrap(code.UpstreamSilent, errors.Join(errStalled, err), "upstream %q was silent", given.target.id)}
	case isEndlessHead(err):
		return &failure{err: code.Wrap(code.UpstreamHeadSize, err, "upstream %q: %v", given.target.id, err)}
	}
	return &failure{err: code.Wrap(code.UpstreamFailed, err, "upstream %q broke off", given.target.id)}
}

// check refuses answers that are not the upstream's to this request.
func (f *forwarding) check(response *http.Response, head Head) *failure {
	status := response.StatusCode
	switch {
	case head.NotRun && status != http.StatusBadRequest:
		return &failure{err: code.New(code.UpstreamRefused, "the upstream refused with status %d", status), refused: true}
	case head.RequestID != "" && head.RequestID != f.call.RequestID:
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, errOtherRequest, "the answer belongs to request %q", head.RequestID)}
	case status < http.StatusMultipleChoices && (!head.Signed || head.RequestID == ""):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, errUnsigned, "the answer has no signature")}
	case response.Header.Get("Content-Encoding") != "":
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, errEncoded, "the answer is encoded")}
	case f.begun && f.call.Class == contract.Batch && status >= http.StatusBadRequest && !isPromise(status):
		return &failure{err: &StatusError{Status: status}, final: true}
	case f.begun && (status != http.StatusOK || !isEventStream(response.Header)):
		return &failure{err: code.Wrap(code.UpstreamBadAnswer, &StatusError{Status: status}, "the upstream answered status %d to a resumption", status)}
	case isPromise(status) || status >= http.StatusInternalServerError && f.call.Repeatable && f.call.Class == contract.Online && f.runs+1 < f.call.MaxAttempts:
		return &failure{err: code.Wrap(code.UpstreamFailed, &StatusError{Status: status}, "the upstream answered status %d", status)}
	}
	return nil
}

// Errors of answers that are not the upstream's to the request.
var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("the answer has no signature")
	errEncoded      = errors.New("the answer is encoded")
)

// StatusError is the failure of an attempt that the upstream answered with a
// status of its own that is not passed on.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "the upstream answered status " + strconv.Itoa(e.Status) }

// isPromise reports whether callers take a status as proof that nothing ran.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// answer is an answer while it is passed on.
type answer struct {
	slot     *slot
	response *http.Response
	header   http.Header
	timer    *time.Timer
	next     time.Duration
	*forwarding
}

func (a *answer) begin() error {
	if a.begun {
		return nil
	}
	a.begun = true
	return a.sink.Begin(a.response.StatusCode, a.header)
}

// gone is the failure of a caller that takes no more.
func gone(err error) *failure {
	return &failure{err: code.Wrap(code.CallerGone, err, "the caller is gone"), final: true}
}

// passEvents passes whole events on as they arrive.
func (d *Dispatcher) passEvents(a *answer) *failure {
	events := newRawEvents(a.response.Body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := a.begin(); err != nil {
				return gone(err)
			}
			return nil
		}
		if err != nil {
			return broken(a.slot, err)
		}
		if e.id != "" && a.last != "" && !follows(e.id, a.last) {
			// A worker that repeats what was passed on has said nothing.
			continue
		}
		now := time.Now()
		if a.slot.first.Load() == 0 {
			d.sched.observeFirst(a.slot, now)
			if a.forwarding.first == 0 {
				a.forwarding.first = now.Sub(a.arrived)
			}
		}
		if e.data {
			a.slot.token(now)
			a.timer.Reset(a.next)
			a.heard = now
		}
		if err := a.begin(); err != nil {
			return gone(err)
		}
		if err := a.sink.Write(e.bytes); err != nil {
			return gone(err)
		}
		a.events++
		if e.id != "" {
			a.last = e.id
		}
	}
}

// wholeBody is the size up to which a body is read before it is passed on, so
// that a broken one can be asked for again.
const wholeBody = 256 << 10

// passBody passes any other answer on.
func (d *Dispatcher) passBody(a *answer) *failure {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, wholeBody))
	if err != nil {
		return broken(a.slot, err)
	}
	if a.response.StatusCode < http.StatusMultipleChoices && !a.call.Stream {
		// An answer of another form than asked for says nothing of the time to a first
		// event.
		d.sched.observeFirst(a.slot, time.Now())
	}
	if err := a.begin(); err != nil {
		return gone(err)
	}
	buffer := body
	for {
		if len(buffer) > 0 {
			if err := a.sink.Write(buffer); err != nil {
				return gone(err)
			}
		}
		if len(body) < wholeBody {
			return nil
		}
		n, err := a.response.Body.Read(body)
		buffer = body[:n]
		a.timer.Reset(a.next)
		if errors.Is(err, io.EOF) {
			if n > 0 {
				if err := a.sink.Write(buffer); err != nil {
					return gone(err)
				}
			}
			return nil
		}
		if err != nil {
			return broken(a.slot, err)
		}
	}
}
