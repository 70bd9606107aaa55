package upstream

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/quarantine"
)

// TestSilenceDoesNotEndTheLastAttempt has workers that pause in the middle of every
// answer, for less than the silence that the caller tolerates.
func TestSilenceDoesNotEndTheLastAttempt(t *testing.T) {
	const silenceLimit, pause, last = 2 * time.Second, 1500 * time.Millisecond, 6
	pausing := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		after := 0
		_, _ = fmt.Sscanf(r.Header.Get("After"), "%d", &after)
		_, err := c.Write([]byte(streamHead(r, "") + chunk(event(after+1))))
		time.Sleep(pause)
		for n := after + 2; n <= last && err == nil; n++ {
			_, err = c.Write([]byte(chunk(event(n))))
		}
		_, _ = c.Write([]byte(endOfChunks))
	}
	for _, attempts := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d attempts", attempts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, workers, wait := pipeWorkers(pausing, pausing, pausing)
				d, logs := newLoggedForwarder(t, dial, workers...)
				call, sink := streamCall("a", true), &answerSink{}
				call.MaxAttempts, call.Deadline, call.MaxGap = attempts, time.Now().Add(time.Minute), silenceLimit
				if err := d.Forward(t.Context(), call, sink); err != nil {
					t.Errorf("the answer was broken off: %v", err)
				}
				if diff := cmp.Diff(eventsUpTo(last), sink.body.String()); diff != "" {
					t.Error(diff)
				}
				if again := logs.FilterMessage("forwarding again").Len(); again != attempts-1 {
					t.Errorf("%d attempts timed out, want all but the last of %d", again, attempts)
				}
				wait.Wait()
			})
		})
	}
}

// TestSilentStreamIsKeptWhileNoOtherUpstreamHasRoom has a worker that pauses in the
// middle of its answer while other requests hold every slot of the other worker.
func TestSilentStreamIsKeptWhileNoOtherUpstreamHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silenceLimit, pause, last = 2 * time.Second, 1500 * time.Millisecond, 6
		pausing := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			_, err := c.Write([]byte(streamHead(r, "") + chunk(event(1))))
			time.Sleep(pause)
			for n := 2; n <= last && err == nil; n++ {
				_, err = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
		dial, workers, wait := pipeWorkers(pausing, pausing)
		d, logs := newLoggedForwarder(t, dial, workers...)
		p, err := d.current().pool("s", contract.KindRouted)
		if err != nil {
			t.Fatal(err)
		}
		var held []*slot
		other := request{pool: p, deadline: time.Now().Add(time.Minute)}
		call, sink := streamCall("a", true), &answerSink{}
		call.Deadline, call.MaxGap = time.Now().Add(time.Minute), silenceLimit
		sink.wrote = func() {
			if held != nil {
				return
			}
			for g := d.sched.tryAcquire(t.Context(), other); g != nil; g = d.sched.tryAcquire(t.Context(), other) {
				held = append(held, g)
			}
		}
		if err := d.Forward(t.Context(), call, sink); err != nil {
			t.Errorf("the answer was broken off: %v", err)
		}
		if diff := cmp.Diff(eventsUpTo(last), sink.body.String()); diff != "" {
			t.Error(diff)
		}
		if len(held) == 0 || logs.FilterMessage("forwarding again").Len() != 0 {
			t.Errorf("%d slots were held, log %v", len(held), logs.All())
		}
		for _, g := range held {
			d.sched.release(g, time.Now())
		}
		wait.Wait()
	})
}

// fallsSilent returns a script whose worker falls silent behind the first events of its
// first request, and answers later ones.
func fallsSilent(events, last int) script {
	var requests atomic.Int64
	return func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		if requests.Add(1) > 1 {
			eventsScript(last, endOfChunks)(t, w, c, r)
			return
		}
		text := streamHead(r, "")
		for n := 1; n <= events; n++ {
			text += chunk(event(n))
		}
		_, _ = c.Write([]byte(text))
		_, _ = c.Read(make([]byte, 1))
	}
}

// batchCall returns a batch request like that of an item whose job is due in window and
// is given up some time later.
func batchCall(id string, window time.Duration) *contract.ForwardRequest {
	call := streamCall(id, true)
	call.Class, call.Due, call.Deadline = contract.Batch, time.Now().Add(window), time.Now().Add(3*window)
	return call
}

