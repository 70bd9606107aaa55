package quarantine_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/quarantine"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

const table = "evidence"

// The parts of the tests' prompts: shared is in most requests, deadly crashes upstreams,
// and rare is only seen together with deadly.
const (
	shared uint64 = 1
	rare   uint64 = 2
	deadly uint64 = 3
)

// instance is a List that follows the table, as an instance does.
type instance struct {
	*quarantine.List
	stop func()
}

func start(store storage.Rows, id string, removesExpired bool) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{List: quarantine.New(quarantine.Options{
		Rows: store, Table: table, InstanceID: id, RemovesExpired: func() bool { return removesExpired },
	})}
	follower := feed.New(feed.Options{Rows: store, Table: table, Parts: []string{quarantine.Part}, Update: i.Update})
	done := make(chan struct{}, 2)
	for _, run := range []func(context.Context) error{i.Run, follower.Run} {
		go func() { _ = run(ctx); done <- struct{}{} }()
	}
	i.stop = func() { cancel(); <-done; <-done }
	return i
}

// startFleet starts n instances and waits until they follow the table.
func startFleet(t *testing.T, n int) (*memory.Rows, []*instance) {
	t.Helper()
	store := memory.NewRows()
	var all []*instance
	for i := range n {
		all = append(all, start(store, fmt.Sprint("i", i), i == 0))
	}
	time.Sleep(time.Second)
	return store, all
}

func stopAll(all []*instance) {
	for _, i := range all {
		i.stop()
	}
}

// crash lets n upstreams crash, one after the other, on requests that reach the instances
// in turn.
func crash(all []*instance, n int, parts ...uint64) {
	for k := range n {
		all[k%len(all)].RecordCrash(parts, fmt.Sprint("u", k), 1, fmt.Sprint("r", k))
		time.Sleep(300 * time.Millisecond)
	}
}

// admitted reports whether a request is admitted other than as a trial.
func admitted(i *instance, parts ...uint64) bool {
	ok, isTrial, _ := i.Admit(context.Background(), parts, nil)
	return ok && !isTrial
}

// rowCount returns the number of rows in the table.
func rowCount(t *testing.T, store *memory.Rows) int {
	t.Helper()
	page, err := store.GetRows(t.Context(), table, quarantine.Part, "", "")
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Rows)
}

func TestDeadlyPartIsKeptBackByEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 5)
		defer stopAll(all)
		for _, i := range all {
			i.RecordAnswer([]uint64{shared})
		}
		crash(all, 3, shared, deadly)
		time.Sleep(time.Second)
		for n, i := range all {
			if admitted(i, shared, deadly) {
				t.Errorf("instance %d admits the part that crashed 3 upstreams", n)
			}
			if !admitted(i, shared, rare) {
				t.Errorf("instance %d keeps the innocent part back", n)
			}
		}
	})
}

func TestRestartedInstanceKnowsTheDeadlyPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, all := startFleet(t, 3)
		defer stopAll(all)
		crash(all, 3, deadly)
		restarted := start(store, "new", false)
		defer restarted.stop()
		time.Sleep(time.Second)
		if admitted(restarted, deadly) {
			t.Error("an instance that was started later admits the deadly part")
		}
	})
}

func TestInstanceThatWasCutOffLearnsOfTheDeadlyPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, all := startFleet(t, 2)
		defer stopAll(all)
		store.SetFaults(memory.RowFaults{Down: true})
		crash(all[:1], 3, deadly)
		if admitted(all[0], deadly) {
			t.Error("an instance does not act on its own evidence while the store is down")
		}
		if !admitted(all[1], deadly) {
			t.Error("an instance without evidence keeps the part back")
		}
		time.Sleep(time.Minute)
		store.SetFaults(memory.RowFaults{})
		time.Sleep(3 * time.Second)
		if admitted(all[1], deadly) {
			t.Error("an instance admits the deadly part 3 s after the store is back")
		}
	})
}

func TestUpstreamsThatFailTogetherAccuseNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 3)
		defer stopAll(all)
		for k := range 30 {
			all[k%3].RecordCrash([]uint64{rare}, fmt.Sprint("u", k), 1, "r")
		}
		time.Sleep(time.Second)
		for n, i := range all {
			if !admitted(i, rare) {
				t.Errorf("instance %d keeps a part back because a rack failed", n)
			}
		}
	})
}

