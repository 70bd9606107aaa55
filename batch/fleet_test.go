package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage/memory"
)

// fleetExecutor runs items of 5 s in a limited number of slots that all instances
// share.
type fleetExecutor struct {
	slots chan struct{}
	runs  atomic.Int64
}

func (e *fleetExecutor) Complete(ctx context.Context, _ *contract.Completion, sink contract.ChunkSink) error {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	e.runs.Add(1)
	if err := sink(contract.Chunk{Text: "d"}); err != nil {
		return err
	}
	select {
	case <-time.After(5 * time.Second):
		return sink(contract.Chunk{Text: "one", FinishReason: "stop"})
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *fleetExecutor) Call(context.Context, *contract.PlainCall) (*contract.PlainAnswer, error) {
	return nil, fmt.Errorf("not used")
}

// TestFleetSharesTheStore runs jobs at the rate of a day on a fleet with 20 %
// spare capacity, and checks that each item runs once and that the fleet uses at
// most half of the store's read rate.
func TestFleetSharesTheStore(t *testing.T) {
	t.Parallel()
	instances, span := 550, 5*time.Minute
	if raceDetector || testing.Short() {
		instances, span = 40, 3*time.Minute
	}
	itemRate := float64(dayItems) / (24 * time.Hour).Seconds()
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		needed := itemRate * 5 * 1.2
		executor := &fleetExecutor{slots: make(chan struct{}, int(needed))}
		members := make([]string, instances)
		for i := range members {
			members[i] = fmt.Sprintf("instance-%d", i)
		}
		var runners []*testRunner
		for _, id := range members {
			view := newView(id)
			view.set(members...)
			runners = append(runners, startRunner(t, RunnerOptions{Store: store, Executor: executor, View: view}))
		}
		random := rand.New(rand.NewPCG(1, 2))
		sizes := daySample()
		items := 0
		for begin := time.Now(); time.Since(begin) < span; {
			n := sizes[random.IntN(len(sizes))]
			submit(t, service, fmt.Sprint(items), chatLines(n))
			items += n
			time.Sleep(time.Duration(float64(n) / itemRate * float64(time.Second)))
		}
		begin := time.Now()
		waitIdle(t, store)
		counts := store.Faults().Counts()
		seconds := (span + time.Since(begin)).Seconds()
		t.Logf("%d instances, %d items in %.0f s: %.1f reads a second (%.3f an instance), one write per %.1f items, %d items run",
			instances, items, seconds, float64(counts.Reads)/seconds, float64(counts.Reads)/seconds/float64(instances),
			float64(items)/float64(counts.Writes), executor.runs.Load())
		if int(executor.runs.Load()) != items {
			t.Errorf("%d runs of %d items", executor.runs.Load(), items)
		}
		if float64(counts.Reads)/seconds > 1000 {
			t.Errorf("%.0f reads a second, want at most 1000, half of the store's rate", float64(counts.Reads)/seconds)
		}
		for _, r := range runners {
			go r.stop()
		}
		for _, r := range runners {
			r.stop()
		}
	})
}

// TestHeapOfLeasedSegments checks that the largest number of segments that a
// runner leases at once fits into the heap limit of an instance.
func TestHeapOfLeasedSegments(t *testing.T) {
	const leases = 16
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		line := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"chat","messages":[{"role":"user","content":"` + strings.Repeat("word ", 380) + `"}]}}` + "\n"
		submit(t, service, "k", strings.Repeat(line, leases*maxSegmentItems))
		executor := &fleetExecutor{slots: make(chan struct{})}
		heap := func() uint64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		before := heap()
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor, MaxLeases: leases})
		waitFor(t, "all leased", func() bool { return len(r.State().Leases) == leases })
		perLease := (heap() - before) / leases
		t.Logf("%d KB of heap per leased segment of 500 items of 2 KB", perLease>>10)
		o := RunnerOptions{}.withDefaults()
		if maxBytes := perLease * uint64(o.MaxLeases+o.MaxStragglers); maxBytes > maxHeapBytes {
			t.Errorf("%d bytes at most for segments, over %d", maxBytes, maxHeapBytes)
		}
		r.stop()
	})
}
