package batch

import (
	"testing"
	"testing/synctest"

	"go.uber.org/goleak"

	"github.com/daisylb/daisylb/storage/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		job := submit(t, service, "k", chatLines(1201))
		executor := newExecutor(nil)
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor})
		defer r.stop()
		job = waitState(t, service, job.ID, StateFinished)
		if job.Counts != (Counts{Total: 1201, Completed: 1201}) {
			t.Errorf("counts %+v", job.Counts)
		}
		checkEachOnce(t, results(t, service, job.ID), 1201)
		if executor.started() != 1201 {
			t.Errorf("%d runs, want one per item", executor.started())
		}
	})
}
