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

// exchange connects two dispatchers by their peer service.
func exchange(t testing.TB, f fabric, a, b *Dispatcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var urls [2]string
	var exchanges []*Exchange
	transport := f.transport
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
		server := f.serve(mux)
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

// sharing returns a bench with 15 batch calls in the 16 slots of an engine, and
// another dispatcher before the same engine that knows of them.
func sharing(t testing.TB, f fabric) (holder *bench, other *Dispatcher, finish func()) {
	t.Helper()
	eo := policyEngine
	holder = newBenchOn(t, f, 1, eo, nil)
	o := holder.options
	o.Registerer = nil
	other, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = other.Run(ctx) })
	wait.Go(func() { holder.load(t, contract.Batch, 15, 15, 200) })
	waitFor(t, "batch in all spare slots", func() bool { return holder.engines[0].Current().Running == 15 })
	exchange(t, f, other, holder.Dispatcher)
	waitFor(t, "peer's batch", func() bool { return other.State().Upstreams[0].PeerBatch == 15 })
	return holder, other, func() {
		cancel()
		wait.Wait()
	}
}

// TestDigestsAreInOrderWhateverTheTimeOfDay makes digests faster than the clock
// ticks, as after a step back: each is newer than the one before.
func TestDigestsAreInOrderWhateverTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, err := New(Options{Document: func() *contract.Document { return &contract.Document{} }})
		if err != nil {
			t.Fatal(err)
		}
		before := d.Digest()
		for range 3 {
			next := d.Digest()
			if next.Sequence <= before.Sequence {
				t.Errorf("digest %d after digest %d", next.Sequence, before.Sequence)
			}
			before = next
		}
	})
}

// TestDigestsOfMadeUpPeersAreBounded takes in digests under more names than there
// can be peers: those that are known go on being heard.
func TestDigestsOfMadeUpPeersAreBounded(t *testing.T) {
	d, err := New(Options{Document: func() *contract.Document { return &contract.Document{} }})
	if err != nil {
		t.Fatal(err)
	}
	d.ObserveDigest("known", Digest{Sequence: 1})
	first, _ := d.PeerHeardOf("known")
	for i := range 2 * maxPeers {
		d.ObserveDigest(fmt.Sprint("made up ", i), Digest{Sequence: 1})
	}
	d.ObserveDigest("known", Digest{Sequence: 2})
	if last, ok := d.PeerHeardOf("known"); !ok || !last.After(first) {
		t.Error("a known peer is not heard any more")
	}
	if n := len(d.sched.peers); n > maxPeers {
		t.Errorf("%d digests are kept", n)
	}
}

// TestBatchOfOneInstanceYieldsToOnlineOfAnother runs in virtual time: on a busy machine
// an engine stands still for longer than an attempt waits for a token.
func TestBatchOfOneInstanceYieldsToOnlineOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, other, finish := sharing(t, virtualFabric())
		b := &bench{Dispatcher: other}
		b.load(t, contract.Online, 12, 12, 30)
		finish()
		if n := holder.counts(); n.Cancelled == 0 || n.Resumed == 0 {
			t.Errorf("%d cancelled, %d resumed", n.Cancelled, n.Resumed)
		}
	})
}

// BenchmarkPeerPreemption measures the time from a burst of online requests at
// one instance until the engine has let go of another instance's batch work.
func BenchmarkPeerPreemption(b *testing.B) {
	for b.Loop() {
		holder, other, finish := sharing(b, fabric{serve: httptest.NewServer})
		start := time.Now()
		var wait sync.WaitGroup
		wait.Go(func() { (&bench{Dispatcher: other}).load(b, contract.Online, 12, 12, 30) })
		waitFor(b, "cancellation at the engine", func() bool { return holder.engines[0].Counts().Cancelled >= 12 })
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms")
		wait.Wait()
		finish()
		holder.close()
	}
}
