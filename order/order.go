package order

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
)

// Do brings an upstream into the state that an order wants. It reads the state
// first and sends nothing when that is as wanted. After a lost answer it reads
// the state again.
//
// Errors: code.OrderUnsafe when the lease does not allow the order now, in which
// case nothing was sent; code.OrderFenced when the upstream has seen a newer
// token; code.OutcomeUnknown when an order was sent and its effect does not
// show; the error of the upstream when it certainly did not take the order.
func (l *Lease) Do(ctx context.Context, e Engine, o Order) error {
	if err := l.begin(e.ID()); err != nil {
		return err
	}
	defer l.end(e.ID())
	err := l.do(ctx, e, o)
	l.metrics.ordered(err)
	return err
}

func (l *Lease) do(ctx context.Context, e Engine, o Order) error {
	// Before this time a previous holder's order may yet take effect, and a
	// state that was read could be out of date.
	if _, _, err := l.admit(e); err != nil {
		return err
	}
	stateCtx, cancel := context.WithTimeout(ctx, l.options.LongestOrder)
	defer cancel()
	state, err := e.EngineState(stateCtx)
	if err != nil {
		return code.Wrap(code.OrderUnsafe, err, "the upstream's state cannot be read")
	}
	if o.isDone(state) {
		return nil
	}
	token, end, err := l.admit(e)
	if err != nil {
		return err
	}
	return l.send(ctx, e, o, token, end)
}

// admit returns the token and the latest end of an order that is sent now.
func (l *Lease) admit(e Engine) (token uint64, end time.Time, err error) {
	now := time.Now()
	h, held := l.holding(now)
	if !held {
		return 0, end, code.New(code.OrderUnsafe, "the instance does not hold the lease of %q", l.options.Group)
	}
	end = now.Add(l.options.LongestOrder)
	if wait := h.doubtful.Sub(now); wait > 0 {
		return 0, end, code.New(code.OrderUnsafe, "an order with a lost answer may yet take effect").WithRetryAfter(wait)
	}
	if e.ChecksFencing() {
		return h.token, end, nil
	}
	if wait := h.settled.Sub(now); wait > 0 {
		return 0, end, code.New(code.OrderUnsafe, "an order of the previous holder may be under way").WithRetryAfter(wait)
	}
	if end.After(h.until) {
		return 0, end, code.New(code.OrderUnsafe, "the lease has %s left, an order may take %s", h.until.Sub(now), l.options.LongestOrder).WithRetryAfter(l.options.Duration / 6)
	}
	return h.token, end, nil
}

// send gives the order and resolves a lost answer by the state.
func (l *Lease) send(ctx context.Context, e Engine, o Order, token uint64, end time.Time) error {
	sendCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := e.Order(sendCtx, o, token)
	if err == nil {
		return nil
	}
	if code.Of(err) == code.OrderFenced {
		l.lose()
		return err
	}
	failure := code.From(err)
	if failure.Outcome == code.NotRun {
		return failure
	}
	stateCtx, cancel := context.WithTimeout(ctx, l.options.LongestOrder)
	defer cancel()
	state, stateErr := e.EngineState(stateCtx)
	if stateErr == nil && o.isDone(state) {
		return nil
	}
	l.doubt(end)
	return code.Wrap(code.OutcomeUnknown, failure, "the order was sent and its effect does not show")
}

// doubt notes that an order may take effect until its end.
func (l *Lease) doubt(end time.Time) {
	end = end.Add(l.options.Margin)
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.After(l.doubtful) {
		l.doubtful = end
	}
}

// begin allows one order to an upstream at a time.
func (l *Lease) begin(upstream string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ordering[upstream] {
		return code.New(code.OrderUnsafe, "an order to %q is under way", upstream).WithRetryAfter(l.options.LongestOrder)
	}
	l.ordering[upstream] = true
	return nil
}

func (l *Lease) end(upstream string) {
	l.mu.Lock()
	delete(l.ordering, upstream)
	l.mu.Unlock()
	select {
	case l.idle <- struct{}{}:
	default:
	}
}
