package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// forwarding is the state of one Forward call. One goroutine uses it.
type forwarding struct {
	call    *contract.Forwarding
	pool    *pool
	sink    contract.ForwardSink
	request request
	// runs counts the upstreams that may have run the request and failed,
	// refusals those that said they did not, unreachable those that did not
	// accept a connection.
	runs        int
	refusals    int
	unreachable int
	// dispatched is set when an upstream may have been given the request.
	dispatched bool
	// begun is set when the caller has been given headers.
	begun  bool
	last   string
	events int
	// held is the time for which earlier attempts held slots.
	held time.Duration
	// placed is the upstream of the present attempt, with what was known of it
	// when it was chosen.
	placed string
	load   placement
	// arrived is when the call began; queued and first are how long after it the
	// last slot was given and the first event came.
	arrived time.Time
	queued  time.Duration
	first   time.Duration
	yields  int
	// heard is when the caller was given the last event, or the call began.
	heard time.Time
	// cause says how the last attempt that failed did so, belief what was then
	// thought of its upstream.
	cause  breakCause
	belief string
}

// Bounds of the attempts that reach an upstream without running there.
const (
	maxRefusals    = 4
	maxUnreachable = 6
)

// Forward runs an opaque request on an upstream of a routed service and passes
// the answer to sink, whole events at a time. A request that may not be
// repeated is sent to one upstream; only an upstream that says that it did not
// run it, or a connection that could not be made, allows another. A broken
// stream goes on elsewhere when it is resumable. When Forward returns nil, the
// answer was whole.
//
// Errors: an error of sink as it is; code.UnknownService, NoConfiguration,
// NoUpstream, Overloaded, DeadlineTooShort and UpstreamRefused when nothing ran;
// code.UpstreamFailed, UpstreamBadAnswer, UpstreamSilent, StreamBroken,
// OutcomeUnknown, DeadlineExceeded and CallerGone.
func (d *Dispatcher) Forward(ctx context.Context, call *contract.Forwarding, sink contract.ForwardSink) error {
	d.calls.Add(1)
	defer d.calls.Add(-1)
	p, err := d.current().pool(call.Service, contract.KindRouted)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	now := time.Now()
	f := &forwarding{call: call, pool: p, sink: sink, last: call.LastEvent, arrived: now, heard: now, request: request{
		pool:     p,
		class:    call.Class,
		firm:     !call.Repeatable,
		affinity: call.Affinity,
		expected: call.Tokens,
		deadline: call.Deadline,
	}}
	err = d.forwardAttempts(ctx, f)
	d.logForward(f, err)
	return err
}

func (d *Dispatcher) forwardAttempts(ctx context.Context, f *forwarding) error {
	for {
		f.request.work = d.sched.batchWork(f)
		f.setPatience()
		given, err := d.acquireInTime(ctx, f)
		if err != nil {
			return f.ended(err)
		}
		f.placed, f.load, f.queued = given.target.id, given.load, given.started.Sub(f.arrived)
		d.logSent(given, f)
		fail := d.forwardOnce(given, f)
		d.conclude(given, fail)
		f.held += time.Since(given.started)
		if fail == nil {
			d.sched.noteBatchWork(f)
			return nil
		}
		f.cause, f.belief = causeOf(fail), d.sched.belief(given)
		var ended error
		if ctx.Err() != nil {
			ended = context.Cause(ctx)
		}
		if ended != nil {
			return f.ended(ended)
		}
		if fail.final {
			return fail.err
		}
		if fail.preempted {
			f.yields++
			continue
		}
		if !f.mayRepeat(fail) {
			return f.failed(fail)
		}
		d.metrics.retries.Inc()
		f.request.avoid = given.target.key
		d.log.Info("forwarding again", zap.String("request", f.call.RequestID), zap.String("failed", given.target.id),
			zap.String("cause", string(f.cause)), zap.String("believed", f.belief),
			zap.String("after_event", f.last), zap.Error(fail.err))
	}
}

// defaultPerToken is the time on a slot for each output token before any has
// been observed.
const defaultPerToken = 4 * time.Millisecond

