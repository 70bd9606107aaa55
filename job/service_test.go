package job_test

import (
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage/memory"
)

func TestJobIsReadWholeAtEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b", "c")); err != nil {
			t.Fatal(err)
		}
		first := f.read(f.instances[0], "j")
		wantAll(t, first, "a", "b", "c")
		for _, m := range f.instances[1:] {
			if d := cmp.Diff(first, f.read(m, "j")); d != "" {
				t.Errorf("results differ between instances:\n%s", d)
			}
		}
	})
}

func TestJobSentAgainIsOneJobAlsoAfterLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
			f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 1000 })
			f.store.SetFaults(memory.RowFaults{LoseResponses: 1, EffectDelay: delay})
			err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b"))
			if e := code.From(err); err != nil && e.Outcome == code.NotRun {
				t.Errorf("delay %v: %v says that the job is not kept", delay, err)
			}
			if f.store.Counts().Lost != 1 {
				t.Fatal("no answer was lost")
			}
			if err := f.instances[1].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
				t.Errorf("delay %v: %v", delay, err)
			}
			wantAll(t, f.read(f.instances[1], "j"), "a", "b")
			f.close()
		}
	})
}

func TestJobThatFillsTheQuotaIsNotTurnedAwayWhenItComesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, lost := range []int{1, 2, 3} {
			for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
				f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 200 })
				time.Sleep(time.Second)
				f.instances[1].store.noChanges.Store(true) // It learns of the job by its own reads only.
				f.store.SetFaults(memory.RowFaults{LoseResponses: lost, EffectDelay: delay})
				sub := f.submission("j", "a", "b")
				_ = f.instances[0].Submit(t.Context(), sub)
				if n := f.store.Counts().Lost; n != lost {
					t.Fatalf("%d answers were lost, want %d", n, lost)
				}
				for again := range 3 {
					if err := f.instances[1].Submit(t.Context(), sub); code.Of(err) == code.QuotaExceeded {
						t.Errorf("%d lost, effect after %v: repeat %d is turned away: %v", lost, delay, again, err)
					}
					time.Sleep(time.Second)
				}
				if err := f.instances[1].Submit(t.Context(), sub); err != nil {
					t.Errorf("%d lost, effect after %v: %v", lost, delay, err)
				}
				f.close()
			}
		}
	})
}

func TestResultsSurviveLostCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b", "c", "d")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{LoseResponses: 6, EffectDelay: 700 * time.Millisecond})
		wantAll(t, f.read(f.instances[1], "j"), "a", "b", "c", "d")
		if f.store.Counts().Lost == 0 {
			t.Error("no answer was lost")
		}
	})
}

func TestKilledOwnersJobResumesFromSavedProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3300 * time.Millisecond)
		f.kill(0)
		wantAll(t, f.read(f.instances[1], "j"), "a", "b")
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, id := range []string{"a", "b"} {
			if from := f.resumedAfter[id]; len(from) != 2 || from[1] == "" {
				t.Errorf("item %s resumed after events %q; want two runs, the second after an event", id, from)
			}
		}
	})
}

func TestPlannedStopHandsTheJobOverWithAllProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2600 * time.Millisecond)
		f.instances[0].Stop(t.Context())
		wantAll(t, f.read(f.instances[1], "j"), "a")
		f.mu.Lock()
		defer f.mu.Unlock()
		if d := cmp.Diff([]string{"", "5"}, f.resumedAfter["a"]); d != "" {
			t.Errorf("events that runs resumed after:\n%s", d)
		}
	})
}

// TestFrozenOwnerCannotListAfterATakeover lets two owners run a job at the same time.
// The first one was paused and does not receive the changes of the second. Each item
// must be listed by one of them only, and the listed results must not change.
func TestFrozenOwnerCannotListAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		// The texts are too short for progress rows, so that the first owner can notice the
		// takeover only when it lists results.
		names := []string{"short-a", "short-b", "short-c"}
		if err := f.instances[0].Submit(t.Context(), f.submission("j", names...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.instances[0].store.noChanges.Store(true)
		f.instances[0].frozen.Store(true)
		f.mu.Lock()
		delete(f.alive, "p0")
		f.mu.Unlock()
		first := f.read(f.instances[1], "j")
		wantAll(t, first, names...)
		time.Sleep(time.Minute)
		f.wantRuns(map[string]int{"short-a": 2, "short-b": 2, "short-c": 2})
		fresh := f.start("p-fresh")
		if d := cmp.Diff(first, f.read(fresh, "j")); d != "" {
			t.Errorf("listed results have changed:\n%s", d)
		}
	})
}

