package order

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Defaults of Options.
const (
	defaultDuration     = 30 * time.Second
	defaultLongestOrder = 5 * time.Second
	defaultMargin       = time.Second
)

// Options configure a Lease. Zero values mean the defaults.
type Options struct {
	// InstanceID is the id of this instance; required and unique to its process.
	InstanceID string
	// Group is the name of the group of upstreams under the lease; required.
	Group string
	// Table stores the row of the lease; required.
	Table storage.Table
	// Eligible reports whether this instance should hold the lease, for example by
	// rendezvous hashing over the live instances; nil means always. If several
	// instances are eligible, the lease passes on only when its holder releases it or
	// fails.
	Eligible func() bool
	// Duration is how long the lease lasts after a renewal; default 30 s. It must be
	// at least three times the sum of LongestOrder and Margin, and the same on all
	// instances.
	Duration time.Duration
	// LongestOrder is the maximum time that an order may take; default 5 s. It must
	// be the same on all instances.
	LongestOrder time.Duration
	// Margin is subtracted from the end of the lease to allow for clock drift and
	// delays of the process, and added to the time that others wait; default 1 s.
	Margin time.Duration
	// Registerer registers the metrics; nil means that they are not registered.
	Registerer prometheus.Registerer
	// Logger receives log messages; nil means none.
	Logger *zap.Logger
}

func (o Options) withDefaults() Options {
	if o.Eligible == nil {
		o.Eligible = func() bool { return true }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.LongestOrder == 0 {
		o.LongestOrder = defaultLongestOrder
	}
	if o.Margin == 0 {
		o.Margin = defaultMargin
	}
	return o
}

func (o Options) check() error {
	switch {
	case o.InstanceID == "" || o.Group == "" || o.Table == nil:
		return code.New(code.InvalidSettings, "a lease needs an instance id, a group and a table")
	case min(o.Duration, o.LongestOrder, o.Margin) < 0:
		return code.New(code.InvalidSettings, "times of a lease must not be negative")
	case o.Duration < 3*(o.LongestOrder+o.Margin):
		return code.New(code.InvalidSettings, "lease duration %s is shorter than three times the longest order %s with the margin %s", o.Duration, o.LongestOrder, o.Margin)
	}
	return nil
}
