package claim_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/claim/claimpb/claimpbconnect"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage/memory"
)

// storeDelay is the time that a call of the store takes in the benchmarks.
const storeDelay = 5 * time.Millisecond

// BenchmarkCall measures the cost of one call, claim and answer together, on
// instances that reach each other over loopback. Calls arrive at a fixed rate and do
// not wait for each other.
//
//	go test -run '^$' -bench Call -benchtime 10000x ./claim
func BenchmarkCall(b *testing.B) {
	for _, rate := range []int{50, 200, 550, 2000} {
		b.Run(strconv.Itoa(rate)+"_per_s", func(b *testing.B) { benchmarkCalls(b, 10, rate, 200) })
	}
	for _, instances := range []int{3, 30, 60} {
		b.Run("550_per_s_"+strconv.Itoa(instances)+"_instances", func(b *testing.B) { benchmarkCalls(b, instances, 550, 200) })
	}
	b.Run("2000_per_s_large_answers", func(b *testing.B) { benchmarkCalls(b, 10, 2000, 8<<10) })
}

// benchmarkCalls sends b.N calls at a rate per second, in turn to all instances.
func benchmarkCalls(b *testing.B, instances, rate, answerBytes int) {
	services, store, sent, stop := tcpFleet(b, instances)
	defer stop()
	store.Faults().SetDelay(storeDelay)
	answer := contract.PlainAnswer{Status: http.StatusOK, Body: make([]byte, answerBytes)}
	latencies := make([]time.Duration, b.N)
	before := store.Faults().Counts()
	cpu := processorTime()
	var calls sync.WaitGroup
	b.ResetTimer()
	started := time.Now()
	for i := range b.N {
		due := started.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		calls.Go(func() {
			_, err := services[i%instances].Do(b.Context(), params(strconv.Itoa(i)), func(context.Context) (contract.PlainAnswer, error) {
				return answer, nil
			})
			if err != nil {
				b.Error(err)
			}
			latencies[i] = time.Since(due)
		})
	}
	calls.Wait()
	b.StopTimer()
	counts := store.Faults().Counts()
	n := float64(b.N)
	slices.Sort(latencies)
	b.ReportMetric(float64(counts.Writes-before.Writes)/n, "writes/call")
	b.ReportMetric(float64(counts.Reads-before.Reads)/n, "reads/call")
	b.ReportMetric(float64(counts.Writes-before.Writes)/time.Since(started).Seconds(), "writes/s")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/n, "cpu-us/call")
	b.ReportMetric(float64(sent.Load())/n, "peer-bytes/call")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkIdleInstance measures the store operations per second and instance of a
// fleet without calls.
//
//	go test -run '^$' -bench IdleInstance -benchtime 1x ./claim
func BenchmarkIdleInstance(b *testing.B) {
	const instances, duration = 10, 5 * time.Second
	_, store, _, stop := tcpFleet(b, instances)
	defer stop()
	before, cpu := store.Faults().Counts(), processorTime()
	time.Sleep(duration)
	counts := store.Faults().Counts()
	per := instances * duration.Seconds()
	b.ReportMetric(float64(counts.Reads-before.Reads)/per, "reads/instance/s")
	b.ReportMetric(float64(counts.Writes-before.Writes)/per, "writes/instance/s")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/per, "cpu-us/instance/s")
}

// tcpFleet starts instances that call each other over loopback. sent counts the bytes
// between them.
func tcpFleet(b *testing.B, instances int) (services []*claim.Service, store *memory.Store, sent *atomic.Int64, stop func()) {
	store = memory.New()
	sent = &atomic.Int64{}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: countBytes(sent)}
	client := &http.Client{Transport: transport}
	all := &view{}
	ctx, cancel := context.WithCancel(context.Background())
	var live []claim.Peer
	var servers []*httptest.Server
	var running sync.WaitGroup
	for i := range instances {
		s, err := claim.New(claim.Options{
			InstanceID: strconv.Itoa(i), Table: store, Objects: store, View: all,
			Dial: func(address string) claimpbconnect.ClaimsClient {
				return claimpbconnect.NewClaimsClient(client, "http://"+address)
			},
		})
		if err != nil {
			b.Fatal(err)
		}
		_, handler := s.Handler()
		server := httptest.NewServer(handler)
		servers = append(servers, server)
		live = append(live, claim.Peer{ID: strconv.Itoa(i), Address: server.Listener.Addr().String()})
		services = append(services, s)
		running.Go(func() { _ = s.Run(ctx) })
	}
	all.set(live)
	return services, store, sent, func() {
		cancel()
		running.Wait()
		transport.CloseIdleConnections()
		for _, server := range servers {
			server.Close()
		}
	}
}

// countBytes returns a dial function whose connections count the bytes in both
// directions.
func countBytes(sent *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{connection, sent}, err
	}
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// processorTime returns the user and system time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