func TestJobSentToTwoInstancesAtOnceIsOneJob(t *testing.T) {
	for name, quota := range map[string]int64{"with a quota": 1000, "without": 0} {
		t.Run(name, func(t *testing.T) { testJobSentToTwoInstances(t, quota) })
	}
}

func testJobSentToTwoInstances(t *testing.T, quota int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = quota })
		defer f.close()
		var wait sync.WaitGroup
		for _, m := range f.instances {
			m.store.blobLatency.Store(int64(25 * time.Millisecond))
			wait.Go(func() {
				if err := m.Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		wantAll(t, f.read(f.instances[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

func TestJobWhoseAcceptanceIsNotKnownIsNotSaidToBeRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.store.SetFaults(memory.RowFaults{LoseResponses: 100, EffectDelay: 5 * time.Second})
		err := f.instances[0].Submit(t.Context(), f.submission("j", "a"))
		if err == nil || code.From(err).Outcome == code.NotRun {
			t.Errorf("got %v, outcome %q", err, code.From(err).Outcome)
		}
		f.store.SetFaults(memory.RowFaults{})
		f.store.WaitDelayed()
		wantAll(t, f.read(f.instances[0], "j"), "a")
	})
}

func TestSubmissionsToAFailingStoreStayUnderItsReadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			submissions       = 40
			maxReadsPerSecond = 2000 // The read limit of the platform.
		)
		f := newFleet(t, 1, func(r *contract.Route) { r.MaxWaitingTokens = 1e6 })
		defer f.close()
		time.Sleep(2 * time.Second) // The instance has read the store.
		f.instances[0].store.failWrites.Store(true)
		before, startedAt := f.store.Counts().Reads, time.Now()
		var wait sync.WaitGroup
		for i := range submissions {
			wait.Go(func() {
				id := strconv.Itoa(i)
				err := f.instances[0].Submit(t.Context(), f.submission("j"+id, "a"+id))
				if e := code.From(err); e == nil || e.Number != code.StoreUnavailable || e.Outcome != code.NotRun || e.RetryAfter == 0 {
					t.Errorf("job %s: %v", id, err)
				}
			})
		}
		time.Sleep(time.Second)
		if reads := f.store.Counts().Reads - before; reads > maxReadsPerSecond {
			t.Errorf("%d submissions made %d reads in %v, want at most %d", submissions, reads, time.Since(startedAt), maxReadsPerSecond)
		}
		wait.Wait()
	})
}

func TestEndedJobStopsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for range 2 {
			if err := f.instances[1].End(t.Context(), "j"); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		if total, results, err := f.instances[1].Results(t.Context(), "j", 0, 0); err != nil || total != 2 || len(results) != 0 {
			t.Errorf("%d, %v, %v", total, results, err)
		}
		if n := f.instances[0].Owned(); n != 0 {
			t.Errorf("%d jobs still run", n)
		}
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Errorf("the job sent again: %v", err)
		}
	})
}

func TestQuotaIsNeverExceededAndFreedTokensCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, func(r *contract.Route) { r.MaxWaitingTokens = 450 })
		defer f.close()
		for _, m := range f.instances {
			m.store.blobLatency.Store(int64(25 * time.Millisecond))
			m.store.callLatency.Store(int64(5 * time.Millisecond))
		}
		var wait sync.WaitGroup
		var mu sync.Mutex
		accepted := 0
		for i := range 8 {
			wait.Go(func() {
				err := f.instances[i%4].Submit(t.Context(), f.submission("j"+strconv.Itoa(i), "a"+strconv.Itoa(i), "b"+strconv.Itoa(i)))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					accepted++
				case code.Of(err) != code.QuotaExceeded || code.From(err).Outcome != code.NotRun || code.From(err).RetryAfter == 0:
					t.Errorf("got %v", err)
				}
			})
		}
		wait.Wait()
		if accepted != 2 {
			t.Errorf("%d jobs of 200 tokens accepted under 450", accepted)
		}
		time.Sleep(itemEvents*eventTime + time.Second)
		if err := f.instances[0].Submit(t.Context(), f.submission("later", "x", "y")); err != nil {
			t.Errorf("after the others were done: %v", err)
		}
	})
}

func TestImpossibleAndFailingItemsAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "poison", "broken", "fine")); err != nil {
			t.Fatal(err)
		}
		got := map[string]bool{}
		for _, r := range f.read(f.instances[0], "j") {
			got[r.Item] = r.Succeeded
		}
		if d := cmp.Diff(map[string]bool{"poison": false, "broken": false, "fine": true}, got); d != "" {
			t.Error(d)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if d := cmp.Diff(map[string]int{"poison": 1, "broken": 3, "fine": 1}, f.runs); d != "" {
			t.Errorf("runs:\n%s", d)
		}
	})
}

func TestUnknownJobIsNotFoundOnlyWhenTheStoreSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if _, _, err := f.instances[0].Results(t.Context(), "none", 0, 0); code.Of(err) != code.JobUnknown {
			t.Errorf("got %v", err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		_, _, err := f.instances[0].Results(t.Context(), "none", 0, 0)
		if code.Of(err) != code.StoreUnavailable {
			t.Errorf("got %v", err)
		}
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); code.From(err).Outcome != code.NotRun {
			t.Errorf("got %v", err)
		}
	})
}

func TestInstanceThatFollowsLateDoesNotSayThatAPositionIsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		late := f.instances[1]
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if _, results, err := late.Results(t.Context(), "j", 0, 0); len(results) > 0 || err != nil {
			t.Fatalf("open job: %d results, %v", len(results), err)
		}
		late.store.failChanges.Store(true)
		wantAll(t, f.read(f.instances[0], "j"), "a")
		time.Sleep(time.Second)
		for _, wait := range []time.Duration{0, time.Second} {
			if _, results, err := late.Results(t.Context(), "j", 0, wait); code.Of(err) != code.StoreUnavailable {
				t.Errorf("wait %v: %d results, %v; want StoreUnavailable", wait, len(results), err)
			}
		}
		late.store.failChanges.Store(false)
		wantAll(t, f.read(late, "j"), "a")
	})
}

func TestOutageDelaysCommitsAndListedResultsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("early", "a")); err != nil {
			t.Fatal(err)
		}
		wantAll(t, f.read(f.instances[0], "early"), "a")
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "b", "c")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(20 * time.Second)
		if _, results, err := f.instances[0].Results(t.Context(), "early", 0, 0); err != nil || len(results) != 1 {
			t.Errorf("listed result during an outage: %v, %v", results, err)
		}
		f.store.SetFaults(memory.RowFaults{})
		wantAll(t, f.read(f.instances[0], "j"), "b", "c")
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.runs["b"] != 1 {
			t.Errorf("item b ran %d times", f.runs["b"])
		}
	})
}

// TestIsolatedOwnerRunsNothing isolates an owner from the store and all instances. It
// can't learn that its job was ended, so its items must wait, and resume where they
// stopped when it is connected again.
func TestIsolatedOwnerRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3*eventTime + eventTime/2)
		f.instances[0].isolated.Store(true)
		time.Sleep(20 * time.Second)
		f.wantRuns(map[string]int{"a": 1, "b": 1})
		if total, results, err := f.instances[0].Results(t.Context(), "j", 0, 0); err != nil || total != 2 || len(results) != 0 {
			t.Errorf("%d results of %d while isolated, %v", len(results), total, err)
		}
		f.instances[0].isolated.Store(false)
		wantAll(t, f.read(f.instances[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 2, "b": 2})
		f.mu.Lock()
		defer f.mu.Unlock()
		if d := cmp.Diff(map[string][]string{"a": {"", "3"}, "b": {"", "3"}}, f.resumedAfter); d != "" {
			t.Error(d)
		}
	})
}

