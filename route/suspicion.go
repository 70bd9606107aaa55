package route

import (
	"slices"
	"time"
)

const (
	// silenceFactor is the multiple of the service's median time to the first event, or
	// between events, from which an upstream is reported as silent.
	silenceFactor = 4
	// minReportedSilence is below the pause of 300 ms that callers tolerate, and several
	// times the pause between two events.
	minReportedSilence = 200 * time.Millisecond
	// loneReportTime is how long the report of a single instance is followed without a
	// probe. A second request at a silent upstream is reported well within this time.
	loneReportTime = 1500 * time.Millisecond
	// probationTime is how long an upstream gets only probes after the last report. A
	// probe needs minReportedSilence and the time in which its report arrives.
	probationTime = 2 * time.Second
	// holdTime is by how much longer an upstream gets no request each time a probe has
	// shown that it is still silent, up to maxHolds times.
	holdTime = time.Second
	maxHolds = 3
	// probeStep is the time for which instances wait for the probe of the one before
	// them in rendezvous order; digests arrive within a fraction of it.
	probeStep = 50 * time.Millisecond
	// suspectedShare is the inverse of the share of a service's upstreams that may be
	// suspected. Faults of a tenth of the upstreams at once have been seen.
	suspectedShare = 4
	// minSuspectable is the number of upstreams from which one may be suspected.
	minSuspectable = 3
)

// SilenceLimit returns for how long an upstream may send nothing before an instance
// reports it; median is the service's median time to the first event, or between events.
// It returns 0, for no limit, when the median is unknown.
func SilenceLimit(median time.Duration) time.Duration {
	if median <= 0 {
		return 0
	}
	return max(silenceFactor*median, minReportedSilence)
}

// MaxSuspected returns how many of n upstreams may be left out on reports at a time.
func MaxSuspected(n int) int {
	if n < minSuspectable {
		return 0
	}
	return max(n/suspectedShare, 1)
}

// MayReport reports whether an instance may report upstreams as silent: named is the
// number of silent ones among n, and heard that of others which have sent an event
// since. An instance that is cut off or starved of processor time hears from few or none.
func MayReport(named, heard, n int) bool {
	return named <= heard && named <= MaxSuspected(n)
}

// Suspicion is an instance's conclusion from the reports that one upstream does not respond.
// It is a value that the user of the package stores. The zero value is no suspicion.
type Suspicion struct {
	// Since is when the suspicion began, UpheldAt when a report was last in force.
	Since    time.Time
	UpheldAt time.Time
	// Onset is when the latest reported silence was noticed.
	Onset time.Time
	// Reports counts the reports in force, that of this instance included.
	Reports int
	// Renewals counts the times that the upstream was reported again after a probe.
	Renewals int
	// Confirmed is set once two instances, or two requests, have found the silence.
	Confirmed bool
	// Own is set once this instance has reported the upstream. Another one probes it then,
	// since the fault may be on the way from this instance.
	Own bool
}

// Observe returns the suspicion at now. onsets has the time of each instance's report, and
// heard is when any instance last received an event of the upstream. An event refutes
// all reports before it.
func (s Suspicion) Observe(now time.Time, onsets []time.Time, heard time.Time) Suspicion {
	before := s.Reports
	s.Reports = 0
	for _, onset := range onsets {
		if !onset.After(heard) {
			continue
		}
		s.Reports++
		if onset.After(s.Onset) {
			s.Onset = onset
		}
	}
	switch {
	case s.Reports > 0:
		if s.Since.IsZero() {
			s.Since = now
		} else if before == 0 {
			s.Renewals++
		}
		s.Confirmed = s.Confirmed || s.Reports > 1 || s.Renewals > 0
		s.UpheldAt = now
	case s.Since.IsZero() || heard.After(s.Onset) || now.Sub(s.UpheldAt) > s.hold()+probationTime:
		return Suspicion{}
	}
	return s
}

// hold returns how long the upstream gets no request after the last report.
func (s Suspicion) hold() time.Duration { return time.Duration(min(s.Renewals, maxHolds)) * holdTime }

// Exists reports whether the upstream is suspected.
func (s Suspicion) Exists() bool { return !s.Since.IsZero() }

// ProbedSince returns the time since which the upstream gets probes, or false while it
// gets no request at all: while a confirmed report is in force, for a limited time on an
// unconfirmed one, and during the hold time after the last report.
func (s Suspicion) ProbedSince(now time.Time) (time.Time, bool) {
	switch {
	case s.Reports == 0:
		since := s.UpheldAt.Add(s.hold())
		return since, !now.Before(since)
	case !s.Confirmed && now.Sub(s.Since) >= loneReportTime:
		return s.Since.Add(loneReportTime), true
	}
	return time.Time{}, false
}

// AdmitsProbe reports whether an instance may send a suspected upstream a request. rank is
// the instance's position in the rendezvous order of the upstream. inFlight is set while
// an instance that has not reported the upstream has a request there, which is a probe.
func (s Suspicion) AdmitsProbe(now time.Time, rank int, inFlight bool) bool {
	since, ok := s.ProbedSince(now)
	return ok && !inFlight && now.Sub(since) >= time.Duration(rank)*probeStep
}

// LimitSuspicions sets all but the strongest MaxSuspected of the suspicions about n upstreams to
// the zero value. A suspicion is the stronger the more reports it has, and then the older.
func LimitSuspicions(suspicions []Suspicion, n int) {
	order := make([]int, 0, len(suspicions))
	for i := range suspicions {
		if suspicions[i].Exists() {
			order = append(order, i)
		}
	}
	if len(order) <= MaxSuspected(n) {
		return
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if x, y := suspicions[a].Reports, suspicions[b].Reports; x != y {
			return y - x
		}
		return suspicions[a].Since.Compare(suspicions[b].Since)
	})
	for _, i := range order[MaxSuspected(n):] {
		suspicions[i] = Suspicion{}
	}
}
