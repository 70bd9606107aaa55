package job_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/storage/memory"
)

// waits are what an accepted job may wait for. Each function returns when that is over.
var waits = map[string]func(t *testing.T, f *fleet){
	"nothing":        func(*testing.T, *fleet) {},
	"owner killed":   func(_ *testing.T, f *fleet) { time.Sleep(time.Second); f.kill(0) },
	"owner stopped":  func(t *testing.T, f *fleet) { time.Sleep(time.Second); f.instances[0].Stop(t.Context()) },
	"owners in turn": func(_ *testing.T, f *fleet) { f.kill(0); time.Sleep(3 * time.Second); f.kill(1) },
	"owner isolated": func(_ *testing.T, f *fleet) {
		f.instances[0].isolated.Store(true)
		time.Sleep(10 * time.Second)
		f.instances[0].isolated.Store(false)
	},
	"owner's writes fail": func(_ *testing.T, f *fleet) {
		f.instances[0].store.failWrites.Store(true)
		time.Sleep(30 * time.Second)
		f.instances[0].store.failWrites.Store(false)
	},
	"writes lost after the effect": func(_ *testing.T, f *fleet) {
		f.store.SetFaults(memory.RowFaults{LoseResponses: 6})
		time.Sleep(10 * time.Second)
	},
	"store down, owner killed": func(_ *testing.T, f *fleet) {
		f.store.SetFaults(memory.RowFaults{Down: true})
		f.kill(0)
		time.Sleep(20 * time.Second)
		f.store.SetFaults(memory.RowFaults{})
	},
	"no upstream": func(_ *testing.T, f *fleet) { time.Sleep(time.Until(f.downUntil)) },
	"route missing": func(_ *testing.T, f *fleet) {
		for _, m := range f.instances {
			d := m.document.Load()
			m.document.Store(&contract.Routing{Version: 2})
			time.AfterFunc(2*time.Second, func() { m.document.Store(d) })
		}
		time.Sleep(2 * time.Second)
	},
	"prompt quarantined": func(_ *testing.T, f *fleet) { time.Sleep(time.Until(f.releasedAt)) },
}

// TestAcceptedItemsAreDoneSoonAfterWhatTheyWaitFor guards against waits of a job that outlast
// the time to finish.
func TestAcceptedItemsAreDoneSoonAfterWhatTheyWaitFor(t *testing.T) {
	for name, wait := range waits {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, func(r *contract.Route) { r.GiveUpAfter = time.Hour })
				defer f.close()
				names := []string{"a", "b", "c"}
				switch name {
				case "no upstream":
					f.downUntil = time.Now().Add(time.Minute)
				case "prompt quarantined":
					names = []string{"released"}
					f.releasedAt = time.Now().Add(time.Minute)
				}
				if err := f.instances[0].Submit(t.Context(), f.submission("j", names...)); err != nil {
					t.Fatal(err)
				}
				wait(t, f)
				f.wantDoneIn(t, finishTime, "j", names...)
			})
		})
	}
}

// wantDoneIn checks that a job is done in a time, read at the last instance.
func (f *fleet) wantDoneIn(t *testing.T, limit time.Duration, id string, names ...string) {
	t.Helper()
	var all []job.Result
	m := f.instances[len(f.instances)-1]
	for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		total, results, err := m.Results(t.Context(), id, len(all), 0)
		all = append(all, results...)
		if err == nil && total == len(all) {
			wantAll(t, all, names...)
			return
		}
		if time.Since(begin) > limit {
			t.Errorf("%d of %d items are done after %v, %v", len(all), total, limit, err)
			return
		}
	}
}

// TestJobBehindJobsInQuarantineIsDoneInTime guards against sound jobs that wait for the memory of
// jobs whose prompts are quarantined, each for as long as for a silent upstream.
func TestJobBehindJobsInQuarantineIsDoneInTime(t *testing.T) {
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
		f.wantDoneIn(t, finishTime, "j", "short")
	})
}
