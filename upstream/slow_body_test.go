package upstream

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestUpstreamThatSendsABodySlowlyIsNotSilent has bodies that arrive byte by byte.
func TestUpstreamThatSendsABodySlowlyIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxGap, pause, size = 2 * time.Second, 200 * time.Millisecond, 20
		runs := 0
		slow := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			runs++
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), size)
			for n := 0; n < size && err == nil; n++ {
				time.Sleep(pause)
				_, err = c.Write([]byte("x"))
			}
		}
		dial, workers, wait := pipeWorkers(slow, slow)
		d, logs := newLoggedForwarder(t, dial, workers...)
		call, sink := streamCall("a", true), &answerSink{}
		call.Stream, call.Resumable = false, false
		call.Deadline, call.MaxGap = time.Now().Add(time.Minute), maxGap
		err := d.Forward(t.Context(), call, sink)
		if err != nil || sink.body.Len() != size || runs != 1 {
			t.Errorf("%v, %d bytes, %d runs, log %v", err, sink.body.Len(), runs, logs.FilterMessage("forwarding again").All())
		}
		wait.Wait()
	})
}
