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
	call           *contract.Completion
	pool           *pool
	maxAnswerBytes int64
	sink           contract.ChunkSink
	partial        partialAnswer
	request        request
	counts         attemptCounts
	// expectedTokens is the estimated length of the complete answer.
	expectedTokens int
	// dispatched is set when an upstream may have received the request.
	dispatched atomic.Bool
}

// defaultMaxAnswerBytes applies when the document sets no limit.
const defaultMaxAnswerBytes = 16 << 20

// Complete runs a call of a model service and delivers its answer to sink, each byte
// once and in order; the last chunk has a finish reason. It returns nil only if the
// answer is complete. A batch call may migrate between upstreams without sink noticing.
//
// Errors: an error of sink unchanged; code.UnknownService, NoConfiguration, NoUpstream,
// Overloaded, AccountLimit and DeadlineTooShort when nothing ran; code.UpstreamRefused,
// UpstreamFailed, UpstreamBadAnswer, UpstreamAnswerTooLarge, StreamBroken, OutcomeUnknown,
// DeadlineExceeded and CallerGone.
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
	c := &completion{call: call, pool: p, maxAnswerBytes: f.maxAnswerBytes(), sink: sink}
	c.request = d.newRequest(f, p, call)
	c.expectedTokens = c.request.expectedTokens
	p.retryBudget.Earn()
	return d.completeAttempts(ctx, c)
}

func (f *fleet) maxAnswerBytes() int64 {
	if n := f.document.Limits.MaxAnswerBytes; n > 0 {
		return n
	}
	return defaultMaxAnswerBytes
}

// newRequest returns the scheduler's view of a call.
func (d *Dispatcher) newRequest(f *fleet, p *pool, call *contract.Completion) request {
	promptBytes := 0
	for _, m := range call.Chat.Messages {
		promptBytes += len(m.Content)
	}
	r := request{
		pool:         p,
		class:        call.Class,
		dispatchOnce: !p.service.Idempotent,
		account:      call.Account,
		weight:       f.document.Accounts[call.Account].Weight,
		affinity:     affinity(call.Chat.Messages),
		deadline:     call.Deadline,
	}
	var long bool
	r.expectedTokens, long = d.sched.estimate(p, call.Account, call.Chat.MaxTokens, promptBytes)
	r.long = long && call.Class == contract.Online
	return r
}

// affinityMessages is the number of messages that identify a conversation. The first
// turn of a conversation has no more than these and no prefix of its own that an
// upstream could have cached.
const affinityMessages = 2

// affinity returns a hash of the beginning of a conversation, so that its next turn
// goes to an upstream that has the prefix cached. It returns 0 for a first turn.
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

// completeAttempts makes attempts, one after another, until the call is done.
func (d *Dispatcher) completeAttempts(ctx context.Context, c *completion) error {
	for {
		granted, err := d.sched.acquire(ctx, c.request)
		if err != nil {
			return c.endError(err)
		}
		f := d.runAttempt(ctx, granted, c)
		if f == nil {
			d.sched.observeLength(c.pool, c.call.Account, c.partial.tokens)
			return nil
		}
		switch {
		case ctx.Err() != nil:
			return c.endError(context.Cause(ctx))
		case f.final:
			return f.err
		case c.hasAllTokens():
			return c.deliverEnd("length", nil)
		case f.preempted:
			c.request.expectedTokens = max(c.expectedTokens-c.partial.tokens, 1)
			continue
		}
		if !d.mayRetry(c, f) {
			return c.failureError(f)
		}
		c.request.avoid = f.target.key
	}
}

// mayRetry counts a failed attempt and reports whether another one may follow.
func (d *Dispatcher) mayRetry(c *completion, f *failure) bool {
	c.counts.add(f)
	return d.allowRetry(c.pool, f, route.FailedAttempt{
		Idempotent:  c.pool.service.Idempotent,
		Dispatched:  c.dispatched.Load(),
		Final:       f.final,
		Attempts:    c.counts.reached,
		Unreachable: c.counts.unreachable,
	})
}

// allowRetry reports whether another attempt may follow, and takes it from the retry
// budget. An attempt that reached no upstream is not taken from the budget, since it
// caused no work.
func (d *Dispatcher) allowRetry(p *pool, f *failure, o route.FailedAttempt) bool {
	if !route.MayRetry(o) || (!f.unreachable && !p.retryBudget.Spend()) {
		return false
	}
	d.sched.recordRetry(p)
	d.metrics.retries.Inc()
	return true
}

// attemptCounts counts the failed attempts of a call.
type attemptCounts struct {
	reached     int
	unreachable int
}

func (t *attemptCounts) add(f *failure) {
	if f.unreachable {
		t.unreachable++
		return
	}
	t.reached++
}

// hasAllTokens reports whether the answer has as many tokens as the caller allowed. The
// answer is then complete even if the stream broke before its finish reason.
func (c *completion) hasAllTokens() bool {
	return c.call.Chat.MaxTokens > 0 && c.partial.tokens >= c.call.Chat.MaxTokens
}

// endError returns the error of a call that got no slot or whose context ended.
func (c *completion) endError(cause error) error {
	return callEndError(cause, c.dispatched.Load())
}

// defaultRetryHint is the retry hint of errors for which no better one is known.
const defaultRetryHint = time.Second

// callEndError returns the error of a call whose context ended or that was rejected
// with cause. The error says whether the call may have run.
func callEndError(cause error, dispatched bool) error {
	var e *code.Error
	switch {
	case errors.As(cause, &e) && !dispatched:
		return e
	case errors.As(cause, &e):
		return e.WithOutcome(code.Unknown)
	case errors.Is(cause, context.DeadlineExceeded) && !dispatched:
		return code.New(code.Overloaded, "no upstream had room before the deadline").WithRetryAfter(defaultRetryHint)
	case errors.Is(cause, context.DeadlineExceeded):
		return code.New(code.DeadlineExceeded, "the answer was not whole at the deadline")
	}
	e = code.Wrap(code.CallerGone, cause, "the call was cancelled")
	if !dispatched {
		e = e.WithOutcome(code.NotRun)
	}
	return e
}

// failureError returns the error of a call that may make no further attempt.
func (c *completion) failureError(f *failure) error {
	e := code.From(f.err)
	switch {
	case c.dispatched.Load() && !c.pool.service.Idempotent:
		return code.Wrap(code.OutcomeUnknown, f.err, "the call was dispatched and its outcome is not known")
	case c.partial.text.Len() > 0:
		return code.Wrap(code.StreamBroken, f.err, "the stream broke after %d tokens and could not be resumed", c.partial.tokens)
	case !c.dispatched.Load():
		return e.WithOutcome(code.NotRun).WithRetryAfter(defaultRetryHint)
	case e.Outcome == code.NotRun:
		// An earlier attempt was dispatched.
		return e.WithOutcome(code.Unknown)
	}
	return e
}
