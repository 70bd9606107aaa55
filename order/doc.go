// Package order gives orders to upstreams, such as to load a model or to change
// role, under a lease per group of upstreams. The lease's token is the fencing
// number of the orders. Upstreams that check it refuse an old holder; for those
// that do not, orders are sent only well inside the lease, and a holder that
// follows one that did not release waits out the longest order and reads the
// upstream's state before it acts.
//
// Leases need no agreement of clocks: a holder counts from the moment before it
// sent its last renewal, and others take a lease over when they have seen the
// same row for its whole duration.
package order

import (
	"context"
	"slices"
)

// Kind is what an order asks for.
type Kind string

const (
	// LoadModel asks for a model, adapter or version to be loaded.
	LoadModel Kind = "load_model"
	// UnloadModel asks for one to be removed.
	UnloadModel Kind = "unload_model"
	// SetRole asks for a change of role.
	SetRole Kind = "set_role"
)

// Order is one order to an upstream. Orders name the state that is wanted, so
// repeating one is harmless while no other holder has given another.
type Order struct {
	Kind Kind `json:"kind"`
	// Subject is the name of the model, adapter or version, or the role.
	Subject string `json:"subject"`
}

// EngineState is what an upstream runs.
type EngineState struct {
	Role   string   `json:"role"`
	Models []string `json:"models"`
}

// isDone reports whether the state is as the order wants it.
func (o Order) isDone(s EngineState) bool {
	switch o.Kind {
	case LoadModel:
		return slices.Contains(s.Models, o.Subject)
	case UnloadModel:
		return !slices.Contains(s.Models, o.Subject)
	}
	return s.Role == o.Subject
}

// Engine is an upstream that takes orders.
type Engine interface {
	// ID names the upstream.
	ID() string
	// ChecksFencing reports whether the upstream refuses old tokens.
	ChecksFencing() bool
	// EngineState reads what the upstream runs now.
	EngineState(ctx context.Context) (EngineState, error)
	// Order gives an order. It fails with code.OrderFenced when the upstream
	// refuses the token, with an outcome of code.NotRun when it certainly did
	// not take the order, and otherwise the outcome is unknown. It must not
	// send anything after ctx has ended.
	Order(ctx context.Context, o Order, token uint64) error
}
