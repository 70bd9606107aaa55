package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zaptest/observer"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/quarantine"
)

// The parts of the prompts: sharedPart is in every request.
const (
	sharedPart uint64 = 1
	deadlyPart uint64 = 2
	otherPart  uint64 = 3
)

// deadlyID begins the id of each request with deadlyPart.
const deadlyID = "deadly"

// crashingWorkers are workers that crash at the beginning of an answer to a request whose
// id begins with deadlyID, and accept no connection for a while then.
type crashingWorkers struct {
	*Dispatcher
	logs *observer.ObservedLogs
	// deadlyRuns counts the requests that made a worker crash.
	deadlyRuns atomic.Int64
	wait       func()
}

const (
	restartTime = 2 * time.Second
	// answerTime is the time that a worker takes to answer.
	answerTime = 50 * time.Millisecond
)

func newCrashingWorkers(t *testing.T, n int) *crashingWorkers {
	t.Helper()
	c := &crashingWorkers{}
	downUntil := map[string]*atomic.Int64{}
	answer := eventsScript(5, endOfChunks)
	crash := func(t testing.TB, w *scriptedWorker, nc net.Conn, r *http.Request) {
		time.Sleep(answerTime)
		if !strings.HasPrefix(r.Header.Get("Id"), deadlyID) {
			answer(t, w, nc, r)
			return
		}
		c.deadlyRuns.Add(1)
		downUntil[w.address].Store(time.Now().Add(restartTime).UnixNano())
	}
	dial, workers, wait := pipeWorkers(slices.Repeat([]script{crash}, n)...)
	for _, w := range workers {
		downUntil[w.address] = &atomic.Int64{}
	}
	c.wait = wait.Wait
	c.Dispatcher, c.logs = newLoggedForwarder(t, func(ctx context.Context, network, address string) (net.Conn, error) {
		if time.Now().UnixNano() < downUntil[address].Load() {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}
		return dial(ctx, network, address)
	}, workers...)
	c.options.Quarantine = quarantine.New(quarantine.Options{})
	return c
}

// sendPrompt sends an online request with the given parts of a prompt.
func (c *crashingWorkers) sendPrompt(t *testing.T, id string, resumable bool, parts ...uint64) error {
	call := streamCall(id, resumable)
	call.Class, call.Deadline, call.PromptParts = contract.Online, time.Now().Add(5*time.Second), parts
	return c.Forward(t.Context(), call, &answerSink{})
}

func TestDeadlyPartStopsReachingUpstreams(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		t.Run(fmt.Sprintf("resumable %v", resumable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrashingWorkers(t, 8)
				served, sent := 0, 0
				for i := range 300 {
					c.sched.sweep(time.Now())
					if i%10 == 0 {
						before := c.deadlyRuns.Load()
						err := c.sendPrompt(t, fmt.Sprint(deadlyID, i), resumable, sharedPart, deadlyPart)
						if err == nil {
							t.Error("a request that crashes its worker was served")
						}
						ran := c.deadlyRuns.Load() > before
						if code.Of(err) == code.PromptQuarantined && (code.From(err).Outcome == code.NotRun) == ran {
							t.Errorf("rejected with outcome %q, ran %v", code.From(err).Outcome, ran)
						}
					}
					err := c.sendPrompt(t, fmt.Sprint("sound", i), resumable, sharedPart, otherPart)
					if i >= 100 {
						sent++
						if err == nil {
							served++
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				// Three crashes accuse the part, a fourth may come too soon after another to
				// count, and trials follow after 3 and 12 s.
				if n := c.deadlyRuns.Load(); n < 3 || n > 6 {
					t.Errorf("the deadly part crashed %d workers, want 3 or 4 and at most 2 trials", n)
				}
				if served != sent {
					t.Errorf("%d of %d requests with the same first part were served", served, sent)
				}
				c.wait()
			})
		})
	}
}

func TestWaitingRequestIsRejectedOnceItsPromptIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startPipeWorker(t, func(t testing.TB, w *scriptedWorker, nc net.Conn, r *http.Request) {
			time.Sleep(3 * time.Second)
			eventsScript(5, endOfChunks)(t, w, nc, r)
		})
		q := quarantine.New(quarantine.Options{})
		w.options.Quarantine = q
		busy := make(chan error, 8)
		for i := range 4 {
			go func() { busy <- w.sendPrompt(t, fmt.Sprint("busy", i), false, otherPart) }()
		}
		synctest.Wait()
		waiting := make(chan error, 1)
		startedAt := time.Now()
		go func() { waiting <- w.sendPrompt(t, "waiting", false, sharedPart, deadlyPart) }()
		time.Sleep(100 * time.Millisecond)
		for k := range 3 {
			time.Sleep(200 * time.Millisecond)
			q.RecordCrash(partKeys("s", []uint64{deadlyPart}), fmt.Sprint("u", k), 1, "r")
		}
		err := <-waiting
		if waited := time.Since(startedAt); code.Of(err) != code.PromptQuarantined || code.From(err).Outcome != code.NotRun || code.From(err).RetryAfter == 0 || waited > time.Second {
			t.Errorf("got %v after %v, want a rejection when the part is quarantined", err, waited)
		}
		for range 4 {
			if err := <-busy; err != nil {
				t.Error(err)
			}
		}
		w.wait()
	})
}

