package batch

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// blocked blocks until ctx ends.
func blocked(ctx context.Context, _ string) (string, error) {
	<-ctx.Done()
	return "", ctx.Err()
}

func answering(text string) func(context.Context, string) (string, error) {
	return func(context.Context, string) (string, error) { return text, nil }
}

// TestSegmentOfACrashedHolderIsFinishedByAnother crashes a holder: another finishes
// its segment, soon if the crashed instance is missing from the view, and else
// when the lease has expired.
func TestSegmentOfACrashedHolderIsFinishedByAnother(t *testing.T) {
	for _, inView := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			service := newTestService(t, store)
			job := submit(t, service, "k", chatLines(100))
			faulty := newFaultStore(store)
			crashing := newExecutor(func(ctx context.Context, id string) (string, error) {
				if strings.HasSuffix(id, "-40") {
					faulty.setDown(true)
				}
				if faulty.downError() != nil {
					return blocked(ctx, id)
				}
				return "lost", nil
			})
			first := startRunner(t, RunnerOptions{Store: faulty, Executor: crashing, View: newView("i1", "i2")})
			defer first.stop()
			waitFor(t, "holder crashed", func() bool { return faulty.downError() != nil })
			crashedAt := time.Now()

			view := newView("i2", "i1")
			if !inView {
				view.set("i2")
			}
			second := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(answering("whole")), View: view})
			defer second.stop()
			waitState(t, service, job.ID, StateFinished)
			checkEachOnce(t, results(t, service, job.ID), 100)
			if elapsed := time.Since(crashedAt); (elapsed < 5*time.Minute) == inView {
				t.Errorf("holder in the view %v: takeover after %v", inView, elapsed)
			}
		})
	}
}

// frozenCommit freezes a first holder just before a commit until a second one has
// finished the job. It returns the visible results before and after the first
// holder continues with its commit, to which change is applied.
func frozenCommit(t *testing.T, change func(*storage.Transaction)) (before, after []ResultLine, frozen *testRunner) {
	store := memory.New()
	service := newTestService(t, store)
	job := submit(t, service, "k", chatLines(50))
	faulty := newFaultStore(store)
	thaw, reached := make(chan struct{}), make(chan struct{})
	faulty.setWriteHook(func(_ int, tx *storage.Transaction) fault {
		if commits(tx) {
			select {
			case <-reached:
			default:
				close(reached)
				<-thaw
			}
			change(tx)
		}
		return noFault
	})
	frozen = startRunner(t, RunnerOptions{Store: faulty, Executor: newExecutor(answering("first")), View: newView("i1", "i2")})
	<-reached
	second := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(answering("second")), View: newView("i2")})
	waitState(t, service, job.ID, StateFinished)
	second.stop()
	before = results(t, service, job.ID)
	close(thaw)
	waitFor(t, "frozen holder done", func() bool { return len(frozen.State().Leases) == 0 })
	frozen.stop()
	return before, results(t, service, job.ID), frozen
}

func TestFrozenHolderCannotCommitAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after, _ := frozenCommit(t, func(*storage.Transaction) {})
		checkEachOnce(t, after, 50)
		if diff := cmp.Diff(before, after); diff != "" {
			t.Errorf("committed results changed (-before +after):\n%s", diff)
		}
	})
}

// TestFrozenHolderWithoutConditionsCompletesTwice checks that
// TestFrozenHolderCannotCommitAfterATakeover can fail: without the conditions of
// the commit, the frozen holder completes items a second time.
func TestFrozenHolderWithoutConditionsCompletesTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after, _ := frozenCommit(t, withoutConditions)
		if cmp.Equal(before, after) {
			t.Error("the commit without conditions changed no result; the test with conditions proves nothing")
		}
	})
}

// TestLostCommitAnswersAreReadBack loses the response of every write: the runner
// reads the outcomes back, so that no item runs twice.
func TestLostCommitAnswersAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(1500))
		faulty := newFaultStore(store)
		faulty.setWriteHook(func(int, *storage.Transaction) fault { return loseResponse })
		executor := newExecutor(nil)
		r := startRunner(t, RunnerOptions{Store: faulty, Executor: executor})
		defer r.stop()
		waitState(t, service, job.ID, StateFinished)
		checkEachOnce(t, results(t, service, job.ID), 1500)
		if faulty.injectedFaults() < 9 {
			t.Fatalf("%d responses lost, want at least 9: lease, put and commit of 3 segments", faulty.injectedFaults())
		}
		if executor.started() != 1500 {
			t.Errorf("%d runs of 1500 items: work ran again after a lost response", executor.started())
		}
	})
}

