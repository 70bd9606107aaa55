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

func write(key string) storage.Transaction {
	return storage.Transaction{Writes: []storage.Write{{Key: key, Value: []byte("v")}}}
}

func TestUnknownTransactionIsNeverRepeated(t *testing.T) {
	store := memory.New()
	g := newGuard(t, guard.Options{Store: store})
	store.Faults().LoseAnswers(1)
	_, err := g.View(guard.Urgent).Apply(context.Background(), write("k"))
	if code.Of(err) != code.StoreUnknown {
		t.Errorf("lost answer: %v", err)
	}
	if n := store.Faults().Counts().Writes; n != 1 {
		t.Errorf("the store saw %d writes, want 1", n)
	}
}

func TestOperationWithoutEffectIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newGuard(t, guard.Options{Store: store})
		store.Faults().Set(memory.FaultSettings{Down: true})
		done := make(chan error, 1)
		go func() {
			_, err := g.View(guard.Urgent).Apply(context.Background(), write("k"))
			done <- err
		}()
		synctest.Wait()
		if store.Faults().Counts().Refused != 1 {
			t.Error("the outage was not met")
		}
		store.Faults().SetDown(false)
		if err := <-done; err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

func TestPollsTakeNoTokensFromUrgentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newGuard(t, guard.Options{Store: store, ReadsPerSecond: 100, Live: func() int { return 10 }})
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
			t.Errorf("urgent read waited %s behind polls: %v", time.Since(started), err)
		}
	})
}

// fleet is a number of instances that write to one store without pause.
type fleet struct {
	instances int
	interval  time.Duration
}

// run writes for the given time through the tables.
func (f fleet) run(table func(i int) storage.Table, duration time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range f.instances {
		wg.Go(func() {
			own := table(i)
			for n := 0; time.Now().Before(end); n++ {
				_, _ = own.Apply(context.Background(), write(strconv.Itoa(i)))
				time.Sleep(f.interval)
			}
		})
	}
	wg.Wait()
}

// TestFleetSparesStoreInOutage compares instances behind guards with instances
// that try again at a fixed interval, in an outage of 5 minutes and the 10
// seconds after it.
func TestFleetSparesStoreInOutage(t *testing.T) {
	const rate, instances = 200, 50
	measure := func(t *testing.T, guarded bool) (refused, peak int64) {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			table := func(int) storage.Table { return store }
			if guarded {
				table = func(int) storage.Table {
					o := guard.Options{Store: store, WritesPerSecond: rate, OwnerWritesPerSecond: 1, Live: func() int { return instances }}
					return newGuard(t, o).View(guard.Urgent)
				}
			}
			store.Faults().SetDown(true)
			var wg sync.WaitGroup
			wg.Go(func() { fleet{instances, 50 * time.Millisecond}.run(table, 310*time.Second) })
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
	naiveRefused, naivePeak := measure(t, false)
	refused, peak := measure(t, true)
	t.Logf("outage of 300 s: %d tries without guards, %d with; most writes in a second after it: %d without, %d with", naiveRefused, refused, naivePeak, peak)
	if naivePeak <= rate {
		t.Errorf("the fleet without guards does not overload the store: %d writes in a second", naivePeak)
	}
	if peak > rate {
		t.Errorf("%d writes in a second after the outage, the store bears %d", peak, rate)
	}
	if limit := int64(instances * (300/5 + 20)); refused > limit {
		t.Errorf("%d tries in the outage, want at most %d", refused, limit)
	}
}

// step is one transaction and the answers that it loses.
type step struct {
	lost, held int
	stale      bool
}

// TestApplyOnceAppliesOnce draws lost and late answers: every transaction that
// ApplyOnce reports as done took effect exactly once, and a conflict means it
// did not.
func TestApplyOnceAppliesOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
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

func applySteps(steps []step) error {
	ctx := context.Background()
	store := memory.New()
	version := uint64(0)
	for i, s := range steps {
		store.Faults().LoseAnswers(s.lost)
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
		applied, err := guard.ApplyOnce(ctx, releasing{store}, tx, func(row storage.Row) bool { return string(row.Value) == marker })
		switch {
		case stale && code.Of(err) == code.StoreConflict:
		case !stale && err == nil && applied.Versions[0] == version+1:
			version++
		default:
			return fmt.Errorf("step %d, stale %v: %+v, %v, version before %d", i, stale, applied, err, version)
		}
		store.ReleaseHeld()
		row, err := store.Get(ctx, "k")
		if err != nil || row.Version != version {
			return fmt.Errorf("step %d: version %d in the table, want %d: %v", i, row.Version, version, err)
		}
	}
	return nil
}

// releasing lets held writes take effect before the next but one write, so
// that late effects meet repeated transactions.
type releasing struct{ *memory.Store }

func (s releasing) Apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	if s.Faults().Settings().HoldNext == 0 {
		defer s.ReleaseHeld()
	}
	return s.Store.Apply(ctx, t)
}