// TestTrialThatWasNotSentGoesToTheNextRequest covers attempts that end before an upstream
// runs the request.
func TestTrialThatWasNotSentGoesToTheNextRequest(t *testing.T) {
	for name, fail := range map[string]*failure{
		"unreachable": {unreachable: true},
		"refused":     {refused: true},
		"leaving":     {withheld: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newCrashingWorkers(t, 1)
				f := &forwarding{call: streamCall("a", false), promptParts: partKeys("s", []uint64{deadlyPart}), request: request{pool: d.current().pools["s"]}}
				for k := range 3 {
					d.options.Quarantine.RecordCrash(f.promptParts, fmt.Sprint("u", k), 1, "r")
					time.Sleep(time.Second)
				}
				time.Sleep(5 * time.Second)
				for range 3 {
					if err := d.admit(t.Context(), f); err != nil || !f.isTrial {
						t.Fatalf("trial %v, %v; want a trial", f.isTrial, err)
					}
					d.recordAttempt(&slot{ctx: t.Context()}, f, fail)
				}
			})
		})
	}
}

func TestAnsweredStreamIsResumedThoughItsPromptIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := quarantine.New(quarantine.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = q.Run(ctx) }()
		defer cancel()
		calls := atomic.Int64{}
		worker := func(t testing.TB, w *scriptedWorker, nc net.Conn, r *http.Request) {
			if calls.Add(1) > 1 {
				eventsScript(5, endOfChunks)(t, w, nc, r)
				return
			}
			_, _ = nc.Write([]byte(streamHead(r, "") + chunk(eventsUpTo(answeredEvents))))
			for k := range 6 {
				time.Sleep(200 * time.Millisecond)
				q.RecordCrash(partKeys("s", []uint64{sharedPart}), fmt.Sprint("u", k), 1, "r")
			}
			time.Sleep(time.Second)
		}
		d, wait := newPipeForwarder(t, q, worker, worker)
		call := streamCall("a", true)
		call.Class, call.PromptParts = contract.Online, []uint64{sharedPart}
		s := &answerSink{}
		resumedInQuarantine := false
		s.wrote = func() { resumedInQuarantine = resumedInQuarantine || calls.Load() > 1 && q.Len() > 0 }
		if err := d.Forward(t.Context(), call, s); err != nil || s.body.String() != eventsUpTo(5) || !resumedInQuarantine {
			t.Errorf("%v, %d bytes, resumed in quarantine %v; want the whole stream", err, s.body.Len(), resumedInQuarantine)
		}
		wait()
	})
}

func TestBreaksAfterAnAnswerDoNotAccuseThePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := quarantine.New(quarantine.Options{})
		const events = 30
		breaksLate := func(t testing.TB, w *scriptedWorker, nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(streamHead(r, "")))
			for n := range events {
				_, _ = nc.Write([]byte(chunk(event(n + 1))))
				time.Sleep(time.Second)
			}
		}
		calls := atomic.Int64{}
		worker := func(t testing.TB, w *scriptedWorker, nc net.Conn, r *http.Request) {
			if calls.Add(1) == 1 {
				breaksLate(t, w, nc, r)
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
		d, wait := newPipeForwarder(t, q, slices.Repeat([]script{worker}, 10)...)
		call := streamCall("a", true)
		call.Class, call.Deadline, call.MaxAttempts = contract.Batch, time.Now().Add(time.Minute), 8
		call.PromptParts = []uint64{sharedPart}
		if err := d.Forward(t.Context(), call, &answerSink{}); code.Of(err) != code.StreamBroken {
			t.Errorf("%v, want a broken stream", err)
		}
		if n := calls.Load(); n != 8 || q.Len() != 0 {
			t.Errorf("%d attempts, %d quarantined parts; want 8, 0", n, q.Len())
		}
		wait()
	})
}

// newPipeForwarder returns a dispatcher before workers that are connected by pipes.
func newPipeForwarder(t *testing.T, q Quarantine, scripts ...script) (*Dispatcher, func()) {
	t.Helper()
	dial, workers, wait := pipeWorkers(scripts...)
	d, _ := newLoggedForwarder(t, dial, workers...)
	d.options.Quarantine = q
	return d, wait.Wait
}

// startPipeWorker returns a dispatcher before one worker that is connected by pipes.
func startPipeWorker(t *testing.T, s script) *crashingWorkers {
	t.Helper()
	dial, workers, wait := pipeWorkers(s)
	c := &crashingWorkers{wait: wait.Wait}
	c.Dispatcher, c.logs = newLoggedForwarder(t, dial, workers...)
	return c
}
