package job_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

func TestJobIsNotTakenFromAnOwnerThatHasJustTakenItOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 20
		f := newFleet(t, 3, nil)
		defer f.close()
		want := map[string]int{}
		for i := range jobs {
			id := strconv.Itoa(i)
			if err := f.instances[0].Submit(t.Context(), f.submission("j"+id, "short-"+id)); err != nil {
				t.Fatal(err)
			}
			want["short-"+id] = 2 // Once at the killed owner and once at the next one.
		}
		time.Sleep(time.Second) // All instances know the jobs.
		f.instances[1].store.callLatency.Store(int64(300 * time.Millisecond))
		f.instances[2].store.callLatency.Store(int64(100 * time.Millisecond))
		f.kill(0)
		for i := range jobs {
			id := strconv.Itoa(i)
			wantAll(t, f.read(f.instances[2], "j"+id), "short-"+id)
		}
		f.wantRuns(want)
	})
}
