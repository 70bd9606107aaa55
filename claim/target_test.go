package claim_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/guard"
)

// Sizes at the peak load of the target: instances, calls a second, and allowed writes a
// second of all groups together.
const (
	targetInstances   = 550
	targetCallsPerSec = 550
	targetGroups      = 4
	targetWrites      = 80
	targetDuration    = 3 * time.Second
	targetRun         = 300 * time.Millisecond
	targetStoreDelay  = 10 * time.Millisecond
)

// targetCost is the cost of the calls at the peak load.
type targetCost struct {
	writes  int64
	elapsed time.Duration
	// latencies has the durations of the calls in ascending order.
	latencies []time.Duration
}

// maxWrites is the number of writes that the commit intervals of the groups allow.
// Each group may commit once more at the start.
func (c targetCost) maxWrites() int64 { return int64(targetWrites*c.elapsed.Seconds()) + targetGroups }

// runAtTarget runs the calls of the peak load in virtual time. Each call goes to
// another instance, and each instance has a store guard of its own. inject sets
// faults and returns the id of the instance that must get no calls, or "".
func runAtTarget(t *testing.T, inject func(f *fleet) (broken string)) (c targetCost) {
	t.Helper()
	adjust := func(o *claim.Options) {
		g, err := guard.New(guard.Options{Store: o.Objects.(storage.Store), LiveInstances: func() int { return targetInstances }})
		if err != nil {
			panic(err)
		}
		o.Table, o.Objects = g.View(guard.Urgent), g.View(guard.Urgent)
		o.OwnerTable, o.OwnerObjects = g.View(guard.Owner), g.View(guard.Owner)
		o.SweepInterval = time.Hour
	}
	runFleet(t, targetInstances, adjust, func(t *testing.T, f *fleet) {
		f.store.Faults().SetDelay(targetStoreDelay)
		broken := inject(f)
		c.latencies = make([]time.Duration, targetCallsPerSec*int(targetDuration/time.Second))
		var running sync.WaitGroup
		started := time.Now()
		for i := range c.latencies {
			m := f.instances[i*7%targetInstances]
			if m.id == broken {
				continue
			}
			running.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / targetCallsPerSec)
				startedAt := time.Now()
				_, err := m.Do(t.Context(), params(strconv.Itoa(i)), func(context.Context) (contract.PlainAnswer, error) {
					time.Sleep(targetRun)
					return contract.PlainAnswer{Status: http.StatusOK, Body: make([]byte, 500)}, nil
				})
				if err != nil {
					t.Errorf("call %d: %v", i, err)
				}
				c.latencies[i] = time.Since(startedAt)
			})
		}
		running.Wait()
		c.writes, c.elapsed = f.store.Faults().Counts().Writes, time.Since(started)
		slices.Sort(c.latencies)
		n := len(c.latencies)
		t.Logf("%d calls a second on %d instances: %d writes in %s, p50 %s, p99 %s, longest %s, with a run of %s",
			targetCallsPerSec, targetInstances, c.writes, c.elapsed, c.latencies[n/2], c.latencies[n*99/100], c.latencies[n-1], targetRun)
	})
	return c
}

func TestWritesAtTargetSizeStayUnderGroupLimit(t *testing.T) {
	c := runAtTarget(t, func(*fleet) string { return "" })
	if c.writes > c.maxWrites() {
		t.Errorf("%d writes, want at most %d", c.writes, c.maxWrites())
	}
	if slowest := c.latencies[len(c.latencies)-1]; slowest > 500*time.Millisecond {
		t.Errorf("the slowest call took %s, want at most 500ms", slowest)
	}
}

// TestFrozenOwnerCostsNoMoreWrites freezes the owner of a group that is still in
// every view: the next peer in rank must commit for the fleet, and no call may fail.
func TestFrozenOwnerCostsNoMoreWrites(t *testing.T) {
	c := runAtTarget(t, func(f *fleet) string {
		owner := f.instances[0].State().Groups[0].Owner
		f.freeze(owner)
		return owner
	})
	if c.writes > c.maxWrites() {
		t.Errorf("%d writes, want at most %d", c.writes, c.maxWrites())
	}
}
