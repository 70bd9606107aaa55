// Package code defines the numbered results that daisylb gives to callers,
// operators and peers. Every other package returns errors of this package for
// results that cross a process boundary; it depends on no other package of the
// project.
package code

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Number identifies a result. Numbers are stable: a number is never given a
// new meaning. The thousands digit names the part: 1 caller's request,
// 2 refused before it ran, 3 upstream, 4 platform, 5 configuration, 6 batch,
// 7 peers.
type Number int

// Outcome says whether the work of a failed request was done.
type Outcome string

const (
	// NotRun means no upstream was given the request.
	NotRun Outcome = "not_run"
	// Unknown means an upstream may have run the request, in whole or in part.
	Unknown Outcome = "unknown"
)

// Error is a numbered failure. It is immutable after construction and safe for
// concurrent use.
type Error struct {
	// Number identifies the failure.
	Number Number
	// Outcome says whether the work may have been done.
	Outcome Outcome
	// Message is for people; programs use Number.
	Message string
	// RetryAfter is the earliest useful time to retry; zero when none is known.
	RetryAfter time.Duration

	cause error
}

// New returns an Error with the outcome that the code table gives for n.
func New(n Number, format string, args ...any) *Error {
	return &Error{Number: n, Outcome: Describe(n).Outcome, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error for n that keeps cause, with a stack trace, for logs.
// The cause is not shown to callers.
func Wrap(n Number, cause error, format string, args ...any) *Error {
	e := New(n, format, args...)
	e.cause = eris.Wrap(cause, e.Message)
	return e
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e that carries a retry hint.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error formats the number and the message, without the cause.
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

// From returns err as an *Error; an error without a number becomes Internal
// with outcome Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}
