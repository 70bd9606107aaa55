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
	// listIntervalPerMember stretches the polling interval of the list, up to
	// maxListInterval.
	listIntervalPerMember = 500 * time.Millisecond
	maxListInterval       = 5 * time.Minute
	// loadIntervalPerMember spaces the updates of one member's load that are
	// sent on, which are at least minLoadInterval apart.
	loadIntervalPerMember = 300 * time.Millisecond
	minLoadInterval       = 5 * time.Second
)

// A suspicion lasts suspicionFactor times the decimal logarithm of the number of
// members, in periods, and at least minSuspicionPeriods: the time that gossip
// takes to spread grows with that logarithm.
const (
	minSuspicionPeriods = 6
	suspicionFactor     = 4
)

const (
	// deadRetention is how long a dead member that is no longer listed is kept,
	// so that late gossip does not add it again.
	deadRetention = 5 * time.Minute
	// minGossipBytes has space for the sender and one introduction.
	minGossipBytes = 160
)

// Options configures a Membership.
type Options struct {
	// Self is the identity of this instance, from the settings; every field is
	// required.
	Self Identity
	// Lifecycle is the lifecycle of this instance; required.
	Lifecycle *Lifecycle
	// List is the platform's instance list, which names the instances to join;
	// required.
	List storage.InstanceList
	// Prober sends the messages; required.
	Prober Prober
	// Version returns the configuration version in force on this instance. Nil
	// means 0.
	Version func() uint64
	// Load returns the load of this instance. Nil means none.
	Load func() Load
	// OnVersion is called when the peer at the address has a configuration
	// version above this instance's: once when gossip first names the version,
	// and every period for as long as a member has a higher one. It must not
	// block. Nil means none.
	OnVersion func(version uint64, address string)

	// Period is the time between probes.
	Period time.Duration
	// ProbeTimeout is how long a direct probe may take before relayed probes
	// start, which get twice as long.
	ProbeTimeout time.Duration
	// Neighbours is the number of members that this instance probes in turn.
	Neighbours int
	// Relays is the number of members that are asked to relay a probe; negative
	// means none.
	Relays int
	// MaxGossipBytes bounds the gossip of one message.
	MaxGossipBytes int
	// ListInterval is the shortest mean interval between reads of the list.
	ListInterval time.Duration
	// SyncInterval is the mean interval between synchronisations of whole
	// memberships.
	SyncInterval time.Duration
	// Seed seeds the random choices; it should differ between instances.
	Seed uint64

	// Logger and Registerer may be nil.
	Logger     *zap.Logger
	Registerer prometheus.Registerer

	// pausePoint is called wherever a pause of the process could become
	// visible; tests block in it to simulate one.
	pausePoint func()
	// ignorePauses disables the detection of pauses of this process, for
	// comparison in tests.
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
	o.setDefaultFuncs()
	return nil
}

func (o *Options) setDefaultFuncs() {
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
	if o.pausePoint == nil {
		o.pausePoint = func() {}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// suspicionTime returns how long a suspect among n members may refute.
func (o *Options) suspicionTime(n int) time.Duration {
	periods := max(minSuspicionPeriods, suspicionFactor*math.Log10(float64(n+1)))
	return time.Duration(periods * float64(o.Period))
}

// listInterval returns the mean interval between reads of the list among n
// members.
func (o *Options) listInterval(n int) time.Duration {
	return max(o.ListInterval, min(time.Duration(n)*listIntervalPerMember, maxListInterval))
}

// loadInterval returns the shortest interval between advertised changes of this
// instance's load among n members.
func loadInterval(n int) time.Duration {
	return max(minLoadInterval, time.Duration(n)*loadIntervalPerMember)
}