// cancelAtCommit cancels the job when its holder is about to commit, and applies
// change to the commit. It returns the job as the cancellation returned it, and
// the results afterwards.
func cancelAtCommit(t *testing.T, change func(*storage.Transaction)) (acknowledged Job, after []ResultLine) {
	store := memory.New()
	service := newTestService(t, store)
	job := submit(t, service, "k", chatLines(50))
	faulty := newFaultStore(store)
	var err error
	cancelled := make(chan struct{})
	faulty.setWriteHook(func(_ int, tx *storage.Transaction) fault {
		if commits(tx) {
			acknowledged, err = service.Cancel(context.Background(), account, job.ID)
			change(tx)
			close(cancelled)
		}
		return noFault
	})
	r := startRunner(t, RunnerOptions{Store: faulty, Executor: newExecutor(nil)})
	<-cancelled
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "lease ended", func() bool { return len(r.State().Leases) == 0 })
	r.stop()
	return acknowledged, results(t, service, job.ID)
}

func TestNoItemCompletesAfterACancellationIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		acknowledged, after := cancelAtCommit(t, func(*storage.Transaction) {})
		if acknowledged.State != StateCancelled || len(after) != 0 {
			t.Errorf("state %s with %d results after the acknowledgement", acknowledged.State, len(after))
		}
	})
}

// TestCommitWithoutConditionsCompletesACancelledJob checks that
// TestNoItemCompletesAfterACancellationIsAcknowledged can fail: without the
// conditions of the commit, items of a cancelled job complete.
func TestCommitWithoutConditionsCompletesACancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, after := cancelAtCommit(t, withoutConditions); len(after) == 0 {
			t.Error("the commit without conditions completed nothing; the test with conditions proves nothing")
		}
	})
}

func TestCancellationStopsRunningItemsOnAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(50))
		executor := newExecutor(nil)
		stopped := make(chan time.Time, 50)
		executor.run = func(ctx context.Context, id string) (string, error) {
			<-ctx.Done()
			stopped <- time.Now()
			return "", ctx.Err()
		}
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor})
		defer r.stop()
		waitFor(t, "items running", func() bool { return executor.started() == 16 })
		cancelledAt := time.Now()
		if _, err := service.Cancel(context.Background(), account, job.ID); err != nil {
			t.Fatal(err)
		}
		for range 16 {
			if elapsed := (<-stopped).Sub(cancelledAt); elapsed > 2*time.Second {
				t.Errorf("an item stopped %v after the cancellation", elapsed)
			}
		}
	})
}

// TestNonIdempotentItemsRunAtMostOnceAcrossATakeover crashes a holder: the next one
// must not run the calls that the first has dispatched, since they may have run.
func TestNonIdempotentItemsRunAtMostOnceAcrossATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", plainLines("pickup", 100))
		claims, faulty := newClaims(), newFaultStore(store)
		runs := newExecutor(nil)
		runs.run = func(ctx context.Context, id string) (string, error) {
			if strings.HasSuffix(id, "-40") {
				faulty.setDown(true)
			}
			if faulty.downError() != nil {
				return blocked(ctx, id)
			}
			return "picked up", nil
		}
		first := startRunner(t, RunnerOptions{Store: faulty, Executor: runs, Claims: claims, View: newView("i1", "i2")})
		defer first.stop()
		waitFor(t, "holder crashed", func() bool { return faulty.downError() != nil })
		startedByFirst := runs.started()

		second := newExecutor(answering("picked up"))
		r := startRunner(t, RunnerOptions{Store: store, Executor: second, Claims: claims, View: newView("i2")})
		defer r.stop()
		waitState(t, service, job.ID, StateFinished)
		lines := results(t, service, job.ID)
		checkEachOnce(t, lines, 100)
		unknown := 0
		for i, l := range lines {
			if n := runs.count(resultID(job.ID, i)) + second.count(resultID(job.ID, i)); n != 1 {
				t.Errorf("item %d ran %d times", i, n)
			}
			if l.Error != nil && l.Error.Number == code.OutcomeUnknown {
				unknown++
				continue
			}
			var answer string
			if l.Response == nil || json.Unmarshal(l.Response.Body, &answer) != nil || answer != "picked up" {
				t.Errorf("item %d: %+v, want the answer of its one run", i, l)
			}
		}
		if unknown == 0 || unknown > 16 || startedByFirst < 41 {
			t.Errorf("%d items with unknown outcome of %d started, want only those in flight", unknown, startedByFirst)
		}
	})
}
