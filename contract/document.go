// Package contract defines the types that the parts of daisylb share: the versioned
// configuration document with its services, presets, accounts and upstreams, the
// routing document of deployments with routed services, and the calls and answers
// that the parts pass to each other. It contains data types and small functions
// only and does no I/O.
package contract

import "time"

// Document is the configuration of the whole system. One version of it is in
// force at a time, and with it exactly one preset. A published Document is
// immutable.
type Document struct {
	// Version increases by one with every accepted change; 0 means that there is no
	// configuration.
	Version uint64 `json:"version,omitempty"`
	// Preset is the name of the preset in force.
	Preset string `json:"preset"`
	// Presets has the presets by name.
	Presets map[string]Preset `json:"presets"`
	// DataCentres has the data centres by name.
	DataCentres map[string]DataCentre `json:"data_centres"`
	// Services has the services by name. Callers of model services send the name in
	// the model field.
	Services map[string]Service `json:"services"`
	// Upstreams has the upstreams by id.
	Upstreams map[string]Upstream `json:"upstreams"`
	// Accounts has the accounts by id.
	Accounts map[string]Account `json:"accounts"`
	// Limits apply to every service.
	Limits Limits `json:"limits"`
}

// ActivePreset returns the preset in force.
func (d *Document) ActivePreset() Preset { return d.Presets[d.Preset] }

// Preset is a set of operating parameters: how capacity is divided between online
// and batch work.
type Preset struct {
	// Description is a text for operators.
	Description string `json:"description,omitempty"`
	// BatchShare is the share of idle capacity that batch work may use, 0 to 1.
	BatchShare float64 `json:"batch_share"`
	// HeadroomSlots is the number of slots per upstream that batch work leaves
	// free for online bursts.
	HeadroomSlots int `json:"headroom_slots"`
	// AdmitOnline is false if online requests are rejected and only batch work and
	// operators are served.
	AdmitOnline bool `json:"admit_online"`
	// HedgeShare is the share of online requests that may be hedged, 0 to 0.2.
	HedgeShare float64 `json:"hedge_share"`
}

// DataCentre is a data centre with instances and upstreams.
type DataCentre struct {
	// Region is the region of the data centre. Several data centres may have the
	// same.
	Region string `json:"region"`
	// DistanceMicroseconds is the one-way network latency to other data centres, by
	// name. A missing entry means DefaultDistance.
	DistanceMicroseconds map[string]int `json:"distance_us,omitempty"`
	// CallerPrefixes are the address ranges, in CIDR notation, of callers that are
	// near this data centre.
	CallerPrefixes []string `json:"caller_prefixes,omitempty"`
}

// DefaultDistance is the one-way network latency that is assumed between data
// centres without an entry for each other.
const DefaultDistance = 1500 * time.Microsecond

// ServiceKind is the kind of a service.
type ServiceKind string

const (
	// KindModel is the kind of services that engines serve under
	// /v1/chat/completions.
	KindModel ServiceKind = "model"
	// KindPlain is the kind of services that plain HTTP upstreams serve under
	// /s/{service}/.
	KindPlain ServiceKind = "plain"
	// KindRouted is the kind of services whose upstreams register themselves.
	// Requests are routed by host and path and forwarded unchanged.
	KindRouted ServiceKind = "routed"
)

// Service is a service that callers request by name.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Model is the model name sent to the engines; required for KindModel.
	Model string `json:"model,omitempty"`
	// Idempotent is false if a call may run at most once.
	Idempotent bool `json:"idempotent"`
	// MaxBodyBytes is the maximum size of a request body; 0 means
	// Limits.MaxBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// DeadlineMillis is the time from a request to its deadline if the caller sends
	// none; 0 means Limits.DefaultDeadlineMillis.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// Accounts are the accounts that may use the service; empty means all.
	Accounts []string `json:"accounts,omitempty"`
}

// Upstream is a model engine or a server of a plain service.
type Upstream struct {
	// Address is IP:port.
	Address string `json:"address"`
	// DataCentre is a key of Document.DataCentres.
	DataCentre string `json:"data_centre"`
	// Services are the services that the upstream serves.
	Services []string `json:"services"`
	// Slots is the maximum number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// ChecksFencing is true if the upstream rejects orders with an old fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// StartedMillis is the start time in Unix milliseconds. It distinguishes
	// upstreams that use the same id one after another; 0 if the id is not reused.
	StartedMillis int64 `json:"started_ms,omitempty"`
	// Draining is set if the upstream must not get new work.
	Draining bool `json:"leaving,omitempty"`
}

// Account is the configuration of a caller.
type Account struct {
	// KeyHashes are the SHA-256 sums of the account's API keys in lower-case
	// hexadecimal.
	KeyHashes []string `json:"key_sha256"`
	// Weight is the weight of the account's share of the capacity under overload, at
	// least 1.
	Weight int `json:"weight"`
	// MaxInFlight is the maximum number of online requests in flight per instance;
	// 0 means no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxJobItems is the maximum number of items of a batch job; 0 means
	// Limits.MaxJobItems.
	MaxJobItems int `json:"max_job_items,omitempty"`
}

// Limits apply to every service, unless the service or the account has its own
// limit.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// DefaultDeadlineMillis is the time from a request to its deadline if neither the
	// caller nor the service specifies one.
	DefaultDeadlineMillis int64 `json:"default_deadline_ms"`
	// MaxDeadlineMillis is the maximum time from a request to its deadline that a
	// caller may specify.
	MaxDeadlineMillis int64 `json:"max_deadline_ms"`
	// EndpointTTLSeconds is how long a caller may cache a list of endpoints.
	EndpointTTLSeconds int `json:"endpoint_ttl_s"`
	// MaxJobItems is the maximum number of items of a batch job.
	MaxJobItems int `json:"max_job_items"`
	// ItemAttempts is the maximum number of attempts of a batch item.
	ItemAttempts int `json:"item_attempts"`
	// MaxAnswerBytes is the maximum size of an upstream's answer.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// RetryShare is the share of requests that may be retries, 0 to 1.
	RetryShare float64 `json:"retry_share"`
}
