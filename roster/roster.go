// Package roster keeps the list of instances in the platform's store: each
// writes a row of its own at intervals and reads those of the others by a feed.
// Liveness is judged by rows that stay unchanged on one's own steady clock; no
// clock of another process is believed. It replaces probes and gossip where the
// store can be followed.
package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
)

// Table has a row for each instance by its name.
const Table = "instances"

// Member is what an instance says of itself.
type Member struct {
	// Name is that of the machine, ID that of the process.
	Name string `json:"name"`
	ID   string `json:"id"`
	// Callers and Peers are addresses, IP:port.
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
	DataCentre string `json:"data_centre"`
	// Ready members take callers; Leaving ones are about to end.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Beat grows with each write.
	Beat uint64 `json:"beat"`
}

// entry is a member with the time at which its row last changed.
type entry struct {
	Member
	seen time.Time
	// since is the version of the store with which the process was first seen,
	// version that of the row.
	since   uint64
	version uint64
}

const (
	// beatInterval is the time between two writes of a row in a small fleet;
	// beatPerMember stretches it so that all together write and read a bounded
	// number of rows a second.
	beatInterval  = time.Second
	beatPerMember = 15 * time.Millisecond
	// aliveIntervals is how many intervals a row may stay unchanged.
	aliveIntervals = 2.6
	// retryPause follows a write that failed.
	retryPause = 150 * time.Millisecond
	// feedPause bounds the calls of the feed.
	feedPause = 600 * time.Millisecond
	feedWait  = 2 * time.Second
)

// Options configure a Roster.
type Options struct {
	Rows storage.Rows
	Self Member
	Log  *zap.Logger
	// Changed is called when a member came, left or is no longer alive.
	Changed func()
	// PeerHeard returns when another instance was heard of last, other than through
	// the store; the zero time means never. It may be nil.
	PeerHeard func() time.Time
	// Heard returns when a process was heard of last other than through the store,
	// and whether it tells this instance of itself at all. It may be nil.
	Heard func(process string) (time.Time, bool)
}

// Roster is the list. It is safe for concurrent use.
type Roster struct {
	options  Options
	follower *feed.Follower
	wake     chan struct{}
	self     atomic.Pointer[Member]

	mu      sync.Mutex
	members map[string]entry
	// heardSince is when the store was followed again after a gap, which is judged
	// by this instance's own row, ownSeen when that was last read.
	heardSince time.Time
	ownSeen    time.Time
	// asked has the last doubt of each member by its name.
	asked map[string]asked
	// judged is when silence was looked at last, calmSince the end of the last gap
	// between two looks.
	judged    time.Time
	calmSince time.Time
	view      atomic.Pointer[View]
}

// View is the list at one time.
type View struct {
	// Alive members, this one included, by name.
	Alive []Member
	// Peers are the addresses of the others by name.
	Peers map[string]netip.AddrPort
	// Processes are the ids of all members that are alive.
	Processes map[string]bool
	// machines has the process of each row by the name of its machine.
	machines map[string]process
}

// process is what the row of a machine says.
type process struct {
	id    string
	since uint64
}

// Replaced reports whether the machine of a process has run another one since a
// version of the store. A process names its machine before its last slash.
func (v *View) Replaced(id string, version uint64) bool {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return false
	}
	p, ok := v.machines[id[:i]]
	return ok && p.id != id && p.since > version
}

// New returns a Roster.
func New(o Options) *Roster {
	r := &Roster{options: o, wake: make(chan struct{}, 1), members: map[string]entry{}, asked: map[string]asked{}}
	if r.options.Changed == nil {
		r.options.Changed = func() {}
	}
	self := o.Self
	r.self.Store(&self)
	r.view.Store(&View{Processes: map[string]bool{}, Peers: map[string]netip.AddrPort{}})
	r.follower = feed.New(feed.Options{Rows: o.Rows, Table: Table, PollTimeout: feedWait, Pause: r.pause, Update: r.update, Log: o.Log})
	return r
}

// View returns the present list.
func (r *Roster) View() *View { return r.view.Load() }

// Names returns the names of the members that are alive.
func (v *View) Names() []string {
	names := make([]string, 0, len(v.Alive))
	for _, m := range v.Alive {
		names = append(names, m.Name)
	}
	return names
}

// Followed reports whether the list has been read and is up to date.
func (r *Roster) Followed() bool {
	age, ok := r.follower.Age()
	return ok && age < feedWait+2*r.interval()
}

// Isolated reports whether neither the store nor another instance has been heard
// of for as long as the others take to count this one as lost. An instance that
// knows of no other is never isolated: nobody can take its work over.
func (r *Roster) Isolated() bool {
	limit := r.silenceLimit()
	age, ok := r.follower.Age()
	if !ok || age < limit || len(r.View().Alive) < 2 || r.options.PeerHeard == nil {
		return false
	}
	return time.Since(r.options.PeerHeard()) >= limit
}

