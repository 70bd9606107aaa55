// Package roster maintains the list of instances in the platform's store. Each
// instance writes heartbeats to a row of its own and reads the rows of the others
// from a feed. An instance counts as failed when its row stays unchanged for too
// long by the reader's monotonic clock; clocks of other processes are not trusted.
// Where the store can be followed, the roster replaces probes and gossip.
package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/boottime"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
)

// Table is the table with one row per instance, under its name, and the rows of
// suspicions.
const Table = "instances"

// Member describes an instance. Each instance publishes its own.
type Member struct {
	// Name is the name of the machine. ID is the id of the process.
	Name string `json:"name"`
	ID   string `json:"id"`
	// CallerAddress and PeerAddress are the addresses for callers and for other instances, as
	// IP:port.
	CallerAddress string `json:"callers"`
	PeerAddress   string `json:"peers"`
	DataCentre    string `json:"data_centre"`
	// Ready is set while the instance accepts callers. Leaving is set once it is
	// about to shut down.
	Ready   bool `json:"ready,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Heartbeat grows with each write of the row. It is left out where WrittenMillis does.
	Heartbeat uint64 `json:"beat,omitempty"`
	// IntervalMillis is the longest time until the next write of the row, and WrittenMillis
	// the store's clock at this one, both in milliseconds. They are 0 where they are not
	// known, and in rows of versions without them.
	IntervalMillis int64 `json:"every,omitempty"`
	WrittenMillis  int64 `json:"at,omitempty"`
	// JoinedMillis, LeasedMillis and LeaseAddress are the member's lease, 0 and "" where there
	// are no leases; see Lease. LeaseStartMillis is the store's clock at the process's first
	// extension.
	JoinedMillis     int64  `json:"joined,omitempty"`
	LeasedMillis     int64  `json:"leased,omitempty"`
	LeaseStartMillis int64  `json:"lease_start,omitempty"`
	LeaseAddress     string `json:"lease,omitempty"`
}

// entry is a member and the time at which a change of its row was last read.
type entry struct {
	Member
	readAt time.Time
	// failed is set once the row has stayed unchanged for too long. Only a change of the
	// row ends that.
	failed bool
	// firstVersion is the version of the row with which the process was first read.
	// version is the present version of the row.
	firstVersion uint64
	version      uint64
}

const (
	// heartbeatInterval is the time between two heartbeats in a small fleet. In a
	// larger fleet it is heartbeatPerMember for each member, so that all members
	// together write and read a bounded number of rows a second.
	heartbeatInterval  = time.Second
	heartbeatPerMember = 15 * time.Millisecond
	// aliveIntervals is the number of heartbeat intervals for which a row may stay
	// unchanged before its instance counts as failed.
	aliveIntervals = 2.6
	// writeRetryInterval is the least time between a failed write and the next one;
	// jitter of up to the same length is added.
	writeRetryInterval = 150 * time.Millisecond
	// feedInterval is the least time between two calls of the feed. feedPollTimeout
	// is how long the store may hold a call open.
	feedInterval    = 600 * time.Millisecond
	feedPollTimeout = 2 * time.Second
)

// Options configures a Roster.
type Options struct {
	Rows storage.Rows
	Self Member
	Log  *zap.Logger
	// Changed is called when a member has joined, changed, left or failed. It may
	// be nil.
	Changed func()
	// LastPeerContact returns the time of the last contact with any other instance
	// other than through the store; the zero time means never. It may be nil.
	LastPeerContact func() time.Time
	// LastContact returns the time of the last contact with a process other than
	// through the store, and whether that process sends its load to this instance
	// at all. It may be nil.
	LastContact func(process string) (time.Time, bool)
	// ExtraPart is a further part of the table, whose rows belong to another user. Each
	// update of the table is passed to ExtraUpdate. Both may be empty.
	ExtraPart   string
	ExtraUpdate func(feed.Update)
	// LeaseAddress makes the instance hold a lease, on which it can be reached at this address
	// for what it owns; "" means none. FirstStart is set when the whole system starts for the
	// first time.
	LeaseAddress string
	FirstStart   bool
}

// Roster maintains the list of instances. It is safe for concurrent use.
type Roster struct {
	options  Options
	follower *feed.Follower
	wake     chan struct{}
	self     atomic.Pointer[Member]
	// startedAt is the time at which the Roster was built.
	startedAt time.Time

	mu      sync.Mutex
	members map[string]entry
	// followedSince is the time since which the store has been followed without a
	// gap. A gap is detected by this instance's own row: ownRowReadAt is the time
	// at which that was last read.
	followedSince time.Time
	ownRowReadAt  time.Time
	// storeClock is the last reading of the store's clock, 0 before the first one.
	// storeClockReadAt is when it was received.
	storeClock       time.Duration
	storeClockReadAt time.Time
	// suspicions holds the last suspicion of each member by name.
	suspicions map[string]suspicionRecord
	// answered holds the versions for which the store has answered this instance's last
	// suspicion of each member.
	answered map[string]readVersions
	// lastCheckAt is the time of the last check for unresponsive members.
	// checkedSince is the time since which checks have been made without a gap.
	lastCheckAt  time.Time
	checkedSince time.Time
	view         atomic.Pointer[View]
	// announced is the interval of the last heartbeat, in nanoseconds.
	announced atomic.Int64
	lease     HeldLease
}

// View is a snapshot of the list.
type View struct {
	// Alive holds the members that are alive, including this one, ordered by name.
	Alive []Member
	// Peers holds the addresses of the other members by name.
	Peers map[string]netip.AddrPort
	// IDs holds the ids of the processes of all members in Alive.
	IDs map[string]bool
	// incarnations holds the last known process of each machine by name, whether
	// alive or not.
	incarnations map[string]incarnation
}

// incarnation is the process that a machine's row names, and the version of the row
// in which it first appeared.
type incarnation struct {
	id           string
	firstVersion uint64
}

// Replaced reports whether the machine of a process has started another process
// after the given version of the store. The id of a process begins with the name of
// its machine, up to the last slash.
func (v *View) Replaced(id string, version uint64) bool {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return false
	}
	p, ok := v.incarnations[id[:i]]
	return ok && p.id != id && p.firstVersion > version
}

// New returns a Roster. Run starts it.
func New(o Options) *Roster {
	r := &Roster{options: o, wake: make(chan struct{}, 1), startedAt: time.Now(), members: map[string]entry{}, suspicions: map[string]suspicionRecord{}, answered: map[string]readVersions{}}
	if r.options.Changed == nil {
		r.options.Changed = func() {}
	}
	self := o.Self
	r.self.Store(&self)
	r.view.Store(&View{IDs: map[string]bool{}, Peers: map[string]netip.AddrPort{}})
	parts := []string{""}
	if o.ExtraPart != "" {
		parts = append(parts, o.ExtraPart)
	}
	r.follower = feed.New(feed.Options{Rows: o.Rows, Table: Table, Parts: parts, PollTimeout: feedPollTimeout, MinInterval: r.minPollInterval, Update: r.update, Log: o.Log})
	return r
}

// View returns the present list. The result must not be modified.
func (r *Roster) View() *View { return r.view.Load() }

// Names returns the names of the members that are alive, in order.
func (v *View) Names() []string {
	names := make([]string, 0, len(v.Alive))
	for _, m := range v.Alive {
		names = append(names, m.Name)
	}
	return names
}

// Loaded reports whether the table has been read.
func (r *Roster) Loaded() bool {
	_, ok := r.follower.Age()
	return ok
}

// UpToDate reports whether the list has been read and is up to date.
func (r *Roster) UpToDate() bool {
	age, ok := r.follower.Age()
	return ok && age < feedPollTimeout+2*r.interval()
}

// Isolated reports whether this instance has had contact with neither the store nor
// another instance for so long that the others may count it as failed. An instance
// without other members is never isolated, since there is none that could take over
// its work.
func (r *Roster) Isolated() bool {
	limit := r.failureTimeout()
	age, ok := r.follower.Age()
	if !ok || age < limit || len(r.View().Alive) < 2 || r.options.LastPeerContact == nil {
		return false
	}
	return time.Since(r.options.LastPeerContact()) >= limit
}

// UpdateSelf changes this instance's member and publishes it soon.
func (r *Roster) UpdateSelf(change func(*Member)) {
	next := *r.self.Load()
	change(&next)
	r.self.Store(&next)
	r.wakeWriter()
}

// wakeWriter triggers a write of this instance's row.
func (r *Roster) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes heartbeats, follows the rows of the others and detects failures until
// ctx is done. It always returns nil.
func (r *Roster) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.follower.Run(ctx) })
	wait.Go(func() { r.writeHeartbeats(ctx) })
	wait.Go(func() { r.checkLiveness(ctx) })
	wait.Go(func() { r.removeGone(ctx) })
	wait.Wait()
	return nil
}

// interval returns the time between two heartbeats at the present size of the
// fleet.
func (r *Roster) interval() time.Duration {
	return max(heartbeatInterval, time.Duration(len(r.View().Alive))*heartbeatPerMember)
}

// minPollInterval returns the least time between two calls of the feed.
func (r *Roster) minPollInterval() time.Duration { return feedInterval }

// writeHeartbeats writes this instance's row at intervals and when wakeWriter is
// called, until ctx is done.
func (r *Roster) writeHeartbeats(ctx context.Context) {
	var sequence uint64
	lastInterval := heartbeatInterval
	r.awaitTable(ctx)
	for ctx.Err() == nil {
		sequence++
		m := *r.self.Load()
		delay := r.interval()
		m.IntervalMillis, m.WrittenMillis = delay.Milliseconds(), r.storeTime().Milliseconds()
		if m.WrittenMillis == 0 {
			m.Heartbeat = sequence
		}
		r.announced.Store(int64(delay))
		if delay > lastInterval {
			// Instances that start at the same time would otherwise all write at
			// the same moments, and the feed would have no changes to deliver for
			// most of the time in between.
			lastInterval, delay = delay, rand.N(delay)
		}
		sentAt := r.extendLease(&m)
		if err := r.writeRow(ctx, m); err == nil {
			r.confirmLease(&m, sentAt, boottime.Now())
		} else {
			r.options.Log.Debug("heartbeat write failed", zap.Error(err))
			delay = writeRetryInterval + rand.N(writeRetryInterval)
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(delay):
		}
	}
}

// writeRow writes a member's row.
func (r *Roster) writeRow(ctx context.Context, m Member) error {
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	row := storage.TableRow{RowKey: storage.RowKey{Table: Table, Key: m.Name}, Value: value}
	_, err = r.options.Rows.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row}})
	return err
}

// update applies changed rows from the feed.
func (r *Roster) update(u feed.Update) {
	if r.options.ExtraUpdate != nil {
		r.options.ExtraUpdate(u)
	}
	r.mu.Lock()
	now := time.Now()
	firstRead := u.FullRead && len(r.members) == 0
	if u.Recovered || firstRead {
		r.followedSince = now
	}
	r.storeClock, r.storeClockReadAt = u.Now, now
	r.lease.ObserveClock(u.Now, u.ReadAt, boottime.Now())
	for _, row := range u.Rows {
		if row.Part != "" || r.applySuspicion(row, now) {
			continue
		}
		if row.Removed {
			delete(r.members, row.Key)
			delete(r.answered, row.Key)
			continue
		}
		var m Member
		if err := json.Unmarshal(row.Value, &m); err != nil || m.Name != row.Key {
			r.options.Log.Warn("invalid instance row ignored", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if m.Name == r.options.Self.Name {
			r.observeOwnLease(&m)
		}
		if m.ID == r.self.Load().ID {
			prev := r.members[m.Name]
			r.recordOwnRow(now, prev.writeInterval(r.interval()))
		}
		next := entry{Member: m, readAt: now, firstVersion: row.Version, version: row.Version}
		if prev, ok := r.members[m.Name]; ok && prev.ID == m.ID {
			next.firstVersion = prev.firstVersion
		}
		if prev, ok := r.members[m.Name]; ok {
			next.KeepNewerLease(&prev.Member)
		}
		r.members[m.Name] = next
	}
	if firstRead {
		r.failOutdated(u.Now)
	}
	r.mu.Unlock()
	r.rebuildView()
}

// recordOwnRow records that this instance's own row has been read at now, one interval
// after the previous one. If it was missing for too long, the feed did not deliver the
// rows of the others either, and followedSince starts anew. r.mu must be held.
func (r *Roster) recordOwnRow(now time.Time, interval time.Duration) {
	if now.Sub(r.ownRowReadAt) > 2*interval+r.minPollInterval() {
		r.followedSince = now
	}
	r.ownRowReadAt = now
}

// storeReadAt returns the time of the last response of the store, or the zero time
// before the first one.
func (r *Roster) storeReadAt() time.Time {
	age, ok := r.follower.Age()
	if !ok {
		return time.Time{}
	}
	return time.Now().Add(-age)
}
