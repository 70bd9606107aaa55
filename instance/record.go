package instance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// handle is the hash of an id, which represents the id in messages.
type handle uint64

func handleOf(id string) handle { return handle(xxhash.Sum64String(id)) }

// record is what this instance knows of one member.
type record struct {
	handle   handle
	member   Member
	revision uint64
	// changedAt is when the health last changed.
	changedAt time.Time
	// deadline is when a suspect is declared dead.
	deadline time.Time
	// suspectedHere is set when this instance raised the suspicion itself.
	suspectedHere bool
	// extraTimeouts is the number of usual timeouts added to the bound of
	// probes of a member that refuted a suspicion.
	extraTimeouts int
	// listed is set when the platform's last list names the member.
	listed bool
	// recheck is set when a dead member was reported alive, so that it is
	// probed.
	recheck bool
	// urgentSends and routineSends count how often the current content was
	// sent, as a change of membership and as a change of load or version.
	urgentSends int
	// urgentSince is when the current content became urgent.
	urgentSince  time.Time
	routineSends int
	// highPriority is set when the urgent content is more than an introduction;
	// it is then sent before introductions.
	highPriority bool
	// sendIdentity is set while other members may not know the identity.
	sendIdentity bool
}

// entry returns the record as a message, with the identity if withIdentity is
// set.
func (r *record) entry(withIdentity bool) *instancepb.Entry {
	e := &instancepb.Entry{
		Handle:      uint64(r.handle),
		Incarnation: r.member.Incarnation,
		Revision:    r.revision,
		Health:      instancepb.Health(r.member.Health),
		State:       stateToWire[r.member.State],
		Version:     r.member.Version,
		Load:        loadToWire(r.member.Load),
		Leaving:     r.member.Leaving,
	}
	if withIdentity {
		e.Identity = identityToWire(r.member.Identity)
	}
	return e
}

// markUrgent marks the record as a change of membership that is sent on.
func (r *record) markUrgent(now time.Time) {
	r.urgentSends = 0
	r.urgentSince = now
	r.highPriority = true
}

func (r *record) fingerprint() uint64 {
	return mix(uint64(r.handle) ^ mix(r.member.Incarnation))
}

var stateToWire = map[State]instancepb.State{
	Starting: instancepb.State_STATE_STARTING,
	Serving:  instancepb.State_STATE_SERVING,
	Draining: instancepb.State_STATE_DRAINING,
	Stopped:  instancepb.State_STATE_STOPPED,
}

// stateFromWire maps an unknown state to Starting, which takes no callers.
func stateFromWire(s instancepb.State) State {
	for state, wire := range stateToWire {
		if wire == s {
			return state
		}
	}
	return Starting
}

func healthFromWire(h instancepb.Health) Health {
	switch h {
	case instancepb.Health_HEALTH_SUSPECT:
		return Suspect
	case instancepb.Health_HEALTH_DEAD:
		return Dead
	}
	return Alive
}

func identityToWire(i Identity) *instancepb.Identity {
	return &instancepb.Identity{Id: i.ID, DataCentre: i.DataCentre, CallerAddress: i.CallerAddress, PeerAddress: i.PeerAddress}
}

func identityFromWire(i *instancepb.Identity) Identity {
	return Identity{ID: i.GetId(), DataCentre: i.GetDataCentre(), CallerAddress: i.GetCallerAddress(), PeerAddress: i.GetPeerAddress()}
}

func loadToWire(l Load) *instancepb.Load {
	if l == (Load{}) {
		return nil
	}
	return &instancepb.Load{
		RunningRequests:   l.RunningRequests,
		QueuedRequests:    l.QueuedRequests,
		TokensInFlight:    l.TokensInFlight,
		ProcessorPermille: l.ProcessorPermille,
	}
}

func loadFromWire(l *instancepb.Load) Load {
	return Load{
		RunningRequests:   l.GetRunningRequests(),
		QueuedRequests:    l.GetQueuedRequests(),
		TokensInFlight:    l.GetTokensInFlight(),
		ProcessorPermille: l.GetProcessorPermille(),
	}
}
