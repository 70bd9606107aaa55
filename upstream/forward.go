package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// forwarding is the state of one Forward call. Apart from next it is used by one goroutine.
type forwarding struct {
	call *contract.ForwardRequest
	pool *pool
	// promptParts are the keys of the parts of the prompt in the quarantine.
	promptParts []uint64
	sink        contract.ForwardSink
	request     request
	// failedRuns counts the upstreams that may have run the request and failed,
	// refusals those that reported that they did not run it, unreachable those that
	// accepted no connection.
	failedRuns  int
	refusals    int
	unreachable int
	// pauses counts the pauses since the last run, silences the attempts since the last event
	// that were ended because their upstreams were silent.
	pauses   int
	silences int
	// dispatched is set when an upstream may have received the request.
	dispatched bool
	// isTrial is set while the call is a trial of a quarantined part of the prompt.
	isTrial bool
	// answerRecorded is set when the upstream of the current attempt has answered so much
	// that it did not crash at the beginning.
	answerRecorded bool
	// answered is set when any upstream has answered that much. The prompt crashes none
	// then.
	answered bool
	// begun is set when the caller has received the headers.
	begun bool
	// hasData is set when the caller has received more than comments, unnumbered while
	// it has data that follows no event id and that another run would repeat.
	hasData     bool
	unnumbered  bool
	lastEventID string
	events      int
	// endedAfter is the last event behind which an upstream has ended an answer without a
	// length to a batch request. The answer is complete if a further one ends there, too.
	endedAfter string
	// slotTime is the time for which earlier attempts held slots.
	slotTime time.Duration
	// upstreamID is the upstream of the current attempt, load what was known of it when
	// it was chosen.
	upstreamID string
	load       knownLoad
	// startedAt is when the call began. queueTime and firstEvent are the times from
	// then until the last slot was granted and until the first event arrived.
	startedAt   time.Time
	queueTime   time.Duration
	firstEvent  time.Duration
	preemptions int
	// lastEventAt is when the caller received its last event, or when the call began.
	lastEventAt time.Time
	// next is the slot of the next attempt, if it was taken before the upstream of the
	// current one was left.
	next atomic.Pointer[slot]
	// cause is the cause of the last failed attempt, targetStatus the status of its
	// upstream at that time.
	cause        failureCause
	targetStatus string
}

// Limits of the attempts that do not run at an upstream. maxRefusals applies to online
// requests only. Neither ends an online answer that has begun.
const (
	maxRefusals    = 4
	maxUnreachable = 6
)

