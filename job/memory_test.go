package job_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// oneJob holds a single job of a few items and a single running item at a time.
const oneJob = 46 << 10

// TestJobsWithoutRoomRunAtOtherInstances guards against jobs that wait at a full instance while
// others have room, and against more running items than there is memory for.
func TestJobsWithoutRoomRunAtOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.maxBytes = oneJob
		full, empty := f.start("p1"), f.start("p2")
		f.kill(0)
		const jobs = 6
		for i := range jobs {
			id := strconv.Itoa(i)
			if err := full.Submit(t.Context(), f.submission("j"+id, "short-"+id+"a", "short-"+id+"b")); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		if full.Owned() != 1 || empty.Owned() != 1 {
			t.Errorf("%d and %d jobs run, want one at each instance", full.Owned(), empty.Owned())
		}
		for i := range jobs {
			id := strconv.Itoa(i)
			wantAll(t, f.read(empty, "j"+id), "short-"+id+"a", "short-"+id+"b")
		}
		time.Sleep(time.Second)
		if full.HeldBytes() != 0 || empty.HeldBytes() != 0 {
			t.Errorf("%d and %d bytes are held after all jobs, want none", full.HeldBytes(), empty.HeldBytes())
		}
	})
}

// TestStalledJobsGiveWay guards against jobs that wait until they expire because those before
// them get nothing from an upstream.
func TestStalledJobsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, func(r *contract.Route) { r.GiveUpAfter = time.Hour })
		defer f.close()
		f.maxBytes = oneJob
		m := f.start("p0")
		for i := range 5 {
			id := strconv.Itoa(i)
			if err := m.Submit(t.Context(), f.submission("stalled"+id, "quarantined-"+id)); err != nil {
				t.Fatal(err)
			}
		}
		if err := m.Submit(t.Context(), f.submission("j", "short")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		wantAll(t, f.read(m, "j"), "short")
		if total, results, err := m.Results(t.Context(), "stalled0", 0, 0); err != nil || total != 1 || len(results) != 0 {
			t.Errorf("a job that is kept back has %d results of %d, %v", len(results), total, err)
		}
	})
}

// TestAccountsTakeTurns guards against jobs of an account that wait behind all jobs that another
// submitted before.
func TestAccountsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, nil)
		defer f.close()
		f.maxBytes = oneJob
		m := f.start("p0")
		submit := func(id, account string) {
			sub := f.submission(id, "short-"+id)
			sub.Account = account
			if err := m.Submit(t.Context(), sub); err != nil {
				t.Fatal(err)
			}
		}
		const jobs = 8
		for i := range jobs {
			submit("many"+strconv.Itoa(i), "a")
		}
		time.Sleep(time.Second)
		submit("one", "b")
		wantAll(t, f.read(m, "one"), "short-one")
		complete := 0
		for i := range jobs {
			if _, results, err := m.Results(t.Context(), "many"+strconv.Itoa(i), 0, 0); err == nil && len(results) > 0 {
				complete++
			}
		}
		if complete > 3 {
			t.Errorf("%d of %d jobs of the other account were complete before, want 3 at most", complete, jobs)
		}
	})
}

// TestJobsBeyondWhatIsKeptAreRefused guards against more jobs than every instance can know of, and
// against an account whose jobs leave no room for those of another.
func TestJobsBeyondWhatIsKeptAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, nil)
		defer f.close()
		f.maxKeptBytes = 16 << 10
		first, second := f.start("p0"), f.start("p1")
		submit := func(m *instance, account string, n int) error {
			sub := f.submission(account+strconv.Itoa(n), "short-"+account+strconv.Itoa(n))
			sub.Account = account
			return m.Submit(t.Context(), sub)
		}
		accepted := map[string]int{}
		for n := range 40 {
			for _, account := range []string{"a", "a", "b"} {
				if n >= 20 || account == "a" {
					err := submit(first, account, n)
					if err == nil {
						accepted[account] = max(accepted[account], n+1)
					} else if e := code.From(err); e.Number != code.MemoryExhausted || e.Outcome != code.NotRun || e.RetryAfter == 0 {
						t.Fatalf("job %d of %s: %v, want %d with a time to retry after", n, account, err, code.MemoryExhausted)
					}
				}
			}
		}
		if accepted["a"] == 0 || accepted["a"] == 40 || accepted["b"] == 0 {
			t.Errorf("up to %d and %d jobs accepted of 40 each, want some of both and not all", accepted["a"], accepted["b"])
		}
		time.Sleep(time.Second)
		if err := submit(second, "a", 0); err != nil {
			t.Errorf("an accepted job that comes again is refused: %v", err)
		}
		if err := submit(second, "a", 39); code.Of(err) != code.MemoryExhausted {
			t.Errorf("another instance: %v, want number %d", err, code.MemoryExhausted)
		}
		if kept := second.KeptBytes(); kept > f.maxKeptBytes {
			t.Errorf("%d bytes are kept, want at most %d", kept, f.maxKeptBytes)
		}
	})
}

