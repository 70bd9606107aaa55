package upstream

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/upstream/upstreampb"
)

// TestLoadAtAnUpstreamThatLeftTheOwnPartStillCounts removes an upstream from the document
// while a request runs there, and adds it again.
func TestLoadAtAnUpstreamThatLeftTheOwnPartStillCounts(t *testing.T) {
	f := newChangingForwarder(t, nil, &scriptedWorker{address: "10.0.0.1:1"})
	g := f.sched.tryAcquire(t.Context(), request{pool: f.current().pools["s"]})
	if g == nil {
		t.Fatal("no free slot")
	}
	entry := f.document.Load().Upstreams["w0"]
	f.change(func(upstreams map[string]contract.Upstream) { delete(upstreams, "w0") })
	want := []PeerLoad{{Upstream: "w0", Online: 1}}
	if d := cmp.Diff(want, f.Digest().Loads); d != "" {
		t.Errorf("load that peers are told without the upstream (-want +got):\n%s", d)
	}
	if other := f.sched.tryAcquire(t.Context(), request{pool: f.current().pools["s"]}); other != nil {
		t.Errorf("got a slot of %s, which the document does not have", other.target.id)
	}
	f.change(func(upstreams map[string]contract.Upstream) { upstreams["w0"] = entry })
	if d := cmp.Diff(want, f.Digest().Loads); d != "" {
		t.Errorf("load that peers are told after the upstream's return (-want +got):\n%s", d)
	}
	f.sched.release(g, time.Now())
	if d := cmp.Diff([]PeerLoad(nil), f.Digest().Loads, cmpopts.EquateEmpty()); d != "" {
		t.Errorf("load that peers are told after the end of the request (-want +got):\n%s", d)
	}
}

// TestLoadOfPeersIsKnownOfAnUpstreamThatIsUsedFromNowOn has a peer report the load of an
// upstream before the document has it.
func TestLoadOfPeersIsKnownOfAnUpstreamThatIsUsedFromNowOn(t *testing.T) {
	f := newChangingForwarder(t, nil, &scriptedWorker{address: "10.0.0.1:1"})
	entry := f.current().document.Upstreams["w0"]
	load := &upstreampb.Load{Upstream: hashUpstream("w1"), Online: uint32(entry.Slots)}
	f.observeProto("peer", &upstreampb.Digest{Sequence: 1, Loads: []*upstreampb.Load{load}})
	f.change(func(upstreams map[string]contract.Upstream) {
		upstreams["w1"] = entry
		delete(upstreams, "w0")
	})
	if g := f.sched.tryAcquire(t.Context(), request{pool: f.current().pools["s"]}); g != nil {
		t.Fatalf("got a slot of %s, all of whose slots the peer uses", g.target.id)
	}
	f.observeProto("peer", &upstreampb.Digest{Sequence: 2})
	if g := f.sched.tryAcquire(t.Context(), request{pool: f.current().pools["s"]}); g == nil {
		t.Error("got no slot after the peer's requests have ended")
	}
}

// TestBatchWorkLeavesAnUpstreamThatLeftTheOwnPart removes an upstream at which a batch and
// an online request run. Both go on there if the service has no other upstream.
func TestBatchWorkLeavesAnUpstreamThatLeftTheOwnPart(t *testing.T) {
	for name, workers := range map[string]int{"another upstream": 2, "no other upstream": 1} {
		t.Run(name, func(t *testing.T) {
			var all []*scriptedWorker
			for i := range workers {
				all = append(all, &scriptedWorker{address: fmt.Sprintf("10.0.0.%d:1", i+1)})
			}
			f := newChangingForwarder(t, nil, all...)
			f.change(func(upstreams map[string]contract.Upstream) { delete(upstreams, "w1") })
			p := f.current().pools["s"]
			batch := f.sched.tryAcquire(t.Context(), request{pool: p, class: contract.Batch})
			online := f.sched.tryAcquire(t.Context(), request{pool: p})
			if batch == nil || online == nil {
				t.Fatal("no free slot")
			}
			f.change(func(upstreams map[string]contract.Upstream) {
				if workers > 1 {
					upstreams["w1"] = upstreams["w0"]
				}
				delete(upstreams, "w0")
			})
			if leaves := context.Cause(batch.ctx) == errPreempted; leaves != (workers > 1) {
				t.Errorf("the batch request leaves: %v, want %v", leaves, workers > 1)
			}
			if err := online.ctx.Err(); err != nil {
				t.Errorf("the online request ended: %v", err)
			}
		})
	}
}

// TestDigestThatWasDecodedBeforeAChangeOfTheFleetCounts changes the fleet between the
// decoding of a digest and its recording.
func TestDigestThatWasDecodedBeforeAChangeOfTheFleetCounts(t *testing.T) {
	f := newChangingForwarder(t, nil, &scriptedWorker{address: "10.0.0.1:1"})
	entry := f.current().document.Upstreams["w0"]
	digest := Digest{Sequence: 1, unknownLoads: []hashedLoad{{hashUpstream("w1"), PeerLoad{Online: entry.Slots}}}}
	f.change(func(upstreams map[string]contract.Upstream) {
		upstreams["w1"] = entry
		delete(upstreams, "w0")
	})
	f.ObserveDigest("peer", digest)
	if g := f.sched.tryAcquire(t.Context(), request{pool: f.current().pools["s"]}); g != nil {
		t.Fatalf("got a slot of %s, all of whose slots the peer uses", g.target.id)
	}
}

// TestUpstreamThatIsUsedFromNowOnGetsOneRequestUntilItAnswers adds upstreams to the document
// of an instance with peers, one of which it has used before and has a request at.
func TestUpstreamThatIsUsedFromNowOnGetsOneRequestUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newChangingForwarder(t, nil, &scriptedWorker{address: "10.0.0.1:1"})
		f.sched.enableTurns("self")
		take := func() (taken []*slot) {
			for {
				g := f.sched.tryAcquire(t.Context(), request{pool: f.current().pools["s"]})
				if g == nil {
					return taken
				}
				taken = append(taken, g)
			}
		}
		entry := f.current().document.Upstreams["w0"]
		only := take()
		if len(only) != entry.Slots {
			t.Fatalf("got %d slots of the only upstream, want all %d", len(only), entry.Slots)
		}
		for _, g := range only[1:] {
			f.sched.release(g, time.Now())
		}
		f.change(func(upstreams map[string]contract.Upstream) { clear(upstreams) })
		time.Sleep(2 * loadUncertainTime)
		f.change(func(upstreams map[string]contract.Upstream) { upstreams["w0"], upstreams["w1"] = entry, entry })
		first := take()
		if len(first) != 1 || first[0].target.id != "w1" {
			t.Fatalf("got %d slots of two upstreams, one of which has a request, want one of w1", len(first))
		}
		f.sched.observeFirst(first[0], time.Now())
		if n := len(take()); n != 1 {
			t.Errorf("got %d slots after an answer, want 1", n)
		}
		time.Sleep(loadUncertainTime)
		if n := len(take()); n != 2*entry.Slots-3 {
			t.Errorf("got %d slots after %v, want all %d that are left", n, loadUncertainTime, 2*entry.Slots-3)
		}
	})
}
