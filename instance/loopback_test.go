package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/instance/instancepb"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

const peerKey = "a-peer-key-of-thirty-two-letters"

// traffic counts what all members of this test process send. Every byte is sent
// by one member and received by another.
type traffic struct {
	bytes, writes, connections atomic.Int64
	// messages counts probes, payload the bytes of the probe requests and their
	// responses before encoding into HTTP.
	messages, payload atomic.Int64
}

// countingConn counts the writes of one side of a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

type countingListener struct {
	net.Listener
	traffic *traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.connections.Add(1)
	return &countingConn{c, l.traffic}, nil
}

// countingProber counts probes and their payload.
type countingProber struct {
	Prober
	traffic *traffic
}

func (p *countingProber) Probe(ctx context.Context, address string, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error) {
	response, err := p.Prober.Probe(ctx, address, r)
	p.traffic.messages.Add(1)
	p.traffic.payload.Add(int64(proto.Size(r) + proto.Size(response)))
	return response, err
}

// transportOptions select the transport and the probed members of a loopback
// test.
type transportOptions struct {
	http1 bool
	// idleTimeout closes connections without requests; 0 keeps them open.
	idleTimeout time.Duration
	// probeAll has every member probe all others in turn.
	probeAll bool
}

// loopback holds members that are connected over TCP on the loopback interface.
type loopback struct {
	traffic traffic
	members []*Membership
	close   func()
}

func startLoopback(t testing.TB, n int, transport transportOptions) *loopback {
	t.Helper()
	l := &loopback{}
	store := memory.New()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var closers []func()
	var list []storage.ListedInstance
	var listeners []net.Listener
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		address := listener.Addr().String()
		list = append(list, storage.ListedInstance{ID: uuid.NewString(), DataCentre: fmt.Sprint("dc-", len(list)%4), CallerAddress: address, PeerAddress: address})
	}
	store.SetInstances(list)
	for i, listed := range list {
		client, err := link.NewClient(link.Options{Key: peerKey, HTTP1: transport.http1, IdleTimeout: transport.idleTimeout, Dial: l.dial})
		if err != nil {
			t.Fatal(err)
		}
		m := l.member(t, listed, store, client, uint64(i), transport.probeAll)
		mux := http.NewServeMux()
		mux.Handle(NewHandler(m))
		server := &http.Server{Handler: link.Authenticate([]string{peerKey}, mux), Protocols: link.ServerProtocols()}
		running.Go(func() { server.Serve(&countingListener{listeners[i], &l.traffic}) })
		running.Go(func() { m.Run(ctx) })
		l.members = append(l.members, m)
		closers = append(closers, func() { server.Close() }, client.CloseIdleConnections)
	}
	l.close = func() {
		cancel()
		for _, c := range closers {
			c()
		}
		running.Wait()
	}
	return l
}

func (l *loopback) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.traffic}, nil
}

func (l *loopback) member(t testing.TB, listed storage.ListedInstance, list storage.InstanceList, client *http.Client, seed uint64, all bool) *Membership {
	o := Options{
		Self:      Identity{ID: listed.ID, DataCentre: listed.DataCentre, CallerAddress: listed.CallerAddress, PeerAddress: listed.PeerAddress},
		Lifecycle: NewLifecycle(nil),
		List:      list,
		Prober:    &countingProber{NewProber(client), &l.traffic},
		Version:   func() uint64 { return 123_456 },
		Load: func() Load {
			now := uint32(time.Now().UnixMilli())
			return Load{RunningRequests: 100 + now%400, QueuedRequests: now % 50, TokensInFlight: 40_000 + now%9_000, ProcessorPermille: 100 + now%800}
		},
		Seed: seed,
	}
	if all {
		o.Neighbours = 1_000
	}
	m, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	if err := o.Lifecycle.Serve(); err != nil {
		t.Fatal(err)
	}
	return m
}

// waitJoined waits until every member knows every other.
func (l *loopback) waitJoined(ctx context.Context) error {
	for {
		complete := true
		for _, m := range l.members {
			complete = complete && len(m.View().Live()) == len(l.members)
		}
		if complete || ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestMembersJoinOverLoopback joins members over TCP and probes one of them
// with a wrong key.
func TestMembersJoinOverLoopback(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, transport := range []transportOptions{{}, {http1: true}} {
		t.Run(fmt.Sprintf("http1=%v", transport.http1), func(t *testing.T) {
			l := startLoopback(t, 5, transport)
			defer l.close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if err := l.waitJoined(ctx); err != nil {
				t.Fatal(err)
			}
			client, err := link.NewClient(link.Options{Key: "wrong"})
			if err != nil {
				t.Fatal(err)
			}
			defer client.CloseIdleConnections()
			_, err = NewProber(client).Probe(ctx, l.members[0].View().Self().PeerAddress, &instancepb.ProbeRequest{})
			if code.Of(err) != code.PeerUnauthenticated {
				t.Errorf("a probe with a wrong key: got %v, want PeerUnauthenticated", err)
			}
		})
	}
}
