package instance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// handle is the hash of an id, which stands for it in messages.
type handle uint64

func handleOf(id string) handle { return handle(xxhash.Sum64String(id)) }

// record is what this instance knows of one member.
type record struct {
	handle   handle
	member   Member
	revision uint64
	// changed is when the health last changed.
	changed time.Time
	// deadline is when a suspect becomes dead.
	deadline time.Time
	// accused is set when this instance raised the suspicion itself.
	accused bool
	// lenience widens the bound of probes of a member that refuted a suspicion.
	lenience int
	// listed is set when the platform's last list names the member.
	listed bool
	// recheck is set when a dead member was heard of as alive.
	recheck bool
	// urgentSends and calmSends count how often the present content was sent as
	// a change of membership and as a change of load or version.
	urgentSends int
	// news is when the present content became urgent.
	news      time.Time
	calmSends int
	// pressing is set when the urgent content is more than an introduction.
	pressing bool
	// introducing is set while others may not know the identity.
	introducing bool
}

// entry returns the record for a message.
func (r *record) entry(identify bool) *instancepb.Entry {
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
	if identify {
		e.Identity = identityToWire(r.member.Identity)
	}
	return e
}

// urge marks the record as a change of membership to be spread.
func (r *record) urge(now time.Time) {
	r.urgentSends = 0
	r.news = now
	r.pressing = true
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

// stateFromWire takes an unknown state for one that serves nobody.
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
