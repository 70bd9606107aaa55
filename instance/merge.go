package instance

import (
	"time"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// receive takes in the gossip of a message. The sender's own entry is direct.
func (t *table) receive(now time.Time, g *instancepb.Gossip) {
	t.merge(now, g.GetSender(), true)
	for _, e := range g.GetEntries() {
		t.merge(now, e, false)
	}
}

// receiveAll takes in a whole membership that another instance holds. Members
// that become known so are known to others and are not spread.
func (t *table) receiveAll(now time.Time, entries []*instancepb.Entry) {
	for _, e := range entries {
		_, known := t.records[handle(e.GetHandle())]
		t.merge(now, e, false)
		r, added := t.records[handle(e.GetHandle())]
		if added && !known && r.member.Health == Alive {
			r.urgentSends, r.calmSends, r.introducing = t.urgentLimit(), calmSendLimit, false
		}
	}
}

// merge takes in one entry. A direct entry comes from the member itself, which
// for a suspect is a sign of life, though not a refutation that others can use.
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
		t.mergeStranger(now, e)
		return
	}
	t.mergeReport(now, r, e, direct)
	t.mergeHealth(now, r, e)
	if direct && r.member.Health == Suspect {
		r.deadline = now.Add(t.patience())
	}
	t.noteVersion(r)
}

// mergeSelf refutes what others wrongly hold of the own instance. A process
// that was started anew under the id of an earlier one also moves past the
// earlier one's incarnation here.
func (t *table) mergeSelf(now time.Time, e *instancepb.Entry) {
	own := &t.self
	accused := healthFromWire(e.GetHealth()) != Alive
	ahead := e.GetIncarnation() > own.member.Incarnation
	same := e.GetIncarnation() == own.member.Incarnation
	if !ahead && !(same && (accused || e.GetRevision() > own.revision)) {
		return
	}
	if own.member.State == Stopped {
		return
	}
	own.member.Incarnation = max(own.member.Incarnation, e.GetIncarnation()) + 1
	own.revision = max(own.revision, e.GetRevision()) + 1
	own.changed = now
	t.counts.Refutations++
	t.stale = true
}

func (t *table) mergeStranger(now time.Time, e *instancepb.Entry) {
	gone := healthFromWire(e.GetHealth()) == Dead || e.GetState() == instancepb.State_STATE_STOPPED
	if gone || len(t.records) >= maxMembers {
		return
	}
	identity := identityFromWire(e.GetIdentity())
	if handleOf(identity.ID) != handle(e.GetHandle()) || identity.PeerAddress == "" {
		t.strangers = true
		return
	}
	r := &record{
		handle:      handle(e.GetHandle()),
		revision:    e.GetRevision(),
		introducing: true,
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
	t.noteVersion(r)
}

// mergeReport takes in what the member said of itself, when it is newer.
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
		r.urge(now)
		t.stale = true
	}
	r.revision = e.GetRevision()
	r.calmSends = 0
	m.State, m.Version, m.Load = state, e.GetVersion(), loadFromWire(e.GetLoad())
	if state == Stopped {
		t.setHealth(now, r, Dead)
	}
}

// mergeHealth takes in what others believe of the member.
func (t *table) mergeHealth(now time.Time, r *record, e *instancepb.Entry) {
	m := &r.member
	told := healthFromWire(e.GetHealth())
	if m.State == Stopped {
		m.Incarnation = max(m.Incarnation, e.GetIncarnation())
		return
	}
	switch {
	case e.GetIncarnation() > m.Incarnation:
		m.Incarnation = e.GetIncarnation()
		r.urge(now)
		if m.Health == Suspect && told == Alive {
			r.lenience = min(r.lenience+1, maxLenience)
		}
		t.setHealth(now, r, soften(m.Health, told))
	case e.GetIncarnation() < m.Incarnation:
		return
	case told > m.Health:
		t.setHealth(now, r, soften(m.Health, told))
	case told == Alive && m.Health == Dead && !r.recheck:
		r.recheck = true
	}
}

// soften turns the report of a death into a suspicion when the member was not
// suspect here: the rumour of a suspicion runs ahead of a true death, while a
// report without one comes from an instance that was cut off or paused.
func soften(held, told Health) Health {
	if told == Dead && held == Alive {
		return Suspect
	}
	return told
}

func (t *table) noteVersion(r *record) {
	if r.member.Health == Alive && r.member.Version > t.newest.version {
		t.newest = versionSource{r.member.Version, r.member.PeerAddress}
	}
}

// newerVersion returns a random live member with a configuration version above
// own.
func (t *table) newerVersion(own uint64) (versionSource, bool) {
	r, ok := t.draw(func(r *record) bool { return r.member.Health == Alive && r.member.Version > own })
	if !ok {
		return versionSource{}, false
	}
	return versionSource{r.member.Version, r.member.PeerAddress}, true
}
