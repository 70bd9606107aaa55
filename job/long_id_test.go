package job_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestPagesOfResultsWithLongIDsAreBounded guards against responses of any size, since the ids of
// items were not counted.
func TestPagesOfResultsWithLongIDsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items, idBytes, maxPageBytes = 60, 40000, 1 << 20
		f := newFleet(t, 2, nil)
		defer f.close()
		var ids []string
		for i := range items {
			ids = append(ids, fmt.Sprintf("poison%02d", i)+strings.Repeat("a", idBytes))
		}
		if err := f.instances[0].Submit(t.Context(), f.submission("j", ids...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		for _, m := range f.instances {
			for after := 0; after < items; {
				_, page, err := m.Results(t.Context(), "j", after, 0)
				size := 0
				for _, r := range page {
					size += len(r.Item) + len(r.Text)
				}
				if err != nil || len(page) == 0 || size > maxPageBytes {
					t.Fatalf("%d bytes of %d results after %d, %v", size, len(page), after, err)
				}
				after += len(page)
			}
		}
	})
}
