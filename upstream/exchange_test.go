package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// connectByExchange lets two dispatchers exchange digests until the end of the test.
func connectByExchange(t testing.TB, network testNetwork, a, b *Dispatcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var urls [2]string
	var exchanges []*Exchange
	transport := network.transport
	if transport == nil {
		transport = &http.Transport{}
	}
	ids := [2]string{"a", "b"}
	for i, d := range []*Dispatcher{a, b} {
		e, err := NewExchange(ExchangeOptions{
			Dispatcher: d, InstanceID: ids[i], Client: &http.Client{Transport: transport},
			Peers: func() []Peer { return []Peer{{ids[1-i], urls[1-i]}} },
		})
		if err != nil {
			t.Fatal(err)
		}
		mux := http.NewServeMux()
		mux.Handle(e.Handler())
		server := network.serve(mux)
		t.Cleanup(server.Close)
		urls[i] = server.URL
		exchanges = append(exchanges, e)
	}
	for _, e := range exchanges {
		wait.Go(func() { _ = e.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
		transport.CloseIdleConnections()
	})
}

// newSharedEngine returns a harness with 15 batch calls in the 16 slots of an engine,
// and another dispatcher for the same engine that has received this load. The caller
// must call finish when the calls may end.
func newSharedEngine(t testing.TB, network testNetwork) (holder *harness, other *Dispatcher, finish func()) {
	t.Helper()
	eo := policyEngine
	holder = newHarnessOn(t, network, 1, eo, nil)
	o := holder.options
	o.Registerer = nil
	other, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = other.Run(ctx) })
	wait.Go(func() { holder.runCalls(t, contract.Batch, 15, 15, 200) })
	waitFor(t, "batch in all spare slots", func() bool { return holder.engines[0].CurrentLoad().Running == 15 })
	connectByExchange(t, network, other, holder.Dispatcher)
	waitFor(t, "the peer's batch calls", func() bool { return other.State().Upstreams[0].PeerBatch == 15 })
	return holder, other, func() {
		cancel()
		wait.Wait()
	}
}

// TestDigestSequenceIncreasesWhenTheClockDoesNot makes several digests while the clock
// stands still. Each must have a higher sequence number than the one before, as it must
// after the clock is set back.
func TestDigestSequenceIncreasesWhenTheClockDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, err := New(Options{Document: func() *contract.Document { return &contract.Document{} }})
		if err != nil {
			t.Fatal(err)
		}
		before := d.Digest()
		for range 3 {
			next := d.Digest()
			if next.Sequence <= before.Sequence {
				t.Errorf("got sequence %d after %d", next.Sequence, before.Sequence)
			}
			before = next
		}
	})
}

// TestDigestsOfMadeUpPeersAreBounded receives digests under more ids than there can be
// peers: the number kept must stay limited, and known peers must still be updated.
func TestDigestsOfMadeUpPeersAreBounded(t *testing.T) {
	d, err := New(Options{Document: func() *contract.Document { return &contract.Document{} }})
	if err != nil {
		t.Fatal(err)
	}
	d.ObserveDigest("known", Digest{Sequence: 1})
	first, _ := d.LastDigestFrom("known")
	for i := range 2 * maxPeers {
		d.ObserveDigest(fmt.Sprint("made up ", i), Digest{Sequence: 1})
	}
	d.ObserveDigest("known", Digest{Sequence: 2})
	if last, ok := d.LastDigestFrom("known"); !ok || !last.After(first) {
		t.Error("the digest of a known peer was not updated")
	}
	if n := len(d.sched.peerDigests); n > maxPeers {
		t.Errorf("%d digests are kept, more than maxPeers", n)
	}
}

// TestBatchOfOneInstanceYieldsToOnlineOfAnother runs in virtual time: on a busy machine
// an engine may stand still for longer than an attempt waits for a token.
func TestBatchOfOneInstanceYieldsToOnlineOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, other, finish := newSharedEngine(t, pipeNetwork())
		h := &harness{Dispatcher: other}
		h.runCalls(t, contract.Online, 12, 12, 30)
		finish()
		if n := holder.engineCounts(); n.Cancelled == 0 || n.Resumed == 0 {
			t.Errorf("%d cancelled and %d resumed requests, want some of both", n.Cancelled, n.Resumed)
		}
	})
}

// BenchmarkPeerPreemption measures the time from a burst of online requests at one
// instance until the engine has cancelled another instance's batch work.
func BenchmarkPeerPreemption(b *testing.B) {
	for b.Loop() {
		holder, other, finish := newSharedEngine(b, testNetwork{serve: httptest.NewServer})
		start := time.Now()
		var wait sync.WaitGroup
		wait.Go(func() { (&harness{Dispatcher: other}).runCalls(b, contract.Online, 12, 12, 30) })
		waitFor(b, "cancellation at the engine", func() bool { return holder.engines[0].Counts().Cancelled >= 12 })
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms")
		wait.Wait()
		finish()
		holder.close()
	}
}
