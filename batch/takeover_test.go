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

func blocked(ctx context.Context, _ string) (string, error) {
	<-ctx.Done()
	return "", ctx.Err()
}

func named(name string) func(context.Context, string) (string, error) {
	return func(context.Context, string) (string, error) { return name, nil }
}

func TestSegmentOfADeadHolderIsFinishedByAnother(t *testing.T) {
	for _, inView := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			service := newTestService(t, store)
			job := submit(t, service, "k", chatLines(100))
			way := newGate(store)
			dying := newExecutor(func(ctx context.Context, id string) (string, error) {
				if strings.HasSuffix(id, "-40") {
					way.kill(true)
				}
				if way.isDead() != nil {
					return blocked(ctx, id)
				}
				return "lost", nil
			})
			first := startRunner(t, RunnerOptions{Store: way, Executor: dying, View: newView("i1", "i2")})
			defer first.stop()
			waitFor(t, "holder dead", func() bool { return way.isDead() != nil })
			died := time.Now()

			view := newView("i2", "i1")
			if !inView {
				view.set("i2")
			}
			second := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(named("whole")), View: view})
			defer second.stop()
			waitState(t, service, job.ID, StateFinished)
			checkOnce(t, results(t, service, job.ID), 100)
			if took := time.Since(died); (took < 5*time.Minute) == inView {
				t.Errorf("holder in the view %v: takeover after %v", inView, took)
			}
		})
	}
}

// frozenCommit lets a first holder freeze just before a commit until a second
// one has finished the job, and returns the visible results before and after
// the first holder wakes.
func frozenCommit(t *testing.T, change func(*storage.Transaction)) (before, after []ResultLine, frozen *testRunner) {
	store := memory.New()
	service := newTestService(t, store)
	job := submit(t, service, "k", chatLines(50))
	way := newGate(store)
	thaw, reached := make(chan struct{}), make(chan struct{})
	way.hook(func(_ int, tx *storage.Transaction) fault {
		if commits(tx) {
			select {
			case <-reached:
			default:
				close(reached)
				<-thaw
			}
			change(tx)
		}
		return none
	})
	frozen = startRunner(t, RunnerOptions{Store: way, Executor: newExecutor(named("first")), View: newView("i1", "i2")})
	<-reached
	second := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(named("second")), View: newView("i2")})
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
		checkOnce(t, after, 50)
		if diff := cmp.Diff(before, after); diff != "" {
			t.Errorf("committed results changed (-before +after):\n%s", diff)
		}
	})
}

// The commit of a naive holder, without conditions, completes items twice.
func TestFrozenHolderWithoutConditionsCompletesTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after, _ := frozenCommit(t, withoutConditions)
		if cmp.Equal(before, after) {
			t.Error("the naive commit changed no result; the test above shows nothing")
		}
	})
}

func TestLostCommitAnswersAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(1500))
		way := newGate(store)
		way.hook(func(int, *storage.Transaction) fault { return loses })
		executor := newExecutor(nil)
		r := startRunner(t, RunnerOptions{Store: way, Executor: executor})
		defer r.stop()
		waitState(t, service, job.ID, StateFinished)
		checkOnce(t, results(t, service, job.ID), 1500)
		if way.faults() < 9 {
			t.Fatalf("%d answers lost, want all of lease, put and commit of 3 segments", way.faults())
		}
		if executor.started() != 1500 {
			t.Errorf("%d runs of 1500 items: a lost answer made work run again", executor.started())
		}
	})
}

// cancelAtCommit cancels the job when its holder is about to commit.
func cancelAtCommit(t *testing.T, change func(*storage.Transaction)) (acknowledged Job, after []ResultLine) {
	store := memory.New()
	service := newTestService(t, store)
	job := submit(t, service, "k", chatLines(50))
	way := newGate(store)
	var err error
	cancelled := make(chan struct{})
	way.hook(func(_ int, tx *storage.Transaction) fault {
		if commits(tx) {
			acknowledged, err = service.Cancel(context.Background(), account, job.ID)
			change(tx)
			close(cancelled)
		}
		return none
	})
	r := startRunner(t, RunnerOptions{Store: way, Executor: newExecutor(nil)})
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

// The commit of a naive holder, without conditions, completes items of a
// cancelled job.
func TestCommitWithoutConditionsCompletesACancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, after := cancelAtCommit(t, withoutConditions); len(after) == 0 {
			t.Error("the naive commit completed nothing; the test above shows nothing")
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
		asked := time.Now()
		if _, err := service.Cancel(context.Background(), account, job.ID); err != nil {
			t.Fatal(err)
		}
		for range 16 {
			if took := (<-stopped).Sub(asked); took > 2*time.Second {
				t.Errorf("an item stopped %v after the cancellation", took)
			}
		}
	})
}

func TestNonIdempotentItemsRunAtMostOnceAcrossATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", plainLines("pickup", 100))
		claims, way := newClaims(), newGate(store)
		runs := newExecutor(nil)
		runs.run = func(ctx context.Context, id string) (string, error) {
			if strings.HasSuffix(id, "-40") {
				way.kill(true)
			}
			if way.isDead() != nil {
				return blocked(ctx, id)
			}
			return "picked up", nil
		}
		first := startRunner(t, RunnerOptions{Store: way, Executor: runs, Claims: claims, View: newView("i1", "i2")})
		defer first.stop()
		waitFor(t, "holder dead", func() bool { return way.isDead() != nil })
		begun := runs.started()

		second := newExecutor(named("picked up"))
		r := startRunner(t, RunnerOptions{Store: store, Executor: second, Claims: claims, View: newView("i2")})
		defer r.stop()
		waitState(t, service, job.ID, StateFinished)
		lines := results(t, service, job.ID)
		checkOnce(t, lines, 100)
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
		if unknown == 0 || unknown > 16 || begun < 41 {
			t.Errorf("%d items of unknown outcome of %d begun, want those in flight", unknown, begun)
		}
	})
}