// TestItemLeavesASilentConnectionToTheOnlyUpstream has a connection that falls silent
// while the upstream itself is sound.
func TestItemLeavesASilentConnectionToTheOnlyUpstream(t *testing.T) {
	const window, last = 18 * time.Second, 6
	for _, events := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, workers, wait := pipeWorkers(fallsSilent(events, last))
				d, _ := newLoggedForwarder(t, dial, workers...)
				call, sink := batchCall("a", window), &answerSink{}
				if err := d.Forward(t.Context(), call, sink); err != nil {
					t.Error(err)
				}
				if !time.Now().Before(call.Due) {
					t.Errorf("the item was done %v after it was due", time.Since(call.Due))
				}
				if diff := cmp.Diff(eventsUpTo(last), sink.body.String()); diff != "" {
					t.Error(diff)
				}
				wait.Wait()
			})
		})
	}
}

// TestPauseDoesNotEndTheRunOfAnItem has a sound upstream that pauses for longer than it
// usually takes between two events.
func TestPauseDoesNotEndTheRunOfAnItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window, pause, last = 18 * time.Second, 1500 * time.Millisecond, 20
		var pausing atomic.Bool
		worker := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			_, err := c.Write([]byte(streamHead(r, "")))
			for n := 1; n <= last && err == nil; n++ {
				time.Sleep(10 * time.Millisecond)
				if n == last/2 && pausing.Load() {
					time.Sleep(pause)
				}
				_, err = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
		dial, workers, wait := pipeWorkers(worker, worker)
		d, logs := newLoggedForwarder(t, dial, workers...)
		for i, paused := range []bool{false, false, false, false, true} {
			pausing.Store(paused)
			sink := &answerSink{}
			if err := d.Forward(t.Context(), batchCall(fmt.Sprint(i), window), sink); err != nil {
				t.Error(err)
			}
			d.sched.sweep(time.Now())
		}
		if again := logs.FilterMessage("forwarding again").Len(); again != 0 {
			t.Errorf("a sound upstream was left %d times", again)
		}
		wait.Wait()
	})
}

// TestItemOfADarkUpstreamGoesOnOnceLatenciesAreKnown has an upstream that goes dark while
// no latency has been observed. Another item shows how long an event takes.
func TestItemOfADarkUpstreamGoesOnOnceLatenciesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window, spacing, last = time.Hour, 60 * time.Millisecond, 60
		streaming := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			_, err := c.Write([]byte(streamHead(r, "")))
			for n := 1; n <= last && err == nil; n++ {
				time.Sleep(spacing)
				_, err = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
		dark := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			_, _ = c.Write([]byte(streamHead(r, "") + chunk(event(1))))
			_, _ = c.Read(make([]byte, 1))
		}
		dial, workers, wait := pipeWorkers(dark, streaming)
		d, logs := newLoggedForwarder(t, dial, workers...)
		begin := time.Now()
		for i := range 8 {
			wait.Go(func() {
				if err := d.Forward(t.Context(), batchCall(fmt.Sprint(i), window), &answerSink{}); err != nil {
					t.Error(err)
				}
			})
		}
		done := make(chan struct{})
		go func() { wait.Wait(); close(done) }()
		for running := true; running; {
			d.sched.sweep(time.Now())
			select {
			case <-done:
				running = false
			case <-time.After(DefaultSweepInterval):
			}
		}
		if logs.FilterMessage("forwarding again").Len() == 0 {
			t.Error("no item ran at the upstream that went dark")
		}
		// The items that run undisturbed show the spacing, upon which the others go on.
		timeout := batchTimeoutFactor * tokenTimeoutSpacings * spacing
		if took := time.Since(begin); took > timeout+3*last*spacing {
			t.Errorf("the items took %v, want that those of the dark upstream go on after %v", took, timeout)
		}
	})
}

// TestSilenceLimitIsDeterminedAgain changes the limit of an attempt while its upstream is
// silent.
func TestSilenceLimitIsDeterminedAgain(t *testing.T) {
	for name, c := range map[string]struct{ before, after, want time.Duration }{
		"shorter": {40 * time.Second, 3 * time.Second, 3 * time.Second},
		"longer":  {500 * time.Millisecond, 10 * time.Second, 10 * time.Second},
		"over":    {40 * time.Second, time.Millisecond, silenceCheckInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var limit atomic.Int64
				limit.Store(int64(c.before))
				ended := make(chan time.Time, 1)
				s := &silenceTimer{
					limit: func(time.Time, bool) time.Duration { return time.Duration(limit.Load()) },
					end:   func() { ended <- time.Now() },
				}
				begin := time.Now()
				s.start()
				defer s.stop()
				limit.Store(int64(c.after))
				if got := (<-ended).Sub(begin); got != c.want {
					t.Errorf("the attempt ended after %v, want %v", got, c.want)
				}
			})
		})
	}
}