func TestUpstreamsThatCrashByThemselvesAccuseNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 3)
		defer stopAll(all)
		const parts, crashesOfEach = 6, 5
		for k := range parts * crashesOfEach {
			all[k%len(all)].RecordCrash([]uint64{uint64(100 + k%parts)}, fmt.Sprint("u", k), 1, fmt.Sprint("r", k))
			time.Sleep(300 * time.Millisecond)
		}
		for n, i := range all {
			if i.Len() != 0 {
				t.Errorf("instance %d keeps %d parts back because upstreams crash by themselves", n, i.Len())
			}
		}
	})
}

func TestDeadlyPartIsKeptBackBesideUpstreamsThatCrashByThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 3)
		defer stopAll(all)
		crashes := 0
		for k := 0; k < 60 && admitted(all[k%3], deadly); k++ {
			part := uint64(100 + k)
			if k%4 == 0 {
				part, crashes = deadly, crashes+1
			}
			all[k%3].RecordCrash([]uint64{part}, fmt.Sprint("u", k), 1, fmt.Sprint("r", k))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for n, i := range all {
			if admitted(i, deadly) || i.Len() != 1 {
				t.Errorf("instance %d keeps %d parts back, the deadly one %v", n, i.Len(), !admitted(i, deadly))
			}
		}
		if crashes > 7 {
			t.Errorf("%d crashes until the part was kept back, want at most 7", crashes)
		}
	})
}

func TestTrialsAreNotPutOffBesideUpstreamsThatCrashByThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 2)
		defer stopAll(all)
		accused := []uint64{rare, shared}
		for k := range 24 {
			parts := []uint64{uint64(100 + k)}
			if k%2 == 0 {
				parts = accused
			}
			all[k%4/2].RecordCrash(parts, fmt.Sprint("u", k), 1, fmt.Sprint("r", k))
			time.Sleep(300 * time.Millisecond)
		}
		if all[0].Len() != 2 {
			t.Fatalf("%d parts are quarantined, want 2", all[0].Len())
		}
		for n := range 3 {
			if d := timeToTrial(t, all[n%2], time.Minute, accused...); d > 16*time.Second {
				t.Errorf("trial %d came after %v, want at most 16 s", n+1, d)
			}
			all[n%2].RecordCrash(accused, fmt.Sprint("trial", n), 1, "r")
			time.Sleep(time.Second)
		}
	})
}

func TestPartOfAnsweredRequestsIsNotAccused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, all := startFleet(t, 2)
		defer stopAll(all)
		for range 20 {
			all[0].RecordAnswer([]uint64{shared})
			crash(all[:1], 1, shared)
			all[0].RecordAnswer([]uint64{shared})
		}
		if !admitted(all[0], shared) || !admitted(all[1], shared) || rowCount(t, store) != 0 {
			t.Errorf("a part that is answered between crashes is suspected, %d rows", rowCount(t, store))
		}
	})
}

func TestAnsweredPartThatTurnsDeadlyIsKeptBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 2)
		defer stopAll(all)
		all[0].RecordAnswer([]uint64{deadly})
		crash(all, 8, deadly)
		time.Sleep(2 * time.Second)
		if admitted(all[0], deadly) || admitted(all[1], deadly) {
			t.Error("a part is admitted that has crashed 8 upstreams since its last answer")
		}
	})
}

func TestAnswerBeforeTheEvidenceArrivesExoneratesThePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewRows()
		held := &heldStore{Rows: store}
		answering, other := start(held, "answering", false), start(store, "other", false)
		defer stopAll([]*instance{answering, other})
		time.Sleep(time.Second)
		held.holding.Store(true)
		time.Sleep(time.Minute)
		crash([]*instance{other}, 3, rare)
		answering.RecordAnswer([]uint64{rare})
		if admitted(other, rare) {
			t.Fatal("the part is not quarantined")
		}
		held.holding.Store(false)
		time.Sleep(2 * time.Second)
		if !admitted(answering, rare) || !admitted(other, rare) || rowCount(t, store) != 0 {
			t.Errorf("a part is kept back that was answered after its last crash, %d rows", rowCount(t, store))
		}
	})
}

// heldStore delays calls for changes while it is holding.
type heldStore struct {
	storage.Rows
	holding atomic.Bool
}

