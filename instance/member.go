package instance

import "fmt"

// State is a step of an instance's lifecycle.
type State string

// States in the order of a life.
const (
	// Starting takes no requests yet.
	Starting State = "starting"
	// Serving takes requests.
	Serving State = "serving"
	// Draining is left out of the endpoint answers and finishes its requests.
	Draining State = "draining"
	// Stopped has no open requests and is about to exit.
	Stopped State = "stopped"
)

// Health is what an instance believes of another one.
type Health int

// Health values in the order in which a later one replaces an earlier one of
// the same incarnation.
const (
	// Alive answered a probe of somebody, or says so itself.
	Alive Health = iota
	// Suspect left direct and indirect probes unanswered and may still refute.
	Suspect
	// Dead did not refute the suspicion in time, or said that it stopped.
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

// MarshalText writes the name into the state dump.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Load is a coarse summary of an instance's work. It spreads by gossip and may
// be minutes old in a large system.
type Load struct {
	// RunningRequests and QueuedRequests count callers' requests.
	RunningRequests uint32 `json:"running_requests"`
	QueuedRequests  uint32 `json:"queued_requests"`
	// TokensInFlight counts tokens that upstreams still owe.
	TokensInFlight uint32 `json:"tokens_in_flight"`
	// ProcessorPermille is the use of the processors, 0 to 1000.
	ProcessorPermille uint32 `json:"processor_permille"`
}

// Identity is what never changes in the life of one process.
type Identity struct {
	// ID names the process; a replacement has another.
	ID string `json:"id"`
	// DataCentre is a name of the configuration document.
	DataCentre string `json:"data_centre"`
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
}

// Member is one instance in a view.
type Member struct {
	Identity
	// Incarnation grows when the instance refutes a suspicion.
	Incarnation uint64 `json:"incarnation"`
	Health      Health `json:"health"`
	// State is what the instance last said of itself.
	State State `json:"state"`
	// Leaving is set when the platform's list says that it will be stopped.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the configuration version that the instance last reported.
	Version uint64 `json:"version"`
	// Load is what the instance last reported.
	Load Load `json:"load"`
}

// TakesCallers reports whether new callers may be sent to the member.
func (m Member) TakesCallers() bool {
	return m.Health == Alive && m.State == Serving && !m.Leaving
}
