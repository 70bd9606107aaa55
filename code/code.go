// Package code defines the numbered errors that daisylb returns to callers,
// operators and peers. Other packages return errors of this package wherever an
// error leaves the process. It depends on no other package of the project.
package code

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Number identifies a result. Numbers are stable: a number is never given a new
// meaning. The thousands digit is the area: 1 the caller's request, 2 rejection
// before the request ran, 3 upstreams, 4 the platform's store, 5 configuration,
// 6 batch, 7 peers.
type Number int

// Outcome tells whether a failed request may have run.
type Outcome string

const (
	// NotRun means that the request was sent to no upstream.
	NotRun Outcome = "not_run"
	// Unknown means that an upstream may have run the request, completely or in part.
	Unknown Outcome = "unknown"
)

// Error is a numbered error. It is immutable and safe for concurrent use.
type Error struct {
	// Number identifies the error.
	Number Number
	// Outcome tells whether the request may have run.
	Outcome Outcome
	// Message is for humans; programs must use Number.
	Message string
	// RetryAfter is the time after which a retry may succeed; 0 when it is not known.
	RetryAfter time.Duration

	cause error
}

// New returns an Error with the outcome that the table has for n. The message is
// formatted as by fmt.Sprintf.
func New(n Number, format string, args ...any) *Error {
	return &Error{Number: n, Outcome: Describe(n).Outcome, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that wraps cause, with a stack trace, for logs. The cause is
// not sent to callers.
func Wrap(n Number, cause error, format string, args ...any) *Error {
	e := New(n, format, args...)
	e.cause = eris.Wrap(cause, e.Message)
	return e
}

// WithOutcome returns a copy of e with outcome o.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e with the retry hint d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the number, the name and the message, without the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Number, Describe(e.Number).Name, e.Message)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether target is an *Error with the same number.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Number == e.Number
}

// Of returns the number of err, or Internal when err carries none. It returns
// 0 for nil.
func Of(err error) Number {
	if err == nil {
		return 0
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Number
	}
	return Internal
}

// From returns err as an *Error. It wraps an error without a number as Internal with
// outcome Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}
