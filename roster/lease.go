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
	// ReadAt is when the store last answered the feed of the members, ExtendedAt when the last
	// extension of the own lease that the store has confirmed was sent; 0 means never.
	ReadAt     time.Duration
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
	// joinedAtFirstStart marks leases that have been held from the first start of the system
	// on, since 0 is left out of rows.
	joinedAtFirstStart = 1
)

// lease is the state of the instance's own lease. It is guarded by the mutex of the Roster.
type lease struct {
	// joinedMillis is the start of the lease as in the row, 0 before the first extension that
	// the store has confirmed. extendedAt is when the last one of these was sent.
	joinedMillis int64
	extendedAt   time.Duration
	// startedMillis is the store's clock at the first extension.
	startedMillis int64
	// predecessor is the row of the previous process on the machine, nil if there is none.
	predecessor *Member
	// clock is the store's clock at clockReadAt by package boottime.
	clock       time.Duration
	clockReadAt time.Duration
}

func (l *lease) observeClock(storeNow, now time.Duration) { l.clock, l.clockReadAt = storeNow, now }

// observeOwnRow records the row of a previous process of the machine.
func (l *lease) observeOwnRow(m *Member, id string) {
	if m.ID != id && l.joinedMillis == 0 {
		previous := *m
		l.predecessor = &previous
	}
}

// storeNow returns the present reading of the store's clock, 0 if it is not known.
func (l *lease) storeNow(now time.Duration) time.Duration {
	if l.clock <= 0 {
		return 0
	}
	return l.clock + now - l.clockReadAt
}

// extend sets the lease in the row that is about to be written. A lease begins anew after a
// gap; a process goes on with the lease of its predecessor on the machine if there is no gap.
func (l *lease) extend(m *Member, firstStart bool, now time.Duration) {
	storeNow, held := l.storeNow(now), l.joinedMillis != 0
	switch {
	case held && now-l.extendedAt <= LeaseGap:
		m.JoinedMillis = l.joinedMillis
	case !held && firstStart:
		m.JoinedMillis = joinedAtFirstStart
	case storeNow == 0:
		return
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
func (l *lease) sinceLastStart() time.Duration {
	if l.predecessor == nil {
		return math.MaxInt64
	}
	return time.Duration(l.startedMillis-l.predecessor.LeaseStartMillis) * time.Millisecond
}

// confirm records that the store has taken an extension that was sent at a time.
func (l *lease) confirm(m *Member, sentAt time.Duration) {
	l.joinedMillis, l.extendedAt = m.JoinedMillis, sentAt
}

// leasedAt returns the store's clock at the last extension of the member's lease.
func (m *Member) leasedAt() time.Duration { return time.Duration(m.LeasedMillis) * time.Millisecond }

const (
	// predecessorTimeout limits the wait for the rows of the table before the first heartbeat.
	predecessorTimeout = 10 * time.Second
	// predecessorCheckInterval is short, since the instance owns nothing before.
	predecessorCheckInterval = 10 * time.Millisecond
)

// awaitPredecessor waits until the table has been read, if the instance holds a lease: its
// first heartbeat replaces the row of its predecessor.
func (r *Roster) awaitPredecessor(ctx context.Context) {
	if r.options.LeaseAddress == "" || r.options.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, predecessorTimeout)
	defer cancel()
	ticker := time.NewTicker(predecessorCheckInterval)
	defer ticker.Stop()
	for !r.Loaded() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
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
	r.lease.extend(m, r.options.FirstStart, sentAt)
	m.LeaseAddress = r.options.LeaseAddress
	return sentAt
}

// confirmLease records that the store has taken a row with an extension.
func (r *Roster) confirmLease(m *Member, sentAt time.Duration) {
	if m.JoinedMillis == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.confirm(m, sentAt)
}

// Leases returns the leases of all members whose rows are in the table.
func (r *Roster) Leases() Leases {
	readAt, _ := r.follower.RespondedAt()
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Leases{ReadAt: readAt, ExtendedAt: r.lease.extendedAt, StoreNow: r.lease.storeNow(boottime.Now()), SinceLastStart: r.lease.sinceLastStart()}
	for _, e := range r.members {
		if e.JoinedMillis == 0 || e.LeaseAddress == "" {
			continue
		}
		joined := time.Duration(e.JoinedMillis) * time.Millisecond
		if e.JoinedMillis == joinedAtFirstStart {
			joined = 0
		}
		v.Members = append(v.Members, Lease{Name: e.Name, Address: e.LeaseAddress, Joined: joined, Leased: e.leasedAt()})
	}
	return v
}
