package quarantine

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// maxUpstreamCrashes limits the crashes of upstreams that are remembered.
	maxUpstreamCrashes = 1 << 10
	// contestShare is the share of crashes without a part, in those with it, from which the
	// part is contested. It is below 1, since trials add to those with it.
	contestShare = 0.75
)

// upstreamCrash is a crash of an upstream, whatever requests it had.
type upstreamCrash struct {
	incarnation uint64
	at          time.Duration
	// unseen is set if no request shows the crash, only that the upstream has ended.
	unseen bool
}

// recordUpstreamCrash remembers a crash for evidenceTTL, in the order of time. Reports of
// the same crash by several instances, or about several parts, count once. The caller
// holds the lock.
func (l *List) recordUpstreamCrash(next upstreamCrash, now time.Duration) {
	at := next.at
	all := l.upstreamCrashes
	firstAfter := func(t time.Duration) int {
		n, _ := slices.BinarySearchFunc(all, t, func(c upstreamCrash, t time.Duration) int { return cmp.Compare(c.at, t) })
		return n
	}
	if expired := firstAfter(now - evidenceTTL); expired > 0 {
		all = slices.Delete(all, 0, expired)
	}
	for n := firstAfter(at - crashSpacing); n < len(all) && all[n].at < at+crashSpacing; n++ {
		if all[n].incarnation == next.incarnation && all[n].unseen == next.unseen {
			l.upstreamCrashes = all
			return
		}
	}
	if now-at <= evidenceTTL && len(all) < maxUpstreamCrashes {
		all = slices.Insert(all, firstAfter(at), next)
	}
	l.upstreamCrashes = all
}

// RecordUpstreamEnd records that an incarnation of an upstream has ended without an
// announcement, whatever its requests. One whose crash is known from a request counts once.
func (l *List) RecordUpstreamEnd(upstream string, startedMillis int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnation := incarnationHash(upstream, startedMillis)
	known := slices.ContainsFunc(l.upstreamCrashes, func(c upstreamCrash) bool { return c.incarnation == incarnation })
	if known || !l.clockKnown {
		return
	}
	at := l.storeTime(time.Now())
	l.recordUpstreamCrash(upstreamCrash{incarnation, at, true}, at)
}

// contest reports whether upstreams lately crashed about as often without a request with the
// part as with one, all in all or since the part is quarantined, and when one last did. What
// makes these crash, itself or another part, may be the cause of the others. The caller holds
// the lock.
func (l *List) contest(p *part, now time.Time) (contested bool, lastWithout time.Duration) {
	oldest := l.storeTime(now) - evidenceTTL
	needed := max(int(math.Ceil(contestShare*float64(p.crashCountSince(oldest)))), minCrashes)
	neededSince := max(p.crashCountSince(max(oldest, p.quarantinedAt)), 1)
	without := 0
	for at := range l.crashesWithout(p, oldest, true) {
		if without++; without == 1 {
			lastWithout = at
		}
		if without >= needed || at >= p.quarantinedAt && without >= neededSince {
			return true, lastWithout
		}
	}
	return false, lastWithout
}

// isContested is like contest for a part that is not quarantined. Ends of upstreams that no
// request shows do not count: instances that learn of them at different times would differ
// on whether the part is to be quarantined.
func (l *List) isContested(p *part, now time.Time) bool {
	oldest := l.storeTime(now) - evidenceTTL
	without, needed := 0, max(p.crashCountSince(oldest), minCrashes)
	for range l.crashesWithout(p, oldest, false) {
		if without++; without >= needed {
			return true
		}
	}
	return false
}

// crashesWithout yields the times of the separate crashes since a time that neither the part
// nor a quarantined one explains, from the last to the first. The caller holds the lock.
func (l *List) crashesWithout(p *part, oldest time.Duration, unseen bool) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		later := time.Duration(math.MaxInt64)
		for _, c := range slices.Backward(l.upstreamCrashes) {
			if c.at < oldest {
				return
			}
			if later-c.at < crashSpacing || c.unseen && !unseen {
				continue
			}
			if _, ok := p.crashes[c.incarnation]; ok || l.isExplained(c.incarnation) {
				continue
			}
			if later = c.at; !yield(c.at) {
				return
			}
		}
	}
}

// crashCountSince returns the number of separate crashes at a time or later that count
// against the part.
func (p *part) crashCountSince(at time.Duration) int {
	var times []time.Duration
	for _, c := range p.crashes {
		if c.At > p.answeredAt && c.At >= at {
			times = append(times, c.At)
		}
	}
	return countSeparate(times)
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
