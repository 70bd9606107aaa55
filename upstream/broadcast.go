package upstream

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/upstream/upstreampb"
)

// BroadcastOptions configure a Broadcast.
type BroadcastOptions struct {
	// Dispatcher whose load is told. Required.
	Dispatcher *Dispatcher
	// InstanceID names this instance to its peers. Required.
	InstanceID string
	// Peers returns the addresses of the live peers. Required.
	Peers func() []netip.AddrPort
	// Conn receives and sends the datagrams. Run closes it. Required.
	Conn *net.UDPConn
	Log  *zap.Logger
}

// Broadcast tells all peers of this instance's load on the upstreams with each
// change, in one datagram a peer. A lost datagram is made good by the next one.
// It serves fleets in which every instance sends to every upstream; Exchange
// bounds its bytes and serves larger ones.
type Broadcast struct {
	options BroadcastOptions
	wake    chan struct{}
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
		b.tell()
		refresh.Reset(broadcastRefresh)
		select {
		case <-ctx.Done():
			return
		case <-time.After(broadcastPause):
		}
	}
}

// tell sends the digest to all peers.
func (b *Broadcast) tell() {
	peers := b.options.Peers()
	if len(peers) == 0 {
		return
	}
	message := &upstreampb.PushRequest{Instance: b.options.InstanceID, Digest: b.options.Dispatcher.wireDigest()}
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
