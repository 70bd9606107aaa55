package roster

import (
	"context"
	"math"
	"time"

	"github.com/daisylb/daisylb/boottime"
)

// Lease is what a member's row says about its membership. The owner of something that must
// have one owner at a time is chosen among the members whose leases are old enough and still
// run. Unlike the list of live members, which reacts within seconds, leases change so slowly
// that the views of all instances that may act on them agree.
type Lease struct {
	// Name is the name of the machine, Address that of LeaseAddress.
	Name    string
	Address string
	// Joined is the store's clock since when the member has held its lease without a gap, 0
	// if it has from the first start of the system on. Leased is the store's clock when the
	// lease was last extended.
	Joined time.Duration
	Leased time.Duration
}

// Leases is a snapshot of the leases of all members, with the times by package boottime that
// tell how far it can be relied on.
type Leases struct {
	Members []Lease
	// StoreNow is the present reading of the store's clock, 0 if it is not known.
	StoreNow time.Duration
	// ReadAt is the time as of which the members' rows were read, ExtendedAt when the last
	// extension of the own lease that the store has confirmed was sent; 0 means never. Joined
	// is Lease.Joined of that extension. The own row in Members may be an older one.
	ReadAt     time.Duration
	Joined     time.Duration
	ExtendedAt time.Duration
	// SinceLastStart is the time by the store's clock between the starts of the previous process
	// on the machine and of this one, the largest time if there was none.
	SinceLastStart time.Duration
}

const (
	// LeaseGap is the longest time between two extensions of a lease without a gap. A member
	// must not act on its own lease for longer than that after an extension. It bridges the
	// usual outages of the store, since nothing that needs an owner goes on without one.
	LeaseGap = 20 * time.Second
	// maxConfirmTime limits the time from sending an extension to its confirmation: others rely
	// on reading it soon after. The calls of the store time out after 2 s; only a process that
	// was stopped in between takes longer.
	maxConfirmTime = 5 * time.Second
	// maxClockReadTime limits the time of a call from which the store's clock is taken. A poll
	// takes up to 2 s; with the middle of the call the error is at most half of the limit.
	maxClockReadTime = 4 * time.Second
	// joinedAtFirstStart marks leases that have been held from the first start of the system
	// on, since 0 is left out of rows.
	joinedAtFirstStart = 1
)

// HeldLease is the state of the instance's own lease. Its methods are given the time by package
// boottime. It is not safe for concurrent use; the mutex of the Roster guards it.
type HeldLease struct {
	// joinedMillis is the start of the lease as in the row, 0 before the first extension that
	// the store has confirmed. extendedAt is when the last one of these was sent.
	joinedMillis int64
	extendedAt   time.Duration
	// confirmedMillis is LeasedMillis of that extension.
	confirmedMillis int64
	// startedMillis is the store's clock at the first extension.
	startedMillis int64
	// predecessor is the row of the previous process on the machine, nil if there is none.
	predecessor *Member
	// clock is the store's clock at clockReadAt by package boottime.
	clock       time.Duration
	clockReadAt time.Duration
}

// ObserveClock records a reading of the store's clock by a call that was sent at sentAt and
// whose response is handled at now. It ignores calls that took so long that the reading is too
// uncertain.
func (l *HeldLease) ObserveClock(storeNow, sentAt, now time.Duration) {
	if took := now - sentAt; took <= maxClockReadTime {
		l.clock, l.clockReadAt = storeNow, sentAt+took/2
	}
}

// ObserveOwnRow records the row of a previous process of the machine. id is that of this one.
func (l *HeldLease) ObserveOwnRow(m *Member, id string) {
	if m.ID != id && l.joinedMillis == 0 {
		previous := *m
		l.predecessor = &previous
	}
}

// storeNow returns the present reading of the store's clock, 0 if it is not known.
func (l *HeldLease) storeNow(now time.Duration) time.Duration {
	if l.clock <= 0 {
		return 0
	}
	return l.clock + now - l.clockReadAt
}

// Extend sets the lease in the row that is about to be written. A lease begins anew after a
// gap; a process goes on with the lease of its predecessor on the machine if there is no gap.
// firstStart counts only without a predecessor and for LeaseGap, since others may have read an
// extension whose confirmation was lost.
func (l *HeldLease) Extend(m *Member, firstStart bool, now time.Duration) {
	storeNow, held := l.storeNow(now), l.joinedMillis != 0
	starting := l.startedMillis == 0 || storeNow-time.Duration(l.startedMillis)*time.Millisecond <= LeaseGap
	switch {
	case storeNow == 0:
		return
	case held && now-l.extendedAt <= LeaseGap:
		m.JoinedMillis = l.joinedMillis
	case !held && firstStart && l.predecessor == nil && starting:
		m.JoinedMillis = joinedAtFirstStart
	case !held && l.predecessor != nil && l.predecessor.JoinedMillis != 0 && storeNow-l.predecessor.leasedAt() <= LeaseGap:
		m.JoinedMillis = l.predecessor.JoinedMillis
	default:
		m.JoinedMillis = max(storeNow.Milliseconds(), joinedAtFirstStart+1)
	}
	m.LeasedMillis = storeNow.Milliseconds()
	if l.startedMillis == 0 {
		l.startedMillis = m.LeasedMillis
	}
	m.LeaseStartMillis = l.startedMillis
}

