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

func udp(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// nextDigest reads the next datagram; there must be one.
func nextDigest(t *testing.T, conn *net.UDPConn) *upstreampb.Digest {
	t.Helper()
	buffer := make([]byte, maxDatagramBytes)
	_ = conn.SetReadDeadline(time.Now().Add(hangLimit))
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

// TestPeersAreToldOfTheUpstreamsThatTheyUse changes the load of an upstream that one of
// two peers uses, and then that of one that both use.
func TestPeersAreToldOfTheUpstreamsThatTheyUse(t *testing.T) {
	b := newBench(t, 2, fastEngine, func(_ *Options, d *contract.Document) {
		for id, u := range d.Upstreams {
			u.Services = append(u.Services, id)
			d.Upstreams[id] = u
			d.Services[id] = contract.Service{Kind: contract.KindModel, Model: "m"}
		}
	})
	some, all := udp(t), udp(t)
	groups := []PeerGroup{
		{Addresses: []netip.AddrPort{addressOf(some)}, Uses: func(id string) bool { return id == "u00" }},
		{Addresses: []netip.AddrPort{addressOf(all)}},
	}
	broadcast, err := NewBroadcast(BroadcastOptions{Dispatcher: b.Dispatcher, InstanceID: "self", Peers: func() []PeerGroup { return groups }, Conn: udp(t)})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if next := broadcast.tell(now); next != broadcastRefresh {
		t.Errorf("the next group is due in %v, want %v", next, broadcastRefresh)
	}
	if n := len(nextDigest(t, some).GetLoads()) + len(nextDigest(t, all).GetLoads()); n != 0 {
		t.Errorf("%d loads of an idle instance", n)
	}
	b.occupy(t, "u01")
	if next := broadcast.tell(now.Add(broadcastRefresh / 4)); next != 3*broadcastRefresh/4 {
		t.Errorf("the peer that was told nothing is due in %v", next)
	}
	first := nextDigest(t, all)
	b.occupy(t, "u00")
	broadcast.tell(now.Add(broadcastRefresh / 2))
	second := nextDigest(t, all)
	if len(first.GetLoads()) != 1 || len(second.GetLoads()) != 2 {
		t.Errorf("the peer that uses both was told %v, %v", first, second)
	}
	// What the other one is told next is the second change, without the first.
	own := nextDigest(t, some)
	if loads := own.GetLoads(); own.GetSequence() != second.GetSequence() || len(loads) != 1 || loads[0].GetUpstream() != hashUpstream("u00") {
		t.Errorf("the peer that uses one was told %v after %v", own, second)
	}
	// Nothing changes, and both are told again.
	broadcast.tell(now.Add(2 * broadcastRefresh))
	if a, b := nextDigest(t, some), nextDigest(t, all); len(a.GetLoads()) != 1 || len(b.GetLoads()) != 2 {
		t.Errorf("told again: %v, %v", a, b)
	}
}

// occupy takes a slot of a service for the rest of the test.
func (b *bench) occupy(t *testing.T, service string) {
	t.Helper()
	g := b.sched.tryAcquire(t.Context(), request{pool: b.current().pools[service]})
	if g == nil {
		t.Fatalf("no slot of %s", service)
	}
	t.Cleanup(func() { b.sched.release(g, time.Now()) })
}
