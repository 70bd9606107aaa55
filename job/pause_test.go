package job

import (
	"testing"
	"time"
)

// TestFeedOfTheLargestFleetLeavesTheStoreRoom: the platform's sheets give 2,000 reads a
// second to all; the other feeds of an instance make 2.7 calls a second.
func TestFeedOfTheLargestFleetLeavesTheStoreRoom(t *testing.T) {
	const reads, others = 2000, 2.7
	for _, instances := range []int{1, 9, 81, 195, 550} {
		pause := feedPause(instances)
		if calls := float64(instances) * (1/pause.Seconds() + others); calls > reads {
			t.Errorf("%d instances make %.0f calls a second", instances, calls)
		}
		if pause < minFeedPause || pause > 1500*time.Millisecond {
			t.Errorf("%d instances pause %v", instances, pause)
		}
	}
}
