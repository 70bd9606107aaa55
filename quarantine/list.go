package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
)

// Part is the part of the table that has the rows of the quarantine. It is not that of
// other rows, so that a burst of evidence does not delay them.
const Part = "quarantine"

// Options configures a List.
type Options struct {
	// Rows is the store. Without it, each instance acts on its own evidence.
	Rows storage.Rows
	// Table is the table that has the rows, in the part Part. Whoever follows it passes
	// its changes to Update. Required.
	Table string
	// InstanceID identifies this instance in the rows. Required.
	InstanceID string
	// RemovesExpired reports whether this instance is the one that removes expired rows.
	// It may be nil if none does.
	RemovesExpired func() bool
	// Log may be nil.
	Log *zap.Logger
}

// List has the quarantined parts and the evidence against all suspected ones. It is safe
// for concurrent use. Without the store, it acts on the evidence of its own instance.
type List struct {
	options Options
	wake    chan struct{}
	// startedAt is the origin of the local clock.
	startedAt time.Time
	// quarantined has the quarantined parts. It is replaced when they change.
	quarantined atomic.Pointer[map[uint64]bool]

	mu sync.Mutex
	// clockOffset is the store's clock minus the local one. Until it is known, no evidence
	// is recorded.
	clockOffset time.Duration
	clockKnown  bool
	parts       map[uint64]*part
	answers     recentAnswers
	// upstreamCrashes has the crashes of the last evidenceTTL.
	upstreamCrashes []upstreamCrash
	// unpublished has the crashes whose rows are not written yet, unconfirmed those that
	// may yet be refuted by an answer.
	unpublished []ownCrash
	unconfirmed []ownCrash
	// claiming is set while a trial is being claimed.
	claiming bool
	watchers map[*watcher]struct{}
}

// ownCrash is a crash that this instance has seen, as evidence against one part.
type ownCrash struct {
	partID      uint64
	incarnation uint64
	crash       crash
	seenAt      time.Time
}

// watcher is a request that waits and is to be told when one of its parts is quarantined.
type watcher struct {
	parts  []uint64
	notify func()
}

// New returns a List. Run must be running for as long as it is used.
func New(o Options) *List {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.RemovesExpired == nil {
		o.RemovesExpired = func() bool { return false }
	}
	l := &List{
		options:   o,
		wake:      make(chan struct{}, 1),
		startedAt: time.Now(),
		parts:     map[uint64]*part{},
		answers:   newRecentAnswers(),
		watchers:  map[*watcher]struct{}{},
		// Without a store, the local clock is the only one.
		clockKnown: o.Rows == nil,
	}
	l.quarantined.Store(&map[uint64]bool{})
	return l
}

// Len returns the number of quarantined parts.
func (l *List) Len() int { return len(*l.quarantined.Load()) }

// minRetryAfter is the least retry hint of a request with a quarantined part.
const minRetryAfter = time.Second

// Admit reports whether a request with these parts may be sent to an upstream. If it may
// not, retryAfter is the time until the next trial of its part. If isTrial is set, the
// request is a trial: it may be sent to one upstream, and the caller reports its end by
// RecordCrash, RecordAnswer or, if no upstream ran it, ReturnTrial.
//
// place is called before a trial is claimed, with the time of the first crash that counts
// against the prompt and for how long the trial has been due. It reports whether the request
// has a place at an upstream that tells enough; if not, the trial is left to a later request.
// It may be nil. Admit waits for the store only if a trial is due, and at most for
// claimTimeout.
func (l *List) Admit(ctx context.Context, parts []uint64, place func(since time.Time, overdue time.Duration) bool) (admitted, isTrial bool, retryAfter time.Duration) {
	quarantined := *l.quarantined.Load()
	if len(quarantined) == 0 || !containsAny(parts, quarantined) {
		return true, false, 0
	}
	d := l.decide(parts, time.Now())
	switch {
	case d.admitted:
		return true, false, 0
	case !d.isTrial:
		return false, false, max(d.retryAfter, minRetryAfter)
	case place != nil && !place(d.since, d.overdue):
		l.abandonTrial(d)
		return false, false, minRetryAfter
	}
	isTrial = d.claim == nil || l.claimTrial(ctx, d.claim)
	return isTrial, isTrial, minRetryAfter
}

// decision is what is decided on a request.
type decision struct {
	admitted bool
	// isTrial is set if the request may be a trial once claim is written; claim is nil if
	// it takes the place of a trial that no upstream ran.
	isTrial bool
	claim   *trialClaim
	held    []uint64
	// since is the time of the first crash, overdue for how long the trial has been due.
	since      time.Time
	overdue    time.Duration
	retryAfter time.Duration
}

// decide decides on a request.
func (l *List) decide(parts []uint64, now time.Time) (d decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	returned, first := true, l.storeTime(now)
	for _, id := range parts {
		p, ok := l.parts[id]
		if !ok || !p.quarantined {
			continue
		}
		d.held = append(d.held, id)
		returned = returned && now.Before(p.returnedUntil)
		first = p.firstCrashAt(first)
	}
	if len(d.held) == 0 {
		d.admitted = true
		return d
	}
	d.since = l.localTime(first)
	d.retryAfter = l.trialDueAt(d.held, now).Sub(now)
	d.overdue = max(-d.retryAfter, 0)
	switch {
	case returned:
		d.isTrial = true
		for _, id := range d.held {
			l.parts[id].returnedUntil = time.Time{}
		}
	case d.retryAfter <= 0 && !l.claiming:
		d.claim = l.newTrialClaim(d.held, now)
		d.isTrial = d.claim != nil
		l.claiming = d.isTrial
	}
	return d
}

