package job

import (
	"testing"
	"time"
)

// TestFeedCallsOfTheLargestFleetStayUnderTheReadLimit: the platform allows 2,000
// reads a second in all, and the other feeds of an instance make 2.7 calls a second.
func TestFeedCallsOfTheLargestFleetStayUnderTheReadLimit(t *testing.T) {
	const reads, others = 2000, 2.7
	for _, instances := range []int{1, 9, 81, 195, 550} {
		interval := feedInterval(instances)
		if calls := float64(instances) * (1/interval.Seconds() + others); calls > reads {
			t.Errorf("%d instances make %.0f calls a second", instances, calls)
		}
		if interval < minFeedInterval || interval > 1500*time.Millisecond {
			t.Errorf("interval of %d instances: %v", instances, interval)
		}
	}
}
