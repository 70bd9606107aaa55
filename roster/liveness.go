package roster

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
)

// checkInterval is the time between two checks for failed and unresponsive members.
const checkInterval = 250 * time.Millisecond

// writeInterval returns the longest time until the next write of the member's row: what
// the member announced, but at least the interval at the size of the fleet that the reader
// knows.
func (m *Member) writeInterval(known time.Duration) time.Duration {
	return max(known, time.Duration(m.IntervalMillis)*time.Millisecond)
}

// aliveTime returns how long the row may stay unchanged before the member counts as
// failed.
func (m *Member) aliveTime(known time.Duration) time.Duration {
	return time.Duration(aliveIntervals * float64(m.writeInterval(known)))
}

// writtenAt returns the store's clock at the write of the member's row, 0 if it is not
// known.
func (m *Member) writtenAt() time.Duration {
	return time.Duration(m.WrittenMillis) * time.Millisecond
}

// storeTime returns the present reading of the store's clock, 0 if it is not known. It is
// the last reading and the time since by this instance's monotonic clock.
func (r *Roster) storeTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeClock <= 0 {
		return 0
	}
	return r.storeClock + time.Since(r.storeClockReadAt)
}

// failOutdated marks the members as failed whose rows were long out of date when the
// table was read for the first time, at storeNow by the store's clock. A row's age is
// counted up to the newest row from before the start of this process: after an outage of
// the store or a loss of power the rows of all members are old, and some write theirs
// before the others do. A time after storeNow is of another clock and says nothing. r.mu
// must be held.
func (r *Roster) failOutdated(storeNow time.Duration) {
	startedAt := storeNow - time.Since(r.startedAt)
	var newest time.Duration
	for _, e := range r.members {
		if at := e.writtenAt(); at <= startedAt {
			newest = max(newest, at)
		}
	}
	for name, e := range r.members {
		if at := e.writtenAt(); at > 0 && newest-at > e.aliveTime(r.interval()) {
			e.failed = true
			r.members[name] = e
		}
	}
}

// failUnchanged marks the members as failed whose rows have stayed unchanged for too
// long. The age of a row is counted up to the last read of this instance's own row, which
// shows that the feed delivered changes until then, and from the time on since which the
// store has been followed without a gap. r.mu must be held.
func (r *Roster) failUnchanged() {
	interval := r.interval()
	for name, e := range r.members {
		since := e.readAt
		if r.followedSince.After(since) {
			since = r.followedSince
		}
		if !e.failed && r.ownRowReadAt.Sub(since) > e.aliveTime(interval) {
			e.failed = true
			r.members[name] = e
		}
	}
}

// checkLiveness rebuilds the view and writes suspicions at intervals until ctx is
// done.
func (r *Roster) checkLiveness(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.rebuildView()
			for _, e := range r.suspects(time.Now()) {
				r.writeSuspicion(ctx, e)
			}
		}
	}
}

// rebuildView builds the view and calls Changed if it differs from the previous
// one.
func (r *Roster) rebuildView() {
	r.mu.Lock()
	r.failUnchanged()
	storeRead := r.storeReadAt()
	v := &View{IDs: map[string]bool{}, Peers: map[string]netip.AddrPort{}}
	self := r.self.Load()
	v.incarnations = make(map[string]incarnation, len(r.members))
	for _, e := range r.members {
		v.incarnations[e.Name] = incarnation{e.ID, e.firstVersion}
		if e.Name == self.Name || e.failed || r.failedBySuspicion(&e, storeRead) {
			continue
		}
		v.Alive = append(v.Alive, e.Member)
		v.IDs[e.ID] = true
		if peer, err := netip.ParseAddrPort(e.PeerAddress); err == nil {
			v.Peers[e.Name] = peer
		}
	}
	v.Alive = append(v.Alive, *self)
	v.IDs[self.ID] = true
	slices.SortFunc(v.Alive, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	prev := r.view.Swap(v)
	known, followedFor := len(r.members), r.ownRowReadAt.Sub(r.followedSince)
	r.mu.Unlock()
	if !sameMembers(prev, v) {
		r.options.Log.Info("instances", zap.Int("alive", len(v.Alive)), zap.Int("rows", known), zap.Duration("followed_for", max(followedFor, 0)))
		r.options.Changed()
	}
}

// sameMembers reports whether two views have the same members, regardless of
// heartbeats.
func sameMembers(a, b *View) bool {
	return slices.EqualFunc(a.Alive, b.Alive, func(x, y Member) bool {
		x.Heartbeat, y.Heartbeat = 0, 0
		x.IntervalMillis, y.IntervalMillis = 0, 0
		x.WrittenMillis, y.WrittenMillis = 0, 0
		x.JoinedMillis, y.JoinedMillis = 0, 0
		x.LeasedMillis, y.LeasedMillis = 0, 0
		x.LeaseStartMillis, y.LeaseStartMillis = 0, 0
		return x == y
	})
}
