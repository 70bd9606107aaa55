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

// PeerGroup is a number of peers that share the same upstreams with this instance.
type PeerGroup struct {
	Addresses []netip.AddrPort
	// Uses reports whether these peers use an upstream; nil means that they use all.
	Uses func(upstream string) bool
}

// BroadcastOptions configure a Broadcast.
type BroadcastOptions struct {
	// Dispatcher whose load is told. Required.
	Dispatcher *Dispatcher
	// InstanceID names this instance to its peers. Required.
	InstanceID string
	// Peers returns the live peers in their groups, in the same order each time.
	// Required.
	Peers func() []PeerGroup
	// Conn receives and sends the datagrams. Run closes it. Required.
	Conn *net.UDPConn
	Log  *zap.Logger
}

// Broadcast tells peers of this instance's load on the upstreams that they use with
// each change of it, in one datagram a peer. A lost datagram is made good by the next
// one, which comes within broadcastRefresh. It serves fleets in which an instance
// shares upstreams with a few dozen others; Exchange bounds its bytes.
type Broadcast struct {
	options BroadcastOptions
	wake    chan struct{}
	// told has what each group was told last.
	told []told
}

// told is what a group of peers was told.
type told struct {
	at        time.Time
	digest    Digest
	addresses []netip.AddrPort
}

const (
	// broadcastPause is the least time between two broadcasts. It is about the
	// distance between two data centres, within which a newer digest would not
	// be known there anyway.
	broadcastPause = 3 * time.Millisecond
	// broadcastRefresh repeats an unchanged digest within onlineLifetime.
	broadcastRefresh = 700 * time.Millisecond
	maxDatagramBytes = 8 << 10
)

// NewBroadcast returns a Broadcast.
func NewBroadcast(o BroadcastOptions) (*Broadcast, error) {
	if o.Dispatcher == nil || o.InstanceID == "" || o.Peers == nil || o.Conn == nil {
		return nil, errors.New("upstream: BroadcastOptions lacks a required field")
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	b := &Broadcast{options: o, wake: make(chan struct{}, 1)}
	o.Dispatcher.sched.share(o.InstanceID)
	o.Dispatcher.sched.setChanged(func() {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	})
	return b, nil
}

// Run sends and receives until ctx ends.
func (b *Broadcast) Run(ctx context.Context) error {
	received := make(chan struct{})
	go func() {
		defer close(received)
		b.receive()
	}()
	b.send(ctx)
	_ = b.options.Conn.Close()
	<-received
	return nil
}

func (b *Broadcast) send(ctx context.Context) {
	refresh := time.NewTimer(broadcastRefresh)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-refresh.C:
		}
		refresh.Reset(b.tell(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(broadcastPause):
		}
	}
}

// tell sends the digest to the groups that it is new to, or that were told nothing
// for a while. It returns the time until the next group has to be told.
func (b *Broadcast) tell(now time.Time) time.Duration {
	groups := b.options.Peers()
	if len(groups) != len(b.told) {
		b.told = make([]told, len(groups))
	}
	whole, next := b.options.Dispatcher.Digest(), broadcastRefresh
	for i, group := range groups {
		last := &b.told[i]
		digest := whole.of(group.Uses)
		if !slices.Equal(group.Addresses, last.addresses) || !digest.same(last.digest) || now.Sub(last.at) >= broadcastRefresh {
			b.sendTo(group.Addresses, digest)
			*last = told{now, digest, group.Addresses}
		}
		next = min(next, broadcastRefresh-now.Sub(last.at))
	}
	return next
}

func (b *Broadcast) sendTo(peers []netip.AddrPort, digest Digest) {
	if len(peers) == 0 {
		return
	}
	message := &upstreampb.PushRequest{Instance: b.options.InstanceID, Digest: digest.wire()}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagramBytes {
		b.options.Log.Warn("load digest not sent", zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	for _, p := range peers {
		// A datagram that can't be sent is as good as a lost one.
		_, _ = b.options.Conn.WriteToUDPAddrPort(data, p)
	}
}

func (b *Broadcast) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := b.options.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.options.Log.Warn("load digest not received", zap.Error(err))
			time.Sleep(broadcastRefresh)
			continue
		}
		var message upstreampb.PushRequest
		if err := proto.Unmarshal(buffer[:n], &message); err != nil || message.GetInstance() == "" || message.GetInstance() == b.options.InstanceID {
			continue
		}
		b.options.Dispatcher.observeWire(message.GetInstance(), message.GetDigest())
	}
}

// setChanged sets what is called when this instance's load has changed.
func (s *scheduler) setChanged(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = f
}
