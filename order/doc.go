// Package order sends orders to upstreams, such as to load a model or to change
// role, under one lease per group of upstreams.
//
// The lease's token is the fencing token of the orders. Upstreams that check it
// reject the orders of an earlier holder. For upstreams that do not check it, two
// rules apply. An order is sent only if it must end before the lease does. A
// holder that took the lease over from one that had not released it first waits
// until the longest order of that holder must have ended. Before every order, the
// holder reads the upstream's state.
//
// Leases need no synchronized clocks: a holder measures the duration from before
// it sent its last renewal, and others take the lease over when they have
// observed the same version of its row for the whole duration and a margin.
package order

import (
	"context"
	"slices"
)

// Kind is the kind of an order.
type Kind string

const (
	// LoadModel loads a model, adapter or version.
	LoadModel Kind = "load_model"
	// UnloadModel unloads a model, adapter or version.
	UnloadModel Kind = "unload_model"
	// SetRole changes the role of the upstream.
	SetRole Kind = "set_role"
)

// Order is an order to an upstream. It describes the wanted state, so repeating
// an order is harmless as long as no other holder has sent a different one.
type Order struct {
	Kind Kind `json:"kind"`
	// Subject is the name of the model, adapter or version, or the role.
	Subject string `json:"subject"`
}

// EngineState is the state of an upstream: its role and the models, adapters and
// versions that it has loaded.
type EngineState struct {
	Role   string   `json:"role"`
	Models []string `json:"models"`
}

// isSatisfiedBy reports whether the state is the one that the order describes.
func (o Order) isSatisfiedBy(s EngineState) bool {
	switch o.Kind {
	case LoadModel:
		return slices.Contains(s.Models, o.Subject)
	case UnloadModel:
		return !slices.Contains(s.Models, o.Subject)
	}
	return s.Role == o.Subject
}

// Engine is an upstream that accepts orders.
type Engine interface {
	// ID returns the id of the upstream.
	ID() string
	// ChecksFencing reports whether the upstream rejects orders with an old token.
	ChecksFencing() bool
	// EngineState reads the present state of the upstream.
	EngineState(ctx context.Context) (EngineState, error)
	// Order sends an order. It fails with code.OrderFenced if the upstream rejects
	// the token, and with the outcome code.NotRun if the upstream certainly did not
	// accept the order; after any other error the outcome is unknown. It must not
	// send anything after ctx has ended.
	Order(ctx context.Context, o Order, token uint64) error
}
