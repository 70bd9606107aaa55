package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// RecordAnswer records that an upstream has answered a request with these parts, or has
// answered so much of it that it did not crash at its beginning.
func (l *List) RecordAnswer(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	changed := false
	for _, id := range parts {
		l.answers.add(id, now)
		if p, ok := l.parts[id]; ok {
			l.refute(p, now)
			changed = true
		}
	}
	if changed {
		l.assess(now)
	}
}

// refute records an answer to a request with a part that has evidence. The caller holds
// the lock.
func (l *List) refute(p *part, answeredAt time.Time) {
	p.answeredAt = max(p.answeredAt, l.storeTime(answeredAt))
	if p.removalAt.IsZero() {
		p.removalAt = time.Now().Add(rand.N(maxRemovalDelay))
	}
	l.wakeRun()
}

const (
	// confirmDelay is the time in which an answer refutes the suspicion against a part
	// that was in answered requests before.
	confirmDelay = 500 * time.Millisecond
	// maxParts limits the parts with evidence, and maxUnpublished the crashes that wait
	// to be written. What is over a limit is dropped: a part that crashes upstreams
	// comes again.
	maxParts       = 1 << 12
	maxUnpublished = 1 << 10
)

// RecordCrash records that an upstream has closed the connection of a request with these
// parts, which no upstream had begun to answer. startedMillis tells incarnations of the upstream
// apart. Quarantined parts explain the crash. Otherwise the parts that were in no answered
// request lately are suspected; if there are none, all are that are in no answered request
// within confirmDelay either.
func (l *List) RecordCrash(parts []uint64, upstream string, startedMillis int64, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(parts) == 0 || !l.clockKnown {
		return
	}
	now := time.Now()
	evidence := crash{At: l.storeTime(now), Upstream: upstream, Request: request}
	suspected, proven := l.suspects(parts, now)
	incarnation := incarnationHash(upstream, startedMillis)
	l.recordUpstreamCrash(upstreamCrash{incarnation: incarnation, at: evidence.At}, evidence.At)
	for _, id := range suspected {
		own := ownCrash{partID: id, incarnation: incarnation, crash: evidence, seenAt: now}
		if proven {
			l.unconfirmed = append(l.unconfirmed, own)
			continue
		}
		l.suspect(own, now)
	}
	l.assess(now)
	l.wakeRun()
}

// suspects returns the parts that may have caused a crash, and whether all of them were in
// requests that were answered lately. The caller holds the lock.
func (l *List) suspects(parts []uint64, now time.Time) (suspected []uint64, proven bool) {
	var unproven []uint64
	for _, id := range parts {
		if p, ok := l.parts[id]; ok && p.quarantined {
			suspected = append(suspected, id)
		}
		if l.answers.last(id, now).IsZero() {
			unproven = append(unproven, id)
		}
	}
	switch {
	case len(suspected) > 0:
		return suspected, false
	case len(unproven) > 0:
		return unproven, false
	}
	return parts, true
}

// suspect adds evidence of this instance and lets Run publish it. Crashes of a part that is
// quarantined are published, too, so that no instance takes them for unexplained ones. The
// caller holds the lock.
func (l *List) suspect(own ownCrash, now time.Time) {
	p := l.part(own.partID)
	if p == nil {
		return
	}
	// A crash at an upstream that has crashed before counts as a later one only if it tells
	// the end of a trial.
	if known, ok := p.crashes[own.incarnation]; ok && (!p.quarantined || own.crash.At-known.At < crashSpacing) {
		return
	}
	p.crashes[own.incarnation], p.changedAt = own.crash, now
	l.unpublished = slices.DeleteFunc(l.unpublished, func(c ownCrash) bool {
		return c.partID == own.partID && c.incarnation == own.incarnation
	})
	if len(l.unpublished) < maxUnpublished {
		l.unpublished = append(l.unpublished, own)
	}
}

// part returns the entry of a part, and creates it if there is room. The caller holds the
// lock.
func (l *List) part(id uint64) *part {
	p, ok := l.parts[id]
	if !ok && len(l.parts) < maxParts {
		p = &part{crashes: map[uint64]crash{}, answeredAt: neverAnswered, changedAt: time.Now()}
		l.parts[id] = p
	}
	return p
}
