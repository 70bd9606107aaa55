package instance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/daisylb/daisylb/storage"
)

// maxMembers bounds the members that one instance takes in.
const maxMembers = 5000

// maxLenience bounds record.lenience.
const maxLenience = 3

// table is the knowledge of one instance of all others. It does no I/O, takes
// the time from its caller and is not safe for concurrent use; Membership
// guards it.
type table struct {
	options *Options
	random  *rand.Rand

	self record
	// announced is when the own entry was last spread, and announcedLoad the load
	// in it.
	announced     time.Time
	announcedLoad Load
	// records has every member but the own, dead ones included; order has the
	// same in the order of the ids.
	records map[handle]*record
	order   []*record
	// candidates are listed instances that nobody has been heard of.
	candidates map[handle]Identity
	ring       ring

	// stale is set when the published view is out of date.
	stale bool
	// slowness widens the time that suspects have, since a slow instance hears
	// refutations late.
	slowness int
	// strangers is set when gossip named a member that is not known here.
	strangers bool
	// newest is the highest configuration version heard of, and who has it.
	newest versionSource
	counts Counts
}

type versionSource struct {
	version uint64
	address string
}

// Counts are totals since the start.
type Counts struct {
	// Suspicions and Deaths are changes of other members' health in this view.
	Suspicions uint64 `json:"suspicions"`
	Deaths     uint64 `json:"deaths"`
	// Refutations of suspicions of the own instance.
	Refutations uint64 `json:"refutations"`
	// Joins are members that became known.
	Joins uint64 `json:"joins"`
	// Pauses of the own process that were noticed.
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

// live counts the members that are not dead, the own instance included.
func (t *table) live() int {
	n := 1
	for _, r := range t.order {
		if r.member.Health != Dead {
			n++
		}
	}
	return n
}

// observe takes what the own instance now says of itself. It reports whether
// that is to be spread at once.
func (t *table) observe(now time.Time, state State, version uint64, load Load) bool {
	m := &t.self.member
	urgent := m.State != state
	due := t.announcedLoad != load && now.Sub(t.announced) >= loadInterval(t.live())
	if urgent || due || m.Version != version {
		t.self.revision++
		t.announced, t.announcedLoad = now, load
		t.stale = true
	}
	m.State, m.Version, m.Load = state, version, load
	return urgent
}

// add takes in a member that was not known.
func (t *table) add(now time.Time, r *record) {
	r.changed = now
	r.urge(now)
	r.pressing = false
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

// setHealth changes the health of a member and marks the change for spreading.
func (t *table) setHealth(now time.Time, r *record, h Health) {
	if r.member.Health == h {
		return
	}
	r.member.Health = h
	r.changed = now
	r.accused = false
	r.recheck = false
	r.urge(now)
	switch h {
	case Suspect:
		r.deadline = now.Add(t.patience())
		t.counts.Suspicions++
	case Dead:
		t.counts.Deaths++
	}
	t.membershipChanged()
}

// accuse makes an alive member suspect because its probes failed here.
func (t *table) accuse(now time.Time, h handle) {
	r, ok := t.records[h]
	if !ok || r.member.Health == Dead {
		return
	}
	t.setHealth(now, r, Suspect)
	r.accused = true
}

// trust narrows the bound of probes of a member that answered in time.
func (t *table) trust(h handle) {
	if r, ok := t.records[h]; ok && r.lenience > 0 {
		r.lenience--
	}
}

// replaced makes a member dead because another process has its address.
func (t *table) replaced(now time.Time, h handle) {
	if r, ok := t.records[h]; ok {
		t.setHealth(now, r, Dead)
		r.listed = false
	}
}

// expire makes suspects dead whose time to refute is over, and forgets dead
// members that the list no longer names.
func (t *table) expire(now time.Time) {
	for _, r := range slices.Clone(t.order) {
		switch {
		case r.member.Health == Suspect && !now.Before(r.deadline):
			t.setHealth(now, r, Dead)
		case r.member.Health == Dead && !r.listed && now.Sub(r.changed) >= forgetAfter:
			t.remove(r)
		}
	}
}

// patience is how long a suspect may refute.
func (t *table) patience() time.Duration {
	return t.options.suspicionTime(t.live()) * time.Duration(1+t.slowness)
}

// excuse gives every suspect its whole time again, because the own instance
// was paused and may have missed refutations.
func (t *table) excuse(now time.Time) {
	t.counts.Pauses++
	for _, r := range t.order {
		if r.member.Health == Suspect {
			r.deadline = now.Add(t.patience())
		}
	}
}

// setList takes a new list of the platform.
func (t *table) setList(now time.Time, list []storage.ListedInstance) {
	listed := make(map[handle]bool, len(list))
	candidates := map[handle]Identity{}
	for _, l := range list {
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
		if l.ID != "" && l.PeerAddress != "" {
			candidates[h] = Identity{ID: l.ID, DataCentre: l.DataCentre, CallerAddress: l.CallerAddress, PeerAddress: l.PeerAddress}
		}
	}
	for _, r := range t.order {
		r.listed = listed[r.handle]
	}
	t.candidates = candidates
}

// setLeaving notes that a member will be stopped; that never changes back.
func (t *table) setLeaving(now time.Time, r *record, leaving bool) {
	if !leaving || r.member.Leaving {
		return
	}
	r.member.Leaving = true
	r.urge(now)
	t.stale = true
}

// view returns a snapshot for publishing.
func (t *table) view() *View {
	others := make([]Member, 0, len(t.order))
	for _, r := range t.order {
		others = append(others, r.member)
	}
	t.stale = false
	return NewView(t.self.member, others...)
}

// fingerprint is the same for two instances that hold the same incarnations of
// the same members live.
func (t *table) fingerprint() uint64 {
	sum := t.self.fingerprint()
	for _, r := range t.order {
		if r.member.Health != Dead {
			sum += r.fingerprint()
		}
	}
	return sum
}
