package upstream

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
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