// Announce changes what this instance says of itself and writes it soon.
func (r *Roster) Announce(change func(*Member)) {
	next := *r.self.Load()
	change(&next)
	r.self.Store(&next)
	r.wakeWriter()
}

// wakeWriter makes this instance's row be written soon.
func (r *Roster) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes and follows until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.follower.Run(ctx) })
	wait.Go(func() { r.write(ctx) })
	wait.Go(func() { r.judge(ctx) })
	wait.Wait()
	return nil
}

// interval is the time between two writes at the present size.
func (r *Roster) interval() time.Duration {
	return max(beatInterval, time.Duration(len(r.View().Alive))*beatPerMember)
}

// pause is the time between two calls of the feed.
func (r *Roster) pause() time.Duration { return feedPause }

func (r *Roster) write(ctx context.Context) {
	var beat uint64
	before := beatInterval
	for ctx.Err() == nil {
		beat++
		m := *r.self.Load()
		m.Beat = beat
		pause := r.interval()
		if pause > before {
			// Machines that start together would else all write at the same moments, and
			// the feed would have nothing to tell for most of the time between.
			before, pause = pause, rand.N(pause)
		}
		if err := r.put(ctx, m); err != nil {
			r.options.Log.Debug("own row not written", zap.Error(err))
			pause = retryPause + rand.N(retryPause)
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(pause):
		}
	}
}

func (r *Roster) put(ctx context.Context, m Member) error {
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	row := storage.TableRow{RowKey: storage.RowKey{Table: Table, Key: m.Name}, Value: value}
	_, err = r.options.Rows.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row}})
	return err
}

// update takes in changed rows.
func (r *Roster) update(u feed.Update) {
	r.mu.Lock()
	now := time.Now()
	if u.Recovered || u.FullRead && len(r.members) == 0 {
		r.heardSince = now
	}
	for _, row := range u.Rows {
		if r.takeDoubt(row, now) {
			continue
		}
		if row.Removed {
			delete(r.members, row.Key)
			continue
		}
		var m Member
		if err := json.Unmarshal(row.Value, &m); err != nil || m.Name != row.Key {
			r.options.Log.Warn("instance row left out", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if m.ID == r.self.Load().ID {
			r.noteOwn(now)
		}
		next := entry{Member: m, seen: now, since: row.Version, version: row.Version}
		if before, ok := r.members[m.Name]; ok && before.ID == m.ID {
			next.since = before.since
		}
		r.members[m.Name] = next
	}
	r.mu.Unlock()
	r.refresh()
}

// noteOwn notes that this instance's row has been read. A feed that does not
// tell of it does not tell of others either. The lock is held.
func (r *Roster) noteOwn(now time.Time) {
	if now.Sub(r.ownSeen) > 2*r.interval()+r.pause() {
		r.heardSince = now
	}
	r.ownSeen = now
}

// readAt is when the store last answered.
func (r *Roster) readAt() time.Time {
	age, ok := r.follower.Age()
	if !ok {
		return time.Time{}
	}
	return time.Now().Add(-age)
}

// judgeInterval is the time between two looks at rows that stay unchanged.
const judgeInterval = 250 * time.Millisecond

func (r *Roster) judge(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.refresh()
			for _, e := range r.silent(time.Now()) {
				r.ask(ctx, e)
			}
		}
	}
}

// refresh builds the view.
func (r *Roster) refresh() {
	r.mu.Lock()
	limit := time.Duration(aliveIntervals * float64(r.interval()))
	// A row is judged by the time for which others changed while it did not.
	frozen := r.ownSeen.Sub(r.heardSince) < limit
	read := r.readAt()
	v := &View{Processes: map[string]bool{}, Peers: map[string]netip.AddrPort{}}
	self := r.self.Load()
	v.machines = make(map[string]process, len(r.members))
	for _, e := range r.members {
		v.machines[e.Name] = process{e.ID, e.since}
		if e.Name == self.Name {
			continue
		}
		if !frozen && r.ownSeen.Sub(e.seen) > limit || r.lostByDoubt(&e, read) {
			continue
		}
		v.Alive = append(v.Alive, e.Member)
		v.Processes[e.ID] = true
		if peer, err := netip.ParseAddrPort(e.Peers); err == nil {
			v.Peers[e.Name] = peer
		}
	}
	v.Alive = append(v.Alive, *self)
	v.Processes[self.ID] = true
	slices.SortFunc(v.Alive, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	before := r.view.Swap(v)
	r.mu.Unlock()
	if !same(before, v) {
		r.options.Log.Info("instances", zap.Int("alive", len(v.Alive)), zap.Bool("followed", !frozen))
		r.options.Changed()
	}
}

func same(a, b *View) bool {
	return slices.EqualFunc(a.Alive, b.Alive, func(x, y Member) bool {
		x.Beat, y.Beat = 0, 0
		return x == y
	})
}
