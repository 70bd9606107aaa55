package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// TestServiceWithoutWorkersAsksToRetry sends a request to a service of which no worker
// is registered.
func TestServiceWithoutWorkersAsksToRetry(t *testing.T) {
	d := newForwarder(t)
	call := streamCall("a", true)
	call.Service = "restarting"
	err := d.Forward(t.Context(), call, &answerSink{})
	if e := code.From(err); e.Number != code.NoUpstream || e.Outcome != code.NotRun || e.RetryAfter <= 0 {
		t.Errorf("got %v with retry after %v, want no_upstream with a time to retry after", err, e.RetryAfter)
	}
}

// TestWaitingRequestIsNotForgottenWhenItsServiceVanishes removes the last worker of a
// service while a request waits for it, and registers it again.
func TestWaitingRequestIsNotForgottenWhenItsServiceVanishes(t *testing.T) {
	for _, class := range []contract.Class{contract.Online, contract.Batch} {
		t.Run(class.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, workers, wait := pipeWorkers(eventsScript(1, endOfChunks))
				d, _ := newLoggedForwarder(t, dial, workers...)
				var document atomic.Pointer[contract.Document]
				registered, away := d.options.Document(), *d.options.Document()
				away.Services, away.Upstreams = nil, nil
				document.Store(registered)
				d.options.Document = document.Load
				p, err := d.current().pool("s", contract.KindRouted)
				if err != nil {
					t.Fatal(err)
				}
				deadline := time.Now().Add(time.Minute)
				other := request{pool: p, deadline: deadline}
				var held []*slot
				for g := d.sched.tryAcquire(t.Context(), other); g != nil; g = d.sched.tryAcquire(t.Context(), other) {
					held = append(held, g)
				}
				done := make(chan error)
				go func() {
					call := streamCall("a", true)
					call.Class, call.Deadline = class, deadline
					done <- d.Forward(t.Context(), call, &answerSink{})
				}()
				synctest.Wait()
				document.Store(&away)
				d.current()
				document.Store(registered)
				d.current()
				for _, g := range held {
					d.sched.release(g, time.Now())
				}
				synctest.Wait()
				select {
				case err := <-done:
					if err != nil && code.From(err).Number != code.NoUpstream {
						t.Errorf("got %v, want an answer or no_upstream", err)
					}
				default:
					t.Error("the request still waits although its service is back and has free slots")
					<-done
				}
				wait.Wait()
			})
		})
	}
}

// TestWaitingRequestIsRejectedWhenAllUpstreamsLeave: no slot can come free for it.
func TestWaitingRequestIsRejectedWhenAllUpstreamsLeave(t *testing.T) {
	for _, class := range []contract.Class{contract.Online, contract.Batch} {
		t.Run(class.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, workers, wait := pipeWorkers(eventsScript(1, endOfChunks))
				d, _ := newLoggedForwarder(t, dial, workers...)
				p, err := d.current().pool("s", contract.KindRouted)
				if err != nil {
					t.Fatal(err)
				}
				deadline := time.Now().Add(time.Minute)
				other := request{pool: p, deadline: deadline}
				for d.sched.tryAcquire(t.Context(), other) != nil {
				}
				done := make(chan error, 1)
				go func() {
					call := streamCall("a", true)
					call.Class, call.Deadline = class, deadline
					done <- d.Forward(t.Context(), call, &answerSink{})
				}()
				synctest.Wait()
				d.sched.recordLeaving(p.targets[0], Head{Leaving: true})
				synctest.Wait()
				select {
				case err := <-done:
					if e := code.From(err); e.Number != code.NoUpstream || e.Outcome != code.NotRun || e.RetryAfter == 0 {
						t.Errorf("got %v with retry after %v, want no_upstream, not run, with a time to retry after", err, e.RetryAfter)
					}
				default:
					t.Error("the request still waits although its only upstream leaves")
					<-done
				}
				wait.Wait()
			})
		})
	}
}

// TestAttemptAfterItsServiceVanishedReachesNoRemovedWorker breaks off a request while the
// last worker of its service is removed, with and without the service coming back.
func TestAttemptAfterItsServiceVanishedReachesNoRemovedWorker(t *testing.T) {
	for _, returns := range []bool{false, true} {
		t.Run(fmt.Sprintf("returns %v", returns), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				breaksOff := func(testing.TB, *scriptedWorker, net.Conn, *http.Request) { time.Sleep(2 * time.Second) }
				dial, workers, wait := pipeWorkers(breaksOff, eventsScript(3, endOfChunks))
				d, _ := newLoggedForwarder(t, dial, workers...)
				before := *d.options.Document()
				after := before
				before.Upstreams = map[string]contract.Upstream{"w0": before.Upstreams["w0"]}
				after.Upstreams = map[string]contract.Upstream{"w1": after.Upstreams["w1"]}
				away := before
				away.Services, away.Upstreams = nil, nil
				var document atomic.Pointer[contract.Document]
				document.Store(&before)
				d.options.Document = document.Load
				done := make(chan error, 1)
				go func() {
					call := streamCall("a", true)
					call.Class, call.Deadline = contract.Online, time.Now().Add(10*time.Second)
					done <- d.Forward(t.Context(), call, &answerSink{})
				}()
				time.Sleep(time.Second)
				document.Store(&away)
				d.current()
				if returns {
					document.Store(&after)
					d.current()
				}
				err := <-done
				if returns && err != nil || !returns && code.Of(err) != code.NoUpstream {
					t.Errorf("service returns %v: got %v", returns, err)
				}
				if n := workers[0].requestCount.Load(); n != 1 {
					t.Errorf("the removed worker got %d requests, want 1", n)
				}
				wait.Wait()
			})
		})
	}
}

// TestStreamLeavesASilentUpstreamAfterItsServiceWasGone removes all workers of a service
// and registers them again while a stream runs, whose worker then goes dark.
func TestStreamLeavesASilentUpstreamAfterItsServiceWasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const last = 6
		dark := fallsSilent(1, last)
		dial, workers, wait := pipeWorkers(dark, eventsScript(last, endOfChunks))
		d, _ := newLoggedForwarder(t, dial, workers...)
		all := d.options.Document()
		first, away := *all, *all
		first.Upstreams = map[string]contract.Upstream{"w0": all.Upstreams["w0"]}
		away.Services, away.Upstreams = nil, nil
		var document atomic.Pointer[contract.Document]
		document.Store(&first)
		d.options.Document = document.Load
		call, sink := streamCall("a", true), &answerSink{}
		call.Deadline, call.MaxGap = time.Now().Add(10*time.Second), resumeMaxGap
		sink.wrote = func() {
			for _, next := range []*contract.Document{&away, all} {
				document.Store(next)
				d.current()
			}
			sink.wrote = nil
		}
		begin := time.Now()
		err := d.Forward(t.Context(), call, sink)
		wantWhole(t, sink, err)
		if took := time.Since(begin); took > resumeMaxGap {
			t.Errorf("the stream took %v, longer than its caller bears", took)
		}
		wait.Wait()
	})
}
