package instance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/daisylb/daisylb/storage"
)

// maxMembers bounds the members that one instance accepts.
const maxMembers = 5000

// maxExtraTimeouts bounds record.extraTimeouts.
const maxExtraTimeouts = 3

// table holds what this instance knows of all instances. It does no I/O, is
// given the current time and is not safe for concurrent use; Membership guards
// it.
type table struct {
	options *Options
	random  *rand.Rand

	self record
	// advertisedAt is when this instance's record last got a new revision,
	// advertisedLoad the load in that revision.
	advertisedAt   time.Time
	advertisedLoad Load
	// records has every member except this instance, including dead ones; order
	// has the same records in the order of the ids.
	records map[handle]*record
	order   []*record
	// candidates are listed instances that have no record.
	candidates map[handle]Identity
	ring       ring

	// stale is set when the published view is out of date.
	stale bool
	// slowness is the slowness score of this instance. It widens the probe
	// timeouts and also the suspicion timeouts, since a slow instance receives
	// refutations late.
	slowness int
	// unknownSeen is set when gossip named a member that is unknown here
	// without its identity.
	unknownSeen bool
	// newest is the highest configuration version reported, and a member that
	// has it.
	newest versionSource
	counts Counts
}

// versionSource is a configuration version and the peer address of a member
// that has it.
type versionSource struct {
	version uint64
	address string
}

// Counts holds totals since the start.
type Counts struct {
	// Suspicions and Deaths count changes of other members' health in this
	// view.
	Suspicions uint64 `json:"suspicions"`
	Deaths     uint64 `json:"deaths"`
	// Refutations counts the times this instance raised its incarnation to
	// refute an entry about itself.
	Refutations uint64 `json:"refutations"`
	// Joins counts members that became known.
	Joins uint64 `json:"joins"`
	// Pauses counts the detected pauses of this process.
	Pauses uint64 `json:"pauses"`
}

func newTable(o *Options) *table {
	t := &table{
		options:    o,
		random:     rand.New(rand.NewPCG(o.Seed, uint64(handleOf(o.Self.ID)))),
		records:    map[handle]*record{},
		candidates: map[handle]Identity{},
	}
	t.self = record{handle: handleOf(o.Self.ID), member: Member{Identity: o.Self, Incarnation: 1, State: Starting}}
	return t
}

// live returns the number of members that are not dead, including this
// instance.
func (t *table) live() int {
	n := 1
	for _, r := range t.order {
		if r.member.Health != Dead {
			n++
		}
	}
	return n
}

// updateSelf updates this instance's record. It reports whether the state
// changed, which must be advertised at once.
func (t *table) updateSelf(now time.Time, state State, version uint64, load Load) bool {
	m := &t.self.member
	urgent := m.State != state
	due := t.advertisedLoad != load && now.Sub(t.advertisedAt) >= loadInterval(t.live())
	if urgent || due || m.Version != version {
		t.self.revision++
		t.advertisedAt, t.advertisedLoad = now, load
		t.stale = true
	}
	m.State, m.Version, m.Load = state, version, load
	return urgent
}

// add adds a member that was unknown.
func (t *table) add(now time.Time, r *record) {
	r.changedAt = now
	r.markUrgent(now)
	r.highPriority = false
	t.records[r.handle] = r
	i, _ := slices.BinarySearchFunc(t.order, r.member.ID, func(r *record, id string) int { return strings.Compare(r.member.ID, id) })
	t.order = slices.Insert(t.order, i, r)
	if _, ok := t.candidates[r.handle]; ok {
		r.listed = true
		delete(t.candidates, r.handle)
	}
	t.counts.Joins++
	t.membershipChanged()
}

func (t *table) remove(r *record) {
	delete(t.records, r.handle)
	t.order = slices.DeleteFunc(t.order, func(o *record) bool { return o == r })
	t.membershipChanged()
}

func (t *table) membershipChanged() {
	t.stale = true
	t.ring.valid = false
}

