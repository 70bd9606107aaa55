package instance

import (
	"time"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// receive merges the gossip of a message. The sender's own entry is direct.
func (t *table) receive(now time.Time, g *instancepb.Gossip) {
	t.merge(now, g.GetSender(), true)
	for _, e := range g.GetEntries() {
		t.merge(now, e, false)
	}
}

// receiveAll merges the whole membership of another instance. Members that
// become known this way are known to others and are not sent on.
func (t *table) receiveAll(now time.Time, entries []*instancepb.Entry) {
	for _, e := range entries {
		_, known := t.records[handle(e.GetHandle())]
		t.merge(now, e, false)
		r, added := t.records[handle(e.GetHandle())]
		if added && !known && r.member.Health == Alive {
			r.urgentSends, r.routineSends, r.sendIdentity = t.urgentLimit(), routineSendLimit, false
		}
	}
}

// merge merges one entry. A direct entry comes from the member itself. For a
// suspect it restarts the suspicion timeout, but it is no refutation that can
// be passed on to others.
func (t *table) merge(now time.Time, e *instancepb.Entry, direct bool) {
	if e == nil {
		return
	}
	h := handle(e.GetHandle())
	if h == t.self.handle {
		t.mergeSelf(now, e)
		return
	}
	r, ok := t.records[h]
	if !ok {
		t.mergeUnknown(now, e)
		return
	}
	t.mergeReport(now, r, e, direct)
	t.mergeHealth(now, r, e)
	if direct && r.member.Health == Suspect {
		r.deadline = now.Add(t.suspicionTimeout())
	}
	t.recordVersion(r)
}

// mergeSelf refutes wrong entries about this instance by raising its
// incarnation. An instance that restarted under the id of an earlier OS process
// also raises its incarnation above the earlier one's here. A stopped instance
// does not refute.
func (t *table) mergeSelf(now time.Time, e *instancepb.Entry) {
	own := &t.self
	suspected := healthFromWire(e.GetHealth()) != Alive
	higher := e.GetIncarnation() > own.member.Incarnation
	same := e.GetIncarnation() == own.member.Incarnation
	if !higher && !(same && (suspected || e.GetRevision() > own.revision)) {
		return
	}
	if own.member.State == Stopped {
		return
	}
	own.member.Incarnation = max(own.member.Incarnation, e.GetIncarnation()) + 1
	own.revision = max(own.revision, e.GetRevision()) + 1
	own.changedAt = now
	t.counts.Refutations++
	t.stale = true
}

// mergeUnknown adds a member that is unknown here, unless it is dead or stopped
// or the table is full. An entry without a valid identity only sets
// unknownSeen.
func (t *table) mergeUnknown(now time.Time, e *instancepb.Entry) {
	ended := healthFromWire(e.GetHealth()) == Dead || e.GetState() == instancepb.State_STATE_STOPPED
	if ended || len(t.records) >= maxMembers {
		return
	}
	identity := identityFromWire(e.GetIdentity())
	if handleOf(identity.ID) != handle(e.GetHandle()) || identity.PeerAddress == "" {
		t.unknownSeen = true
		return
	}
	r := &record{
		handle:       handle(e.GetHandle()),
		revision:     e.GetRevision(),
		sendIdentity: true,
		member: Member{
			Identity:    identity,
			Incarnation: e.GetIncarnation(),
			State:       stateFromWire(e.GetState()),
			Leaving:     e.GetLeaving(),
			Version:     e.GetVersion(),
			Load:        loadFromWire(e.GetLoad()),
		},
	}
	t.add(now, r)
	if healthFromWire(e.GetHealth()) == Suspect {
		t.setHealth(now, r, Suspect)
	}
	t.recordVersion(r)
}

// mergeReport takes state, version and load from e if it is newer than the
// record. The load of a direct entry is also taken at the same revision. A
// member that reports itself stopped is dead.
func (t *table) mergeReport(now time.Time, r *record, e *instancepb.Entry, direct bool) {
	t.setLeaving(now, r, e.GetLeaving())
	m := &r.member
	newer := e.GetIncarnation() > m.Incarnation || e.GetIncarnation() == m.Incarnation && e.GetRevision() > r.revision
	if direct && e.GetIncarnation() == m.Incarnation && e.GetRevision() == r.revision {
		m.Load = loadFromWire(e.GetLoad())
	}
	if !newer {
		return
	}
	state := stateFromWire(e.GetState())
	if state != m.State {
		r.markUrgent(now)
		t.stale = true
	}
	r.revision = e.GetRevision()
	r.routineSends = 0
	m.State, m.Version, m.Load = state, e.GetVersion(), loadFromWire(e.GetLoad())
	if state == Stopped {
		t.setHealth(now, r, Dead)
	}
}

// mergeHealth merges the health that others report of the member. A report of a
// higher incarnation replaces the health; at the same incarnation only a worse
// health does. A dead member that is reported alive at the same incarnation is
// probed again.
func (t *table) mergeHealth(now time.Time, r *record, e *instancepb.Entry) {
	m := &r.member
	reported := healthFromWire(e.GetHealth())
	if m.State == Stopped {
		m.Incarnation = max(m.Incarnation, e.GetIncarnation())
		return
	}
	switch {
	case e.GetIncarnation() > m.Incarnation:
		m.Incarnation = e.GetIncarnation()
		r.markUrgent(now)
		if m.Health == Suspect && reported == Alive {
			r.extraTimeouts = min(r.extraTimeouts+1, maxExtraTimeouts)
		}
		t.setHealth(now, r, requireSuspicion(m.Health, reported))
	case e.GetIncarnation() < m.Incarnation:
		return
	case reported > m.Health:
		t.setHealth(now, r, requireSuspicion(m.Health, reported))
	case reported == Alive && m.Health == Dead && !r.recheck:
		r.recheck = true
	}
}

// requireSuspicion turns a reported death into a suspicion if the member is
// alive here. Before a true death, the suspicion has spread by gossip; a report
// without one comes from an instance that was partitioned or paused.
func requireSuspicion(current, reported Health) Health {
	if reported == Dead && current == Alive {
		return Suspect
	}
	return reported
}

// recordVersion updates the highest known configuration version.
func (t *table) recordVersion(r *record) {
	if r.member.Health == Alive && r.member.Version > t.newest.version {
		t.newest = versionSource{r.member.Version, r.member.PeerAddress}
	}
}

// newerVersion returns the version and address of a random alive member with a
// configuration version above own.
func (t *table) newerVersion(own uint64) (versionSource, bool) {
	r, ok := t.pickRandom(func(r *record) bool { return r.member.Health == Alive && r.member.Version > own })
	if !ok {
		return versionSource{}, false
	}
	return versionSource{r.member.Version, r.member.PeerAddress}, true
}
