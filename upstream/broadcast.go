package upstream

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/upstream/upstreampb"
)

// PeerGroup is a set of peers that share the same upstreams with this instance.
type PeerGroup struct {
	Addresses []netip.AddrPort
	// Uses reports whether these peers use an upstream; nil means that they use all.
	Uses func(upstream string) bool
}

// BroadcastOptions configures a Broadcast.
type BroadcastOptions struct {
	// Dispatcher whose load is sent. Required.
	Dispatcher *Dispatcher
	// InstanceID identifies this instance to its peers. Required.
	InstanceID string
	// Peers returns the live peers in their groups, in the same order each time.
	// Required.
	Peers func() []PeerGroup
	// Conn sends and receives the datagrams. Run closes it. Required.
	Conn *net.UDPConn
	// Log may be nil.
	Log *zap.Logger
}

// Broadcast sends this instance's load to its peers, one datagram to each peer, on every
// change at an upstream that the peer uses. The datagram has the load on all upstreams,
// so that a peer which begins to use one knows its load. A lost datagram is replaced by
// the next one, which follows within broadcastRefreshInterval. Broadcast is meant
// for fleets in which an instance shares upstreams with a few dozen others; where there
// are more, Exchange limits the traffic.
type Broadcast struct {
	options BroadcastOptions
	wake    chan struct{}
	// send sends a digest to peers without blocking.
	send func(peers []netip.AddrPort, digest Digest)
	// sent has what was last sent to each group, by the group's index.
	sent []sentDigest
}

// sentDigest is what was last sent to a group of peers.
type sentDigest struct {
	sentAt time.Time
	// digest is the part for the upstreams that the peers use.
	digest    Digest
	addresses []netip.AddrPort
}

const (
	// minBroadcastInterval is the shortest time between two broadcasts. It is about the
	// latency between two data centres: a digest sent sooner would not reach a peer
	// there much earlier.
	minBroadcastInterval = 3 * time.Millisecond
	// broadcastRefreshInterval is the time after which an unchanged digest is sent
	// again. It is well below onlineDigestTTL, so that one lost datagram does not let
	// the digest expire.
	broadcastRefreshInterval = 700 * time.Millisecond
	maxDatagramBytes         = 8 << 10
)

// NewBroadcast returns a Broadcast. It returns an error if a required option is
// missing.
func NewBroadcast(o BroadcastOptions) (*Broadcast, error) {
	if o.Dispatcher == nil || o.InstanceID == "" || o.Peers == nil || o.Conn == nil {
		return nil, errors.New("upstream: BroadcastOptions lacks a required field")
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	b := newBroadcast(o)
	b.send = b.sendDatagrams
	return b, nil
}

// newBroadcast returns a Broadcast that lacks the function which sends digests.
func newBroadcast(o BroadcastOptions) *Broadcast {
	b := &Broadcast{options: o, wake: make(chan struct{}, 1)}
	o.Dispatcher.sched.enableTurns(o.InstanceID)
	o.Dispatcher.sched.setOnLoadChange(func() {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	})
	return b
}

// Run sends and receives digests until ctx ends. It always returns nil.
func (b *Broadcast) Run(ctx context.Context) error {
	received := make(chan struct{})
	go func() {
		defer close(received)
		b.receiveLoop()
	}()
	b.sendLoop(ctx)
	_ = b.options.Conn.Close()
	<-received
	return nil
}

func (b *Broadcast) sendLoop(ctx context.Context) {
	refresh := time.NewTimer(broadcastRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-refresh.C:
		}
		refresh.Reset(b.sendUpdates(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(minBroadcastInterval):
		}
	}
}

// sendUpdates sends the digest to every group for which it has changed or whose last
// one is older than broadcastRefreshInterval. It returns the time until the next group
// is due.
func (b *Broadcast) sendUpdates(now time.Time) time.Duration {
	groups := b.options.Peers()
	if len(groups) != len(b.sent) {
		b.sent = make([]sentDigest, len(groups))
	}
	full, next := b.options.Dispatcher.Digest(), broadcastRefreshInterval
	for i, group := range groups {
		last := &b.sent[i]
		digest := full.filter(group.Uses)
		if !slices.Equal(group.Addresses, last.addresses) || !digest.equal(last.digest) || now.Sub(last.sentAt) >= broadcastRefreshInterval {
			b.send(group.Addresses, full)
			*last = sentDigest{now, digest, group.Addresses}
		}
		next = min(next, broadcastRefreshInterval-now.Sub(last.sentAt))
	}
	return next
}

func (b *Broadcast) sendDatagrams(peers []netip.AddrPort, digest Digest) {
	if len(peers) == 0 {
		return
	}
	message := &upstreampb.PushRequest{Instance: b.options.InstanceID, Digest: digest.toProto()}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagramBytes {
		b.options.Log.Warn("load digest not sent", zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	for _, p := range peers {
		// A send error is handled like a lost datagram: the next one replaces it.
		_, _ = b.options.Conn.WriteToUDPAddrPort(data, p)
	}
}

func (b *Broadcast) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := b.options.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.options.Log.Warn("load digest not received", zap.Error(err))
			time.Sleep(broadcastRefreshInterval)
			continue
		}
		var message upstreampb.PushRequest
		if err := proto.Unmarshal(buffer[:n], &message); err != nil || message.GetInstance() == "" || message.GetInstance() == b.options.InstanceID {
			continue
		}
		b.options.Dispatcher.observeProto(message.GetInstance(), message.GetDigest())
	}
}

// setOnLoadChange sets the function that is called when this instance's load changes.
func (s *scheduler) setOnLoadChange(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onLoadChange = f
}
