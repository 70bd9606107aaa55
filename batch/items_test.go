package batch

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// TestImpossibleItemsUseUpTheirAttempts runs items that fail at every attempt,
// that are invalid and that cause a panic: each completes as failed, and the
// others are not affected.
func TestImpossibleItemsUseUpTheirAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(100))
		executor := newExecutor(func(_ context.Context, id string) (string, error) {
			switch {
			case strings.HasSuffix(id, "-7"):
				return "", code.New(code.UpstreamFailed, "engine crashed")
			case strings.HasSuffix(id, "-8"):
				return "", code.New(code.InvalidField, "prompt too long")
			case strings.HasSuffix(id, "-9"):
				panic("index out of range")
			}
			return "done", nil
		})
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor})
		defer r.stop()
		job = waitState(t, service, job.ID, StateFinished)
		lines := results(t, service, job.ID)
		checkEachOnce(t, lines, 100)
		if job.Counts != (Counts{Total: 100, Completed: 97, Failed: 3}) {
			t.Errorf("counts %+v", job.Counts)
		}
		if e := lines[7].Error; e == nil || e.Number != code.AttemptsUsedUp || !strings.Contains(e.Message, "engine crashed") {
			t.Errorf("item 7: %+v, want AttemptsUsedUp with the reason", e)
		}
		if e := lines[8].Error; e == nil || e.Number != code.InvalidField {
			t.Errorf("item 8: %+v, want InvalidField", e)
		}
		if e := lines[9].Error; e == nil || e.Number != code.AttemptsUsedUp {
			t.Errorf("item 9: %+v, want AttemptsUsedUp", e)
		}
		if n, m := executor.count(resultID(job.ID, 7)), executor.count(resultID(job.ID, 8)); n != 3 || m != 1 {
			t.Errorf("%d and %d runs, want 3 and 1", n, m)
		}
	})
}

func TestRefusalsDoNotCountAsAttemptsBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(1))
		availableAt := time.Now().Add(time.Hour)
		executor := newExecutor(func(context.Context, string) (string, error) {
			if time.Now().Before(availableAt) {
				return "", code.New(code.NoUpstream, "none")
			}
			return "done", nil
		})
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor})
		defer r.stop()
		if job = waitState(t, service, job.ID, StateFinished); job.Counts.Completed != 1 {
			t.Errorf("counts %+v, want the item done after the outage", job.Counts)
		}
		request := Request{Input: strings.NewReader(chatLines(1)), Settings: Settings{Deadline: time.Minute}}
		availableAt = time.Now().Add(1000 * time.Hour)
		late, err := service.Submit(context.Background(), account, "late", request)
		if err != nil {
			t.Fatal(err)
		}
		late = waitState(t, service, late.ID, StateFinished)
		if late.Counts.Failed != 1 {
			t.Errorf("counts %+v, want the item failed after the deadline", late.Counts)
		}
	})
}

// TestStragglersHoldUpNeitherSegmentNorSlot runs items that take 5 h among items
// of 1 s: the short items must neither wait for the long ones nor be lost.
func TestStragglersHoldUpNeitherSegmentNorSlot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		const items, longItem = 1500, 5 * time.Hour
		job := submit(t, service, "k", chatLines(items))
		executor := newExecutor(func(ctx context.Context, id string) (string, error) {
			wait := time.Second
			if strings.HasSuffix(id, "00") {
				wait = longItem
			}
			select {
			case <-time.After(wait):
				return "done", nil
			case <-ctx.Done():
				return "", ctx.Err()
			}
		})
		startedAt := time.Now()
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor, MaxLeases: 1, ItemsPerLease: 4})
		defer r.stop()
		// The 14 stragglers would block the 4 concurrent items of a segment several
		// times over.
		waitFor(t, "all but the stragglers", func() bool {
			current, err := service.Status(context.Background(), account, job.ID)
			return err == nil && current.Counts.Completed >= items-14
		})
		if elapsed := time.Since(startedAt); elapsed > time.Hour {
			t.Errorf("short items took %v beside items of %v", elapsed, longItem)
		}
		waitState(t, service, job.ID, StateFinished)
		checkEachOnce(t, results(t, service, job.ID), items)
		if n := executor.started(); n != items {
			t.Errorf("%d runs of %d items", n, items)
		}
	})
}