func (s *heldStore) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	for s.holding.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return s.Rows.RowChanges(ctx, table, after, wait)
}

func TestOneRequestOfTheFleetIsTheTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 10)
		defer stopAll(all)
		crash(all, 3, deadly)
		quarantinedAt, trials := time.Now(), []time.Duration(nil)
		for time.Since(quarantinedAt) < time.Minute {
			for _, i := range all {
				if ok, isTrial, retryAfter := i.Admit(t.Context(), []uint64{deadly}, nil); ok {
					if !isTrial {
						t.Fatal("the deadly part is admitted without a trial")
					}
					trials = append(trials, time.Since(quarantinedAt).Round(time.Second))
					i.RecordCrash([]uint64{deadly}, fmt.Sprint("trial", len(trials)), 1, "r")
				} else if retryAfter < time.Second {
					t.Fatalf("retry hint of %v", retryAfter)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(trials) != 2 {
			t.Errorf("trials after %v, want 2 in the first minute", trials)
		}
	})
}

func TestAnsweredTrialReleasesThePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, all := startFleet(t, 4)
		defer stopAll(all)
		crash(all, 4, rare, deadly)
		time.Sleep(5 * time.Second)
		ok, isTrial, _ := all[2].Admit(t.Context(), []uint64{rare}, nil)
		if !ok || !isTrial {
			t.Fatalf("admitted %v, as a trial %v; want a trial", ok, isTrial)
		}
		all[2].RecordAnswer([]uint64{rare})
		time.Sleep(2 * time.Second)
		for n, i := range all {
			if !admitted(i, rare) {
				t.Errorf("instance %d keeps the part back whose trial was answered", n)
			}
			if admitted(i, rare, deadly) {
				t.Errorf("instance %d admits the other part, which had no trial", n)
			}
		}
		// The deadly part now explains further crashes alone.
		crash(all, 4, rare, deadly)
		if !admitted(all[0], rare) {
			t.Error("the released part is suspected again because of the quarantined one")
		}
		page, err := store.GetRows(t.Context(), table, quarantine.Part, "", "")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Rows {
			if strings.Contains(r.Key, fmt.Sprintf("%016x", rare)) {
				t.Errorf("row %s of the released part is left", r.Key)
			}
		}
	})
}

func TestRequestWithTwoQuarantinedPartsIsTriedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 2)
		defer stopAll(all)
		crash(all, 3, rare, deadly)
		// A request with one of the parts could be tried after 3 s.
		if d := timeToTrial(t, all[0], 5*time.Minute, rare, deadly); d < 5*time.Second || d > 10*time.Second {
			t.Errorf("the trial came after %v, want 5 s to 10 s", d)
		}
	})
}

// timeToTrial returns the time until a request with these parts is a trial, at most limit.
func timeToTrial(t *testing.T, i *instance, limit time.Duration, parts ...uint64) time.Duration {
	t.Helper()
	since := time.Now()
	for time.Since(since) < limit {
		if ok, isTrial, _ := i.Admit(t.Context(), parts, nil); ok {
			if !isTrial {
				t.Error("admitted without a trial")
			}
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(since)
}

func TestTrialThatNoUpstreamRanIsGivenToAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 2)
		defer stopAll(all)
		crash(all, 3, deadly)
		time.Sleep(5 * time.Second)
		if ok, isTrial, _ := all[0].Admit(t.Context(), []uint64{deadly}, nil); !ok || !isTrial {
			t.Fatal("no trial")
		}
		if admitted(all[0], deadly) {
			t.Error("a second request is admitted beside the trial")
		}
		all[0].ReturnTrial([]uint64{deadly})
		if ok, isTrial, _ := all[0].Admit(t.Context(), []uint64{deadly}, nil); !ok || !isTrial {
			t.Error("the returned trial is not given to the next request")
		}
		if admitted(all[0], deadly) {
			t.Error("the returned trial is given twice")
		}
	})
}

func TestWatcherIsToldOfAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 2)
		defer stopAll(all)
		told, stopped := make(chan struct{}, 1), make(chan struct{}, 1)
		defer all[1].Watch([]uint64{deadly}, func() { told <- struct{}{} })()
		all[1].Watch([]uint64{deadly}, func() { stopped <- struct{}{} })()
		crash(all[:1], 3, deadly)
		time.Sleep(time.Second)
		if len(told) != 1 || len(stopped) != 0 {
			t.Errorf("told %d, told after stop %d; want 1, 0", len(told), len(stopped))
		}
	})
}

func TestEvidenceThatDoesNotSufficeIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, all := startFleet(t, 2)
		defer stopAll(all)
		crash(all, 2, rare)
		if n := rowCount(t, store); n != 2 {
			t.Fatalf("%d rows after two crashes", n)
		}
		time.Sleep(2 * time.Minute)
		if n := rowCount(t, store); n != 0 {
			t.Errorf("%d rows are left", n)
		}
	})
}

func TestEvidenceAgainstPartsThatAreNotTheCauseIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, all := startFleet(t, 2)
		defer stopAll(all)
		for k := range 12 {
			all[k%2].RecordCrash([]uint64{uint64(100 + k%3)}, fmt.Sprint("u", k), 1, fmt.Sprint("r", k))
			time.Sleep(300 * time.Millisecond)
		}
		if all[0].Len() != 0 || rowCount(t, store) != 12 {
			t.Fatalf("%d parts are quarantined, %d rows; want 0, 12", all[0].Len(), rowCount(t, store))
		}
		time.Sleep(2 * time.Minute)
		if n := rowCount(t, store); n != 0 {
			t.Errorf("%d rows are left after 2 min", n)
		}
	})
}

func TestOddRowsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, all := startFleet(t, 1)
		defer stopAll(all)
		for key, value := range map[string]string{
			"quarantine/crash/1":                                 "{}",
			"quarantine/crash/zz/0000000000000001":               "{}",
			"quarantine/crash/0000000000000003/0000000000000001": "[[[",
			"quarantine/crash/0000000000000003/0000000000000002": `{"at":"x"}`,
			"quarantine/crash/0000000000000003/0000000000000003": `{"at":1e400}`,
			"quarantine/trial/0000000000000003":                  `{"number":"x"}`,
			"other":                                              "{}",
		} {
			row := storage.TableRow{RowKey: storage.RowKey{Table: table, Part: quarantine.Part, Key: key}, Value: []byte(value)}
			if _, err := store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if !admitted(all[0], deadly) {
			t.Error("rows that can't be read count as evidence")
		}
		crash(all, 3, deadly)
		if admitted(all[0], deadly) {
			t.Error("evidence is no longer read")
		}
	})
}

// faultyStore counts writes, and refuses them or delays their responses while told to.
type faultyStore struct {
	*memory.Rows
	writes    atomic.Int64
	refusing  atomic.Bool
	responses atomic.Int64
}

func (s *faultyStore) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	s.writes.Add(1)
	if s.refusing.Load() {
		return storage.RowPage{}, code.New(code.StoreThrottled, "too many calls")
	}
	page, err := s.Rows.ApplyRows(ctx, t)
	select {
	case <-ctx.Done():
		return storage.RowPage{}, code.New(code.StoreUnknown, "no response")
	case <-time.After(time.Duration(s.responses.Load())):
	}
	return page, err
}

func TestRefusingStoreIsNotAskedMoreOftenBecauseAnswersCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Rows: memory.NewRows()}
		i := start(store, "i", false)
		defer i.stop()
		time.Sleep(time.Second)
		crash([]*instance{i}, 3, deadly)
		store.refusing.Store(true)
		before := store.writes.Load()
		for range 1000 {
			i.RecordAnswer([]uint64{deadly})
			time.Sleep(10 * time.Millisecond)
		}
		if n := store.writes.Load() - before; n < 5 || n > 50 {
			t.Errorf("%d writes in 10 s to a store that refuses them", n)
		}
	})
}

func TestTrialIsUsedThoughTheResponseToItsClaimWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Rows: memory.NewRows()}
		i := start(store, "i", false)
		defer i.stop()
		time.Sleep(time.Second)
		crash([]*instance{i}, 3, deadly)
		time.Sleep(5 * time.Second)
		store.responses.Store(int64(time.Minute))
		trials := 0
		for range 20 {
			if ok, isTrial, _ := i.Admit(t.Context(), []uint64{deadly}, nil); ok && isTrial {
				trials++
			}
			time.Sleep(200 * time.Millisecond)
		}
		if trials != 1 {
			t.Errorf("%d trials after a claim whose response was lost, want 1", trials)
		}
	})
}

func TestExpiredEvidenceIsNotPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Rows: memory.NewRows()}
		i := start(store, "i", true)
		defer i.stop()
		time.Sleep(time.Second)
		store.refusing.Store(true)
		crash([]*instance{i}, 2, rare)
		time.Sleep(2 * time.Minute)
		store.refusing.Store(false)
		time.Sleep(10 * time.Second)
		if n := rowCount(t, store.Rows); n != 0 {
			t.Errorf("%d rows of evidence that expired before it was written", n)
		}
		crash([]*instance{i}, 3, deadly)
		if admitted(i, deadly) || rowCount(t, store.Rows) != 3 {
			t.Errorf("later evidence is not published: %d rows", rowCount(t, store.Rows))
		}
	})
}

// crashedTrials makes n trials, each of which crashes its upstream, and returns the time to the
// next one.
func crashedTrials(t *testing.T, all []*instance, n int, between func(k int)) time.Duration {
	t.Helper()
	for k := range n {
		i := all[k%len(all)]
		timeToTrial(t, i, time.Hour, deadly)
		i.RecordCrash([]uint64{deadly}, fmt.Sprint("trial", k), 1, "r")
		time.Sleep(time.Second)
		between(k)
	}
	return timeToTrial(t, all[n%len(all)], time.Hour, deadly)
}

// TestEndsOfOtherUpstreamsShortenTheWaitForATrial guards against a wait that grows with each
// trial although upstreams also crash without the part.
func TestEndsOfOtherUpstreamsShortenTheWaitForATrial(t *testing.T) {
	for name, c := range map[string]struct {
		upstream func(k int) string
		isShort  bool
	}{
		"others":              {func(k int) string { return fmt.Sprint("other", k) }, true},
		"those of the trials": {func(k int) string { return fmt.Sprint("trial", k) }, false},
		"the same one":        {func(int) string { return "other" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, all := startFleet(t, 3)
				defer stopAll(all)
				crash(all, 3, deadly)
				d := crashedTrials(t, all, 3, func(k int) {
					for _, i := range all {
						i.RecordUpstreamEnd(c.upstream(k), 1)
						i.RecordUpstreamEnd(c.upstream(k), 1)
					}
				})
				if isShort := d < 10*time.Second; isShort != c.isShort || d > 200*time.Second {
					t.Errorf("the fourth trial came after %v", d)
				}
			})
		})
	}
}

// TestTrialsThatNeverRanDoNotPutOffTheNext guards against a wait that grows although no trial
// told anything, since the instances that claimed them ended.
func TestTrialsThatNeverRanDoNotPutOffTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := startFleet(t, 6)
		defer stopAll(all)
		crash(all, 3, deadly)
		for n, i := range all {
			if d := timeToTrial(t, i, time.Hour, deadly); d > 10*time.Second {
				t.Errorf("trial %d came after %v", n+1, d)
			}
		}
	})
}

// TestTrialWithoutAPlaceIsLeftToALaterRequest covers new trials and those that no upstream ran.
func TestTrialWithoutAPlaceIsLeftToALaterRequest(t *testing.T) {
	for name, isReturned := range map[string]bool{"new": false, "returned": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, all := startFleet(t, 1)
				defer stopAll(all)
				firstAt := time.Now()
				crash(all, 3, deadly)
				time.Sleep(5 * time.Second)
				if isReturned {
					timeToTrial(t, all[0], time.Minute, deadly)
					all[0].ReturnTrial([]uint64{deadly})
				}
				for range 4 {
					ok, isTrial, retryAfter := all[0].Admit(t.Context(), []uint64{deadly}, func(since time.Time, _ time.Duration) bool {
						if d := since.Sub(firstAt); d < 0 || d > time.Millisecond {
							t.Errorf("the first crash was %v later", d)
						}
						return false
					})
					if ok || isTrial || retryAfter <= 0 || retryAfter > 2*time.Second {
						t.Errorf("admitted %v, trial %v, retry after %v", ok, isTrial, retryAfter)
					}
					time.Sleep(time.Second)
				}
				if ok, isTrial, _ := all[0].Admit(t.Context(), []uint64{deadly}, func(time.Time, time.Duration) bool { return true }); !ok || !isTrial {
					t.Error("the trial is gone")
				}
			})
		})
	}
}
