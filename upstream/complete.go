package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// completion is the state of one Complete call.
type completion struct {
	call      *contract.Completion
	pool      *pool
	maxAnswer int64
	sink      contract.ChunkSink
	have      partial
	request   request
	tries     tries
	// expected is the estimated length of the whole answer in tokens.
	expected int
	// dispatched is set when an upstream may have been given the request.
	dispatched atomic.Bool
}

// defaultMaxAnswer is used when the document sets no bound, in bytes.
const defaultMaxAnswer = 16 << 20

// Complete runs a call of a model service and gives its answer to sink, each
// byte once and in order; the last chunk has a finish reason. When it returns
// nil the answer was whole. A batch call may be moved between upstreams
// without sink noticing.
//
// Errors: an error of sink as it is; code.UnknownService, NoConfiguration,
// NoUpstream, Overloaded, AccountLimit and DeadlineTooShort when nothing ran;
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
	c := &completion{call: call, pool: p, maxAnswer: f.maxAnswer(), sink: sink}
	c.request = d.describe(f, p, call)
	c.expected = c.request.expected
	p.budget.Earn()
	return d.attempts(ctx, c)
}

func (f *fleet) maxAnswer() int64 {
	if n := f.document.Limits.MaxAnswerBytes; n > 0 {
		return n
	}
	return defaultMaxAnswer
}

// describe returns what the scheduler has to know of a call.
func (d *Dispatcher) describe(f *fleet, p *pool, call *contract.Completion) request {
	bytes := 0
	for _, m := range call.Chat.Messages {
		bytes += len(m.Content)
	}
	r := request{
		pool:     p,
		class:    call.Class,
		firm:     !p.service.Idempotent,
		account:  call.Account,
		weight:   f.document.Accounts[call.Account].Weight,
		affinity: affinity(call.Chat.Messages),
		deadline: call.Deadline,
	}
	var long bool
	r.expected, long = d.sched.estimate(p, call.Account, call.Chat.MaxTokens, bytes)
	r.long = long && call.Class == contract.Online
	return r
}

// affinityMessages is how many messages identify a conversation. A first turn
// has no prefix of its own that an upstream could hold.
const affinityMessages = 2

// affinity hashes the beginning of a conversation that goes on; it is 0 for a
// first turn.
func affinity(messages []contract.Message) uint64 {
	if len(messages) <= affinityMessages {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	for _, m := range messages[:affinityMessages] {
		_, _ = h.Write(m.Content)
	}
	return h.Sum64() | 1
}

// attempts runs the call on one upstream after another until it is done.
func (d *Dispatcher) attempts(ctx context.Context, c *completion) error {
	for {
		given, err := d.sched.acquire(ctx, c.request)
		if err != nil {
			return c.ended(err)
		}
		f := d.run(ctx, given, c)
		if f == nil {
			d.sched.observeLength(c.pool, c.call.Account, c.have.tokens)
			return nil
		}
		switch {
		case ctx.Err() != nil:
			return c.ended(context.Cause(ctx))
		case f.final:
			return f.err
		case c.atLimit():
			return c.deliverEnd("length", nil)
		case f.preempted:
			c.request.expected = max(c.expected-c.have.tokens, 1)
			continue
		}
		if !d.mayRepeat(c, f) {
			return c.failed(f)
		}
		c.request.avoid = f.target.key
	}
}

// mayRepeat decides on another attempt and pays for it.
func (d *Dispatcher) mayRepeat(c *completion, f *failure) bool {
	c.tries.count(f)
	return d.again(c.pool, f, route.Outcome{
		Idempotent:  c.pool.service.Idempotent,
		Dispatched:  c.dispatched.Load(),
		Final:       f.final,
		Attempts:    c.tries.reached,
		Unreachable: c.tries.unreachable,
	})
}

// again reports whether another attempt follows. One that reached no upstream
// costs nothing, since it gave none of them work.
func (d *Dispatcher) again(p *pool, f *failure, o route.Outcome) bool {
	if !route.MayRepeat(o) || (!f.unreachable && !p.budget.Spend()) {
		return false
	}
	d.sched.noteRetry(p)
	d.metrics.retries.Inc()
	return true
}

// tries counts the failed attempts of a call.
type tries struct {
	reached     int
	unreachable int
}

func (t *tries) count(f *failure) {
	if f.unreachable {
		t.unreachable++
		return
	}
	t.reached++
}

// atLimit reports whether the answer has all tokens that were asked for,
// though the stream broke before it said so.
func (c *completion) atLimit() bool {
	return c.call.Chat.MaxTokens > 0 && c.have.tokens >= c.call.Chat.MaxTokens
}

// ended returns the error of a call that got no slot or whose context ended.
func (c *completion) ended(cause error) error {
	return endOf(cause, c.dispatched.Load())
}

// retryHint is given with refusals that carry no better one.
const retryHint = time.Second

func endOf(cause error, dispatched bool) error {
	var e *code.Error
	switch {
	case errors.As(cause, &e) && !dispatched:
		return e
	case errors.As(cause, &e):
		return e.WithOutcome(code.Unknown)
	case errors.Is(cause, context.DeadlineExceeded) && !dispatched:
		return code.New(code.Overloaded, "no upstream had room before the deadline").WithRetryAfter(retryHint)
	case errors.Is(cause, context.DeadlineExceeded):
		return code.New(code.DeadlineExceeded, "the answer was not whole at the deadline")
	}
	e = code.Wrap(code.CallerGone, cause, "the call was cancelled")
	if !dispatched {
		e = e.WithOutcome(code.NotRun)
	}
	return e
}

// failed returns the error of a call that has no attempt left.
func (c *completion) failed(f *failure) error {
	e := code.From(f.err)
	switch {
	case c.dispatched.Load() && !c.pool.service.Idempotent:
		return code.Wrap(code.OutcomeUnknown, f.err, "the call was dispatched and its outcome is not known")
	case c.have.text.Len() > 0:
		return code.Wrap(code.StreamBroken, f.err, "the stream broke after %d tokens and could not be resumed", c.have.tokens)
	case !c.dispatched.Load():
		return e.WithOutcome(code.NotRun).WithRetryAfter(retryHint)
	case e.Outcome == code.NotRun && e.Number == code.NoUpstream:
		// An earlier attempt was dispatched.
		return e.WithOutcome(code.Unknown)
	}
	return e
}
