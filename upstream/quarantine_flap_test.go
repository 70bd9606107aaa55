package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/quarantine"
)

const (
	// crashPeriod is the time for which upstreams crash by themselves, on crashPercent of
	// their requests, to be back after crashPause.
	crashPeriod  = 30 * time.Second
	crashPercent = 60
	crashPause   = 300 * time.Millisecond
)

// newUnstableWorkers returns a dispatcher before workers that crash by themselves.
func newUnstableWorkers(t *testing.T, n int, seed uint64) (d *Dispatcher, wait func()) {
	t.Helper()
	startedAt := time.Now()
	rng, mu := rand.New(rand.NewPCG(seed, 1)), sync.Mutex{}
	crashesNow := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(startedAt) < crashPeriod && rng.IntN(100) < crashPercent
	}
	downUntil := map[string]*atomic.Int64{}
	dial, workers, group := pipeWorkers(slices.Repeat([]script{func(t testing.TB, w *scriptedWorker, nc net.Conn, r *http.Request) {
		time.Sleep(answerTime)
		if !crashesNow() {
			eventsScript(5, endOfChunks)(t, w, nc, r)
			return
		}
		downUntil[w.address].Store(time.Now().Add(crashPause).UnixNano())
	}}, n)...)
	for _, w := range workers {
		downUntil[w.address] = &atomic.Int64{}
	}
	d, _ = newLoggedForwarder(t, func(ctx context.Context, network, address string) (net.Conn, error) {
		if time.Now().UnixNano() < downUntil[address].Load() {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}
		return dial(ctx, network, address)
	}, workers...)
	return d, group.Wait
}

// runItem runs an item of a job until it is done.
func runItem(t *testing.T, d *Dispatcher, id string, parts []uint64) {
	deadline := time.Now().Add(5 * time.Minute)
	for {
		call := streamCall(id, true)
		call.Class, call.Deadline, call.PromptParts = contract.Batch, deadline, parts
		err := d.Forward(t.Context(), call, &answerSink{})
		switch {
		case err == nil:
			return
		case t.Context().Err() != nil || time.Now().After(deadline):
			t.Errorf("item %s: %v", id, err)
			return
		case code.Of(err) == code.PromptQuarantined:
			time.Sleep(2 * time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		d.sched.sweep(time.Now())
	}
}

func TestSoundItemsAreServedSoonAfterUpstreamsStopCrashing(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, wait := newUnstableWorkers(t, 40, seed)
				q := quarantine.New(quarantine.Options{})
				d.options.Quarantine = q
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = q.Run(ctx) }()
				startedAt := time.Now()
				var items sync.WaitGroup
				for i := range 120 {
					items.Go(func() {
						time.Sleep(time.Duration(i) * crashPeriod / 120)
						runItem(t, d, fmt.Sprint(i), []uint64{uint64(10 + i%6), uint64(100 + i%12)})
					})
				}
				items.Wait()
				if lag := time.Since(startedAt) - crashPeriod; lag > 18*time.Second {
					t.Errorf("the last item ended %v after the last crash", lag)
				}
				cancel()
				wait()
			})
		})
	}
}
