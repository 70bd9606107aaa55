package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an open job with the data by which jobs are ordered.
type Candidate struct {
	ID string
	// Remaining is the known number of items without a committed result. It may be
	// too high.
	Remaining int
	Segments  int
	Deadline  time.Time
}

// Laxity returns how long the job can wait and still meet its deadline if its
// remaining items run at rate items per second. It is negative for a job that
// cannot meet its deadline.
func Laxity(c Candidate, now time.Time, rate float64) time.Duration {
	runTime := time.Duration(float64(c.Remaining) / rate * float64(time.Second))
	return c.Deadline.Sub(now) - runTime
}

// Order sorts jobs by laxity, the lowest first, and by id if it is equal.
func Order(jobs []Candidate, now time.Time, rate float64) {
	slices.SortStableFunc(jobs, func(a, b Candidate) int {
		if d := cmp.Compare(Laxity(a, now, rate), Laxity(b, now, rate)); d != 0 {
			return d
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// Fanout returns the number of instances that should prefer the job: twice the
// number that meets its deadline when each runs rate items per second, at least
// 1 and at most one per segment.
func Fanout(c Candidate, now time.Time, rate float64) int {
	maxInstances := max(c.Segments, 1)
	secondsLeft := c.Deadline.Sub(now).Seconds()
	if secondsLeft <= 0 {
		return maxInstances
	}
	needed := 2 * float64(c.Remaining) / (rate * secondsLeft)
	if needed >= float64(maxInstances) {
		return maxInstances
	}
	return max(int(needed)+1, 1)
}

// Preferred reports whether self is among the n members that rendezvous hashing
// ranks highest for the job. self counts as a member even if members does not
// contain it.
func Preferred(self string, members []string, job string, n int) bool {
	ownHash := xxhash.Sum64String(job + "\x00" + self)
	higher := 0
	for _, m := range members {
		if m == self {
			continue
		}
		if xxhash.Sum64String(job+"\x00"+m) > ownHash {
			higher++
		}
	}
	return higher < n
}

// firstSegment returns the segment at which self begins to scan the job, so that
// instances that work on the same job start at different segments.
func firstSegment(self, job string, segments int) int {
	return int(xxhash.Sum64String(self+"\x00"+job) % uint64(segments))
}

// Straggling reports whether an item that has run for elapsed is a straggler: it
// has run for at least minElapsed and stragglerFactor times as long as the
// typical item of its segment.
func Straggling(elapsed, typical, minElapsed time.Duration) bool {
	return elapsed >= max(minElapsed, stragglerFactor*typical)
}

// stragglerFactor is the multiple of the typical time from which an item is a
// straggler.
const stragglerFactor = 4
