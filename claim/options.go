package claim

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/claim/claimpb/claimpbconnect"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Defaults of Options.
const (
	defaultGroups         = 4
	defaultCommitInterval = 50 * time.Millisecond
	defaultInlineBytes    = 4 << 10
	defaultPackBytes      = 1 << 20
	defaultPackInterval   = 100 * time.Millisecond
	defaultClaimTimeout   = 3 * time.Second
	defaultOwnerTimeout   = time.Second
	defaultMaxRun         = 10 * time.Minute
	defaultMargin         = 15 * time.Second
	defaultMaxHeldBytes   = 32 << 20
	defaultRetention      = 24 * time.Hour
	defaultSweepInterval  = time.Second
	maxGroups             = 256
)

// Peer is a live instance.
type Peer struct {
	ID string
	// Address is IP:port of the peers' listener.
	Address string
}

// View returns the live instances. The views of two instances may differ; that costs
// additional writes but not correctness.
type View interface {
	// Live returns the live instances. The result must not be changed by either
	// side.
	Live() []Peer
}

// Options configure a Service. A zero value selects the default, which stands after
// the semicolon in the comment of the field.
type Options struct {
	// InstanceID identifies this process in its claims. It is required and must be
	// unique to the process.
	InstanceID string
	// PeerID is the ID of this instance in the view. It defaults to InstanceID. An
	// instance that is not in its own view owns no group and removes no old claims.
	PeerID string
	// Table and Objects are the store; required. Table is used for commits that this
	// instance makes in place of an owner.
	Table   storage.Table
	Objects storage.Objects
	// OwnerTable and OwnerObjects are used for the commits of groups that this
	// instance owns, and for their objects of answers; Table and Objects when nil.
	// They need a share of the store's rate of their own, since an owner writes for
	// the whole fleet.
	OwnerTable   storage.Table
	OwnerObjects storage.Objects
	// SweepTable and SweepObjects are used to remove old claims; Table and Objects
	// when nil.
	SweepTable   storage.Table
	SweepObjects storage.Objects
	// View is the live view; required.
	View View
	// Dial returns a client of the Claims service of a peer; plain HTTP when nil.
	Dial func(address string) claimpbconnect.ClaimsClient
	// Groups is the number of groups of keys, 1 to 256; 4. All instances should use
	// the same number.
	Groups int
	// CommitInterval is the shortest time between the starts of two commits of
	// a group; 50 ms.
	CommitInterval time.Duration
	// InlineBytes is the size of the largest answer that is stored in the row itself;
	// 4 KiB.
	InlineBytes int
	// PackBytes is the largest size of an object with several answers; 1 MiB. A larger
	// answer gets an object of its own.
	PackBytes int
	// PackInterval is the shortest time between the starts of two writes of objects
	// of a group; 100 ms.
	PackInterval time.Duration
	// ClaimTimeout bounds one Claim or Release; 3 s.
	ClaimTimeout time.Duration
	// OwnerTimeout bounds each wait for a reply of a peer; 1 s.
	OwnerTimeout time.Duration
	// MaxRun bounds the run of a call without an earlier deadline; 10 min.
	MaxRun time.Duration
	// Margin is how long after its deadline a call still counts as running; 15 s. It
	// covers the time to store the answer and the difference between the clocks of
	// instances.
	Margin time.Duration
	// MaxHeldBytes is the size of answers waiting for the store above which new
	// claims are rejected; 32 MiB.
	MaxHeldBytes int64
	// Retention is how long a claim is kept; 24 h.
	Retention time.Duration
	// SweepInterval is the time between two pages of the removal of old claims by an
	// owner; 1 s.
	SweepInterval time.Duration
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
	// Logger receives log events; nil means none.
	Logger *zap.Logger
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	setDefault(&o.PeerID, o.InstanceID)
	if o.OwnerTable == nil {
		o.OwnerTable = o.Table
	}
	if o.OwnerObjects == nil {
		o.OwnerObjects = o.Objects
	}
	if o.SweepTable == nil {
		o.SweepTable = o.Table
	}
	if o.SweepObjects == nil {
		o.SweepObjects = o.Objects
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Dial == nil {
		o.Dial = func(address string) claimpbconnect.ClaimsClient {
			return claimpbconnect.NewClaimsClient(http.DefaultClient, "http://"+address)
		}
	}
	setDefault(&o.Groups, defaultGroups)
	setDefault(&o.CommitInterval, defaultCommitInterval)
	setDefault(&o.InlineBytes, defaultInlineBytes)
	setDefault(&o.PackBytes, defaultPackBytes)
	setDefault(&o.PackInterval, defaultPackInterval)
	setDefault(&o.ClaimTimeout, defaultClaimTimeout)
	setDefault(&o.OwnerTimeout, defaultOwnerTimeout)
	setDefault(&o.MaxRun, defaultMaxRun)
	setDefault(&o.Margin, defaultMargin)
	setDefault(&o.MaxHeldBytes, defaultMaxHeldBytes)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.SweepInterval, defaultSweepInterval)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// check returns code.InvalidSettings for options that are missing or out of range.
func (o Options) check() error {
	switch {
	case o.InstanceID == "":
		return code.New(code.InvalidSettings, "claims need an instance id")
	case o.Table == nil || o.Objects == nil || o.View == nil:
		return code.New(code.InvalidSettings, "claims need a table, objects and a view")
	case o.Groups < 1 || o.Groups > maxGroups:
		return code.New(code.InvalidSettings, "%d claim groups, 1 to %d are allowed", o.Groups, maxGroups)
	case o.InlineBytes < 0 || o.InlineBytes > storage.MaxValueBytes/2:
		return code.New(code.InvalidSettings, "%d inline bytes, 0 to %d are allowed", o.InlineBytes, storage.MaxValueBytes/2)
	case o.PackBytes < 0 || o.MaxHeldBytes < 0:
		return code.New(code.InvalidSettings, "sizes of claims must not be negative")
	case min(o.CommitInterval, o.PackInterval, o.ClaimTimeout, o.OwnerTimeout, o.MaxRun, o.Margin, o.Retention, o.SweepInterval) < 0:
		return code.New(code.InvalidSettings, "times of claims must not be negative")
	case o.Retention < o.MaxRun+o.Margin:
		return code.New(code.InvalidSettings, "retention %s is shorter than the longest run and its margin", o.Retention)
	}
	return nil
}
