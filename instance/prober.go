package instance

import (
	"context"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// Prober sends membership messages to the instance at an address, which is
// IP:port. NewProber returns one that uses connect-go. Implementations must be
// safe for concurrent use and return soon after the context ends.
type Prober interface {
	Probe(ctx context.Context, address string, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error)
	Relay(ctx context.Context, address string, r *instancepb.RelayRequest) (*instancepb.RelayResponse, error)
	Sync(ctx context.Context, address string, r *instancepb.SyncRequest) (*instancepb.SyncResponse, error)
}

// Responder answers the messages of a Prober; Membership implements it.
type Responder interface {
	Probe(ctx context.Context, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error)
	Relay(ctx context.Context, r *instancepb.RelayRequest) (*instancepb.RelayResponse, error)
	Sync(ctx context.Context, r *instancepb.SyncRequest) (*instancepb.SyncResponse, error)
}
