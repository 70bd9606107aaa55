package instance

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/instance/instancepb"
)

const (
	// maxRelayedProbes bounds the probes made for peers at the same time.
	maxRelayedProbes = 8
	// maxRelayTimeout bounds the duration of one such probe.
	maxRelayTimeout = 5 * time.Second
)

var _ Responder = (*Membership)(nil)

// Probe implements Responder.
func (m *Membership) Probe(_ context.Context, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error) {
	sender, introduce := m.receiveRequest(r.GetGossip())
	return &instancepb.ProbeResponse{Gossip: m.gossip(sender), Introduce: introduce}, nil
}

// Relay implements Responder. It returns code.Overloaded when maxRelayedProbes
// probes for peers are already running.
func (m *Membership) Relay(ctx context.Context, r *instancepb.RelayRequest) (*instancepb.RelayResponse, error) {
	select {
	case m.relaySlots <- struct{}{}:
		defer func() { <-m.relaySlots }()
	default:
		return nil, code.New(code.Overloaded, "%d probes for others are running", maxRelayedProbes)
	}
	sender, _ := m.receiveRequest(r.GetGossip())
	timeout := min(time.Duration(r.GetTimeoutMs())*time.Millisecond, maxRelayTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := &instancepb.RelayResponse{}
	response.Target, response.Answered = m.probeForPeer(ctx, target{handle: handle(r.GetTarget()), address: r.GetAddress()})
	response.Gossip = m.gossip(sender)
	return response, nil
}

// probeForPeer probes t and returns the entry that the process at its address
// reports of itself, and whether that process is t. The address recorded here
// takes precedence over the one in the request.
func (m *Membership) probeForPeer(ctx context.Context, t target) (*instancepb.Entry, bool) {
	m.mu.Lock()
	if known, ok := m.table.records[t.handle]; ok {
		t.address = known.member.PeerAddress
	}
	m.mu.Unlock()
	r, err := m.options.Prober.Probe(ctx, t.address, &instancepb.ProbeRequest{Gossip: m.gossip(t.handle), Target: uint64(t.handle)})
	m.options.pausePoint()
	if err != nil {
		return nil, false
	}
	m.receive(r.GetGossip())
	entry := r.GetGossip().GetSender()
	return entry, handle(entry.GetHandle()) == t.handle
}

// Sync implements Responder.
func (m *Membership) Sync(_ context.Context, r *instancepb.SyncRequest) (*instancepb.SyncResponse, error) {
	sender, _ := m.receiveRequest(r.GetGossip())
	m.receive(&instancepb.Gossip{Entries: r.GetEntries()})
	response := &instancepb.SyncResponse{Gossip: m.gossip(sender)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.fingerprint() != r.GetFingerprint() {
		response.Entries = m.table.liveEntries()
	}
	return response, nil
}

// receiveRequest merges the gossip of a request. It returns the sender and
// whether the sender is unknown here.
func (m *Membership) receiveRequest(g *instancepb.Gossip) (sender handle, unknown bool) {
	m.options.pausePoint()
	m.receive(g)
	sender = handle(g.GetSender().GetHandle())
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.table.records[sender]
	return sender, !known && sender != m.table.self.handle
}
