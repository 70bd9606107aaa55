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

// Sizes of the target's peak.
const (
	targetInstances   = 550
	targetCallsPerSec = 550
	targetGroups      = 4
	targetWrites      = 80
	targetDuration    = 3 * time.Second
	targetRun         = 300 * time.Millisecond
	targetStoreDelay  = 10 * time.Millisecond
)

// targetCost is what the calls of the target's peak cost.
type targetCost struct {
	writes  int64
	elapsed time.Duration
	// took are the times of the calls, in growing order.
	took []time.Duration
}

// most is the number of writes that the groups' intervals allow. Each group may
// commit once more, at the start.
func (c targetCost) most() int64 { return int64(targetWrites*c.elapsed.Seconds()) + targetGroups }

// atTarget runs the calls of the target's peak on its number of instances, in
// virtual time: each call on another instance, every instance behind its guard.
// Instances that break excludes give no calls.
func atTarget(t *testing.T, breakSome func(f *fleet) (broken string)) (c targetCost) {
	t.Helper()
	adjust := func(o *claim.Options) {
		g, err := guard.New(guard.Options{Store: o.Objects.(storage.Store), Live: func() int { return targetInstances }})
		if err != nil {
			panic(err)
		}
		o.Table, o.Objects = g.View(guard.Urgent), g.View(guard.Urgent)
		o.OwnerTable, o.OwnerObjects = g.View(guard.Owner), g.View(guard.Owner)
		o.SweepInterval = time.Hour
	}
	bubble(t, targetInstances, adjust, func(t *testing.T, f *fleet) {
		f.store.Faults().SetDelay(targetStoreDelay)
		broken := breakSome(f)
		c.took = make([]time.Duration, targetCallsPerSec*int(targetDuration/time.Second))
		var running sync.WaitGroup
		started := time.Now()
		for i := range c.took {
			m := f.members[i*7%targetInstances]
			if m.id == broken {
				continue
			}
			running.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / targetCallsPerSec)
				began := time.Now()
				_, err := m.Do(t.Context(), params(strconv.Itoa(i)), func(context.Context) (contract.PlainAnswer, error) {
					time.Sleep(targetRun)
					return contract.PlainAnswer{Status: http.StatusOK, Body: make([]byte, 500)}, nil
				})
				if err != nil {
					t.Errorf("call %d: %v", i, err)
				}
				c.took[i] = time.Since(began)
			})
		}
		running.Wait()
		c.writes, c.elapsed = f.store.Faults().Counts().Writes, time.Since(started)
		slices.Sort(c.took)
		n := len(c.took)
		t.Logf("%d calls a second on %d instances: %d writes in %s, p50 %s, p99 %s, longest %s, with a run of %s",
			targetCallsPerSec, targetInstances, c.writes, c.elapsed, c.took[n/2], c.took[n*99/100], c.took[n-1], targetRun)
	})
	return c
}

func TestTargetSizeCostsTensOfWrites(t *testing.T) {
	c := atTarget(t, func(*fleet) string { return "" })
	if c.writes > c.most() {
		t.Errorf("%d writes, want at most %d", c.writes, c.most())
	}
	if worst := c.took[len(c.took)-1]; worst > 500*time.Millisecond {
		t.Errorf("the slowest call took %s", worst)
	}
}

// TestFrozenOwnerCostsNoMoreWrites freezes the owner of a group while every
// view still has it: the next in rank commits for the fleet, and no call fails.
func TestFrozenOwnerCostsNoMoreWrites(t *testing.T) {
	c := atTarget(t, func(f *fleet) string {
		owner := f.members[0].State().Groups[0].Owner
		f.freeze(owner)
		return owner
	})
	if c.writes > c.most() {
		t.Errorf("%d writes, want at most %d", c.writes, c.most())
	}
}
