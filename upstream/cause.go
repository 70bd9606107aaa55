package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/daisylb/daisylb/code"
)

// failureCause is the reason why an attempt did not return a complete answer, as one
// word for the logs.
type failureCause string

// Causes at the upstream.
const (
	causeClosed       failureCause = "closed"          // it closed the connection before the end of the answer
	causeReset        failureCause = "reset"           // it reset the connection
	causeSilent       failureCause = "silent"          // it made no progress within the timeout
	causeUnreachable  failureCause = "unreachable"     // no connection could be made
	causeLeaving      failureCause = "leaving"         // it announced its shutdown before the request was sent
	causeRefused      failureCause = "refused"         // it reported that it did not run the request
	causeStatus       failureCause = "status"          // it responded with a status that is not passed on
	causeOtherRequest failureCause = "other_request"   // the response belongs to another request
	causeUnsigned     failureCause = "unsigned"        // the response has no signature
	causeEncoding     failureCause = "encoded"         // the response has a Content-Encoding
	causeHeadBytes    failureCause = "head_bytes"      // the response head is over maxHeadBytes
	causeHeadLines    failureCause = "head_lines"      // the response head is over maxHeadLines
	causeInterim      failureCause = "interim_answers" // there are more than maxInterimAnswers interim responses
	causeEventSize    failureCause = "event_bytes"     // an event is over maxEventBytes
	causeAnswerSize   failureCause = "answer_bytes"    // the answer is over its size limit
	causeNotEvents    failureCause = "not_events"      // an event stream continues with text that is not an event
	causeNoPosition   failureCause = "no_position"     // a resumed stream begins with data whose place is not known
	causeNoLength     failureCause = "no_length"       // the answer has no length and may not be complete
	causeMalformed    failureCause = "malformed"       // the response is not valid
	// Causes at the caller or at this instance.
	causeCallerGone failureCause = "caller_gone"
	causeMemory     failureCause = "memory"
	causeDeadline   failureCause = "deadline"
	causePreempted  failureCause = "preempted"
	causeNoSlot     failureCause = "no_slot"
	// causeQuarantined is not a failure of an upstream: the prompt has crashed some.
	causeQuarantined failureCause = "quarantined"
)

// causesOfErrors maps errors to causes. The first entry found in an error's chain
// applies.
var causesOfErrors = []struct {
	err   error
	cause failureCause
}{
	{errStalled, causeSilent},
	{errHeadBytes, causeHeadBytes},
	{errHeadLines, causeHeadLines},
	{errInterimAnswers, causeInterim},
	{errEventTooLong, causeEventSize},
	{errNotEvents, causeNotEvents},
	{errNoPosition, causeNoPosition},
	{errNoLength, causeNoLength},
	{errOtherRequest, causeOtherRequest},
	{errUnsigned, causeUnsigned},
	{errEncoded, causeEncoding},
	{syscall.ECONNRESET, causeReset},
	{syscall.EPIPE, causeReset},
	{io.EOF, causeClosed},
	{io.ErrUnexpectedEOF, causeClosed},
}

// causeOf returns the cause of a failed attempt.
func causeOf(fail *failure) failureCause {
	switch {
	case fail.preempted:
		return causePreempted
	case fail.withheld:
		return causeLeaving
	case fail.unreachable:
		return causeUnreachable
	case fail.refused:
		return causeRefused
	}
	return causeOfError(fail.err)
}

func causeOfError(err error) failureCause {
	switch code.Of(err) {
	case code.CallerGone:
		return causeCallerGone
	case code.MemoryExhausted:
		return causeMemory
	}
	for _, c := range causesOfErrors {
		if errors.Is(err, c.err) {
			return c.cause
		}
	}
	var status *StatusError
	if errors.As(err, &status) {
		return causeStatus
	}
	return causeMalformed
}

// endCause returns the cause of a call that failed with err: the caller, its deadline,
// the lack of a slot, or the cause of the last failed attempt.
func (f *forwarding) endCause(err error) failureCause {
	switch {
	case errors.Is(err, context.Canceled) || code.Of(err) == code.CallerGone:
		return causeCallerGone
	case !time.Now().Before(f.call.Deadline):
		return causeDeadline
	case errors.Is(err, context.DeadlineExceeded) || f.cause == "":
		return causeNoSlot
	}
	return f.cause
}

// targetStatus returns the status of the upstream of an attempt that has ended, as one
// word for the logs.
func (s *scheduler) targetStatus(g *slot) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, now := g.target, time.Now()
	switch {
	case !s.fleet.hasInPool(g.pool.name, t):
		return "gone"
	case t.leaving():
		return "leaving"
	case t.unreachable:
		return "unreachable"
	case now.Before(t.suspendedUntil):
		return "suspended"
	case g.pool.isEjected(t):
		return "ejected"
	}
	return "open"
}
