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

// wave is what three workers get of one instance's requests, one each 100 ms, for a
// while.
type wave struct {
	workers []*scriptedWorker
	logs    *observer.ObservedLogs
	// failed counts the requests that had no whole answer.
	failed int
}

// play sends the requests; the first of the three workers does what bad says.
func play(t *testing.T, requests int, bad script) *wave {
	t.Helper()
	sound := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		events(4, endOfChunks)(t, w, c, r)
	}
	dial, workers, wait := virtual(bad, sound, sound)
	d, logs := watched(t, dial, workers...)
	w := &wave{workers: workers, logs: logs}
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

// TestEjectedWorkerIsTriedAgain has a worker that fails for a while and then
// serves: it is left, and gets its share again. Nothing else proves it: requests
// that may run once are not probes, and there are no probes of our own.
func TestEjectedWorkerIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		healed := time.Now().Add(5 * time.Second)
		var after atomic.Int64
		w := play(t, 300, func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			if time.Now().Before(healed) {
				return
			}
			after.Add(1)
			events(4, endOfChunks)(t, w, c, r)
		})
		if w.logs.FilterMessage("upstream ejected").Len() == 0 {
			t.Error("the failing worker was not left")
		}
		if n := after.Load(); n < 40 {
			t.Errorf("%d of 300 requests reached the worker after it had healed", n)
		}
		if w.failed > 5 {
			t.Errorf("%d requests failed at it", w.failed)
		}
	})
}

// TestFailingWorkerIsTriedSeldom: one that never serves gets few requests.
func TestFailingWorkerIsTriedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := play(t, 500, func(testing.TB, *scriptedWorker, net.Conn, *http.Request) {})
		if n := w.workers[0].arrived.Load(); n < 3 || n > 10 {
			t.Errorf("%d of 500 requests reached a worker that fails", n)
		}
	})
}

// TestDifferencesThatNobodyNoticesEjectNobody: a worker that takes 62 ms where
// others take 20, and a quick answer of another form, say nothing bad of anybody.
func TestDifferencesThatNobodyNoticesEjectNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var turn atomic.Int64
		w := play(t, 200, func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			if turn.Add(1) <= 3 {
				raw("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok")(t, w, c, r)
				return
			}
			time.Sleep(62 * time.Millisecond)
			events(4, endOfChunks)(t, w, c, r)
		})
		if n := w.logs.FilterMessage("upstream ejected").Len(); n > 0 || w.failed > 0 {
			t.Errorf("%d ejections, %d failed", n, w.failed)
		}
	})
}
