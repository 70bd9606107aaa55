package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
)

func TestBatchWorkGetsAllSlotsAgainAfterSlowOnlineRequestsHaveEnded(t *testing.T) {
	const (
		workers, slots = 3, 4 // newForwarder gives each worker 4 slots.
		quiet          = 20 * time.Second
		batchRunTime   = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		var batch atomic.Bool
		var running, mostRunning atomic.Int64
		scripts := make([]script, workers)
		for i := range scripts {
			firstToken := 50 * time.Millisecond
			if i == 0 {
				firstToken = 400 * time.Millisecond
			}
			scripts[i] = func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
				if batch.Load() {
					mostRunning.Store(max(running.Add(1), mostRunning.Load()))
					defer running.Add(-1)
					time.Sleep(batchRunTime)
				}
				time.Sleep(firstToken)
				_, _ = c.Write([]byte(streamHead(r, "") + chunk(event(1)) + endOfChunks))
			}
		}
		dial, all, wait := pipeWorkers(scripts...)
		f := newSharingFleet(t, 1, dial, all)
		d := f.instances[0]
		send := func(class contract.Class, n int) {
			var callers sync.WaitGroup
			for i := range n {
				call := streamCall(fmt.Sprint(time.Now(), i), true)
				call.Class = class
				callers.Go(func() {
					if err := d.Forward(t.Context(), call, &answerSink{}); err != nil {
						t.Error(err)
					}
				})
			}
			callers.Wait()
		}
		limit := func() int { return d.State().Upstreams[0].Limit }
		lowest := slots
		for range 100 {
			send(contract.Online, workers*slots)
			lowest = min(lowest, limit())
		}
		if lowest >= slots {
			t.Errorf("the limit of the slow worker stays %d of %d slots while it is slow", lowest, slots)
		}
		time.Sleep(quiet)
		batch.Store(true)
		send(contract.Batch, workers*slots)
		if n := mostRunning.Load(); n != workers*slots {
			t.Errorf("%d batch requests ran at a time, want %d; the limit of the slow worker is %d", n, workers*slots, limit())
		}
		f.close()
		wait.Wait()
	})
}
