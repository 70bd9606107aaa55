package upstream

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// TestWavesOverCapacityAreOnTimeAsFarAsTheyCanBe sends waves of online requests to many
// instances, at the peak a fifth more than the workers can run; each instance has only
// a few requests at a time. Late requests must wait until the load falls, whichever
// instance they wait at, so that later ones are on time. Only one instance may start on
// a slot that becomes free, since the other requests would wait at the worker.
func TestWavesOverCapacityAreOnTimeAsFarAsTheyCanBe(t *testing.T) {
	const (
		instances, workers = 24, 8
		slots              = workers * 4 // newForwarder gives each worker 4 slots.
		runTime            = 740 * time.Millisecond
		objective          = 300 * time.Millisecond
		callerTimeout      = 5 * time.Second
		period, peak       = 5200 * time.Millisecond, 2200 * time.Millisecond
		overload           = 1.2
		trough             = 0.3
		waves              = 6
	)
	synctest.Test(t, func(t *testing.T) {
		var tooMany atomic.Int64 // requests that found no free slot at their worker
		scripts := queueingWorkers(workers, slots/workers, runTime, &tooMany)
		dial, all, wait := pipeWorkers(scripts...)
		f := newSharingFleet(t, instances, dial, all)
		var late, failed atomic.Int64
		var callers sync.WaitGroup
		start, sent := time.Now(), 0
		capacity := float64(slots) / runTime.Seconds()
		for time.Since(start) < waves*period {
			phase := time.Since(start) % period
			rate := trough * capacity
			if phase < peak {
				rate = overload * capacity
			}
			time.Sleep(time.Duration(float64(time.Second) / rate))
			call := streamCall(fmt.Sprint(sent), true)
			call.Class, call.Deadline = contract.Online, time.Now().Add(callerTimeout)
			call.Objective = objective
			call.ExpectedTokens = int(runTime / defaultTimePerToken)
			due, once := time.Now().Add(objective), sync.Once{}
			sink := &answerSink{wrote: func() {
				once.Do(func() {
					if time.Now().After(due) {
						late.Add(1)
					}
				})
			}}
			instance := f.instances[sent%instances]
			callers.Go(func() {
				if err := instance.Forward(t.Context(), call, sink); err != nil {
					failed.Add(1)
				}
			})
			sent++
		}
		callers.Wait()
		f.close()
		wait.Wait()
		// minLate is the number of requests that arrive beyond the capacity at the
		// peaks, minus those that can wait and still be on time.
		minLate := waves * ((overload-1)*peak.Seconds() - (objective - runTime/answerEvents).Seconds()) * capacity
		t.Logf("%d sent, %d late, at least %.0f must be; %d failed; %d found no slot at their worker", sent, late.Load(), minLate, failed.Load(), tooMany.Load())
		if float64(late.Load()) > 2*minLate {
			t.Errorf("%d late, want at most twice the unavoidable %.0f", late.Load(), minLate)
		}
		if 100*tooMany.Load() > int64(6*sent) || failed.Load() > 0 {
			t.Errorf("%d of %d found no slot at their worker, want at most 6 %%; %d failed, want 0", tooMany.Load(), sent, failed.Load())
		}
	})
}
