package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// maxAttempts bounds the attempts of one call; attempts that were preempted do
// not count.
const maxAttempts = 4

// completion is the state of one Complete call.
type completion struct {
	call     *contract.Completion
	pool     *pool
	document *contract.Document
	sink     contract.ChunkSink
	have     partial
	// dispatched is set when an upstream may have been given the request.
	dispatched bool
}

// Complete runs a call of a model service and gives its answer to sink, each
// byte once and in order; the last chunk has a finish reason. When it returns
// nil the answer was whole. A batch call may be moved between upstreams
// without sink noticing.
//
// Errors: an error of sink as it is; code.UnknownService, NoConfiguration,
// NoUpstream, Overloaded and DeadlineTooShort when nothing ran;
// code.UpstreamRefused, UpstreamFailed, UpstreamBadAnswer, UpstreamAnswerSize,
// StreamBroken, DeadlineExceeded and CallerGone.
func (d *Dispatcher) Complete(ctx context.Context, call *contract.Completion, sink contract.ChunkSink) error {
	d.calls.Add(1)
	defer d.calls.Add(-1)
	f := d.current()
	p, err := f.pool(call.Service, contract.KindModel)
	if err != nil {
		return err
	}
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	c := &completion{call: call, pool: p, document: f.document, sink: sink}
	return d.attempts(ctx, c)
}

// pool returns the pool of a service.
func (f *fleet) pool(name string, kind contract.ServiceKind) (*pool, error) {
	if f.document == nil {
		return nil, code.New(code.NoConfiguration, "there is no configuration yet")
	}
	p, ok := f.pools[name]
	if !ok || p.service.Kind != kind {
		return nil, code.New(code.UnknownService, "no %s service %q", kind, name)
	}
	if len(p.targets) == 0 {
		return nil, code.New(code.NoUpstream, "service %q has no upstream", name)
	}
	return p, nil
}

// attempts runs the call on one upstream after another until it is done.
func (d *Dispatcher) attempts(ctx context.Context, c *completion) error {
	var avoid *target
	var last *failure
	for tries := 0; tries < maxAttempts; {
		given, err := d.sched.acquire(ctx, c.pool, c.call.Class, avoid)
		if err != nil {
			return c.ended(err)
		}
		last = d.attempt(given, c)
		cause := context.Cause(given.ctx)
		d.sched.release(given)
		switch {
		case last == nil:
			return nil
		case last.final:
			return last.err
		case ctx.Err() != nil:
			return c.ended(ctx.Err())
		case errors.Is(cause, errPreempted):
			continue
		}
		d.blame(given.target, last)
		avoid = given.target
		tries++
	}
	return c.failed(last)
}

// suspension is how long an upstream that refused or could not be reached gets
// no new work.
const suspension = time.Second

func (d *Dispatcher) blame(t *target, f *failure) {
	if f.unreachable || f.refused {
		d.sched.suspend(t, suspension)
	}
}

// ended returns the error of a call whose context has ended.
func (c *completion) ended(cause error) error {
	var e *code.Error
	switch {
	case errors.As(cause, &e):
		return e
	case errors.Is(cause, context.DeadlineExceeded) && !c.dispatched:
		return code.New(code.Overloaded, "no upstream had room before the deadline").WithRetryAfter(time.Second)
	case errors.Is(cause, context.DeadlineExceeded):
		return code.New(code.DeadlineExceeded, "the answer was not whole at the deadline")
	}
	e = code.Wrap(code.CallerGone, cause, "the call was cancelled")
	if !c.dispatched {
		e = e.WithOutcome(code.NotRun)
	}
	return e
}

// failed returns the error of a call that has no attempt left.
func (c *completion) failed(last *failure) error {
	e := code.From(last.err)
	if c.have.tokens > 0 {
		return code.Wrap(code.StreamBroken, last.err, "the stream broke after %d tokens and could not be resumed", c.have.tokens)
	}
	if !c.dispatched {
		return e.WithOutcome(code.NotRun)
	}
	return e
}
