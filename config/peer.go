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
	// maxRelays bounds the addresses of one push.
	maxRelays = 1000
	// minCompressBytes is the size from which answers are compressed; a
	// compressor takes more memory than a small answer saves.
	minCompressBytes = 16 << 10
)

// peerService answers the calls of other instances.
type peerService struct{ store *Store }

var _ configpbconnect.PeerHandler = peerService{}

// PeerHandler returns the path and the handler of the peer service, for the
// listener of the peers.
func (s *Store) PeerHandler() (string, http.Handler) {
	return configpbconnect.NewPeerHandler(peerService{s}, connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithCompressMinBytes(minCompressBytes))
}

// Push puts the change in force here and relays it.
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
	if err := s.advance(ctx, c, r.Msg.Origin); err != nil {
		s.logger.Warn("pushed change not in force", zap.Uint64("version", c.Version), zap.Error(err))
	}
	return connect.NewResponse(&configpb.PushResponse{Missing: <-relayed, Version: s.inForce()}), nil
}

// Pull returns the changes after the sender's version, or the whole document
// when they are not in memory.
func (p peerService) Pull(_ context.Context, r *connect.Request[configpb.PullRequest]) (*connect.Response[configpb.PullResponse], error) {
	v := p.store.version.Load()
	if v == nil {
		return nil, link.Encode(code.New(code.NoConfiguration, "the instance has no configuration yet"))
	}
	p.store.confirm()
	answer := &configpb.PullResponse{Version: v.document.Version}
	changes, ok := v.since(r.Msg.Version)
	if !ok {
		snapshot, err := json.Marshal(v.document)
		if err != nil {
			return nil, link.Encode(err)
		}
		answer.Snapshot = snapshot
		return connect.NewResponse(answer), nil
	}
	for _, c := range changes {
		m, err := encodeChange(c)
		if err != nil {
			return nil, link.Encode(err)
		}
		answer.Changes = append(answer.Changes, m)
	}
	return connect.NewResponse(answer), nil
}

// Head returns the version in force.
func (p peerService) Head(context.Context, *connect.Request[configpb.HeadRequest]) (*connect.Response[configpb.HeadResponse], error) {
	s := p.store
	instances := len(s.options.Peers.Addresses()) + 1
	return connect.NewResponse(&configpb.HeadResponse{Version: s.inForce(), Started: s.started(), Instances: uint32(instances)}), nil
}
