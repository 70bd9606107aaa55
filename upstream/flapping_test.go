package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/quarantine"
)

const (
	// flapPeriod is the time between two starts of an upstream that goes down and up. It is up
	// for half of it, which is less than it needs for a first event.
	flapPeriod     = 1400 * time.Millisecond
	flapFirstEvent = 900 * time.Millisecond
	// entryTTL is how long the entry of an upstream that has ended is kept.
	entryTTL = 3600 * time.Millisecond
)

// flappingFleet is an upstream that goes down and up, beside sound ones.
type flappingFleet struct {
	*changingForwarder
	quarantine *quarantine.List
	address    string
	entry      contract.Upstream
	wait       func()

	mu sync.Mutex
	// crashed is closed when the upstream that is up crashes; nil while it is down.
	crashed chan struct{}
	crashes int
}

func newFlappingFleet(t *testing.T, sound int, first time.Duration) *flappingFleet {
	f := &flappingFleet{quarantine: quarantine.New(quarantine.Options{})}
	flaps := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		f.mu.Lock()
		crashed := f.crashed
		f.mu.Unlock()
		if crashed == nil {
			return
		}
		select {
		case <-crashed:
		case <-time.After(first):
			eventsScript(5, endOfChunks)(t, w, c, r)
		}
	}
	answers := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		time.Sleep(answerTime)
		eventsScript(5, endOfChunks)(t, w, c, r)
	}
	dial, workers, wait := pipeWorkers(slices.Concat([]script{flaps}, slices.Repeat([]script{answers}, sound))...)
	f.wait, f.address = wait.Wait, workers[0].address
	f.changingForwarder = newChangingForwarder(t, func(ctx context.Context, network, address string) (net.Conn, error) {
		f.mu.Lock()
		down := address == f.address && f.crashed == nil
		f.mu.Unlock()
		if down {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}
		return dial(ctx, network, address)
	}, workers...)
	f.options.Quarantine = f.quarantine
	f.entry = f.document.Load().Upstreams["w0"]
	f.change(func(upstreams map[string]contract.Upstream) { delete(upstreams, "w0") })
	return f
}

// up starts the upstream, under an id of its own or the one that it had before.
func (f *flappingFleet) up(n int, sameID bool) (id string) {
	id = fmt.Sprint("flapping", n)
	if sameID {
		id = "flapping"
	}
	f.mu.Lock()
	f.crashed = make(chan struct{})
	f.mu.Unlock()
	u := f.entry
	u.StartedMillis = int64(n + 1)
	f.change(func(upstreams map[string]contract.Upstream) { upstreams[id] = u })
	if sameID && n > 0 {
		f.quarantine.RecordUpstreamEnd(id, int64(n))
	}
	return id
}

// crash ends the upstream. Its entry stays for a while.
func (f *flappingFleet) crash(id string, n int, sameID bool) {
	f.mu.Lock()
	close(f.crashed)
	f.crashed = nil
	f.crashes++
	f.mu.Unlock()
	if sameID {
		return
	}
	time.AfterFunc(entryTTL, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.change(func(upstreams map[string]contract.Upstream) { delete(upstreams, id) })
		f.quarantine.RecordUpstreamEnd(id, int64(n+1))
	})
}

// flap lets the upstream go down and up for a time, after which it stays up.
func (f *flappingFleet) flap(length time.Duration, sameID bool) {
	n := 0
	for end := time.Now().Add(length); time.Now().Before(end); n++ {
		id := f.up(n, sameID)
		time.Sleep(flapPeriod / 2)
		f.crash(id, n, sameID)
		time.Sleep(flapPeriod / 2)
	}
	f.up(n, sameID)
}

