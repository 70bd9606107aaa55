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

// TestWavesOverCapacityAreOnTimeAsFarAsTheyCanBe sends waves of online requests, a fifth
// more than the workers can do, to many instances, each of which has a few at a time.
// What is late already waits for the trough, wherever it waits, so that what comes later
// is on time; and a slot that becomes free is not begun on by several instances, whose
// requests would wait at the worker.
func TestWavesOverCapacityAreOnTimeAsFarAsTheyCanBe(t *testing.T) {
	const (
		instances, workers = 24, 8
		slots              = workers * 4 // of forwarder
		runTime            = 740 * time.Millisecond
		objective          = 300 * time.Millisecond
		patience           = 5 * time.Second
		period, crest      = 5200 * time.Millisecond, 2200 * time.Millisecond
		over               = 1.2
		trough             = 0.3
		waves              = 6
	)
	synctest.Test(t, func(t *testing.T) {
		var tooMany atomic.Int64 // Requests that found no slot at their worker.
		scripts := queueingWorkers(workers, slots/workers, runTime, &tooMany)
		dial, all, wait := virtual(scripts...)
		f := newSharingFleet(t, instances, dial, all)
		var late, lost atomic.Int64
		var callers sync.WaitGroup
		began, sent := time.Now(), 0
		capacity := float64(slots) / runTime.Seconds()
		for time.Since(began) < waves*period {
			at := time.Since(began) % period
			rate := trough * capacity
			if at < crest {
				rate = over * capacity
			}
			time.Sleep(time.Duration(float64(time.Second) / rate))
			call := streamCall(fmt.Sprint(sent), true)
			call.Class, call.Deadline = contract.Online, time.Now().Add(patience)
			call.Objective = objective
			call.Tokens = int(runTime / defaultPerToken)
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
					lost.Add(1)
				}
			})
			sent++
		}
		callers.Wait()
		f.close()
		wait.Wait()
		// What is asked beyond the capacity of a crest, and of the time that a request may
		// wait and be on time.
		least := waves * ((over-1)*crest.Seconds() - (objective - runTime/answerEvents).Seconds()) * capacity
		t.Logf("%d sent, %d late, %.0f at the least; %d lost; %d found no slot at their worker", sent, late.Load(), least, lost.Load(), tooMany.Load())
		if float64(late.Load()) > 2*least {
			t.Errorf("%d late, %.0f have to be", late.Load(), least)
		}
		if 100*tooMany.Load() > int64(6*sent) || lost.Load() > 0 {
			t.Errorf("%d of %d found no slot at their worker, %d were lost", tooMany.Load(), sent, lost.Load())
		}
	})
}