// TestResultsAreHeldThroughALongOutage takes the store down for 2 h while items
// run: their results are committed afterwards, and no item runs again.
func TestResultsAreHeldThroughALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(2000))
		executor := newExecutor(func(context.Context, string) (string, error) {
			time.Sleep(time.Second)
			return "done", nil
		})
		var runners []*testRunner
		for _, id := range []string{"i1", "i2", "i3"} {
			view := newView(id)
			view.set("i1", "i2", "i3")
			runners = append(runners, startRunner(t, RunnerOptions{Store: store, Executor: executor, View: view}))
		}
		waitFor(t, "items running", func() bool { return executor.started() > 40 })
		store.Faults().SetDown(true)
		time.Sleep(2 * time.Hour)
		down := store.Faults().Counts()
		store.Faults().SetDown(false)
		restoredAt := time.Now()
		waitState(t, service, job.ID, StateFinished)
		checkEachOnce(t, results(t, service, job.ID), 2000)
		if n := executor.started(); n != 2000 {
			t.Errorf("%d runs of 2000 items: work was lost in the outage", n)
		}
		if elapsed := time.Since(restoredAt); elapsed > 10*time.Minute {
			t.Errorf("finished %v after the outage", elapsed)
		}
		// Three runners with at most 3 lost leases retry every 15 s on average.
		if down.Injected > 3*4*2*3600/5 {
			t.Errorf("%d operations in an outage of 2 h", down.Injected)
		}
		for _, r := range runners {
			r.stop()
		}
	})
}

// TestPlannedStopHandsOver stops a runner: it releases its leases, so that the
// next one need not wait for their expiry, and no item runs twice.
func TestPlannedStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", plainLines("pickup", 200))
		claims := newClaims()
		executor := newExecutor(func(context.Context, string) (string, error) {
			time.Sleep(5 * time.Second)
			return "done", nil
		})
		first := startRunner(t, RunnerOptions{Store: store, Executor: executor, Claims: claims, View: newView("i1", "i2")})
		waitFor(t, "items running", func() bool { return executor.started() >= 40 })
		first.stop()
		stoppedAt := time.Now()
		second := startRunner(t, RunnerOptions{Store: store, Executor: executor, Claims: claims, View: newView("i2", "i1")})
		defer second.stop()
		job = waitState(t, service, job.ID, StateFinished)
		if job.Counts.Completed != 200 || executor.started() != 200 {
			t.Errorf("counts %+v with %d runs, want each item run once and completed", job.Counts, executor.started())
		}
		if elapsed := time.Since(stoppedAt); elapsed > 3*time.Minute {
			t.Errorf("finished %v after the stop, want within 3 min: the lease was not released", elapsed)
		}
	})
}

// TestLostAnswerOfARenewalKeepsTheLease loses the responses of renewals. The row
// then has a newer version than the holder knows, which must not count as the
// takeover by another holder.
func TestLostAnswerOfARenewalKeepsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(60))
		faulty := newFaultStore(store)
		renewals := 0
		faulty.setWriteHook(func(n int, tx *storage.Transaction) fault {
			if n > 1 && tx != nil && !commits(tx) {
				renewals++
				// The read that would resolve the outcome fails as well.
				faulty.setDown(renewals == 1)
				time.AfterFunc(time.Minute, func() { faulty.setDown(false) })
				return loseResponse
			}
			return noFault
		})
		executor := newExecutor(func(context.Context, string) (string, error) {
			time.Sleep(4 * time.Minute)
			return "done", nil
		})
		r := startRunner(t, RunnerOptions{Store: faulty, Executor: executor})
		defer r.stop()
		waitState(t, service, job.ID, StateFinished)
		checkEachOnce(t, results(t, service, job.ID), 60)
		if executor.started() != 60 || renewals < 2 {
			t.Errorf("%d runs of 60 items with %d renewals", executor.started(), renewals)
		}
	})
}

// TestItemThatCrashesInstancesIsFound runs an item that crashes every instance
// that runs it. Smaller and smaller groups isolate the item until it runs alone
// and its attempts are used up; the other items complete.
func TestItemThatCrashesInstancesIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(100))
		crashes := 0
		for {
			faulty := newFaultStore(store)
			executor := newExecutor(func(ctx context.Context, id string) (string, error) {
				if strings.HasSuffix(id, "-40") {
					faulty.setDown(true)
				}
				if faulty.downError() != nil {
					return blocked(ctx, id)
				}
				return "done", nil
			})
			r := startRunner(t, RunnerOptions{Store: faulty, Executor: executor, View: newView(fmt.Sprintf("i%d", crashes))})
			waitFor(t, "job finished or instance crashed", func() bool {
				current, err := service.Status(context.Background(), account, job.ID)
				return faulty.downError() != nil || err == nil && current.State == StateFinished
			})
			crashed := faulty.downError() != nil
			r.stop()
			if !crashed {
				break
			}
			crashes++
		}
		lines := results(t, service, job.ID)
		checkEachOnce(t, lines, 100)
		if e := lines[40].Error; e == nil || e.Number != code.AttemptsUsedUp {
			t.Errorf("item 40: %+v, want AttemptsUsedUp", e)
		}
		if current, err := service.Status(context.Background(), account, job.ID); err != nil || current.Counts.Failed != 1 {
			t.Errorf("counts %+v, %v: want 1 failed", current.Counts, err)
		}
		if maxCrashes := groupedLapses + 2 + 3; crashes > maxCrashes {
			t.Errorf("%d instances crashed, want at most %d: 2 before the groups, 2 with groups of 16 and 4, and 3 with the item alone", crashes, maxCrashes)
		}
	})
}