// abandonTrial leaves a trial that has no place to a later request.
func (l *List) abandonTrial(d decision) {
	if d.claim == nil {
		l.ReturnTrial(d.held)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claiming = false
}

func containsAny(parts []uint64, set map[uint64]bool) bool {
	return slices.ContainsFunc(parts, func(id uint64) bool { return set[id] })
}

func (l *List) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Watch calls notify once, from another goroutine or from Watch itself, when one of the
// parts is quarantined, unless stop was called before.
func (l *List) Watch(parts []uint64, notify func()) (stop func()) {
	w := &watcher{parts, notify}
	l.mu.Lock()
	defer l.mu.Unlock()
	if containsAny(parts, *l.quarantined.Load()) {
		notify()
		return func() {}
	}
	l.watchers[w] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watchers, w)
	}
}

// Update applies changes of the table. Rows of other users of the table are ignored.
func (l *List) Update(u feed.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if u.Now > 0 {
		l.clockOffset, l.clockKnown = u.Now-now.Sub(l.startedAt), true
	}
	changed := false
	for i := range u.Rows {
		changed = l.apply(&u.Rows[i], now) || changed
	}
	if changed {
		l.assess(now)
	}
}

// apply applies a changed row and reports whether it is one of the quarantine. The caller
// holds the lock.
func (l *List) apply(r *storage.TableRow, now time.Time) bool {
	id, incarnation, isTrial, ok := parseKey(r.Key)
	if !ok {
		return false
	}
	if r.Removed {
		l.applyRemoval(id, incarnation, isTrial)
		return true
	}
	p := l.part(id)
	if p == nil {
		return false
	}
	if isTrial {
		next := trial{}
		if err := decode(r.Value, &next); err != nil {
			l.options.Log.Warn("invalid row of a trial ignored", zap.String("key", r.Key), zap.Error(err))
			return false
		}
		if next.By == l.options.InstanceID && next != p.trial && !l.claiming {
			// The response to the claim was lost.
			p.returnedUntil = now.Add(returnedTrialTTL)
		}
		p.trial, p.trialVersion, p.changedAt = next, r.Version, now
		return true
	}
	next := crash{}
	if err := decode(r.Value, &next); err != nil {
		l.options.Log.Warn("invalid row of a crash ignored", zap.String("key", r.Key), zap.Error(err))
		return false
	}
	l.recordUpstreamCrash(upstreamCrash{incarnation: incarnation, at: next.At}, l.storeTime(now))
	if known, ok := p.crashes[incarnation]; !ok || next.At > known.At {
		p.changedAt = now
	}
	p.crashes[incarnation] = next
	if at := l.answers.last(id, now); !at.IsZero() && l.storeTime(at) > next.At {
		l.refute(p, at)
	}
	return true
}

// applyRemoval applies the removal of a row. The caller holds the lock.
func (l *List) applyRemoval(id, incarnation uint64, isTrial bool) {
	p, ok := l.parts[id]
	if !ok {
		return
	}
	if isTrial {
		p.trial, p.trialVersion = trial{}, 0
	} else {
		delete(p.crashes, incarnation)
	}
}

// assess determines which parts are quarantined, and drops those without evidence. The
// caller holds the lock.
func (l *List) assess(now time.Time) {
	next := map[uint64]bool{}
	for id, p := range l.parts {
		if len(p.crashes) == 0 && p.trialVersion == 0 {
			if p.quarantined {
				l.options.Log.Info("prompt part released", zap.Uint64("part", id))
			}
			delete(l.parts, id)
			continue
		}
		if !p.quarantined && len(p.crashes) < minCrashes {
			continue
		}
		n, limit := p.crashCount(), minCrashes
		if !p.quarantined && n >= minCrashes && (!l.answers.last(id, now).IsZero() || l.wasContested(p, now)) {
			limit = minCrashesProven
		}
		quarantined := n >= limit
		if quarantined != p.quarantined {
			l.logChange(id, p, n, quarantined)
			p.quarantined, p.quarantinedAt = quarantined, l.storeTime(now)
		}
		if quarantined {
			next[id] = true
		}
	}
	if maps.Equal(next, *l.quarantined.Load()) {
		return
	}
	l.quarantined.Store(&next)
	for w := range l.watchers {
		if containsAny(w.parts, next) {
			delete(l.watchers, w)
			w.notify()
		}
	}
}

// logChange logs that a part was quarantined or released.
func (l *List) logChange(id uint64, p *part, crashes int, quarantined bool) {
	message := "prompt part released"
	if quarantined {
		message = "prompt part quarantined"
	}
	var last crash
	for _, c := range p.crashes {
		if c.At >= last.At {
			last = c
		}
	}
	l.options.Log.Info(message, zap.Uint64("part", id), zap.Int("crashes", crashes),
		zap.String("last_upstream", last.Upstream), zap.String("last_request", last.Request))
}

// localTime returns the local time of a reading of the store's clock.
func (l *List) localTime(at time.Duration) time.Time { return l.startedAt.Add(at - l.clockOffset) }

// storeTime returns the reading of the store's clock at a local time.
func (l *List) storeTime(t time.Time) time.Duration { return t.Sub(l.startedAt) + l.clockOffset }