// Forward runs an opaque request on an upstream of a routed service and copies the
// response to sink, in complete events. A request that is not repeatable is sent to one
// upstream; only if that upstream reports that it did not run the request, or accepts
// no connection, is another one tried. A resumable stream that breaks is resumed on
// another upstream. Forward returns nil only if the answer is complete.
//
// Errors: code.NoConfiguration, NoUpstream, Overloaded, DeadlineTooShort and
// UpstreamRefused when nothing ran; code.UpstreamFailed,
// UpstreamBadAnswer, UpstreamHeadTooLarge, UpstreamSilent, StreamBroken, OutcomeUnknown,
// DeadlineExceeded and CallerGone, also when sink returns an error; a *StatusError when
// a worker rejects the resumption of a batch request.
func (d *Dispatcher) Forward(ctx context.Context, call *contract.ForwardRequest, sink contract.ForwardSink) error {
	d.calls.Add(1)
	defer d.calls.Add(-1)
	p, err := d.current().pool(call.Service, contract.KindRouted)
	if code.Of(err) == code.UnknownService {
		// The caller's route names the service. That no worker of it is registered does
		// not make the request invalid.
		return code.Wrap(code.NoUpstream, err, "service %q has no upstream", call.Service).WithRetryAfter(defaultRetryHint)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	now := time.Now()
	f := &forwarding{call: call, pool: p, promptParts: partKeys(call.Service, call.PromptParts), sink: sink, answered: call.ReceivedEvents >= answeredEvents, lastEventID: call.LastEventID, startedAt: now, lastEventAt: now, request: request{
		pool:           p,
		class:          call.Class,
		account:        call.Account,
		weight:         weightOf(call.Share),
		priority:       call.Priority,
		share:          call.Share,
		accountHash:    accountHash(call),
		dispatchOnce:   !call.Repeatable,
		affinity:       call.Affinity,
		expectedTokens: call.ExpectedTokens,
		deadline:       call.Deadline,
	}}
	err = d.forwardAttempts(ctx, f)
	d.discardNext(f)
	d.logForward(f, err)
	return err
}

// forwardAttempts makes attempts, one after another, until the call is done.
func (d *Dispatcher) forwardAttempts(ctx context.Context, f *forwarding) error {
	for {
		d.refreshPool(f)
		f.request.batchWork = d.sched.batchWork(f)
		f.setDeadline()
		granted, err := d.acquireAdmitted(ctx, f)
		if err != nil {
			return err
		}
		f.upstreamID, f.load, f.queueTime = granted.target.id, granted.load, granted.startedAt.Sub(f.startedAt)
		d.logSent(granted, f)
		fail := d.forwardOnce(ctx, granted, f)
		d.recordAttempt(granted, f, fail)
		d.finishAttempt(granted, fail)
		f.slotTime += time.Since(granted.startedAt)
		if fail == nil {
			d.sched.observeBatchWork(f)
			return nil
		}
		f.cause, f.targetStatus = causeOf(fail), d.sched.targetStatus(granted)
		if f.cause == causeSilent {
			f.silences++
		}
		var ctxErr error
		if ctx.Err() != nil {
			ctxErr = context.Cause(ctx)
		}
		if ctxErr != nil {
			return f.endError(ctxErr)
		}
		if f.isEndRejected(fail) {
			return nil
		}
		if fail.final {
			return fail.err
		}
		if fail.preempted && f.mayRunAgain() {
			f.preemptions++
			continue
		}
		if fail.unconfirmed {
			d.log.Info("asking for the rest of an answer without a length", zap.String("request", f.call.RequestID),
				zap.String("upstream", granted.target.id), zap.String("after_event", f.lastEventID), zap.Int("events", f.events))
			continue
		}
		if fail.withheld {
			d.log.Info("not sent", zap.String("request", f.call.RequestID), zap.String("upstream", granted.target.id), zap.Error(fail.err))
			continue
		}
		if !f.mayRetry(fail) {
			return f.failureError(fail)
		}
		d.metrics.retries.Inc()
		f.request.avoid = granted.target.key
		d.log.Info("forwarding again", zap.String("request", f.call.RequestID), zap.String("failed", granted.target.id),
			zap.String("cause", string(f.cause)), zap.String("believed", f.targetStatus),
			zap.String("after_event", f.lastEventID), zap.Error(fail.err))
		if err := f.backOff(ctx, fail); err != nil {
			return f.endError(err)
		}
	}
}

// refreshPool lets the next attempt use the present pool of the service: the one of an
// earlier attempt is not served any more if the service was gone in between.
func (d *Dispatcher) refreshPool(f *forwarding) {
	if p, err := d.current().pool(f.call.Service, contract.KindRouted); err == nil {
		f.pool, f.request.pool = p, p
	}
}

// defaultTimePerToken is the slot time for each output token until one has been
// observed.
const defaultTimePerToken = 4 * time.Millisecond

// batchWork returns when a batch request is due and how much slot time it still needs,
// by which batch requests are ordered. It is empty for online requests.
func (s *scheduler) batchWork(f *forwarding) route.BatchWork {
	if f.call.Class != contract.Batch {
		return route.BatchWork{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	timePerToken := f.pool.timePerToken.Value
	if timePerToken == 0 {
		timePerToken = defaultTimePerToken
	}
	remaining := time.Duration(f.call.ExpectedTokens)*timePerToken - f.slotTime
	return route.BatchWork{Due: f.call.Due, Remaining: max(remaining, 0)}
}

// observeBatchWork records the slot time per token of a completed batch request.
func (s *scheduler) observeBatchWork(f *forwarding) {
	if f.call.Class != contract.Batch || f.call.ExpectedTokens <= 0 || f.call.LastEventID != "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := f.pool.poolState
	ps.timePerToken = ps.timePerToken.Observe(time.Now(), f.slotTime/time.Duration(f.call.ExpectedTokens))
}

// setDeadline sets the time until which the call waits for a slot: its deadline, or
// earlier if the caller tolerates only a limited silence, counted from the last event
// that it received. An answer that has begun is not ended for a silence, since its caller
// may bear it for a little longer.
func (f *forwarding) setDeadline() {
	f.request.deadline = f.call.Deadline
	if f.call.Class != contract.Online {
		return
	}
	callerLeaves := f.call.Deadline
	if silenceDeadline := f.lastEventAt.Add(f.call.MaxGap); f.call.MaxGap > 0 && silenceDeadline.Before(callerLeaves) {
		callerLeaves = silenceDeadline
	}
	if f.request.begun = f.begun; !f.begun {
		f.request.deadline = callerLeaves
	}
	if f.call.Objective > 0 {
		f.request.onlineWork = route.OnlineWork{Objective: f.startedAt.Add(f.call.Objective), Deadline: callerLeaves}
	}
}

// acquireAdmitted waits for a slot, unless the prompt of the request is quarantined or
// becomes so while it waits.
func (d *Dispatcher) acquireAdmitted(ctx context.Context, f *forwarding) (*slot, error) {
	if err := d.admit(ctx, f); err != nil {
		return nil, err
	}
	granted, err := d.acquireInTime(ctx, f)
	for f.outlasts(err) {
		if err = f.pause(ctx); err != nil {
			break
		}
		d.refreshPool(f)
		granted, err = d.acquireInTime(ctx, f)
	}
	if errors.Is(err, errQuarantined) {
		f.cause = causeQuarantined
		return nil, f.quarantineError(defaultRetryHint)
	}
	if err != nil {
		d.returnTrial(f)
		return nil, f.endError(d.sched.withRetryHint(f, err))
	}
	if err := d.admit(ctx, f); err != nil {
		d.sched.discard(granted)
		return nil, err
	}
	if next := f.next.Swap(nil); next != nil {
		// The request has become a trial, which has a place of its own.
		d.sched.discard(granted)
		granted = next
	}
	return granted, nil
}

// acquireInTime returns the slot that was taken for the attempt, or waits for one until
// the request's deadline.
func (d *Dispatcher) acquireInTime(ctx context.Context, f *forwarding) (*slot, error) {
	if next := f.next.Swap(nil); next != nil {
		return next, nil
	}
	granted := d.sched.tryAcquireInTurn(ctx, f.request)
	if granted != nil {
		return granted, nil
	}
	waitCtx, cancel := context.WithDeadline(ctx, f.request.deadline)
	defer cancel()
	waitCtx, stopWaiting := context.WithCancelCause(waitCtx)
	defer stopWaiting(nil)
	defer d.watchQuarantine(f, stopWaiting)()
	return d.sched.acquireFor(waitCtx, ctx, f.request)
}

// mayRetry counts a failed attempt and reports whether another one may follow.
func (f *forwarding) mayRetry(fail *failure) bool {
	switch {
	case fail.unreachable:
		f.unreachable++
	case fail.refused:
		f.refusals++
	default:
		f.failedRuns++
	}
	if f.isOverLimit() && !f.mustGoOn() {
		return false
	}
	if fail.unreachable || fail.refused {
		return f.mayRunAgain()
	}
	if f.failedRuns >= f.call.MaxAttempts || !f.call.Repeatable {
		return false
	}
	return f.mayRunAgain()
}

// mayRunAgain reports whether the data of another run can follow what the caller has
// received.
func (f *forwarding) mayRunAgain() bool {
	return !f.hasData || f.call.Resumable && !f.unnumbered
}

// isLastAttempt reports whether the request cannot be retried after the current attempt
// has failed. The deadline of a batch request is that of its job; its caller makes a new
// call with the same number of attempts.
func (f *forwarding) isLastAttempt() bool {
	return f.call.Class == contract.Online && f.failedRuns+1 >= f.call.MaxAttempts
}

// endError returns the error of a call that got no slot or whose context ended.
func (f *forwarding) endError(cause error) error {
	if !errors.Is(cause, context.DeadlineExceeded) || !f.begun {
		return callEndError(cause, f.dispatched)
	}
	return code.Wrap(code.StreamBroken, cause, "the answer was not whole at the deadline")
}

// failureError returns the error of a call that may make no further attempt.
func (f *forwarding) failureError(fail *failure) error {
	switch {
	case f.begun:
		return code.Wrap(code.StreamBroken, fail.err, "the stream broke after event %q and could not be resumed", f.lastEventID)
	case !f.dispatched:
		return code.Wrap(code.UpstreamRefused, fail.err, "no upstream took the request").WithRetryAfter(refusalRetryHint)
	case !f.call.Repeatable:
		return code.Wrap(code.OutcomeUnknown, fail.err, "the request was dispatched and its outcome is not known")
	}
	return code.From(fail.err).WithOutcome(code.Unknown)
}

// refusalRetryHint is about the time in which a busy upstream finishes a request.
const refusalRetryHint = 300 * time.Millisecond

// forwardOnce makes one attempt. It returns nil if the answer is complete.
func (d *Dispatcher) forwardOnce(ctx context.Context, granted *slot, f *forwarding) *failure {
	c, fail := d.connectOrContinue(granted, f)
	if fail != nil {
		return fail
	}
	defer c.close()
	silence := d.newForwardSilenceTimer(ctx, granted, f, c)
	silence.start()
	defer silence.stop()
	wire := d.options.Wire
	header := wire.Header(f.call, granted.target.id, f.lastEventID, time.Until(f.call.Deadline))
	f.answerRecorded = false
	// If an attempt fails from here on, the request may still be running at the
	// upstream.
	before := f.dispatched
	f.dispatched = true
	response, fail := d.exchange(granted, c, f.call, header)
	if fail != nil {
		return fail
	}
	// The body is not closed: that would read a chunked body to its end, which may never
	// come. The connection is closed instead.
	head := wire.Head(response.StatusCode, response.Header)
	d.sched.recordLoad(granted.target, head)
	d.sched.recordLeaving(granted.target, head)
	if fail := f.checkResponse(response, head); fail != nil {
		if fail.refused {
			f.dispatched = before
		}
		return fail
	}
	a := &forwardedAnswer{slot: granted, response: response, silence: silence, forwarding: f, header: wire.EndToEnd(response.Header), holder: budget.FromContext(ctx)}
	if response.StatusCode == http.StatusOK && isEventStream(response.Header) {
		return d.copyEvents(a)
	}
	return d.copyBody(a)
}

// connect opens a connection to the upstream of a slot, unless the upstream is leaving.
func (d *Dispatcher) connect(granted *slot) (*connection, *failure) {
	if fail := d.sched.withheld(granted); fail != nil {
		return nil, fail
	}
	c, err := d.dial(granted.ctx, granted.target.address)
	if err != nil {
		return nil, &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q can't be reached", granted.target.id), unreachable: true}
	}
	if fail := d.sched.withheld(granted); fail != nil {
		c.close()
		return nil, fail
	}
	return c, nil
}

// connectOrContinue is like connect, but returns the connection of a standby whose answer has
// begun. That answer begins with the first event, which must not follow events of another run.
func (d *Dispatcher) connectOrContinue(granted *slot, f *forwarding) (*connection, *failure) {
	c := granted.conn
	granted.conn = nil
	switch {
	case c == nil:
	case f.lastEventID == "" && !f.hasData:
		return c, nil
	default:
		c.close()
	}
	return d.connect(granted)
}

// exchange sends a request and returns the response, unless it has been received before.
func (d *Dispatcher) exchange(granted *slot, c *connection, call *contract.ForwardRequest, header http.Header) (*http.Response, *failure) {
	if c.response != nil {
		return c.response, nil
	}
	if err := c.send(call, header); err != nil {
		return nil, connectionFailure(granted, err)
	}
	if call.Stream {
		granted.sentNanos.Store(int64(max(time.Since(granted.startedAt), 1)))
	}
	response, err := c.receive(call.Method)
	if err != nil {
		return nil, connectionFailure(granted, err)
	}
	return response, nil
}

// recordLoad records the load that the headers of a response report.
func (s *scheduler) recordLoad(t *target, h Head) {
	if h.LoadKnown {
		t.report.Store(&loadReport{Running: h.Running, Waiting: h.Waiting, TakenAt: time.Now()})
	}
}
