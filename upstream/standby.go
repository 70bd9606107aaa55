package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
)

// standbys makes further attempts, one at a time, beside an attempt of a batch request that
// has been without an event for long. Its connection may be dead, or its upstream slow: the
// attempt that gets data first goes on, so that a slow upstream keeps its run. It is safe for
// concurrent use.
type standbys struct {
	d       *Dispatcher
	ctx     context.Context
	call    *contract.ForwardRequest
	parts   []uint64
	request request
	// silent is the slot of the attempt without an event.
	silent *slot

	running sync.WaitGroup
	mu      sync.Mutex
	stopped bool
	current *standby
}

// standby is an attempt whose answer nobody reads before it has begun.
type standby struct {
	slot      *slot
	startedAt time.Time
	// answered is closed when the slot has a connection on which an answer has begun.
	answered chan struct{}
}

// newStandbys returns the standbys of an attempt of f. ctx is the context of the call.
func (d *Dispatcher) newStandbys(ctx context.Context, silent *slot, f *forwarding) *standbys {
	return &standbys{d: d, ctx: ctx, call: f.call, parts: f.promptParts, request: f.request, silent: silent}
}

// take returns the slot of a standby that has been answered, which then belongs to the
// caller, or nil. A standby that has been silent for longer than limit is replaced.
func (b *standbys) take(limit time.Duration) *slot {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil
	}
	if a := b.current; a != nil {
		select {
		case <-a.answered:
			b.current = nil
			return a.slot
		default:
		}
		if time.Since(a.startedAt) < limit {
			return nil
		}
		a.slot.cancel(errHedgeLost)
	}
	b.current = b.begin(limit)
	return nil
}

// stop cancels the current standby and waits for its goroutine.
func (b *standbys) stop() {
	b.mu.Lock()
	b.stopped = true
	a := b.current
	b.current = nil
	b.mu.Unlock()
	if a != nil {
		b.d.sched.discard(a.slot)
	}
	b.running.Wait()
}

// begin starts a standby at another upstream that has a free slot, or at the same one if there
// is none. It returns nil if the silent upstream takes no work either. The lock is held.
func (b *standbys) begin(limit time.Duration) *standby {
	r := b.request
	p, err := b.d.current().pool(b.call.Service, contract.KindRouted)
	if err != nil {
		return nil
	}
	r.pool = p
	granted := b.d.sched.placeElsewhere(b.ctx, b.silent.target, r)
	elsewhere := granted != nil
	if !elsewhere {
		granted = b.d.sched.placeBeside(b.ctx, b.silent.target, r)
	}
	if granted == nil {
		return nil
	}
	first, _ := b.d.sched.medians(p)
	b.d.log.Info("second attempt beside a silent one", zap.String("request", b.call.RequestID), zap.String("silent", b.silent.target.id),
		zap.Duration("since_sent", time.Since(b.silent.startedAt)), zap.Duration("limit", limit), zap.Duration("median_first", first),
		zap.String("upstream", granted.target.id), zap.Bool("elsewhere", elsewhere))
	a := &standby{slot: granted, startedAt: time.Now(), answered: make(chan struct{})}
	b.running.Go(func() { b.run(a) })
	return a
}

// run makes the attempt of a standby until its answer begins.
func (b *standbys) run(a *standby) {
	if q := b.d.options.Quarantine; q != nil && len(b.parts) > 0 {
		defer q.Watch(b.parts, func() { a.slot.cancel(errQuarantined) })()
	}
	c, fail := b.d.connect(a.slot)
	if fail == nil {
		if fail = b.receive(a.slot, c); fail == nil {
			a.slot.conn = c
			close(a.answered)
			return
		}
		c.close()
	}
	b.d.log.Info("second attempt failed", zap.String("request", b.call.RequestID), zap.String("upstream", a.slot.target.id),
		zap.String("cause", string(causeOf(fail))), zap.Error(fail.err))
	b.d.recordCrash(a.slot, b.call, b.parts, fail)
	b.d.finishAttempt(a.slot, fail)
}

// receive sends the request and waits until the answer has begun. Refusals are failures.
func (b *standbys) receive(granted *slot, c *connection) *failure {
	header := b.d.options.Wire.Header(b.call, granted.target.id, "", time.Until(b.call.Deadline))
	response, fail := b.d.exchange(granted, c, b.call, header)
	if fail != nil {
		return fail
	}
	head := b.d.options.Wire.Head(response.StatusCode, response.Header)
	if head.NotRun || provesNotRun(response.StatusCode) {
		return &failure{err: &StatusError{Status: response.StatusCode}, refused: head.NotRun}
	}
	if response.StatusCode == http.StatusOK {
		body := bufio.NewReaderSize(response.Body, connectionBufferBytes)
		if _, err := body.Peek(1); err != nil {
			return connectionFailure(granted, err)
		}
		response.Body = struct {
			io.Reader
			io.Closer
		}{body, response.Body}
	}
	c.response = response
	return nil
}
