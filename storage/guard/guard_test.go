package guard_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/guard"
	"github.com/daisylb/daisylb/storage/memory"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func newGuard(t testing.TB, o guard.Options) *guard.Guard {
	t.Helper()
	g, err := guard.New(o)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func writeTo(key string) storage.Transaction {
	return storage.Transaction{Writes: []storage.Write{{Key: key, Value: []byte("v")}}}
}

func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	store := memory.New()
	g := newGuard(t, guard.Options{Store: store})
	store.Faults().LoseResponses(1)
	_, err := g.View(guard.Urgent).Apply(context.Background(), writeTo("k"))
	if code.Of(err) != code.StoreUnknown {
		t.Errorf("lost response: got %v, want StoreUnknown", err)
	}
	if n := store.Faults().Counts().Writes; n != 1 {
		t.Errorf("the store received %d writes, want 1", n)
	}
}

func TestOperationWithoutEffectIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newGuard(t, guard.Options{Store: store})
		store.Faults().Set(memory.FaultSettings{Down: true})
		done := make(chan error, 1)
		go func() {
			_, err := g.View(guard.Urgent).Apply(context.Background(), writeTo("k"))
			done <- err
		}()
		synctest.Wait()
		if store.Faults().Counts().Refused != 1 {
			t.Error("the first attempt did not reach the store during the outage")
		}
		store.Faults().SetDown(false)
		if err := <-done; err != nil {
			t.Errorf("operation that was retried after the outage: %v", err)
		}
	})
}

func TestPollLaneDoesNotDelayUrgentLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newGuard(t, guard.Options{Store: store, ReadsPerSecond: 100, LiveInstances: func() int { return 10 }})
		ctx := context.Background()
		throttled := 0
		for range 100 {
			if _, err := g.View(guard.Poll).Get(ctx, "k"); code.Of(err) == code.StoreThrottled {
				throttled++
			}
		}
		if throttled < 90 {
			t.Errorf("%d of 100 polls were throttled, want at least 90", throttled)
		}
		started := time.Now()
		if _, err := g.View(guard.Urgent).Get(ctx, "k"); err != nil || time.Since(started) > 0 {
			t.Errorf("urgent read after polls: took %s, error %v; want no wait", time.Since(started), err)
		}
	})
}

// writers are instances that each write to one store, with an interval between the
// end of a write and the next.
type writers struct {
	count    int
	interval time.Duration
}

// run lets instance i write to table(i) for duration.
func (w writers) run(table func(i int) storage.Table, duration time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range w.count {
		wg.Go(func() {
			own := table(i)
			for n := 0; time.Now().Before(end); n++ {
				_, _ = own.Apply(context.Background(), writeTo(strconv.Itoa(i)))
				time.Sleep(w.interval)
			}
		})
	}
	wg.Wait()
}

// TestGuardBoundsLoadDuringAndAfterOutage compares instances with guards and
// instances that retry at a fixed interval, during an outage of 5 minutes and for
// 10 seconds after it. Without guards, all instances write at the same time when the
// store recovers and overload it. With guards, the attempts during the outage are
// few and the writes after it stay within the store's rate.
func TestGuardBoundsLoadDuringAndAfterOutage(t *testing.T) {
	const rate, instances = 200, 50
	measure := func(t *testing.T, guarded bool) (refused, peak int64) {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			table := func(int) storage.Table { return store }
			if guarded {
				table = func(int) storage.Table {
					o := guard.Options{Store: store, WritesPerSecond: rate, OwnerWritesPerSecond: 1, LiveInstances: func() int { return instances }}
					return newGuard(t, o).View(guard.Urgent)
				}
			}
			store.Faults().SetDown(true)
			var wg sync.WaitGroup
			wg.Go(func() { writers{instances, 50 * time.Millisecond}.run(table, 310*time.Second) })
			time.Sleep(300 * time.Second)
			refused = store.Faults().Counts().Refused
			store.Faults().SetDown(false)
			for range 10 {
				before := store.Faults().Counts().Writes
				time.Sleep(time.Second)
				peak = max(peak, store.Faults().Counts().Writes-before)
			}
			wg.Wait()
		})
		return refused, peak
	}
	unguardedRefused, unguardedPeak := measure(t, false)
	refused, peak := measure(t, true)
	t.Logf("outage of 300 s: %d attempts without guards, %d with; most writes per second after it: %d without, %d with", unguardedRefused, refused, unguardedPeak, peak)
	if unguardedPeak <= rate {
		t.Errorf("instances without guards: got a peak of %d writes per second, want one that overloads the store", unguardedPeak)
	}
	if peak > rate {
		t.Errorf("got a peak of %d writes per second after the outage, want at most %d", peak, rate)
	}
	if limit := int64(instances * (300/5 + 20)); refused > limit {
		t.Errorf("got %d attempts during the outage, want at most %d", refused, limit)
	}
}

// onceStep is one transaction with the faults of its attempts: the number of lost
// responses and of held writes. A stale one has a condition that does not hold.
type onceStep struct {
	lost, held int
	stale      bool
}

// TestApplyOnceAppliesOnce runs transactions with lost responses and with writes that
// take effect late. A transaction without an error must have taken effect exactly
// once, one with a conflict not at all.
func TestApplyOnceAppliesOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) onceStep {
			return onceStep{
				lost:  rapid.IntRange(0, 2).Draw(r, "lost"),
				held:  rapid.IntRange(0, 2).Draw(r, "held"),
				stale: rapid.Bool().Draw(r, "stale"),
			}
		}), 1, 10).Draw(r, "steps")
		var err error
		synctest.Test(t, func(*testing.T) { err = applySteps(steps) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

// applySteps runs the steps against a new store and returns the first deviation.
func applySteps(steps []onceStep) error {
	ctx := context.Background()
	store := memory.New()
	version := uint64(0)
	for i, s := range steps {
		store.Faults().LoseResponses(s.lost)
		store.Faults().HoldWrites(s.held)
		marker := strconv.Itoa(i)
		stale := s.stale && version > 0
		condition := storage.Condition{Key: "k", Version: version}
		if stale {
			condition.Version--
		}
		tx := storage.Transaction{
			Conditions: []storage.Condition{condition},
			Writes:     []storage.Write{{Key: "k", Value: []byte(marker)}},
		}
		applied, err := guard.ApplyOnce(ctx, lateWrites{store}, tx, func(row storage.Row) bool { return string(row.Value) == marker })
		switch {
		case stale && code.Of(err) == code.StoreConflict:
		case !stale && err == nil && applied.Versions[0] == version+1:
			version++
		default:
			return fmt.Errorf("step %d, stale %v: got %+v, error %v at version %d", i, stale, applied, err, version)
		}
		store.ReleaseHeld()
		row, err := store.Get(ctx, "k")
		if err != nil || row.Version != version {
			return fmt.Errorf("step %d: got version %d in the table, want %d; error %v", i, row.Version, version, err)
		}
	}
	return nil
}

// lateWrites is a store whose held writes take effect right after the next write that
// is not held. A held attempt thus takes effect later than the retry of the same
// transaction.
type lateWrites struct{ *memory.Store }

func (s lateWrites) Apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	if s.Faults().Settings().HoldNext == 0 {
		defer s.ReleaseHeld()
	}
	return s.Store.Apply(ctx, t)
}
