package instance

import "fmt"

// State is the state of an instance's lifecycle.
type State string

// States in the order in which an instance goes through them.
const (
	// Starting accepts no requests yet.
	Starting State = "starting"
	// Serving accepts requests.
	Serving State = "serving"
	// Draining is not named in endpoint answers and finishes its requests.
	Draining State = "draining"
	// Stopped has no requests in flight and is about to exit.
	Stopped State = "stopped"
)

// Health is the health of an instance as observed by others.
type Health int

// Health values in the order in which a later one replaces an earlier one of
// the same incarnation.
const (
	// Alive answered a probe of some member, or reports itself alive.
	Alive Health = iota
	// Suspect failed direct and relayed probes and may still refute the
	// suspicion.
	Suspect
	// Dead did not refute the suspicion in time, or reported that it stopped.
	Dead
)

// String returns the lower-case name.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("health(%d)", int(h))
}

// MarshalText returns the name, for the state dump.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Load is a coarse summary of an instance's work. It spreads by gossip and may
// be minutes old in a large system.
type Load struct {
	// RunningRequests and QueuedRequests count callers' requests.
	RunningRequests uint32 `json:"running_requests"`
	QueuedRequests  uint32 `json:"queued_requests"`
	// TokensInFlight counts tokens that upstreams still have to deliver.
	TokensInFlight uint32 `json:"tokens_in_flight"`
	// ProcessorPermille is the processor utilisation, 0 to 1000.
	ProcessorPermille uint32 `json:"processor_permille"`
}

// Identity holds what never changes during the life of one OS process.
type Identity struct {
	// ID identifies the OS process; a replacement has a different one.
	ID string `json:"id"`
	// DataCentre is the name of a data centre of the configuration document.
	DataCentre string `json:"data_centre"`
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
}

// Member is one instance in a view.
type Member struct {
	Identity
	// Incarnation increases when the instance refutes a suspicion.
	Incarnation uint64 `json:"incarnation"`
	Health      Health `json:"health"`
	// State is the state that the instance last reported.
	State State `json:"state"`
	// Leaving is set when the platform's list marks the instance to be stopped.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the configuration version that the instance last reported.
	Version uint64 `json:"version"`
	// Load is the load that the instance last reported.
	Load Load `json:"load"`
}

// AcceptsNewCallers reports whether new callers may be sent to the member.
func (m Member) AcceptsNewCallers() bool {
	return m.Health == Alive && m.State == Serving && !m.Leaving
}