// TestMissingInputCausesNoStormOfLeases checks that a segment whose input cannot
// be read is not leased and released again at every poll.
func TestMissingInputCausesNoStormOfLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(5))
		row, err := store.Get(context.Background(), jobKey(job.ID))
		if err != nil {
			t.Fatal(err)
		}
		stored, err := decode[jobRow](row)
		if err != nil {
			t.Fatal(err)
		}
		// The object ends with the manifest, which stays readable.
		faulty := &missingInput{Store: store, object: inputObject(stored.Upload, 0)}
		r := startRunner(t, RunnerOptions{Store: faulty, Executor: newExecutor(nil)})
		before := store.Faults().Counts()
		time.Sleep(time.Hour)
		after := store.Faults().Counts()
		r.stop()
		if faulty.readCount() == 0 {
			t.Fatal("the input was never read")
		}
		if n := after.Writes - before.Writes; n > 30 {
			t.Errorf("%d writes in an hour for a segment without input", n)
		}
	})
}

// TestClaimsOfItemsThatNeverRanAreReleased stops a runner whose items are claimed
// but not dispatched: with Releaser the next holder runs them, without it they
// complete as failed.
func TestClaimsOfItemsThatNeverRanAreReleased(t *testing.T) {
	for _, releases := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			service := newTestService(t, store)
			job := submit(t, service, "k", plainLines("pickup", 50))
			var claims Claims = newClaims()
			if !releases {
				claims = struct{ Claims }{claims}
			}
			// The executor has no capacity, so no call is dispatched before the stop.
			waiting := newExecutor(func(ctx context.Context, _ string) (string, error) {
				<-ctx.Done()
				return "", code.New(code.Overloaded, "no capacity")
			})
			first := startRunner(t, RunnerOptions{Store: store, Executor: waiting, Claims: claims, View: newView("i1", "i2")})
			waitFor(t, "items claimed", func() bool { return waiting.started() == 16 })
			first.stop()
			executor := newExecutor(nil)
			second := startRunner(t, RunnerOptions{Store: store, Executor: executor, Claims: claims, View: newView("i2")})
			defer second.stop()
			job = waitState(t, service, job.ID, StateFinished)
			if want := 16; !releases && job.Counts.Failed != want {
				t.Errorf("%d items failed without a release, want the %d claimed", job.Counts.Failed, want)
			}
			if releases && (job.Counts.Completed != 50 || executor.started() != 50) {
				t.Errorf("counts %+v with %d runs, want each item run by the second holder", job.Counts, executor.started())
			}
		})
	}
}

// TestItemOfANewerConfigurationIsNotGivenUp runs a job at an instance whose document lacks
// the service of its items, since it is older than the one under which the job was accepted.
func TestItemOfANewerConfigurationIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		newest := testDocument()
		newest.Version = 2
		service, err := NewService(ServiceOptions{Store: store, Document: func() *contract.Document { return newest }})
		if err != nil {
			t.Fatal(err)
		}
		var inForce atomic.Pointer[contract.Document]
		inForce.Store(&contract.Document{Version: 1, Services: map[string]contract.Service{}, Limits: newest.Limits})
		executor := newExecutor(func(context.Context, string) (string, error) {
			if inForce.Load().Version < newest.Version {
				return "", code.New(code.UnknownService, "no such service")
			}
			return "done", nil
		})
		job := submit(t, service, "k", chatLines(3))
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor, Document: inForce.Load})
		defer r.stop()
		time.Sleep(10 * time.Second)
		inForce.Store(newest)
		waitFor(t, "the end of the job", func() bool {
			current, err := service.Status(context.Background(), account, job.ID)
			return err == nil && current.State == StateFinished
		})
		lines := results(t, service, job.ID)
		checkEachOnce(t, lines, 3)
		for _, l := range lines {
			if l.failed() {
				t.Errorf("item %s was given up: %v", l.ID, l.Error)
			}
		}
	})
}
