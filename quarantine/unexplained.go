package quarantine

import (
	"slices"
	"time"
)

// maxUpstreamCrashes limits the crashes of upstreams that are remembered.
const maxUpstreamCrashes = 1 << 10

// upstreamCrash is a crash of an upstream, whatever requests it had.
type upstreamCrash struct {
	incarnation uint64
	at          time.Duration
}

// recordUpstreamCrash remembers a crash for evidenceTTL. Reports of the same crash by
// several instances, or about several parts, count once. The caller holds the lock.
func (l *List) recordUpstreamCrash(incarnation uint64, at, now time.Duration) {
	l.upstreamCrashes = slices.DeleteFunc(l.upstreamCrashes, func(c upstreamCrash) bool { return now-c.at > evidenceTTL })
	known := slices.ContainsFunc(l.upstreamCrashes, func(c upstreamCrash) bool {
		return c.incarnation == incarnation && (at-c.at).Abs() < crashSpacing
	})
	if !known && now-at <= evidenceTTL && len(l.upstreamCrashes) < maxUpstreamCrashes {
		l.upstreamCrashes = append(l.upstreamCrashes, upstreamCrash{incarnation, at})
	}
}

// isContested reports whether upstreams lately crashed at least as often without a
// request with the part as with one. What makes these crash, itself or another part, may
// be the cause of the others. Crashes that a quarantined part explains do not count. The
// caller holds the lock.
func (l *List) isContested(p *part, now time.Time) bool {
	oldest := l.storeTime(now) - evidenceTTL
	var with, without []time.Duration
	for _, c := range p.crashes {
		if c.At > p.answeredAt && c.At >= oldest {
			with = append(with, c.At)
		}
	}
	for _, c := range l.upstreamCrashes {
		if _, ok := p.crashes[c.incarnation]; !ok && c.at >= oldest && !l.isExplained(c.incarnation) {
			without = append(without, c.at)
		}
	}
	return countSeparate(without) >= max(countSeparate(with), minCrashes)
}

// isExplained reports whether a quarantined part explains the crash of an upstream. The
// caller holds the lock.
func (l *List) isExplained(incarnation uint64) bool {
	for id := range *l.quarantined.Load() {
		if p, ok := l.parts[id]; ok {
			if _, ok := p.crashes[incarnation]; ok {
				return true
			}
		}
	}
	return false
}

// countSeparate returns the number of crashes that are crashSpacing apart.
func countSeparate(times []time.Duration) int {
	slices.Sort(times)
	n := 0
	var last time.Duration
	for _, at := range times {
		if n == 0 || at-last >= crashSpacing {
			n, last = n+1, at
		}
	}
	return n
}