// TestRequestThatMayRunOnceWaitsForItsDeadline has an upstream that answers shortly before
// the deadline of a request that nobody else may run.
func TestRequestThatMayRunOnceWaitsForItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout, last = 10 * time.Second, 3
		late := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			time.Sleep(timeout - time.Second)
			eventsScript(last, endOfChunks)(t, w, c, r)
		}
		dial, workers, wait := pipeWorkers(late, late)
		d, _ := newLoggedForwarder(t, dial, workers...)
		call, sink := streamCall("a", false), &answerSink{}
		call.Deadline = time.Now().Add(timeout)
		if err := d.Forward(t.Context(), call, sink); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(eventsUpTo(last), sink.body.String()); diff != "" {
			t.Error(diff)
		}
		wait.Wait()
	})
}

// TestPauseDoesNotEndAnAnswerThatNobodyElseCanFinish has sound upstreams that pause behind
// data after which no other upstream can go on.
func TestPauseDoesNotEndAnAnswerThatNobodyElseCanFinish(t *testing.T) {
	const pause, last = 1500 * time.Millisecond, 4
	body := strings.Repeat("x", bufferedBodyBytes+(16<<10))
	unnumbered := strings.Repeat("data: piece\n\n", last)
	for name, c := range map[string]struct{ begin, end, want string }{
		"long body":                 {body[:bufferedBodyBytes+1], body[bufferedBodyBytes+1:], body},
		"events without a position": {unnumbered[:len(unnumbered)/2], unnumbered[len(unnumbered)/2:], unnumbered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pausing := func(_ testing.TB, _ *scriptedWorker, nc net.Conn, r *http.Request) {
					kind := "text/plain"
					if strings.HasPrefix(c.begin, "data:") {
						kind = "text/event-stream"
					}
					_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
						r.Header.Get("Id"), kind, len(c.want), c.begin)
					time.Sleep(pause)
					_, _ = nc.Write([]byte(c.end))
				}
				dial, workers, wait := pipeWorkers(pausing, pausing)
				d, _ := newLoggedForwarder(t, dial, workers...)
				call, sink := streamCall("a", true), &answerSink{}
				call.MaxGap = 2 * time.Second
				if err := d.Forward(t.Context(), call, sink); err != nil {
					t.Errorf("the answer was broken off: %v", err)
				}
				if sink.body.String() != c.want {
					t.Errorf("the caller got %d bytes of %d", sink.body.Len(), len(c.want))
				}
				wait.Wait()
			})
		})
	}
}

// finishTime is the shortest time in which accepted items have to be done once their
// upstreams are sound and idle, on the deployments of the users.
const finishTime = 18 * time.Second

// silentAtFirst returns a script whose workers fall silent behind the first events of the
// first n requests, and answer later ones after a while.
func silentAtFirst(n int64, events, last int) script {
	var requests atomic.Int64
	return func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		if requests.Add(1) > n {
			time.Sleep(700 * time.Millisecond)
			eventsScript(last, endOfChunks)(t, w, c, r)
			return
		}
		text := ""
		if events > 0 {
			text = streamHead(r, "")
		}
		for n := 1; n <= events; n++ {
			text += chunk(event(n))
		}
		_, _ = c.Write([]byte(text))
		_, _ = c.Read(make([]byte, 1))
	}
}

// forwardItem calls Forward until an item is done, as a job does, and checks its text.
func forwardItem(t *testing.T, d *Dispatcher, call *contract.ForwardRequest, last int) {
	sink := &answerSink{}
	for d.Forward(t.Context(), call, sink) != nil && time.Now().Before(call.Deadline) {
		call.LastEventID = lastEventOf(sink)
		call.ReceivedEvents = strings.Count(sink.body.String(), "id: ")
		time.Sleep(100 * time.Millisecond)
	}
	if diff := cmp.Diff(eventsUpTo(last), sink.body.String()); diff != "" {
		t.Errorf("item %s: %s", call.RequestID, diff)
	}
}

// lastEventOf returns the id of the last event that a sink has received.
func lastEventOf(s *answerSink) string {
	text := s.body.String()
	i := strings.LastIndex(text, "id: ")
	if i < 0 {
		return ""
	}
	id, _, _ := strings.Cut(text[i+len("id: "):], "\n")
	return id
}

