package upstream

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/contract"
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
