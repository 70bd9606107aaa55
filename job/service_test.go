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
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b", "c")); err != nil {
			t.Fatal(err)
		}
		first := f.read(f.services[0], "j")
		wantAll(t, first, "a", "b", "c")
		for _, m := range f.services[1:] {
			if d := cmp.Diff(first, f.read(m, "j")); d != "" {
				t.Errorf("instances list other results:\n%s", d)
			}
		}
	})
}

func TestJobSentAgainIsOneJobAlsoAfterLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
			f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 1000 })
			f.store.SetFaults(memory.RowFaults{LoseAnswers: 1, Delay: delay})
			err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b"))
			if e := code.From(err); err != nil && e.Outcome == code.NotRun {
				t.Errorf("delay %v: %v says that the job is not kept", delay, err)
			}
			if f.store.Counts().Lost != 1 {
				t.Fatal("no answer was lost")
			}
			if err := f.services[1].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
				t.Errorf("delay %v: %v", delay, err)
			}
			wantAll(t, f.read(f.services[1], "j"), "a", "b")
			f.close()
		}
	})
}

func TestResultsSurviveLostCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b", "c", "d")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{LoseAnswers: 6, Delay: 700 * time.Millisecond})
		wantAll(t, f.read(f.services[1], "j"), "a", "b", "c", "d")
		if f.store.Counts().Lost == 0 {
			t.Error("no answer was lost")
		}
	})
}

func TestKilledOwnersJobGoesOnWhereItsProgressWasKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3300 * time.Millisecond)
		f.kill(0)
		wantAll(t, f.read(f.services[1], "j"), "a", "b")
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, id := range []string{"a", "b"} {
			if from := f.from[id]; len(from) != 2 || from[1] == "" {
				t.Errorf("item %s ran after events %q; the second run must go on", id, from)
			}
		}
	})
}

func TestPlannedStopHandsTheJobOverWithAllProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2600 * time.Millisecond)
		f.services[0].Stop(t.Context())
		wantAll(t, f.read(f.services[1], "j"), "a")
		f.mu.Lock()
		defer f.mu.Unlock()
		if d := cmp.Diff([]string{"", "5"}, f.from["a"]); d != "" {
			t.Errorf("runs began after other events:\n%s", d)
		}
	})
}

// TestFrozenOwnerCannotListAfterATakeover lets two owners run a job at once, as
// after a pause of the first, which hears nothing of the second: only one of
// them lists each item, and what is listed stays.
func TestFrozenOwnerCannotListAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		// No progress is written, so that only the listing can tell the first owner.
		names := []string{"short-a", "short-b", "short-c"}
		if err := f.services[0].Submit(t.Context(), f.submission("j", names...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.services[0].access.deaf.Store(true)
		f.services[0].frozen.Store(true)
		f.mu.Lock()
		delete(f.alive, "p0")
		f.mu.Unlock()
		first := f.read(f.services[1], "j")
		wantAll(t, first, names...)
		time.Sleep(time.Minute)
		f.wantRuns(map[string]int{"short-a": 2, "short-b": 2, "short-c": 2})
		fresh := f.start("p-fresh")
		if d := cmp.Diff(first, f.read(fresh, "j")); d != "" {
			t.Errorf("what was listed has changed:\n%s", d)
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
		for _, m := range f.services {
			m.access.latency.Store(int64(25 * time.Millisecond))
			wait.Go(func() {
				if err := m.Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		wantAll(t, f.read(f.services[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

func TestJobWhoseAcceptanceIsNotKnownIsNotSaidToBeRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.store.SetFaults(memory.RowFaults{LoseAnswers: 100, Delay: 5 * time.Second})
		err := f.services[0].Submit(t.Context(), f.submission("j", "a"))
		if err == nil || code.From(err).Outcome == code.NotRun {
			t.Errorf("got %v, outcome %q", err, code.From(err).Outcome)
		}
		f.store.SetFaults(memory.RowFaults{})
		f.store.Settle()
		wantAll(t, f.read(f.services[0], "j"), "a")
	})
}

func TestEndedJobStopsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for range 2 {
			if err := f.services[1].End(t.Context(), "j"); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		if total, results, err := f.services[1].Results(t.Context(), "j", 0, 0); err != nil || total != 2 || len(results) != 0 {
			t.Errorf("%d, %v, %v", total, results, err)
		}
		if n := f.services[0].Owned(); n != 0 {
			t.Errorf("%d jobs still run", n)
		}
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Errorf("the job sent again: %v", err)
		}
	})
}

func TestQuotaIsNeverExceededAndFreedTokensCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, func(r *contract.Route) { r.MaxWaitingTokens = 450 })
		defer f.close()
		for _, m := range f.services {
			m.access.latency.Store(int64(25 * time.Millisecond))
			m.access.callLatency.Store(int64(5 * time.Millisecond))
		}
		var wait sync.WaitGroup
		var mu sync.Mutex
		accepted := 0
		for i := range 8 {
			wait.Go(func() {
				err := f.services[i%4].Submit(t.Context(), f.submission("j"+strconv.Itoa(i), "a"+strconv.Itoa(i), "b"+strconv.Itoa(i)))
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
		if err := f.services[0].Submit(t.Context(), f.submission("later", "x", "y")); err != nil {
			t.Errorf("after the others were done: %v", err)
		}
	})
}

func TestImpossibleAndFailingItemsAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "poison", "broken", "fine")); err != nil {
			t.Fatal(err)
		}
		got := map[string]bool{}
		for _, r := range f.read(f.services[0], "j") {
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
		if _, _, err := f.services[0].Results(t.Context(), "none", 0, 0); code.Of(err) != code.JobUnknown {
			t.Errorf("got %v", err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		_, _, err := f.services[0].Results(t.Context(), "none", 0, 0)
		if code.Of(err) != code.StoreUnavailable {
			t.Errorf("got %v", err)
		}
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a")); code.From(err).Outcome != code.NotRun {
			t.Errorf("got %v", err)
		}
	})
}

func TestOutageHoldsResultsAndSettledOnesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("early", "a")); err != nil {
			t.Fatal(err)
		}
		wantAll(t, f.read(f.services[0], "early"), "a")
		if err := f.services[0].Submit(t.Context(), f.submission("j", "b", "c")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(20 * time.Second)
		if _, results, err := f.services[0].Results(t.Context(), "early", 0, 0); err != nil || len(results) != 1 {
			t.Errorf("a settled result in an outage: %v, %v", results, err)
		}
		f.store.SetFaults(memory.RowFaults{})
		wantAll(t, f.read(f.services[0], "j"), "b", "c")
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.runs["b"] != 1 {
			t.Errorf("item b ran %d times", f.runs["b"])
		}
	})
}

// TestIsolatedOwnerRunsNothing cuts an owner off from everybody: it can't learn
// that its job was ended, so its items wait, and go on from where they were when
// it is back.
func TestIsolatedOwnerRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3*eventTime + eventTime/2)
		f.services[0].isolated.Store(true)
		time.Sleep(20 * time.Second)
		f.wantRuns(map[string]int{"a": 1, "b": 1})
		if total, results, err := f.services[0].Results(t.Context(), "j", 0, 0); err != nil || total != 2 || len(results) != 0 {
			t.Errorf("%d results of %d while isolated, %v", len(results), total, err)
		}
		f.services[0].isolated.Store(false)
		wantAll(t, f.read(f.services[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 2, "b": 2})
		f.mu.Lock()
		defer f.mu.Unlock()
		if d := cmp.Diff(map[string][]string{"a": {"", "3"}, "b": {"", "3"}}, f.from); d != "" {
			t.Error(d)
		}
	})
}

// TestJobThatTheFeedTellsOfFirstIsNotTakenOver lets the store answer an
// acceptance long after the feed has told of it.
func TestJobThatTheFeedTellsOfFirstIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		f.store.SetFaults(memory.RowFaults{AnswerDelay: 600 * time.Millisecond})
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{})
		wantAll(t, f.read(f.services[1], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

// TestOwnerThatIsNotKnownYetKeepsItsJob starts an owner whose row the others
// have not read yet, as after a rolling restart.
func TestOwnerThatIsNotKnownYetKeepsItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.start("new")
		f.mu.Lock()
		delete(f.alive, "new")
		f.mu.Unlock()
		if err := f.services[1].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		f.mu.Lock()
		f.alive["new"] = true
		f.mu.Unlock()
		wantAll(t, f.read(f.services[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

// TestJobOfAReplacedProcessIsTakenOverAtOnce is the restart after a loss of all.
func TestJobOfAReplacedProcessIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
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
		if err := f.services[0].Submit(t.Context(), f.submission("j", "broken", "fine")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(150 * time.Millisecond)
		f.services[0].Stop(t.Context())
		f.read(f.services[1], "j")
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
		if err := f.services[0].Submit(t.Context(), f.submission("j", "poison", "a")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(2 * time.Second)
		done := make(chan struct{})
		go func() { defer close(done); f.services[0].Stop(t.Context()) }()
		time.Sleep(time.Second)
		f.store.SetFaults(memory.RowFaults{})
		<-done
		f.read(f.services[1], "j")
		f.mu.Lock()
		defer f.mu.Unlock()
		if n := f.runs["poison"]; n != 1 {
			t.Errorf("the impossible item ran %d times", n)
		}
	})
}

// TestItemWithoutEndIsBoundedAndOthersAreDone has an upstream that goes on with an
// item's events without end: nothing of it is kept past the bound, it is not said
// to be done, and the other items of the job are.
func TestItemWithoutEndIsBoundedAndOthersAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "endless", "fine")); err != nil {
			t.Fatal(err)
		}
		got := map[string]bool{}
		for _, r := range f.read(f.services[0], "j") {
			got[r.Item] = r.Succeeded
		}
		if d := cmp.Diff(map[string]bool{"endless": false, "fine": true}, got); d != "" {
			t.Error(d)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, from := range f.from["endless"] {
			if from != "" {
				t.Errorf("a run went on after event %q of a text that was thrown away", from)
			}
		}
		if f.runs["endless"] < 2 {
			t.Error("the item was not tried again")
		}
		if f.taken > 2*maxItemText {
			t.Errorf("%d bytes were taken of one run", f.taken)
		}
	})
}

// maxItemText is the bound of an item's text that a call for results can bring.
const maxItemText = 1 << 20
