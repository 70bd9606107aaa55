// Package contract defines what daisylb has promised to whom: the versioned
// configuration document with its services, presets, accounts and upstreams,
// and the calls that travel between the parts. It holds data and small pure
// functions only; it does no I/O.
package contract

import "time"

// Document is the configuration of the whole system. One version of it is in
// force at a time, and with it exactly one preset. A published Document is
// immutable.
type Document struct {
	// Version grows by one with every accepted change; 0 means no configuration.
	Version uint64 `json:"version,omitempty"`
	// Preset names the entry of Presets that is in force.
	Preset string `json:"preset"`
	// Presets by name.
	Presets map[string]Preset `json:"presets"`
	// DataCentres by name.
	DataCentres map[string]DataCentre `json:"data_centres"`
	// Services by the name that callers put into the model field.
	Services map[string]Service `json:"services"`
	// Upstreams by id.
	Upstreams map[string]Upstream `json:"upstreams"`
	// Accounts by id.
	Accounts map[string]Account `json:"accounts"`
	// Limits that hold for every service.
	Limits Limits `json:"limits"`
}

// Active returns the preset in force.
func (d *Document) Active() Preset { return d.Presets[d.Preset] }

// Preset is a way of running the system.
type Preset struct {
	// Description is for operators.
	Description string `json:"description,omitempty"`
	// BatchShare is the share of idle capacity that batch may take, 0 to 1.
	BatchShare float64 `json:"batch_share"`
	// HeadroomSlots is the number of slots per upstream that batch leaves free
	// for online bursts.
	HeadroomSlots int `json:"headroom_slots"`
	// AdmitOnline is false when only batch and operators are served.
	AdmitOnline bool `json:"admit_online"`
	// HedgeShare is the share of online requests that may be hedged, 0 to 0.2.
	HedgeShare float64 `json:"hedge_share"`
}

// DataCentre is a place with instances and upstreams.
type DataCentre struct {
	// Region groups data centres.
	Region string `json:"region"`
	// DistanceMicroseconds is the one-way latency to other data centres by name.
	// A missing entry counts as DefaultDistance.
	DistanceMicroseconds map[string]int `json:"distance_us,omitempty"`
	// CallerPrefixes are the address ranges, in CIDR form, of callers that are
	// near this data centre.
	CallerPrefixes []string `json:"caller_prefixes,omitempty"`
}

// DefaultDistance is the one-way latency between data centres that have no
// entry for each other.
const DefaultDistance = 1500 * time.Microsecond

// ServiceKind tells model services from plain ones.
type ServiceKind string

const (
	// KindModel is served by engines under /v1/chat/completions.
	KindModel ServiceKind = "model"
	// KindPlain is served by plain HTTP upstreams under /s/{service}/.
	KindPlain ServiceKind = "plain"
	// KindRouted is served by upstreams that register themselves; its requests
	// are opaque and come by host and path.
	KindRouted ServiceKind = "routed"
)

// Service is what callers ask for by name.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Model is the name that the engines expect; required for KindModel.
	Model string `json:"model,omitempty"`
	// Idempotent is false when a call may run at most once.
	Idempotent bool `json:"idempotent"`
	// MaxBodyBytes bounds a request's body; 0 means Limits.MaxBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// DeadlineMillis is used when a caller names no deadline; 0 means
	// Limits.DefaultDeadlineMillis.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// Accounts that may use the service; empty means all.
	Accounts []string `json:"accounts,omitempty"`
}

// Upstream is one back end: a model engine or a plain service.
type Upstream struct {
	// Address is IP:port.
	Address string `json:"address"`
	// DataCentre is a name of Document.DataCentres.
	DataCentre string `json:"data_centre"`
	// Services that the upstream serves.
	Services []string `json:"services"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// ChecksFencing says whether the upstream refuses orders with an old token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Started tells incarnations of an id apart, in Unix milliseconds; 0 when the
	// id is not used again.
	Started int64 `json:"started_ms,omitempty"`
	// Leaving is set when the upstream must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Account is a caller's contract.
type Account struct {
	// KeyHashes are lower-case hexadecimal SHA-256 sums of the account's keys.
	KeyHashes []string `json:"key_sha256"`
	// Weight is the account's share under overload, at least 1.
	Weight int `json:"weight"`
	// MaxInFlight bounds online requests per instance; 0 means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxJobItems bounds the items of one batch job; 0 means Limits.MaxJobItems.
	MaxJobItems int `json:"max_job_items,omitempty"`
}

// Limits hold for every service unless the service narrows them.
type Limits struct {
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// DefaultDeadlineMillis is used when neither caller nor service names one.
	DefaultDeadlineMillis int64 `json:"default_deadline_ms"`
	// MaxDeadlineMillis is the longest deadline that a caller may ask for.
	MaxDeadlineMillis int64 `json:"max_deadline_ms"`
	// EndpointTTLSeconds is how long a caller may keep an endpoint answer.
	EndpointTTLSeconds int `json:"endpoint_ttl_s"`
	// MaxJobItems bounds the items of one batch job.
	MaxJobItems int `json:"max_job_items"`
	// ItemAttempts is how often a batch item is tried.
	ItemAttempts int `json:"item_attempts"`
	// MaxAnswerBytes bounds an upstream's answer.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// RetryShare is the share of requests that may be retries, 0 to 1.
	RetryShare float64 `json:"retry_share"`
}