// TestJobSeenInTheFeedFirstIsNotTakenOver delays the response of the store to an
// acceptance until long after the feed has read the new head.
func TestJobSeenInTheFeedFirstIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		f.store.SetFaults(memory.RowFaults{ResponseDelay: 600 * time.Millisecond})
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{})
		wantAll(t, f.read(f.instances[1], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

// TestOwnerThatIsNotKnownYetKeepsItsJob starts an owner whose row the other instances
// have not read yet, as after a rolling restart. They must not take its job over.
func TestOwnerThatIsNotKnownYetKeepsItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.start("new")
		f.mu.Lock()
		delete(f.alive, "new")
		f.mu.Unlock()
		if err := f.instances[1].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		f.mu.Lock()
		f.alive["new"] = true
		f.mu.Unlock()
		wantAll(t, f.read(f.instances[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

// TestJobOfAReplacedProcessIsTakenOverAtOnce restarts a fleet of which every instance
// had failed.
func TestJobOfAReplacedProcessIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		f.kill(0)
		f.mu.Lock()
		f.replaced["p0"] = true
		f.mu.Unlock()
		second := f.start("p0-again")
		time.Sleep(time.Second)
		if second.Owned() != 1 {
			t.Error("the job was not taken over within a second")
		}
		wantAll(t, f.read(second, "j"), "a")
	})
}

func TestFailuresOfAnItemCountAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "broken", "fine")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(150 * time.Millisecond)
		f.instances[0].Stop(t.Context())
		f.read(f.instances[1], "j")
		f.mu.Lock()
		defer f.mu.Unlock()
		if n := f.runs["broken"]; n != 3 {
			t.Errorf("the item failed %d times, want 3", n)
		}
	})
}

func TestFinishedItemsAreListedBeforeAHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "poison", "a")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(2 * time.Second)
		done := make(chan struct{})
		go func() { defer close(done); f.instances[0].Stop(t.Context()) }()
		time.Sleep(time.Second)
		f.store.SetFaults(memory.RowFaults{})
		<-done
		f.read(f.instances[1], "j")
		f.mu.Lock()
		defer f.mu.Unlock()
		if n := f.runs["poison"]; n != 1 {
			t.Errorf("the impossible item ran %d times", n)
		}
	})
}

// TestItemWithoutEndIsBoundedAndOthersAreDone has an upstream that never ends the
// events of one item. Text over the limit must be discarded, the item must not
// succeed, and the other items of the job must.
func TestItemWithoutEndIsBoundedAndOthersAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "endless", "fine")); err != nil {
			t.Fatal(err)
		}
		got := map[string]bool{}
		for _, r := range f.read(f.instances[0], "j") {
			got[r.Item] = r.Succeeded
		}
		if d := cmp.Diff(map[string]bool{"endless": false, "fine": true}, got); d != "" {
			t.Error(d)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, from := range f.resumedAfter["endless"] {
			if from != "" {
				t.Errorf("a run resumed after event %q of discarded text", from)
			}
		}
		if f.runs["endless"] < 2 {
			t.Error("the item was not tried again")
		}
		if f.maxRunBytes > 2*maxItemTextBytes {
			t.Errorf("one run wrote %d bytes", f.maxRunBytes)
		}
	})
}

// maxItemTextBytes is the limit of the text of an item that a call for results can
// return.
const maxItemTextBytes = 1 << 20

// TestItemOfAQuarantinedPromptPausesBetweenAttempts checks that such an item is neither
// tried in quick succession nor listed before its time is over.
func TestItemOfAQuarantinedPromptPausesBetweenAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "quarantined")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Second)
		if _, results, err := f.instances[0].Results(t.Context(), "j", 0, 0); err != nil || len(results) != 0 {
			t.Errorf("%v, %+v; want no result yet", err, results)
		}
		f.mu.Lock()
		n := f.runs["quarantined"]
		f.mu.Unlock()
		if n < 4 || n > 60 {
			t.Errorf("%d attempts in 50 s, want one in 1 to 10 s", n)
		}
		time.Sleep(20 * time.Second)
		if results := f.read(f.instances[0], "j"); len(results) != 1 || results[0].Succeeded {
			t.Errorf("%+v, want the item as failed", results)
		}
	})
}

func TestItemWithEventsIsNotTakenForOneThatWasNeverAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "breaking")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if results := f.read(f.instances[0], "j"); len(results) != 1 || !results[0].Succeeded {
			t.Errorf("%+v, want the item's result", results)
		}
	})
}

func TestItemIsRunSoonAfterItsPromptIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.releasedAt = time.Now().Add(12 * time.Second)
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "released")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(12*time.Second + itemEvents*eventTime + 3*time.Second)
		if _, results, err := f.instances[0].Results(t.Context(), "j", 0, 0); err != nil || len(results) != 1 || !results[0].Succeeded {
			t.Errorf("%v, %+v; want the item's result 3 s after the release", err, results)
		}
	})
}
