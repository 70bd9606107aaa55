package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an open job as the order of work sees it.
type Candidate struct {
	ID string
	// Remaining is the number of items without a committed result, as far as it
	// is known.
	Remaining int
	Segments  int
	Deadline  time.Time
}

// Laxity returns the time that the job can wait and still meet its deadline
// when its remaining items run at rate items a second.
func Laxity(c Candidate, now time.Time, rate float64) time.Duration {
	work := time.Duration(float64(c.Remaining) / rate * float64(time.Second))
	return c.Deadline.Sub(now) - work
}

// Order sorts jobs by laxity, the least first.
func Order(jobs []Candidate, now time.Time, rate float64) {
	slices.SortStableFunc(jobs, func(a, b Candidate) int {
		if d := cmp.Compare(Laxity(a, now, rate), Laxity(b, now, rate)); d != 0 {
			return d
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// Fanout returns the number of instances that should prefer the job: twice as
// many as it needs to meet its deadline at rate items a second an instance, at
// least 1 and at most one per segment.
func Fanout(c Candidate, now time.Time, rate float64) int {
	most := max(c.Segments, 1)
	left := c.Deadline.Sub(now).Seconds()
	if left <= 0 {
		return most
	}
	need := 2 * float64(c.Remaining) / (rate * left)
	if need >= float64(most) {
		return most
	}
	return max(int(need)+1, 1)
}

// Preferred reports whether self is among the n members that rendezvous hashing
// ranks highest for the job. An unknown self counts as a member.
func Preferred(self string, members []string, job string, n int) bool {
	own := xxhash.Sum64String(job + "\x00" + self)
	above := 0
	for _, m := range members {
		if m == self {
			continue
		}
		if xxhash.Sum64String(job+"\x00"+m) > own {
			above++
		}
	}
	return above < n
}

// firstSegment returns the segment at which self begins to look for work, so
// that the instances of a job spread over it.
func firstSegment(self, job string, segments int) int {
	return int(xxhash.Sum64String(self+"\x00"+job) % uint64(segments))
}

// Straggling reports whether an item that has run for elapsed runs much longer
// than the typical item of its segment. least bounds the answer from below.
func Straggling(elapsed, typical, least time.Duration) bool {
	return elapsed >= max(least, stragglerFactor*typical)
}

// stragglerFactor is how many times longer than the mean a straggler runs.
const stragglerFactor = 4
