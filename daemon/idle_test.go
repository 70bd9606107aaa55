package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/daisylb/daisylb/daemon"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// idlePeriod is how long the background work of idle instances is measured.
const idlePeriod = 15 * time.Second

// BenchmarkIdleInstances measures the background work of an instance without
// callers: CPU time as a share of one core, heap, goroutines, and operations on the
// store. It runs complete daemons that are connected over loopback.
//
//	go test -run=NONE -bench=IdleInstances -benchtime=1x ./daemon
func BenchmarkIdleInstances(b *testing.B) {
	for _, n := range []int{3, 10, 30, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkIdle(b, n) })
	}
}

// benchmarkIdle measures a fleet of n instances.
func benchmarkIdle(b *testing.B, n int) {
	upstream := httptest.NewServer(instantUpstream())
	defer upstream.Close()
	baseHeap := heapBytes()
	store := memory.New()
	daemons, stop := startFleet(b, store, n)
	defer stop()
	configure(b, daemons[0], upstream.Listener.Addr().(*net.TCPAddr).String(), 16)
	for _, d := range daemons {
		if _, err := d.Configuration().Watch(b.Context(), 0); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(idlePeriod)
	for b.Loop() {
		cpuBefore, countsBefore, start := cpuTime(), store.Faults().Counts(), time.Now()
		time.Sleep(idlePeriod)
		seconds := time.Since(start).Seconds()
		countsAfter := store.Faults().Counts()
		b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/seconds/float64(n), "%core/instance")
		b.ReportMetric(float64(countsAfter.Reads-countsBefore.Reads)/seconds/float64(n), "reads/s/instance")
		b.ReportMetric(float64(countsAfter.Writes-countsBefore.Writes)/seconds/float64(n), "writes/s/instance")
		b.ReportMetric(float64(heapBytes()-baseHeap)/float64(n)/(1<<20), "heap-MB/instance")
		b.ReportMetric(float64(runtime.NumGoroutine())/float64(n), "goroutines/instance")
	}
}

// heapBytes returns the memory in use by heap and stacks after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// startFleet runs n instances, which find each other through the store's instance
// list, and returns them with a function that stops them.
func startFleet(tb testing.TB, store *memory.Store, n int) ([]*daemon.Daemon, func()) {
	tb.Helper()
	var list []storage.ListedInstance
	var daemons []*daemon.Daemon
	for i := range n {
		s := daemon.Default()
		s.ID, s.DataCentre = fmt.Sprintf("instance-%d", i), "kochi"
		s.Callers.Address, s.Peers.Address, s.Operators.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.PeerKeys = []string{"benchmark-peer-key"}
		d, err := daemon.New(daemon.Options{Settings: s, Store: store})
		if err != nil {
			tb.Fatal(err)
		}
		daemons = append(daemons, d)
		list = append(list, storage.ListedInstance{ID: s.ID, DataCentre: s.DataCentre, CallerAddress: d.CallerAddress(), PeerAddress: d.PeerAddress()})
	}
	store.SetInstances(list)
	ctx, cancel := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	for _, d := range daemons {
		runs.Go(func() { _ = d.Run(ctx, ctx) })
	}
	return daemons, func() { cancel(); runs.Wait() }
}
