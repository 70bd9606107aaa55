package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/daisylb/daisylb/code"
)

// breakCause says in one word how an attempt ended without a whole answer. Logs
// carry it.
type breakCause string

// The causes. Those of the upstream come first.
const (
	causeClosed      breakCause = "closed"          // it closed the connection before the end
	causeReset       breakCause = "reset"           // it reset the connection
	causeSilent      breakCause = "silent"          // it sent nothing new for too long
	causeUnreachable breakCause = "unreachable"     // no connection could be made
	causeRefused     breakCause = "refused"         // it said that it did not run the request
	causeStatus      breakCause = "status"          // a status that is not passed on
	causeOther       breakCause = "other_request"   // the answer of another request
	causeUnsigned    breakCause = "unsigned"        // an answer without signature
	causeEncoded     breakCause = "encoded"         // an answer with an encoding
	causeHeadBytes   breakCause = "head_bytes"      // a head over its bytes
	causeHeadLines   breakCause = "head_lines"      // a head over its lines
	causeInterim     breakCause = "interim_answers" // too many interim answers
	causeEventSize   breakCause = "event_bytes"     // an event over its bytes
	causeSize        breakCause = "answer_bytes"    // an answer over its bytes
	causeMalformed   breakCause = "malformed"       // bytes that are no answer
	// Causes on this side.
	causeCaller    breakCause = "caller_gone"
	causeDeadline  breakCause = "deadline"
	causePreempted breakCause = "preempted"
	causeNoSlot    breakCause = "no_slot"
)

// causesOfErrors has the causes that an error in the chain names. The first that
// fits counts.
var causesOfErrors = []struct {
	err   error
	cause breakCause
}{
	{errStalled, causeSilent},
	{errHeadBytes, causeHeadBytes},
	{errHeadLines, causeHeadLines},
	{errInterimAnswers, causeInterim},
	{errEventTooLong, causeEventSize},
	{errOtherRequest, causeOther},
	{errUnsigned, causeUnsigned},
	{errEncoded, causeEncoded},
	{syscall.ECONNRESET, causeReset},
	{syscall.EPIPE, causeReset},
	{io.EOF, causeClosed},
	{io.ErrUnexpectedEOF, causeClosed},
}

// causeOf returns how an attempt failed.
func causeOf(fail *failure) breakCause {
	switch {
	case fail.preempted:
		return causePreempted
	case fail.unreachable:
		return causeUnreachable
	case fail.refused:
		return causeRefused
	}
	return causeOfError(fail.err)
}

func causeOfError(err error) breakCause {
	if code.Of(err) == code.CallerGone {
		return causeCaller
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

// endCause returns the cause of a call that failed with err: that of the caller's
// time or of the caller itself, or that of the last attempt.
func (f *forwarding) endCause(err error) breakCause {
	switch {
	case errors.Is(err, context.Canceled) || code.Of(err) == code.CallerGone:
		return causeCaller
	case !time.Now().Before(f.call.Deadline):
		return causeDeadline
	case errors.Is(err, context.DeadlineExceeded) || f.cause == "":
		return causeNoSlot
	}
	return f.cause
}

// belief says what was thought of the upstream of an attempt that has ended.
func (s *scheduler) belief(g *slot) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, now := g.target, time.Now()
	switch {
	case s.fleet.targets[t.id] != t:
		return "gone"
	case t.leaving():
		return "leaving"
	case t.unreachable:
		return "unreachable"
	case now.Before(t.suspended):
		return "suspended"
	case g.pool.isEjected(t):
		return "ejected"
	}
	return "open"
}
