package job

import (
	"strconv"
	"strings"
	"testing"
)

// TestCachedResultsWithLongIDsStayWithinTheLimit guards against instances that run out of memory,
// since the ids of items were not counted.
func TestCachedResultsWithLongIDsStayWithinTheLimit(t *testing.T) {
	const limit, jobs, resultsPerJob, idBytes = 1 << 20, 60, 10, 40000
	held := int64(0)
	c := newResultCache(limit, func(n int64) { held += n })
	for n := range jobs {
		var results []Result
		for i := range resultsPerJob {
			results = append(results, Result{Item: strconv.Itoa(i) + strings.Repeat("a", idBytes), Text: "text"})
		}
		c.add(strconv.Itoa(n), 0, results)
	}
	cached := int64(0)
	for _, j := range c.jobs {
		for _, r := range j.results {
			cached += int64(len(r.Item) + len(r.Text))
		}
	}
	if cached > limit || held < cached {
		t.Errorf("%d bytes are cached and %d counted, want at most %d", cached, held, limit)
	}
	for n := range jobs {
		c.drop(strconv.Itoa(n))
	}
	if held != 0 {
		t.Errorf("%d bytes are counted after all were dropped", held)
	}
}
