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

// Options configure a Lease. Zero values select the defaults named.
type Options struct {
	// InstanceID names this process; required and unique to it.
	InstanceID string
	// Group names the upstreams under the lease; required.
	Group string
	// Table keeps the lease; required.
	Table storage.Table
	// Eligible reports whether this instance should hold the lease, such as by
	// rendezvous hashing over the live view; nil means always. Two eligible
	// instances take turns only when one releases or fails.
	Eligible func() bool
	// Duration is how long the lease lasts after a renewal; 30 s. All instances
	// must have the same.
	Duration time.Duration
	// LongestOrder bounds the time that an order may take; 5 s. All instances
	// must have the same.
	LongestOrder time.Duration
	// Margin is kept at the end of the lease for the drift of clocks and the
	// delays of the process; 1 s.
	Margin time.Duration
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
	// Logger receives events; nil means none.
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
