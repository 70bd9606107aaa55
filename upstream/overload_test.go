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

// sharingFleet is a number of instances that share workers and tell each other of
// every change of their load.
type sharingFleet struct {
	instances []*Dispatcher
	stop      context.CancelFunc
	wait      sync.WaitGroup
}

// digestDelay is the distance between two data centres.
const digestDelay = 2 * time.Millisecond

func newSharingFleet(t *testing.T, n int, dial func(context.Context, string, string) (net.Conn, error), workers []*scriptedWorker) *sharingFleet {
	f := &sharingFleet{}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	document := forwarder(t, workers...).options.Document
	ordinary := contract.Preset{BatchShare: 1, AdmitOnline: true}
	document().Preset, document().Presets = "ordinary", map[string]contract.Preset{"ordinary": ordinary}
	for i := range n {
		d, err := New(Options{Document: document, DataCentre: "a", InstanceID: fmt.Sprint("i", i), Seed: uint64(i + 1), Wire: testWire{},
			Logger: zap.NewNop(), Transport: &http.Transport{DialContext: dial}})
		if err != nil {
			t.Fatal(err)
		}
		d.sched.share(fmt.Sprint("i", i))
		f.instances = append(f.instances, d)
	}
	for i, d := range f.instances {
		wake := make(chan struct{}, 1)
		d.sched.setChanged(func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		f.wait.Go(func() { f.tell(ctx, i, wake) })
		f.wait.Go(func() {
			repeat(ctx, 100*time.Millisecond, func(context.Context) { d.current(); d.sched.sweep(time.Now()) })
		})
	}
	return f
}

// tell gives an instance's digest to the others after each change.
func (f *sharingFleet) tell(ctx context.Context, i int, wake chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-time.After(broadcastRefresh):
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

// answerEvents is the number of events of an answer of queueingWorkers.
const answerEvents = 10

// queueingWorkers are workers that take any number of requests and run as many at a time
// as they have slots, each for a time; tooMany counts those that had to wait.
func queueingWorkers(n, slots int, runTime time.Duration, tooMany *atomic.Int64) []script {
	scripts := make([]script, n)
	for i := range scripts {
		room := make(chan struct{}, slots)
		scripts[i] = func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			began := time.Now()
			room <- struct{}{}
			if time.Since(began) > 0 {
				tooMany.Add(1)
			}
			defer func() { <-room }()
			_, _ = c.Write([]byte(head(r, "")))
			for n := 1; n <= answerEvents; n++ {
				time.Sleep(runTime / answerEvents)
				_, _ = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
	}
	return scripts
}

// TestMoreBatchWorkThanSlotsIsDoneInTimeAsFarAsItCanBe sends a fleet jobs of ten
// items, half as much again as its workers can do, for a minute. Each instance has
// one job at a time or none: what can be in time goes before what is late already,
// wherever it waits, and slots that become free together are not started on by every
// instance at once, so that work does not wait at a worker in place of better work.
func TestMoreBatchWorkThanSlotsIsDoneInTimeAsFarAsItCanBe(t *testing.T) {
	const (
		instances, workers = 24, 4
		slots              = workers * 4 // of forwarder
		runTime            = time.Second
		dueIn              = 5 * time.Second
		load               = 1.5
		jobItems           = 10
		jobs               = int(load * slots * 60 / jobItems)
	)
	synctest.Test(t, func(t *testing.T) {
		var tooMany atomic.Int64 // Items that found no slot at their worker.
		scripts := queueingWorkers(workers, slots/workers, runTime, &tooMany)
		dial, all, wait := virtual(scripts...)
		f := newSharingFleet(t, instances, dial, all)
		var inTime atomic.Int64
		var callers sync.WaitGroup
		for i := range jobs * jobItems {
			if i%jobItems == 0 {
				time.Sleep(time.Minute / time.Duration(jobs))
			}
			call := streamCall(fmt.Sprint(i), true)
			call.Class, call.Due = contract.Batch, time.Now().Add(dueIn)
			call.Tokens = int(runTime / defaultPerToken)
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
		t.Logf("%d of %d items in time, the workers can do %d; %d found no slot at their worker", inTime.Load(), jobs*jobItems, possible, tooMany.Load())
		if 100*inTime.Load() < 95*possible {
			t.Errorf("%d items in time of the %d that the workers can do", inTime.Load(), possible)
		}
		if 100*tooMany.Load() > int64(5*jobs*jobItems) {
			t.Errorf("%d of %d items found no slot at their worker", tooMany.Load(), jobs*jobItems)
		}
	})
}
