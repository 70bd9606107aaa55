package config

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config/configpb"
	"github.com/daisylb/daisylb/config/configpb/configpbconnect"
	"github.com/daisylb/daisylb/link"
)

const (
	// maxRelays bounds the addresses to which one push is relayed.
	maxRelays = 1000
	// minCompressBytes is the size from which responses are compressed. For a
	// smaller response, a compressor takes more memory than it saves.
	minCompressBytes = 16 << 10
)

// peerService serves the calls of peers.
type peerService struct{ store *Store }

var _ configpbconnect.PeerHandler = peerService{}

// PeerHandler returns the path and the handler of the peer service, to be
// served by the listener for peers.
func (s *Store) PeerHandler() (string, http.Handler) {
	return configpbconnect.NewPeerHandler(peerService{s}, connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithCompressMinBytes(minCompressBytes))
}

// Push puts the change in force on this instance and relays it.
func (p peerService) Push(ctx context.Context, r *connect.Request[configpb.PushRequest]) (*connect.Response[configpb.PushResponse], error) {
	s := p.store
	c, err := decodeChange(r.Msg.GetChange())
	if err != nil {
		return nil, link.Encode(err)
	}
	if n := len(r.Msg.RelayTo); n > maxRelays {
		return nil, link.Encode(code.New(code.InvalidField, "%d relays, at most %d are allowed", n, maxRelays))
	}
	s.confirm()
	relayed := make(chan []string, 1)
	go func() { relayed <- s.distribute(ctx, c, r.Msg.Origin, r.Msg.RelayTo) }()
	if err := s.applyChange(ctx, c, r.Msg.Origin); err != nil {
		s.logger.Warn("applying the pushed change failed", zap.Uint64("version", c.Version), zap.Error(err))
	}
	return connect.NewResponse(&configpb.PushResponse{Missing: <-relayed, Version: s.inForce()}), nil
}

// Pull returns the changes after the sender's version, or the whole document if
// not all of them are in memory.
func (p peerService) Pull(_ context.Context, r *connect.Request[configpb.PullRequest]) (*connect.Response[configpb.PullResponse], error) {
	v := p.store.version.Load()
	if v == nil {
		return nil, link.Encode(code.New(code.NoConfiguration, "the instance has no configuration yet"))
	}
	p.store.confirm()
	response := &configpb.PullResponse{Version: v.document.Version}
	changes, ok := v.changesAfter(r.Msg.Version)
	if !ok {
		snapshot, err := json.Marshal(v.document)
		if err != nil {
			return nil, link.Encode(err)
		}
		response.Snapshot = snapshot
		return connect.NewResponse(response), nil
	}
	for _, c := range changes {
		m, err := encodeChange(c)
		if err != nil {
			return nil, link.Encode(err)
		}
		response.Changes = append(response.Changes, m)
	}
	return connect.NewResponse(response), nil
}

// Head returns the version in force and the number of live instances known
// here.
func (p peerService) Head(context.Context, *connect.Request[configpb.HeadRequest]) (*connect.Response[configpb.HeadResponse], error) {
	s := p.store
	instances := len(s.options.Peers.Addresses()) + 1
	return connect.NewResponse(&configpb.HeadResponse{Version: s.inForce(), Started: s.started(), Instances: uint32(instances)}), nil
}