// TestItemsOnSilentConnectionsAreDoneInTime guards against waits for silent connections that
// outlast the time to finish, whatever has been observed before and whenever the item is due.
func TestItemsOnSilentConnectionsAreDoneInTime(t *testing.T) {
	const last, items, window = 6, 2, 18 * time.Second
	for _, workers := range []int{1, 3} {
		for _, events := range []int{0, 1, 3} {
			for _, times := range []int64{1, 2} {
				for name, due := range map[string]time.Duration{"due soon": time.Second, "due later": window, "due in an hour": time.Hour, "overdue": -time.Second} {
					t.Run(fmt.Sprintf("%d workers, silent after %d events, %d times, %s", workers, events, times, name), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							silent := silentAtFirst(times*items, events, last)
							scripts := make([]script, workers)
							for i := range scripts {
								scripts[i] = silent
							}
							dial, scripted, wait := pipeWorkers(scripts...)
							d, logs := newLoggedForwarder(t, dial, scripted...)
							stop := sweepRegularly(d)
							begin := time.Now()
							var running sync.WaitGroup
							for i := range items {
								running.Go(func() {
									call := batchCall(fmt.Sprint("item", i), window)
									call.Due, call.Deadline = begin.Add(due), begin.Add(max(due, 0)+42*time.Second)
									forwardItem(t, d, call, last)
								})
							}
							running.Wait()
							if took := time.Since(begin); took > finishTime {
								t.Errorf("the items took %v", took)
							}
							if n := logs.FilterMessage("sent").Len(); n < items {
								t.Errorf("%d attempts", n)
							}
							stop()
							wait.Wait()
						})
					})
				}
			}
		}
	}
}

// sweepRegularly updates the health of the upstreams as Dispatcher.Run does.
func sweepRegularly(d *Dispatcher) (stop func()) {
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(DefaultSweepInterval):
				d.sched.sweep(time.Now())
			}
		}
	}()
	return func() { close(stopped); <-done }
}

// TestSlowUpstreamKeepsTheRunOfAnItem has sound upstreams that need long for a first event,
// at an instance that has observed nothing yet.
func TestSlowUpstreamKeepsTheRunOfAnItem(t *testing.T) {
	const last, items = 6, 2
	for _, workers := range []int{1, 3} {
		for _, first := range []time.Duration{3 * time.Second, 6 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprintf("%d workers, first event after %v", workers, first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var whole atomic.Int64
					slow := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
						time.Sleep(first)
						_, err := c.Write([]byte(streamHead(r, "")))
						for n := 1; n <= last && err == nil; n++ {
							_, err = c.Write([]byte(chunk(event(n))))
							time.Sleep(10 * time.Millisecond)
						}
						if _, err = c.Write([]byte(endOfChunks)); err == nil {
							whole.Add(1)
						}
					}
					scripts := make([]script, workers)
					for i := range scripts {
						scripts[i] = slow
					}
					dial, scripted, wait := pipeWorkers(scripts...)
					d, _ := newLoggedForwarder(t, dial, scripted...)
					stop := sweepRegularly(d)
					begin := time.Now()
					var running sync.WaitGroup
					for i := range items {
						running.Go(func() { forwardItem(t, d, batchCall(fmt.Sprint("item", i), time.Hour), last) })
					}
					running.Wait()
					if took := time.Since(begin); took > first+time.Second {
						t.Errorf("the items took %v at upstreams that need %v", took, first)
					}
					stop()
					wait.Wait()
					if n := whole.Load(); n != items {
						t.Errorf("%d whole runs of %d items", n, items)
					}
				})
			})
		}
	}
}

// TestSecondAttemptIsNotMadeForPromptsHeldBack guards against second attempts that take a
// quarantined prompt, or the trial of one, to a further upstream.
func TestSecondAttemptIsNotMadeForPromptsHeldBack(t *testing.T) {
	for name, isTrial := range map[string]bool{"quarantined while silent": false, "trial": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := quarantine.New(quarantine.Options{})
				silent := silentAtFirst(math.MaxInt64, 0, 1)
				dial, workers, wait := pipeWorkers(silent, silent)
				d, logs := newLoggedForwarder(t, dial, workers...)
				d.options.Quarantine = q
				accuse := func() {
					for k := range 3 {
						q.RecordCrash(partKeys("s", []uint64{deadlyPart}), fmt.Sprint("u", k), 1, "r")
						time.Sleep(200 * time.Millisecond)
					}
				}
				if isTrial {
					accuse()
					time.Sleep(5 * time.Second)
				}
				ctx, cancel := context.WithTimeout(t.Context(), defaultBatchSilenceLimit+2*time.Second)
				call := batchCall("a", time.Hour)
				call.PromptParts = []uint64{deadlyPart}
				done := make(chan error)
				go func() { done <- d.Forward(ctx, call, &answerSink{}) }()
				time.Sleep(time.Second)
				if !isTrial {
					accuse()
				}
				<-done
				cancel()
				wait.Wait()
				if n := workers[0].requestCount.Load() + workers[1].requestCount.Load(); n != 1 {
					t.Errorf("the prompt reached upstreams %d times, want once; %v", n, logs.All())
				}
			})
		})
	}
}
