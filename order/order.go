package order

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
)

// Do brings an upstream into the state that an order describes. It reads the
// upstream's state first and sends nothing if that is the wanted one. After a
// lost response it reads the state again.
//
// Errors: code.OrderUnsafe if the lease does not allow the order now or the state
// cannot be read, in which case nothing was sent; code.OrderFenced if the upstream
// has received a newer token; code.OutcomeUnknown if the order was sent and its
// effect is not visible; the error of the upstream if it certainly did not accept
// the order.
func (l *Lease) Do(ctx context.Context, e Engine, o Order) error {
	if err := l.begin(e.ID()); err != nil {
		return err
	}
	defer l.end(e.ID())
	err := l.do(ctx, e, o)
	l.metrics.countOrder(err)
	return err
}

// do runs Do without the check for an order in flight and without the metrics.
func (l *Lease) do(ctx context.Context, e Engine, o Order) error {
	// While an order of the previous holder may still take effect, a state that is
	// read now may be out of date when it is used.
	if _, _, err := l.authorize(e); err != nil {
		return err
	}
	stateCtx, cancel := context.WithTimeout(ctx, l.options.LongestOrder)
	defer cancel()
	state, err := e.EngineState(stateCtx)
	if err != nil {
		return code.Wrap(code.OrderUnsafe, err, "the upstream's state cannot be read")
	}
	if o.isSatisfiedBy(state) {
		return nil
	}
	token, end, err := l.authorize(e)
	if err != nil {
		return err
	}
	return l.send(ctx, e, o, token, end)
}

// authorize returns the token of an order that is sent now and the time by which
// it must end, or code.OrderUnsafe if the lease does not allow the order now.
func (l *Lease) authorize(e Engine) (token uint64, end time.Time, err error) {
	now := time.Now()
	lease, held := l.currentGrant(now)
	if !held {
		return 0, end, code.New(code.OrderUnsafe, "the instance does not hold the lease of %q", l.options.Group)
	}
	end = now.Add(l.options.LongestOrder)
	if wait := lease.unresolvedUntil.Sub(now); wait > 0 {
		return 0, end, code.New(code.OrderUnsafe, "an order with a lost answer may yet take effect").WithRetryAfter(wait)
	}
	if e.ChecksFencing() {
		return lease.token, end, nil
	}
	if wait := lease.unfencedFrom.Sub(now); wait > 0 {
		return 0, end, code.New(code.OrderUnsafe, "an order of the previous holder may be under way").WithRetryAfter(wait)
	}
	if end.After(lease.validUntil) {
		return 0, end, code.New(code.OrderUnsafe, "the lease has %s left, an order may take %s", lease.validUntil.Sub(now), l.options.LongestOrder).WithRetryAfter(l.options.Duration / 6)
	}
	return lease.token, end, nil
}

// send sends the order. After a lost response it reads the upstream's state to
// find out whether the order has taken effect.
func (l *Lease) send(ctx context.Context, e Engine, o Order, token uint64, end time.Time) error {
	sendCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := e.Order(sendCtx, o, token)
	if err == nil {
		return nil
	}
	if code.Of(err) == code.OrderFenced {
		l.drop()
		return err
	}
	failure := code.From(err)
	if failure.Outcome == code.NotRun {
		return failure
	}
	stateCtx, cancel := context.WithTimeout(ctx, l.options.LongestOrder)
	defer cancel()
	state, stateErr := e.EngineState(stateCtx)
	if stateErr == nil && o.isSatisfiedBy(state) {
		return nil
	}
	l.recordUnresolved(end)
	return code.Wrap(code.OutcomeUnknown, failure, "the order was sent and its effect does not show")
}

// recordUnresolved records that an order with a lost response may take effect until
// end and the margin have passed.
func (l *Lease) recordUnresolved(end time.Time) {
	end = end.Add(l.options.Margin)
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.After(l.unresolvedUntil) {
		l.unresolvedUntil = end
	}
}

// begin records that an order to the upstream is in flight. It fails with
// code.OrderUnsafe if one is already.
func (l *Lease) begin(upstream string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[upstream] {
		return code.New(code.OrderUnsafe, "an order to %q is under way", upstream).WithRetryAfter(l.options.LongestOrder)
	}
	l.inFlight[upstream] = true
	return nil
}

// end records that the order to the upstream has ended.
func (l *Lease) end(upstream string) {
	l.mu.Lock()
	delete(l.inFlight, upstream)
	l.mu.Unlock()
	select {
	case l.orderEnded <- struct{}{}:
	default:
	}
}
