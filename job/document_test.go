package job_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
)

// partialOutage is longer than the time for which a route may be missing.
const partialOutage = 4500 * time.Millisecond

// TestInstanceWithoutADocumentGivesNoItemUp restarts the owner of a job while the table
// of the document can't be read.
func TestInstanceWithoutADocumentGivesNoItemUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		document := f.instances[0].document.Load()
		f.kill(0)
		f.mu.Lock()
		f.replaced["p0"] = true
		f.mu.Unlock()
		restarted := f.startWith("p1", nil)
		time.Sleep(partialOutage)
		restarted.document.Store(document)
		wantAll(t, f.read(restarted, "j"), "a", "b")
	})
}

// TestInstanceWithoutADocumentLeavesJobsToOthers has an instance without a document
// beside one that could run the job of a lost one.
func TestInstanceWithoutADocumentLeavesJobsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		starting := f.startWith("p1", nil)
		time.Sleep(time.Second)
		f.kill(0)
		time.Sleep(5 * time.Second)
		if n := starting.Owned(); n != 0 {
			t.Errorf("an instance without a document owns %d jobs", n)
		}
		wantAll(t, f.read(f.start("p2"), "j"), "a")
	})
}

// TestUnconfirmedDocumentGivesNoItemUp takes a job over whose route is in a document that
// this instance can't read yet.
func TestUnconfirmedDocumentGivesNoItemUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		newest := f.instances[0].document.Load()
		behind := f.startWith("p1", &contract.Routing{Version: 0})
		behind.confirmed.Store(false)
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.kill(0)
		time.Sleep(partialOutage)
		behind.document.Store(newest)
		behind.confirmed.Store(true)
		wantAll(t, f.read(behind, "j"), "a")
	})
}

// TestItemOfARemovedRouteIsGivenUp has a store that confirms that the route is gone.
func TestItemOfARemovedRouteIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		m := f.instances[0]
		// The item may begin before the route is removed.
		f.downUntil = time.Now().Add(time.Second)
		if err := m.Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		m.document.Store(&contract.Routing{Version: 2})
		removedAt := time.Now()
		if got := f.read(m, "j"); len(got) != 1 || got[0] != (job.Result{Item: "a"}) {
			t.Errorf("results %v, want that item a failed", got)
		}
		if took := time.Since(removedAt); took > 12*time.Second {
			t.Errorf("the item was given up after %v", took)
		}
	})
}
