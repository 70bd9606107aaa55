package instance

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/instance/instancepb"
)

const (
	// urgentRounds times the binary logarithm of the members is how often a
	// change of membership is sent on by each member; calmSends is that number
	// for a change of load or version, which the next one replaces.
	urgentRounds  = 3
	calmSendLimit = 6
	// calmShare is the part of the bound that loads may take.
	calmShare = 2
	// urgentSuspicions is for how many times of suspicion a change of membership
	// is sent on; after many changes at once, comparisons mend the rest.
	urgentSuspicions = 3
	// entryOverhead is the tag and length of one entry in a message.
	entryOverhead = 3
)

// gossip returns what to tell the member about: its own record when others
// hold it for less than alive, then changes of membership, then loads in at most
// half of the space, within the bound of one message. Changes that were sent least come first.
func (t *table) gossip(now time.Time, about handle) *instancepb.Gossip {
	g := &instancepb.Gossip{Sender: t.self.entry(false)}
	room := t.options.MaxGossipBytes - proto.Size(g.Sender) - entryOverhead
	if r, ok := t.records[about]; ok && r.member.Health != Alive {
		room = appendEntry(g, r.entry(false), room)
	}
	urgent, calm := t.pending(now, about)
	for _, r := range urgent {
		if room = appendEntry(g, r.entry(r.introducing), room); room < 0 {
			return g
		}
		r.urgentSends++
		r.introducing = r.introducing && r.urgentSends < t.urgentLimit()
	}
	room = min(room, t.options.MaxGossipBytes/calmShare)
	for _, r := range calm {
		if room = appendEntry(g, r.entry(false), room); room < 0 {
			return g
		}
		r.calmSends++
	}
	return g
}

// appendEntry adds the entry when it fits and returns the room left, which is
// negative when it did not fit.
func appendEntry(g *instancepb.Gossip, e *instancepb.Entry, room int) int {
	room -= proto.Size(e) + entryOverhead
	if room >= 0 {
		g.Entries = append(g.Entries, e)
	}
	return room
}

// pending returns the records that still need sending: changes of health and
// state before introductions, then the least sent first and of these the newest. Equals stand in an order that starts at a random member.
func (t *table) pending(now time.Time, about handle) (urgent, calm []*record) {
	if len(t.order) == 0 {
		return nil, nil
	}
	limit := t.urgentLimit()
	oldest := now.Add(-urgentSuspicions * t.options.suspicionTime(len(t.order)))
	start := t.random.IntN(len(t.order))
	for i := range t.order {
		r := t.order[(start+i)%len(t.order)]
		switch {
		case r.handle == about:
		case r.urgentSends < limit && r.news.After(oldest):
			urgent = append(urgent, r)
		case r.calmSends < calmSendLimit && r.member.Health != Dead:
			calm = append(calm, r)
		}
	}
	slices.SortStableFunc(urgent, func(a, b *record) int {
		return cmp.Or(compareBool(b.pressing, a.pressing), cmp.Compare(a.urgentSends, b.urgentSends), b.news.Compare(a.news))
	})
	slices.SortStableFunc(calm, func(a, b *record) int { return cmp.Compare(a.calmSends, b.calmSends) })
	return urgent, calm
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// urgentLimit is how often a change of membership is sent.
func (t *table) urgentLimit() int {
	return urgentRounds * bits.Len(uint(len(t.order)+1))
}

// everything returns all members that are not dead, with their identities.
func (t *table) everything() []*instancepb.Entry {
	entries := make([]*instancepb.Entry, 0, len(t.order)+1)
	entries = append(entries, t.self.entry(true))
	for _, r := range t.order {
		if r.member.Health != Dead {
			entries = append(entries, r.entry(true))
		}
	}
	return entries
}

// lacking returns the live members that theirs does not name.
func (t *table) lacking(theirs []*instancepb.Entry) []*instancepb.Entry {
	named := make(map[handle]bool, len(theirs))
	for _, e := range theirs {
		named[handle(e.GetHandle())] = true
	}
	var lacking []*instancepb.Entry
	for _, r := range t.order {
		if r.member.Health != Dead && !named[r.handle] {
			lacking = append(lacking, r.entry(true))
		}
	}
	return lacking
}
