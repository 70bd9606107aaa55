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
	// A change of membership is urgent: each member sends it on
	// urgentSendFactor times the binary logarithm of the number of members. A
	// change of load or version is routine, since the next one replaces it:
	// each member sends it on routineSendLimit times.
	urgentSendFactor = 3
	routineSendLimit = 6
	// Routine changes take at most MaxGossipBytes/routineShareDivisor of a
	// message.
	routineShareDivisor = 2
	// A change of membership is sent on for at most urgentSuspicionFactor
	// suspicion timeouts. What was not sent by then, after many changes at
	// once, is left to synchronisation.
	urgentSuspicionFactor = 3
	// entryOverhead is the size in bytes of the tag and length of one entry in
	// a message.
	entryOverhead = 3
)

// gossip returns the gossip for one message, within MaxGossipBytes. The message
// goes to subject or asks a relay to probe it. If subject is suspect or dead
// here, its entry comes first, so that it can refute. Urgent changes follow,
// then routine ones in at most half of the space, both in the order of pending.
func (t *table) gossip(now time.Time, subject handle) *instancepb.Gossip {
	g := &instancepb.Gossip{Sender: t.self.entry(false)}
	remaining := t.options.MaxGossipBytes - proto.Size(g.Sender) - entryOverhead
	if r, ok := t.records[subject]; ok && r.member.Health != Alive {
		remaining = appendEntry(g, r.entry(false), remaining)
	}
	urgent, routine := t.pending(now, subject)
	for _, r := range urgent {
		if remaining = appendEntry(g, r.entry(r.sendIdentity), remaining); remaining < 0 {
			return g
		}
		r.urgentSends++
		r.sendIdentity = r.sendIdentity && r.urgentSends < t.urgentLimit()
	}
	remaining = min(remaining, t.options.MaxGossipBytes/routineShareDivisor)
	for _, r := range routine {
		if remaining = appendEntry(g, r.entry(false), remaining); remaining < 0 {
			return g
		}
		r.routineSends++
	}
	return g
}

// appendEntry adds e if it fits into remaining bytes. It returns the bytes
// left, which are negative if e did not fit.
func appendEntry(g *instancepb.Gossip, e *instancepb.Entry, remaining int) int {
	remaining -= proto.Size(e) + entryOverhead
	if remaining >= 0 {
		g.Entries = append(g.Entries, e)
	}
	return remaining
}

// pending returns the records that still need sending. Urgent ones are ordered
// by priority (changes of health and state before introductions), then the
// least sent first, then the newest first; routine ones the least sent first.
// Records that compare equal follow the order of ids from a random member on.
func (t *table) pending(now time.Time, subject handle) (urgent, routine []*record) {
	if len(t.order) == 0 {
		return nil, nil
	}
	limit := t.urgentLimit()
	oldest := now.Add(-urgentSuspicionFactor * t.options.suspicionTime(len(t.order)))
	start := t.random.IntN(len(t.order))
	for i := range t.order {
		r := t.order[(start+i)%len(t.order)]
		switch {
		case r.handle == subject:
		case r.urgentSends < limit && r.urgentSince.After(oldest):
			urgent = append(urgent, r)
		case r.routineSends < routineSendLimit && r.member.Health != Dead:
			routine = append(routine, r)
		}
	}
	slices.SortStableFunc(urgent, func(a, b *record) int {
		return cmp.Or(compareBool(b.highPriority, a.highPriority), cmp.Compare(a.urgentSends, b.urgentSends), b.urgentSince.Compare(a.urgentSince))
	})
	slices.SortStableFunc(routine, func(a, b *record) int { return cmp.Compare(a.routineSends, b.routineSends) })
	return urgent, routine
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

// urgentLimit returns how often a change of membership is sent.
func (t *table) urgentLimit() int {
	return urgentSendFactor * bits.Len(uint(len(t.order)+1))
}

// liveEntries returns the entries of all members that are not dead, with their
// identities and including this instance.
func (t *table) liveEntries() []*instancepb.Entry {
	entries := make([]*instancepb.Entry, 0, len(t.order)+1)
	entries = append(entries, t.self.entry(true))
	for _, r := range t.order {
		if r.member.Health != Dead {
			entries = append(entries, r.entry(true))
		}
	}
	return entries
}

// missingEntries returns the entries of live members that received does not
// name, with their identities.
func (t *table) missingEntries(received []*instancepb.Entry) []*instancepb.Entry {
	named := make(map[handle]bool, len(received))
	for _, e := range received {
		named[handle(e.GetHandle())] = true
	}
	var missing []*instancepb.Entry
	for _, r := range t.order {
		if r.member.Health != Dead && !named[r.handle] {
			missing = append(missing, r.entry(true))
		}
	}
	return missing
}