// batchWork returns what orders a batch request.
func (s *scheduler) batchWork(f *forwarding) route.BatchWork {
	if f.call.Class != contract.Batch {
		return route.BatchWork{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	perToken := f.pool.perToken.Value
	if perToken == 0 {
		perToken = defaultPerToken
	}
	left := time.Duration(f.call.Tokens)*perToken - f.held
	return route.BatchWork{Due: f.call.Due, Left: max(left, 0)}
}

// noteBatchWork notes the time on a slot of a whole batch request.
func (s *scheduler) noteBatchWork(f *forwarding) {
	if f.call.Class != contract.Batch || f.call.Tokens <= 0 || f.call.LastEvent != "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := f.pool.history
	h.perToken = h.perToken.Observe(time.Now(), f.held/time.Duration(f.call.Tokens))
}

// setPatience sets when the caller leaves. It bears a pause of a length, counted
// from the last event that it was given.
func (f *forwarding) setPatience() {
	f.request.deadline = f.call.Deadline
	if f.call.Class != contract.Online {
		return
	}
	if patience := f.heard.Add(f.call.Silence); f.call.Silence > 0 && patience.Before(f.call.Deadline) {
		f.request.deadline = patience
	}
	if f.call.Objective > 0 {
		f.request.online = route.OnlineWork{Objective: f.arrived.Add(f.call.Objective), Patience: f.request.deadline}
	}
}

// acquireInTime waits for a slot no longer than the caller bears a pause.
func (d *Dispatcher) acquireInTime(ctx context.Context, f *forwarding) (*slot, error) {
	given := d.sched.tryFirst(ctx, f.request)
	if given != nil {
		return given, nil
	}
	wait, cancel := context.WithDeadline(ctx, f.request.deadline)
	defer cancel()
	return d.sched.acquireFor(wait, ctx, f.request)
}

// mayRepeat counts a failed attempt and decides on another.
func (f *forwarding) mayRepeat(fail *failure) bool {
	switch {
	case fail.unreachable:
		f.unreachable++
	case fail.refused:
		f.refusals++
	default:
		f.runs++
	}
	if f.unreachable >= maxUnreachable || f.refusals >= maxRefusals && f.call.Class == contract.Online {
		return false
	}
	if fail.unreachable || fail.refused {
		return !f.begun || f.call.Resumable
	}
	if f.runs >= f.call.MaxAttempts || !f.call.Repeatable {
		return false
	}
	return !f.begun || f.call.Resumable
}

// ended returns the error of a call that got no slot or whose context ended.
func (f *forwarding) ended(cause error) error {
	if !errors.Is(cause, context.DeadlineExceeded) || !f.begun {
		return endOf(cause, f.dispatched)
	}
	if time.Now().Before(f.call.Deadline) {
		return code.Wrap(code.StreamBroken, cause, "no slot to go on after event %q came free within the pause that the caller bears", f.last)
	}
	return code.Wrap(code.StreamBroken, cause, "the answer was not whole at the deadline")
}

// failed returns the error of a call that has no attempt left.
func (f *forwarding) failed(fail *failure) error {
	switch {
	case f.begun:
		return code.Wrap(code.StreamBroken, fail.err, "the stream broke after event %q and could not be resumed", f.last)
	case !f.dispatched:
		return code.Wrap(code.UpstreamRefused, fail.err, "no upstream took the request").WithRetryAfter(refusedHint)
	case !f.call.Repeatable:
		return code.Wrap(code.OutcomeUnknown, fail.err, "the request was dispatched and its outcome is not known")
	}
	return code.From(fail.err).WithOutcome(code.Unknown)
}

// refusedHint is about the time in which a busy upstream ends a request.
const refusedHint = 300 * time.Millisecond

// forwardOnce makes one attempt. It returns nil when the answer was whole.
func (d *Dispatcher) forwardOnce(given *slot, f *forwarding) *failure {
	c, err := d.dialOnce(given.ctx, given.target.address)
	if err != nil {
		return &failure{err: code.Wrap(code.NoUpstream, err, "upstream %q can't be reached", given.target.id), unreachable: true}
	}
	defer c.close()
	first, next := d.forwardPatience(given, f)
	timer := time.AfterFunc(first, func() { given.cancel(errStalled) })
	defer timer.Stop()
	wire := d.options.Wire
	header := wire.Header(f.call, given.target.id, f.last, time.Until(f.call.Deadline))
	// From here on a failure may leave the request running.
	before := f.dispatched
	f.dispatched = true
	if err := c.send(f.call, header); err != nil {
		return broken(given, err)
	}
	response, err := c.receive(f.call.Method)
	if err != nil {
		return broken(given, err)
	}
	defer func() { _ = response.Body.Close() }()
	head := wire.Head(response.StatusCode, response.Header)
	d.sched.noteLoad(given.target, head)
	if fail := f.check(response, head); fail != nil {
		if fail.refused {
			f.dispatched = before
		}
		return fail
	}
	a := &answer{slot: given, response: response, timer: timer, next: next, forwarding: f, header: wire.EndToEnd(response.Header)}
	if response.StatusCode == http.StatusOK && isEventStream(response.Header) {
		return d.passEvents(a)
	}
	return d.passBody(a)
}

// forwardPatience returns how long an upstream may be silent. A request that
// cannot go on elsewhere waits for as long as its caller does.
func (d *Dispatcher) forwardPatience(given *slot, f *forwarding) (first, next time.Duration) {
	// The deadline ends the attempt before this does.
	rest := max(time.Until(f.call.Deadline), 0) + time.Second
	if !f.call.Repeatable || len(f.pool.targets) < 2 {
		return rest, rest
	}
	first, next = d.sched.patience(given)
	if f.call.Class == contract.Online && f.call.Silence > 0 {
		first, next = min(first, f.call.Silence/2), min(next, f.call.Silence/2)
	}
	return first, next
}

// noteLoad takes in what an answer says about the upstream.
func (s *scheduler) noteLoad(t *target, h Head) {
	if h.LoadKnown {
		t.report.Store(&loadReport{Running: h.Running, Waiting: h.Waiting, TakenAt: time.Now()})
	}
}
