package quarantine

import (
	"cmp"
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

// recordUpstreamCrash remembers a crash for evidenceTTL, in the order of time. Reports of
// the same crash by several instances, or about several parts, count once. The caller
// holds the lock.
func (l *List) recordUpstreamCrash(incarnation uint64, at, now time.Duration) {
	all := l.upstreamCrashes
	firstAfter := func(t time.Duration) int {
		n, _ := slices.BinarySearchFunc(all, t, func(c upstreamCrash, t time.Duration) int { return cmp.Compare(c.at, t) })
		return n
	}
	if expired := firstAfter(now - evidenceTTL); expired > 0 {
		all = slices.Delete(all, 0, expired)
	}
	for n := firstAfter(at - crashSpacing); n < len(all) && all[n].at < at+crashSpacing; n++ {
		if all[n].incarnation == incarnation {
			l.upstreamCrashes = all
			return
		}
	}
	if now-at <= evidenceTTL && len(all) < maxUpstreamCrashes {
		all = slices.Insert(all, firstAfter(at), upstreamCrash{incarnation, at})
	}
	l.upstreamCrashes = all
}

// isContested reports whether upstreams lately crashed at least as often without a
// request with the part as with one. What makes these crash, itself or another part, may
// be the cause of the others. Crashes that a quarantined part explains do not count. The
// caller holds the lock.
func (l *List) isContested(p *part, now time.Time) bool {
	oldest := l.storeTime(now) - evidenceTTL
	var with []time.Duration
	for _, c := range p.crashes {
		if c.At > p.answeredAt && c.At >= oldest {
			with = append(with, c.At)
		}
	}
	needed := max(countSeparate(with), minCrashes)
	without, last := 0, time.Duration(0)
	for _, c := range slices.Backward(l.upstreamCrashes) {
		if c.at < oldest || without == needed {
			break
		}
		if without > 0 && last-c.at < crashSpacing {
			continue
		}
		if _, ok := p.crashes[c.incarnation]; !ok && !l.isExplained(c.incarnation) {
			without, last = without+1, c.at
		}
	}
	return without >= needed
}

// wasContested is like isContested at the time of the last evidence against the part, so
// that a step costs little while much is suspected. The caller holds the lock.
func (l *List) wasContested(p *part, now time.Time) bool {
	if p.contestedAt != p.changedAt {
		p.contested, p.contestedAt = l.isContested(p, now), p.changedAt
	}
	return p.contested
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
