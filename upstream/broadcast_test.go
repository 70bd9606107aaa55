package upstream

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/upstream/upstreampb"
)

// listenUDP returns a UDP socket on loopback that is closed at the end of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// nextDigest reads the next datagram and fails the test if there is none.
func nextDigest(t *testing.T, conn *net.UDPConn) *upstreampb.Digest {
	t.Helper()
	buffer := make([]byte, maxDatagramBytes)
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	n, err := conn.Read(buffer)
	var message upstreampb.PushRequest
	if err == nil {
		err = proto.Unmarshal(buffer[:n], &message)
	}
	if err != nil {
		t.Fatal(err)
	}
	return message.GetDigest()
}

// TestPeersGetChangesOfTheUpstreamsThatTheyUse changes the load of an upstream that only
// one of two peers uses, and then that of the other upstream, which both use. Each peer
// must get a digest only on changes of its own upstreams, and then all load.
func TestPeersGetChangesOfTheUpstreamsThatTheyUse(t *testing.T) {
	h := newHarness(t, 2, fastEngine, func(_ *Options, d *contract.Document) {
		for id, u := range d.Upstreams {
			u.Services = append(u.Services, id)
			d.Upstreams[id] = u
			d.Services[id] = contract.Service{Kind: contract.KindModel, Model: "m"}
		}
	})
	some, all := listenUDP(t), listenUDP(t)
	groups := []PeerGroup{
		{Addresses: []netip.AddrPort{addressOf(some)}, Uses: func(id string) bool { return id == "u00" }},
		{Addresses: []netip.AddrPort{addressOf(all)}},
	}
	broadcast, err := NewBroadcast(BroadcastOptions{Dispatcher: h.Dispatcher, InstanceID: "self", Peers: func() []PeerGroup { return groups }, Conn: listenUDP(t)})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if next := broadcast.sendUpdates(now); next != broadcastRefreshInterval {
		t.Errorf("next group due in %v, want %v", next, broadcastRefreshInterval)
	}
	if n := len(nextDigest(t, some).GetLoads()) + len(nextDigest(t, all).GetLoads()); n != 0 {
		t.Errorf("got %d loads of an idle instance, want 0", n)
	}
	h.occupySlot(t, "u01")
	if next := broadcast.sendUpdates(now.Add(broadcastRefreshInterval / 4)); next != 3*broadcastRefreshInterval/4 {
		t.Errorf("the peer that was sent nothing is due in %v, want 3/4 of the refresh interval", next)
	}
	first := nextDigest(t, all)
	h.occupySlot(t, "u00")
	broadcast.sendUpdates(now.Add(broadcastRefreshInterval / 2))
	second := nextDigest(t, all)
	if len(first.GetLoads()) != 1 || len(second.GetLoads()) != 2 {
		t.Errorf("the peer that uses both got %v and %v, want 1 and 2 loads", first, second)
	}
	// The next datagram to the other peer is that of the second change; it did not get
	// the first.
	if own := nextDigest(t, some); !proto.Equal(own, second) {
		t.Errorf("the peer that uses u00 got %v, want %v", own, second)
	}
	// Without a change, both are sent again after the refresh interval.
	broadcast.sendUpdates(now.Add(2 * broadcastRefreshInterval))
	if a, b := nextDigest(t, some), nextDigest(t, all); len(a.GetLoads()) != 2 || !proto.Equal(a, b) {
		t.Errorf("repeated digests: got %v and %v, want 2 loads each", a, b)
	}
}

// occupySlot holds a slot of a service until the end of the test.
func (h *harness) occupySlot(t *testing.T, service string) {
	t.Helper()
	g := h.sched.tryAcquire(t.Context(), request{pool: h.current().pools[service]})
	if g == nil {
		t.Fatalf("no free slot of service %s", service)
	}
	t.Cleanup(func() { h.sched.release(g, time.Now()) })
}
