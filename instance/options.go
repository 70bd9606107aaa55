package instance

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Defaults of Options.
const (
	DefaultPeriod         = time.Second
	DefaultProbeTimeout   = 500 * time.Millisecond
	DefaultNeighbours     = 6
	DefaultRelays         = 3
	DefaultMaxGossipBytes = 300
	DefaultListInterval   = 10 * time.Second
	DefaultSyncInterval   = time.Minute
)

// Intervals that grow with the number of members, so that the work of one
// member stays bounded.
const (
	// listIntervalPerMember and maxListInterval stretch the polling of the list.
	listIntervalPerMember = 500 * time.Millisecond
	maxListInterval       = 5 * time.Minute
	// loadIntervalPerMember and minLoadInterval space the spread of the load
	// summary of one member.
	loadIntervalPerMember = 300 * time.Millisecond
	minLoadInterval       = 5 * time.Second
)

// Suspicion lasts suspicionFactor times the decimal logarithm of the number of
// members, in periods, since that is how gossip spreads.
const (
	minSuspicionPeriods = 6
	suspicionFactor     = 4
)

const (
	// forgetAfter is how long a dead member that the list no longer names is
	// remembered, so that late gossip does not revive it.
	forgetAfter = 5 * time.Minute
	// minGossipBytes has room for the sender and one introduction.
	minGossipBytes = 160
)

// Options of a Membership.
type Options struct {
	// Self is the own identity, from the settings; every field is required.
	Self Identity
	// Lifecycle is the own state; required.
	Lifecycle *Lifecycle
	// List gives candidates; required.
	List storage.InstanceList
	// Prober carries the messages; required.
	Prober Prober
	// Version returns the configuration version in force here. Nil means 0.
	Version func() uint64
	// Load returns the own load. Nil means none.
	Load func() Load
	// OnVersion is told that the peer at the address has a higher configuration
	// version than the own: once when that is learnt, and every period for as
	// long as it holds. It must not block. Nil means none.
	OnVersion func(version uint64, address string)

	// Period is the time between probes.
	Period time.Duration
	// ProbeTimeout is how long a direct probe may take before relays are asked,
	// which get twice as long.
	ProbeTimeout time.Duration
	// Neighbours is the number of members that this one probes in turn.
	Neighbours int
	// Relays is the number of members asked for an indirect probe; negative
	// means none.
	Relays int
	// MaxGossipBytes bounds the gossip of one message.
	MaxGossipBytes int
	// ListInterval is the shortest time between polls of the list.
	ListInterval time.Duration
	// SyncInterval is the time between comparisons of whole memberships.
	SyncInterval time.Duration
	// Seed of the random draws; it differs between instances.
	Seed uint64

	// Logger and Registerer may be nil.
	Logger     *zap.Logger
	Registerer prometheus.Registerer

	// gate is called wherever the process could be found frozen; tests block it.
	gate func()
	// ignorePauses leaves out the check for own pauses, for comparison in tests.
	ignorePauses bool
}

func (o *Options) setDefaults() error {
	switch {
	case o.Self.ID == "" || o.Self.DataCentre == "" || o.Self.CallerAddress == "" || o.Self.PeerAddress == "":
		return code.New(code.InvalidSettings, "the own identity is not complete")
	case o.Lifecycle == nil || o.List == nil || o.Prober == nil:
		return code.New(code.InvalidSettings, "membership needs a lifecycle, an instance list and a prober")
	case o.Period < 0 || o.ProbeTimeout < 0 || o.Neighbours < 0 || o.ListInterval < 0 || o.SyncInterval < 0:
		return code.New(code.InvalidSettings, "a time or bound of the membership is negative")
	case o.MaxGossipBytes != 0 && o.MaxGossipBytes < minGossipBytes:
		return code.New(code.InvalidSettings, "gossip of %d bytes is too small, at least %d are needed", o.MaxGossipBytes, minGossipBytes)
	}
	setDefault(&o.Period, DefaultPeriod)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.Neighbours, DefaultNeighbours)
	setDefault(&o.Relays, DefaultRelays)
	setDefault(&o.MaxGossipBytes, DefaultMaxGossipBytes)
	setDefault(&o.ListInterval, DefaultListInterval)
	setDefault(&o.SyncInterval, DefaultSyncInterval)
	o.setHooks()
	return nil
}

func (o *Options) setHooks() {
	if o.Version == nil {
		o.Version = func() uint64 { return 0 }
	}
	if o.Load == nil {
		o.Load = func() Load { return Load{} }
	}
	if o.OnVersion == nil {
		o.OnVersion = func(uint64, string) {}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.gate == nil {
		o.gate = func() {}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// suspicionTime is how long a suspect among n members may refute.
func (o *Options) suspicionTime(n int) time.Duration {
	periods := max(minSuspicionPeriods, suspicionFactor*math.Log10(float64(n+1)))
	return time.Duration(periods * float64(o.Period))
}

// listInterval is the time between polls of the list among n members.
func (o *Options) listInterval(n int) time.Duration {
	return max(o.ListInterval, min(time.Duration(n)*listIntervalPerMember, maxListInterval))
}

// loadInterval is the time between announcements of the own load among n
// members.
func loadInterval(n int) time.Duration {
	return max(minLoadInterval, time.Duration(n)*loadIntervalPerMember)
}
