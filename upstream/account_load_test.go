package upstream

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/contract"
)

// TestDigestsCarryLargestAccountsWhileRequestsWait guards against an account that is within
// its share by the view of each instance and over it in the fleet, and against digests that
// grow without need or with the number of accounts.
func TestDigestsCarryLargestAccountsWhileRequestsWait(t *testing.T) {
	d, peer := newForwarder(t, startWorker(t, eventsScript(1, endOfChunks))), newForwarder(t, startWorker(t, eventsScript(1, endOfChunks)))
	p, err := d.current().pool("s", contract.KindRouted)
	if err != nil {
		t.Fatal(err)
	}
	d.sched.enableTurns("i0")
	peer.sched.enableTurns("i1")
	requestOf := func(i int) request {
		call := &contract.ForwardRequest{Service: "s", Account: fmt.Sprint("a", i), Share: 0.5, Class: contract.Online}
		return request{pool: p, account: call.Account, share: call.Share, weight: 1, accountHash: accountHash(call), class: call.Class}
	}
	d.sched.mu.Lock()
	for i := range 10 {
		r := requestOf(i)
		p.countRunning(r.accountHash, i+1)
	}
	d.sched.mu.Unlock()
	quiet := d.Digest()
	if len(quiet.Accounts) != 0 {
		t.Errorf("%d accounts in a digest while no request waits, want none", len(quiet.Accounts))
	}
	d.sched.mu.Lock()
	w := &waiter{request: requestOf(0)}
	w.queue().push(w)
	d.sched.mu.Unlock()
	busy := d.Digest()
	largest := requestOf(9)
	if len(busy.Accounts) != maxAccountLoads || busy.Accounts[0] != (AccountLoad{largest.accountHash, 10}) {
		t.Errorf("got the accounts %v, want the %d largest, first the one that runs 10", busy.Accounts, maxAccountLoads)
	}
	without := busy
	without.Accounts = nil
	if got := proto.Size(busy.toProto()) - proto.Size(without.toProto()); got != 9*maxAccountLoads {
		t.Errorf("the accounts take %d bytes of a digest, want %d", got, 9*maxAccountLoads)
	}

	peerPool, err := peer.current().pool("s", contract.KindRouted)
	if err != nil {
		t.Fatal(err)
	}
	largest.pool = peerPool
	isOver := func() bool {
		peer.sched.mu.Lock()
		defer peer.sched.mu.Unlock()
		return peer.sched.isOverShare(&largest)
	}
	if isOver() {
		t.Error("the account is over its share before the digest, want it within")
	}
	for range 2 { // The second digest replaces the first one.
		peer.observeProto("i0", d.Digest().toProto())
		if !isOver() || peer.sched.peerRunning[largest.accountHash] != 10 {
			t.Errorf("%d run at peers after the digest, want 10 and the account over its share", peer.sched.peerRunning[largest.accountHash])
		}
	}
	peer.sched.mu.Lock()
	peer.sched.sumPeerLoads(time.Now().Add(onlineDigestTTL + time.Second))
	peer.sched.mu.Unlock()
	if isOver() {
		t.Error("the account is over its share by an expired digest")
	}
}
