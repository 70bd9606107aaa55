package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zaptest/observer"

	"github.com/daisylb/daisylb/contract"
)

// workerRun is the result of requests that one instance sends to three workers, one
// every 100 ms.
type workerRun struct {
	workers []*scriptedWorker
	logs    *observer.ObservedLogs
	// failed counts the requests without a complete answer.
	failed int
}

// runRequests sends the requests. The first of the three workers runs the script faulty,
// the other two serve every request.
func runRequests(t *testing.T, requests int, faulty script) *workerRun {
	t.Helper()
	healthy := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		eventsScript(4, endOfChunks)(t, w, c, r)
	}
	dial, workers, wait := pipeWorkers(faulty, healthy, healthy)
	d, logs := newLoggedForwarder(t, dial, workers...)
	w := &workerRun{workers: workers, logs: logs}
	for i := range requests {
		call := streamCall(fmt.Sprint(i), false)
		call.Class, call.Deadline = contract.Online, time.Now().Add(2*time.Second)
		if err := d.Forward(t.Context(), call, &answerSink{}); err != nil {
			w.failed++
		}
		time.Sleep(100 * time.Millisecond)
		d.sched.sweep(time.Now())
	}
	wait.Wait()
	return w
}

// TestEjectedWorkerIsTriedAgain has a worker that fails for a while and then recovers:
// it must be ejected, and later get its share of requests again. Only ordinary requests
// can show that it has recovered: a request that must not be repeated is not used as a
// probe, and workers of routed services get no probe requests.
func TestEjectedWorkerIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recovered := time.Now().Add(5 * time.Second)
		var after atomic.Int64
		w := runRequests(t, 300, func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			if time.Now().Before(recovered) {
				return
			}
			after.Add(1)
			eventsScript(4, endOfChunks)(t, w, c, r)
		})
		if w.logs.FilterMessage("upstream ejected").Len() == 0 {
			t.Error("the failing worker was not ejected")
		}
		if n := after.Load(); n < 40 {
			t.Errorf("%d of 300 requests reached the worker after it had recovered, want at least 40", n)
		}
		if w.failed > 5 {
			t.Errorf("%d requests failed, want at most 5", w.failed)
		}
	})
}

// TestFailingWorkerGetsFewRequests checks that a worker that fails every request gets
// few of them.
func TestFailingWorkerGetsFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := runRequests(t, 500, func(testing.TB, *scriptedWorker, net.Conn, *http.Request) {})
		if n := w.workers[0].requestCount.Load(); n < 3 || n > 10 {
			t.Errorf("%d of 500 requests reached the failing worker, want 3 to 10", n)
		}
	})
}

// TestSmallDifferencesEjectNoWorker checks that neither a worker that takes 62 ms where
// others take 20 ms, nor a fast plain response to a request for a stream leads to an
// ejection.
func TestSmallDifferencesEjectNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int64
		w := runRequests(t, 200, func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			if attempts.Add(1) <= 3 {
				rawScript("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok")(t, w, c, r)
				return
			}
			time.Sleep(62 * time.Millisecond)
			eventsScript(4, endOfChunks)(t, w, c, r)
		})
		if n := w.logs.FilterMessage("upstream ejected").Len(); n > 0 || w.failed > 0 {
			t.Errorf("%d ejections and %d failed requests, want none", n, w.failed)
		}
	})
}