// TestCallersAreServedAfterTheHandOver guards against calls that fail while an instance that has
// handed its jobs over still serves callers.
func TestCallersAreServedAfterTheHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 10_000 })
		defer f.close()
		leaving, other := f.instances[0], f.instances[1]
		if err := other.Submit(t.Context(), f.submission("j", "short-1")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		leaving.Stop(t.Context())
		if _, err := leaving.Body(t.Context(), "j", "short-1"); err != nil {
			t.Errorf("body of an item: %v", err)
		}
		if err := leaving.Submit(t.Context(), f.submission("k", "short-2")); err != nil {
			t.Errorf("submission: %v", err)
		}
	})
}

// TestItemsWithoutTokensTakeOfTheQuota guards against a quota that any number of jobs passes.
func TestItemsWithoutTokensTakeOfTheQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, func(r *contract.Route) { r.MaxWaitingTokens = 5 })
		defer f.close()
		submit := func(id string) error {
			sub := f.submission(id, id+"-1", id+"-2")
			for i := range sub.Items {
				sub.Items[i].Tokens, sub.Items[i].Body = 0, nil
			}
			return f.instances[0].Submit(t.Context(), sub)
		}
		for _, id := range []string{"a", "b"} {
			if err := submit(id); err != nil {
				t.Fatal(err)
			}
		}
		if err := submit("c"); code.Of(err) != code.QuotaExceeded {
			t.Errorf("a third job of two items of five: %v, want number %d", err, code.QuotaExceeded)
		}
		f.read(f.instances[0], "a")
		f.read(f.instances[0], "b")
		if err := submit("c"); err != nil {
			t.Errorf("after the others: %v", err)
		}
	})
}

// TestJobsAreDoneBesideOneThatTheStoreRefuses guards against a job that repeats a refused commit
// without end and keeps the memory for which all others wait.
func TestJobsAreDoneBesideOneThatTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, nil)
		defer f.close()
		f.maxBytes = oneJob
		m := f.start("p0")
		m.store.refusedJob = "refused"
		for _, id := range []string{"refused", "j"} {
			if err := m.Submit(t.Context(), f.submission(id, id+"-a")); err != nil {
				t.Fatal(err)
			}
		}
		f.wantDoneIn(t, finishTime, "j", "j-a")
		time.Sleep(20 * time.Second)
		f.wantRuns(map[string]int{"refused-a": 1, "j-a": 1})
		if m.store.refusedJob = ""; m.HeldBytes() != 0 {
			t.Errorf("%d bytes are held", m.HeldBytes())
		}
	})
}

// TestJobIsRefusedForNowWhileTheStoreIsFull guards against jobs that are refused for good, as too
// large, while the store has no room.
func TestJobIsRefusedForNowWhileTheStoreIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.instances[0].store.full.Store(true)
		startedAt := time.Now()
		err := f.instances[0].Submit(t.Context(), f.submission("j", "a"))
		if e := code.From(err); e.Number != code.StoreFull || e.Outcome != code.NotRun || e.RetryAfter == 0 {
			t.Errorf("got %v, retry after %v", err, code.From(err).RetryAfter)
		}
		if took := time.Since(startedAt); took > 100*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
		f.instances[0].store.full.Store(false)
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Error(err)
		}
	})
}
