package instance

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/instance/instancepb"
)

const (
	// maxRelaying bounds the probes made for others at a time.
	maxRelaying = 8
	// maxRelayTimeout bounds one of them.
	maxRelayTimeout = 5 * time.Second
)

var _ Responder = (*Membership)(nil)

// Probe implements Responder.
func (m *Membership) Probe(_ context.Context, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error) {
	sender, introduce := m.answer(r.GetGossip())
	return &instancepb.ProbeResponse{Gossip: m.gossip(sender), Introduce: introduce}, nil
}

// Relay implements Responder. Errors: code.Overloaded.
func (m *Membership) Relay(ctx context.Context, r *instancepb.RelayRequest) (*instancepb.RelayResponse, error) {
	select {
	case m.relaying <- struct{}{}:
		defer func() { <-m.relaying }()
	default:
		return nil, code.New(code.Overloaded, "%d probes for others are running", maxRelaying)
	}
	sender, _ := m.answer(r.GetGossip())
	timeout := min(time.Duration(r.GetTimeoutMs())*time.Millisecond, maxRelayTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := &instancepb.RelayResponse{}
	answer.Target, answer.Answered = m.relay(ctx, target{handle: handle(r.GetTarget()), address: r.GetAddress()})
	answer.Gossip = m.gossip(sender)
	return answer, nil
}

// relay probes for another instance and returns what the target says of itself.
// The address that is known here goes before the one in the request.
func (m *Membership) relay(ctx context.Context, t target) (*instancepb.Entry, bool) {
	m.mu.Lock()
	if known, ok := m.table.records[t.handle]; ok {
		t.address = known.member.PeerAddress
	}
	m.mu.Unlock()
	r, err := m.options.Prober.Probe(ctx, t.address, &instancepb.ProbeRequest{Gossip: m.gossip(t.handle), Target: uint64(t.handle)})
	m.options.gate()
	if err != nil {
		return nil, false
	}
	m.receive(r.GetGossip())
	entry := r.GetGossip().GetSender()
	return entry, handle(entry.GetHandle()) == t.handle
}

// Sync implements Responder.
func (m *Membership) Sync(_ context.Context, r *instancepb.SyncRequest) (*instancepb.SyncResponse, error) {
	sender, _ := m.answer(r.GetGossip())
	m.receive(&instancepb.Gossip{Entries: r.GetEntries()})
	answer := &instancepb.SyncResponse{Gossip: m.gossip(sender)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.fingerprint() != r.GetFingerprint() {
		answer.Entries = m.table.everything()
	}
	return answer, nil
}

// answer takes in a request's gossip and returns its sender, and whether the
// sender is not known here.
func (m *Membership) answer(g *instancepb.Gossip) (sender handle, unknown bool) {
	m.options.gate()
	m.receive(g)
	sender = handle(g.GetSender().GetHandle())
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.table.records[sender]
	return sender, !known && sender != m.table.self.handle
}