// sinceLastStart returns the time between the starts of the previous process and of this one.
func (l *HeldLease) sinceLastStart() time.Duration {
	if l.predecessor == nil {
		return math.MaxInt64
	}
	return time.Duration(l.startedMillis-l.predecessor.LeaseStartMillis) * time.Millisecond
}

// Confirm records at now that the store has taken an extension that was sent at sentAt. An
// extension that is confirmed too late does not count.
func (l *HeldLease) Confirm(m *Member, sentAt, now time.Duration) {
	if m.JoinedMillis != 0 && now-sentAt <= maxConfirmTime {
		l.joinedMillis, l.confirmedMillis, l.extendedAt = m.JoinedMillis, m.LeasedMillis, sentAt
	}
}

// joinedAt returns Lease.Joined of a row.
func joinedAt(joinedMillis int64) time.Duration {
	if joinedMillis == joinedAtFirstStart {
		return 0
	}
	return time.Duration(joinedMillis) * time.Millisecond
}

// KeepNewerLease replaces the lease in a row that was read by that of prev, the last row read
// of the machine, if that was extended later. A write that was delayed on its way, as through
// a peer that was stopped, may replace a newer row until the machine's next write.
func (m *Member) KeepNewerLease(prev *Member) {
	if prev.LeasedMillis > m.LeasedMillis {
		m.JoinedMillis, m.LeasedMillis = prev.JoinedMillis, prev.LeasedMillis
		m.LeaseStartMillis, m.LeaseAddress = prev.LeaseStartMillis, prev.LeaseAddress
	}
}

// leasedAt returns the store's clock at the last extension of the member's lease.
func (m *Member) leasedAt() time.Duration { return time.Duration(m.LeasedMillis) * time.Millisecond }

// tableCheckInterval is short, since the instance owns nothing before.
const tableCheckInterval = 10 * time.Millisecond

// awaitTable waits until the table has been read, if the instance holds a lease: its first
// write replaces the row of its predecessor. An instance that has not read the table is not
// ready, so that others miss nothing.
func (r *Roster) awaitTable(ctx context.Context) {
	if r.options.LeaseAddress == "" {
		return
	}
	ticker := time.NewTicker(tableCheckInterval)
	defer ticker.Stop()
	for !r.Loaded() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observeOwnLease records a row of this machine that was read. If its lease is much
// older than the last confirmed one, the row is written again at once. r.mu must be held.
func (r *Roster) observeOwnLease(m *Member) {
	r.lease.ObserveOwnRow(m, r.self.Load().ID)
	if time.Duration(r.lease.confirmedMillis)*time.Millisecond-m.leasedAt() > maxConfirmTime {
		r.wakeWriter()
	}
}

// extendLease sets the instance's lease in the row that is about to be written, and returns
// the time of the extension.
func (r *Roster) extendLease(m *Member) (sentAt time.Duration) {
	sentAt = boottime.Now()
	if r.options.LeaseAddress == "" {
		return sentAt
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.Extend(m, r.options.FirstStart, sentAt)
	m.LeaseAddress = r.options.LeaseAddress
	return sentAt
}

// confirmLease records that the store has taken a row with an extension.
func (r *Roster) confirmLease(m *Member, sentAt, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.Confirm(m, sentAt, now)
}

// Leases returns the leases of all members whose rows are in the table.
func (r *Roster) Leases() Leases {
	readAt, _ := r.follower.ReadAt()
	r.mu.Lock()
	defer r.mu.Unlock()
	members := make([]*Member, 0, len(r.members))
	for _, e := range r.members {
		members = append(members, &e.Member)
	}
	return r.lease.Leases(members, readAt, boottime.Now())
}

// Leases returns the leases of members whose rows were read at a time.
func (l *HeldLease) Leases(members []*Member, readAt, now time.Duration) Leases {
	v := Leases{ReadAt: readAt, ExtendedAt: l.extendedAt, Joined: joinedAt(l.joinedMillis), StoreNow: l.storeNow(now), SinceLastStart: l.sinceLastStart()}
	for _, m := range members {
		if m.JoinedMillis != 0 && m.LeaseAddress != "" {
			v.Members = append(v.Members, Lease{Name: m.Name, Address: m.LeaseAddress, Joined: joinedAt(m.JoinedMillis), Leased: m.leasedAt()})
		}
	}
	return v
}
