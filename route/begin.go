package route

import "time"

// CanBegin reports whether a request may still begin within left. ahead is the number of
// requests that are served before it, slots the number of slots that there are for them at
// most, and run the least time for which a request holds a slot. It assumes that all slots
// become free now and that nothing else uses them, so that it never rules out a request that
// could begin.
func CanBegin(ahead, slots int, run, left time.Duration) bool {
	if slots <= 0 {
		return true
	}
	return time.Duration(ahead/slots)*run <= left
}

// shortestRunDecay is the part by which a longer run raises the shortest run time. A single
// short run counts for some hundred runs.
const shortestRunDecay = 1. / 64

// ShortestRun estimates the least time for which a request holds a slot. Its zero value is
// an estimate before the first run.
type ShortestRun time.Duration

// Observe returns the estimate after a run.
func (s ShortestRun) Observe(run time.Duration) ShortestRun {
	if s == 0 || run < time.Duration(s) {
		return ShortestRun(run)
	}
	return s + ShortestRun(float64(run-time.Duration(s))*shortestRunDecay)
}

// Least returns a lower bound of the run times of the near future: the estimate, but at most
// half of the mean, since upstreams differ in speed by about a factor of two.
func (s ShortestRun) Least(mean time.Duration) time.Duration {
	return min(time.Duration(s), mean/2)
}