// runUntilDone runs an item as a job does.
func (f *flappingFleet) runUntilDone(t *testing.T, id string, deadline time.Time, parts ...uint64) {
	for {
		call := streamCall(id, true)
		call.Class, call.Due, call.Deadline, call.PromptParts = contract.Batch, deadline, deadline, parts
		err := f.Forward(t.Context(), call, &answerSink{})
		switch {
		case err == nil:
			return
		case time.Now().After(deadline):
			t.Errorf("item %s: %v", id, err)
			return
		case code.Of(err) == code.PromptQuarantined:
			time.Sleep(2 * time.Second)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// holdAll takes all slots of the upstreams in use.
func (f *flappingFleet) holdAll(t *testing.T) (release func()) {
	var held []*slot
	r := request{pool: f.current().pools["s"], class: contract.Online, deadline: time.Now().Add(time.Hour)}
	for g := f.sched.tryAcquire(t.Context(), r); g != nil; g = f.sched.tryAcquire(t.Context(), r) {
		held = append(held, g)
	}
	return func() {
		for _, g := range held {
			f.sched.discard(g)
		}
	}
}

// TestItemsOfAFlappingUpstreamAreDoneInTime guards against sound items that stay in quarantine
// beside idle upstreams, since an upstream crashed by itself while it ran them.
func TestItemsOfAFlappingUpstreamAreDoneInTime(t *testing.T) {
	lengths := []time.Duration{7 * time.Second, 14 * time.Second, 20350 * time.Millisecond, 40 * time.Second, 70 * time.Second}
	for _, sound := range []int{0, 2, 8} {
		for _, full := range []bool{true, false} {
			for _, sameID := range []bool{true, false} {
				for _, length := range lengths {
					if sound == 0 && full {
						continue
					}
					t.Run(fmt.Sprintf("%d others, full %v, same id %v, %v", sound, full, sameID, length), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testFlapping(t, sound, full, sameID, length) })
					})
				}
			}
		}
	}
}

func testFlapping(t *testing.T, sound int, full, sameID bool, length time.Duration) {
	const items = 8
	f := newFlappingFleet(t, sound, flapFirstEvent)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = f.quarantine.Run(ctx) })
	stop := sweepRegularly(f.Dispatcher)
	time.Sleep(time.Second)
	release := func() {}
	if full {
		release = f.holdAll(t)
	}
	deadline := time.Now().Add(5 * time.Minute)
	var done sync.WaitGroup
	for i := range items {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			// Items share a part, and some have a second one in common.
			f.runUntilDone(t, fmt.Sprint("item", i), deadline, sharedPart, uint64(100+i%2))
		})
	}
	f.flap(length, sameID)
	calmAt := time.Now()
	release()
	done.Wait()
	if took := time.Since(calmAt); took > finishTime {
		t.Errorf("the last item was done %v after the last of %d crashes", took, f.crashes)
	}
	time.Sleep(entryTTL)
	stop()
	cancel()
	running.Wait()
	f.wait()
}

// TestDeadlyPartAtAnOnlyUpstreamIsHeldBack guards against trials that come often because the
// upstream that crashed has just started.
func TestDeadlyPartAtAnOnlyUpstreamIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFlappingFleet(t, 0, time.Hour)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = f.quarantine.Run(ctx) })
		stop := sweepRegularly(f.Dispatcher)
		n, id := 0, f.up(0, true)
		for i, end := 0, time.Now().Add(time.Minute); time.Now().Before(end); i++ {
			call := streamCall(fmt.Sprint(deadlyID, i), false)
			call.Deadline, call.PromptParts = time.Now().Add(5*time.Second), []uint64{sharedPart, deadlyPart}
			ended := make(chan error)
			go func() { ended <- f.Forward(t.Context(), call, &answerSink{}) }()
			select {
			case <-ended:
			case <-time.After(answerTime):
				f.crash(id, n, true)
				<-ended
				time.Sleep(500 * time.Millisecond)
				n++
				id = f.up(n, true)
			}
			time.Sleep(200 * time.Millisecond)
		}
		// The fifth crash may be followed by three more.
		if f.crashes < 3 || f.crashes > 8 {
			t.Errorf("the deadly part crashed its upstream %d times in a minute", f.crashes)
		}
		stop()
		cancel()
		running.Wait()
		f.wait()
	})
}