// setHealth changes the health of a member and marks the change as urgent.
func (t *table) setHealth(now time.Time, r *record, h Health) {
	if r.member.Health == h {
		return
	}
	r.member.Health = h
	r.changedAt = now
	r.suspectedHere = false
	r.recheck = false
	r.markUrgent(now)
	switch h {
	case Suspect:
		r.deadline = now.Add(t.suspicionTimeout())
		t.counts.Suspicions++
	case Dead:
		t.counts.Deaths++
	}
	t.membershipChanged()
}

// markSuspect makes a member suspect because probes from this instance failed.
func (t *table) markSuspect(now time.Time, h handle) {
	r, ok := t.records[h]
	if !ok || r.member.Health == Dead {
		return
	}
	t.setHealth(now, r, Suspect)
	r.suspectedHere = true
}

// reduceTimeouts lowers the extra timeouts of a member that answered in time.
func (t *table) reduceTimeouts(h handle) {
	if r, ok := t.records[h]; ok && r.extraTimeouts > 0 {
		r.extraTimeouts--
	}
}

// markReplaced declares a member dead because a different process has its
// address.
func (t *table) markReplaced(now time.Time, h handle) {
	if r, ok := t.records[h]; ok {
		t.setHealth(now, r, Dead)
		r.listed = false
	}
}

// expire declares suspects dead whose suspicion timeout has passed, and removes
// members that are no longer listed and have been dead for deadRetention.
func (t *table) expire(now time.Time) {
	for _, r := range slices.Clone(t.order) {
		switch {
		case r.member.Health == Suspect && !now.Before(r.deadline):
			t.setHealth(now, r, Dead)
		case r.member.Health == Dead && !r.listed && now.Sub(r.changedAt) >= deadRetention:
			t.remove(r)
		}
	}
}

// suspicionTimeout returns how long a suspect may refute.
func (t *table) suspicionTimeout() time.Duration {
	return t.options.suspicionTime(t.live()) * time.Duration(1+t.slowness)
}

// restartSuspicions counts a pause of this process and restarts the timeout of
// every suspicion, because refutations may have been missed.
func (t *table) restartSuspicions(now time.Time) {
	t.counts.Pauses++
	for _, r := range t.order {
		if r.member.Health == Suspect {
			r.deadline = now.Add(t.suspicionTimeout())
		}
	}
}

// setList applies a newly read list of the platform.
func (t *table) setList(now time.Time, list []storage.ListedInstance) {
	listed := make(map[handle]bool, len(list))
	candidates := map[handle]Identity{}
	for _, l := range list {
		if l.ID == "" {
			continue
		}
		h := handleOf(l.ID)
		listed[h] = true
		if h == t.self.handle {
			t.setLeaving(now, &t.self, l.Leaving)
			continue
		}
		if r, ok := t.records[h]; ok {
			t.setLeaving(now, r, l.Leaving)
			continue
		}
		if l.PeerAddress != "" {
			candidates[h] = Identity{ID: l.ID, DataCentre: l.DataCentre, CallerAddress: l.CallerAddress, PeerAddress: l.PeerAddress}
		}
	}
	for _, r := range t.order {
		r.listed = listed[r.handle]
	}
	t.candidates = candidates
}

// setLeaving records that a member will be stopped; that is never reset.
func (t *table) setLeaving(now time.Time, r *record, leaving bool) {
	if !leaving || r.member.Leaving {
		return
	}
	r.member.Leaving = true
	r.markUrgent(now)
	t.stale = true
}

// view returns a snapshot of the table and clears stale.
func (t *table) view() *View {
	others := make([]Member, 0, len(t.order))
	for _, r := range t.order {
		others = append(others, r.member)
	}
	t.stale = false
	return NewView(t.self.member, others...)
}

// fingerprint returns a value that is equal on two instances that hold the same
// live members with the same incarnations.
func (t *table) fingerprint() uint64 {
	sum := t.self.fingerprint()
	for _, r := range t.order {
		if r.member.Health != Dead {
			sum += r.fingerprint()
		}
	}
	return sum
}
