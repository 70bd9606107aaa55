package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
)

// sharingFleet is a set of instances that share workers and send each other their load
// on every change.
type sharingFleet struct {
	instances []*Dispatcher
	stop      context.CancelFunc
	wait      sync.WaitGroup
}

// digestDelay is the latency between two data centres.
const digestDelay = 2 * time.Millisecond

// newSharingFleet starts n instances, which run until close.
func newSharingFleet(t *testing.T, n int, dial func(context.Context, string, string) (net.Conn, error), workers []*scriptedWorker) *sharingFleet {
	f := &sharingFleet{}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	document := newForwarder(t, workers...).options.Document
	ordinary := contract.Preset{BatchShare: 1, AdmitOnline: true}
	document().Preset, document().Presets = "ordinary", map[string]contract.Preset{"ordinary": ordinary}
	for i := range n {
		d, err := New(Options{Document: document, DataCentre: "a", InstanceID: fmt.Sprint("i", i), Seed: uint64(i + 1), Wire: testWire{},
			Logger: zap.NewNop(), Transport: &http.Transport{DialContext: dial}})
		if err != nil {
			t.Fatal(err)
		}
		d.sched.enableTurns(fmt.Sprint("i", i))
		f.instances = append(f.instances, d)
	}
	for i, d := range f.instances {
		wake := make(chan struct{}, 1)
		d.sched.setOnLoadChange(func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		f.wait.Go(func() { f.sendDigests(ctx, i, wake) })
		f.wait.Go(func() {
			runEvery(ctx, 100*time.Millisecond, func(context.Context) { d.current(); d.sched.sweep(time.Now()) })
		})
	}
	return f
}

// sendDigests passes an instance's digest to the others after each change.
func (f *sharingFleet) sendDigests(ctx context.Context, i int, wake chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-time.After(broadcastRefreshInterval):
		}
		time.Sleep(digestDelay)
		digest := f.instances[i].Digest()
		for j, other := range f.instances {
			if j != i {
				other.ObserveDigest(fmt.Sprint("i", i), digest)
			}
		}
	}
}

func (f *sharingFleet) close() {
	f.stop()
	f.wait.Wait()
}

// answerEvents is the number of events in an answer of queueingWorkers.
const answerEvents = 10

// queueingWorkers returns scripts of workers that accept any number of requests and run
// as many at a time as they have slots, each for runTime. tooMany counts the requests
// that had to wait at a worker.
func queueingWorkers(n, slots int, runTime time.Duration, tooMany *atomic.Int64) []script {
	scripts := make([]script, n)
	for i := range scripts {
		free := make(chan struct{}, slots)
		scripts[i] = func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			start := time.Now()
			free <- struct{}{}
			if time.Since(start) > 0 {
				tooMany.Add(1)
			}
			defer func() { <-free }()
			_, _ = c.Write([]byte(streamHead(r, "")))
			for n := 1; n <= answerEvents; n++ {
				time.Sleep(runTime / answerEvents)
				_, _ = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
	}
	return scripts
}

// TestMoreBatchWorkThanSlotsIsDoneInTimeAsFarAsItCanBe submits jobs of ten items for a
// minute, one and a half times as many as the workers can run. Each instance has at
// most one job at a time. Items that can be in time must run before late ones,
// whichever instance they wait at. Instances must not all start on the slots that
// become free together, since items would then wait at a worker while more urgent ones
// wait for a slot.
func TestMoreBatchWorkThanSlotsIsDoneInTimeAsFarAsItCanBe(t *testing.T) {
	const (
		instances, workers = 24, 4
		slots              = workers * 4 // newForwarder gives each worker 4 slots.
		runTime            = time.Second
		dueIn              = 5 * time.Second
		load               = 1.5
		jobItems           = 10
		jobs               = int(load * slots * 60 / jobItems)
	)
	synctest.Test(t, func(t *testing.T) {
		var tooMany atomic.Int64 // items that found no free slot at their worker
		scripts := queueingWorkers(workers, slots/workers, runTime, &tooMany)
		dial, all, wait := pipeWorkers(scripts...)
		f := newSharingFleet(t, instances, dial, all)
		var inTime atomic.Int64
		var callers sync.WaitGroup
		for i := range jobs * jobItems {
			if i%jobItems == 0 {
				time.Sleep(time.Minute / time.Duration(jobs))
			}
			call := streamCall(fmt.Sprint(i), true)
			call.Class, call.Due = contract.Batch, time.Now().Add(dueIn)
			call.ExpectedTokens = int(runTime / defaultTimePerToken)
			call.Deadline = time.Now().Add(5 * time.Minute)
			callers.Go(func() {
				if err := f.instances[i/jobItems%instances].Forward(t.Context(), call, &answerSink{}); err != nil {
					t.Error(err)
				}
				if time.Now().Before(call.Due) {
					inTime.Add(1)
				}
			})
		}
		callers.Wait()
		f.close()
		wait.Wait()
		possible := slots * 60 * int64(time.Second/runTime)
		t.Logf("%d of %d items in time, the workers can run %d; %d found no slot at their worker", inTime.Load(), jobs*jobItems, possible, tooMany.Load())
		if 100*inTime.Load() < 95*possible {
			t.Errorf("%d items in time, want at least 95 %% of the %d that the workers can run", inTime.Load(), possible)
		}
		if 100*tooMany.Load() > int64(5*jobs*jobItems) {
			t.Errorf("%d of %d items found no slot at their worker, want at most 5 %%", tooMany.Load(), jobs*jobItems)
		}
	})
}
