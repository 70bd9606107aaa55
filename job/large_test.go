package job_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/job"
)

// largeData returns the data of one event of a large item. That of an item whose id
// begins with "large-escaped" is several times as long in JSON.
func largeData(id string, n int) string {
	if strings.HasPrefix(id, "large-escaped") {
		return strings.Repeat("<", 30<<10)
	}
	return strings.Repeat(fmt.Sprintf("%09d ", n), 9<<10)
}

func largeText(id string) string {
	var data []string
	for n := 1; n <= itemEvents; n++ {
		data = append(data, largeData(id, n))
	}
	return strings.Join(data, "\n")
}

// wantLarge checks that a job has one large and one short item and that both are listed
// as a whole.
func wantLarge(t *testing.T, results []job.Result, large, short string) {
	t.Helper()
	got := map[string]job.Result{}
	for _, r := range results {
		got[r.Item] = r
	}
	want := map[string]job.Result{
		large: {Item: large, Succeeded: true, Text: largeText(large)},
		short: {Item: short, Succeeded: true, Text: textOf(short)},
	}
	if !cmp.Equal(want, got) {
		for id, r := range got {
			t.Errorf("item %s: succeeded %v, %d bytes, want %d", id, r.Succeeded, len(r.Text), len(want[id].Text))
		}
	}
}

// TestLargeResultDoesNotKeepOtherItemsOffTheList has a result that one transaction can't
// hold.
func TestLargeResultDoesNotKeepOtherItemsOffTheList(t *testing.T) {
	for _, large := range []string{"large-a", "large-escaped-a"} {
		t.Run(large, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, nil)
				defer f.close()
				if err := f.instances[0].Submit(t.Context(), f.submission("j", large, "short-b")); err != nil {
					t.Fatal(err)
				}
				wantLarge(t, f.read(f.instances[1], "j"), large, "short-b")
			})
		})
	}
}

// TestRowsOfAFormerOwnerDoNotSpoilAResult kills the owner between two transactions that
// write a large result.
func TestRowsOfAFormerOwnerDoNotSpoilAResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		owner := f.instances[0]
		f.slow = "short-b"
		written := make(chan struct{})
		owner.store.afterResults = func() {
			owner.store.failWrites.Store(true)
			close(written)
		}
		if err := owner.Submit(t.Context(), f.submission("j", "large-a", "short-b")); err != nil {
			t.Fatal(err)
		}
		head := f.onlyRow("jobs")
		<-written
		// The short item is listed first now, in the place of the large one.
		f.mu.Lock()
		f.slow = "large-a"
		f.mu.Unlock()
		f.kill(0)
		if n := len(f.rowsOf("job_results")[head.Part]); n == 0 {
			t.Fatal("no row of the result was written")
		}
		for _, m := range f.instances[1:] {
			results := f.read(m, "j")
			wantLarge(t, results, "large-a", "short-b")
			if results[0].Item != "short-b" {
				t.Errorf("%s is listed first", results[0].Item)
			}
		}
	})
}
