package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/daemon"
	"github.com/daisylb/daisylb/storage/memory"
)

// The load of the overhead benchmark.
const (
	requestsPerSecond = 2000
	warmRequests      = 2000
	answerTokens      = 8
	maxLatencyNanos   = int64(10 * time.Second)
	significantDigits = 3
)

const requestBody = `{"model":"deskmate","stream":true,"messages":[{"role":"user","content":"quote a rug"}]}`

// instantUpstream answers every completion immediately with answerTokens tokens.
func instantUpstream() http.Handler {
	var b strings.Builder
	for i := range answerTokens {
		fmt.Fprintf(&b, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" t%d\"},\"finish_reason\":null}]}\n\n", i)
	}
	b.WriteString("data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	answer := []byte(b.String())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(answer)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"running":0,"waiting":0,"taken_at":%q}`, time.Now().Format(time.RFC3339Nano))
	})
	return mux
}

// bareForwarder forwards requests to target and copies the answers, without any of
// daisylb's features.
func bareForwarder(target string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 512}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out.Header = r.Header.Clone()
		response, err := transport.RoundTrip(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
		w.WriteHeader(response.StatusCode)
		control := http.NewResponseController(w)
		buffer := make([]byte, 4096)
		for {
			n, err := response.Body.Read(buffer)
			if n > 0 {
				_, _ = w.Write(buffer[:n])
				_ = control.Flush()
			}
			if err != nil {
				return
			}
		}
	})
}

// runDaemon runs an instance with one upstream and returns the instance's URL.
func runDaemon(tb testing.TB, upstream string, slots int) string {
	tb.Helper()
	s := daemon.Default()
	s.ID, s.DataCentre = "bench", "kochi"
	s.Callers.Address, s.Peers.Address, s.Operators.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.PeerKeys = []string{"benchmark-peer-key"}
	s.Drain.Margin = 0
	d, err := daemon.New(daemon.Options{Settings: s, Store: memory.New()})
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = d.Run(ctx, ctx) })
	tb.Cleanup(func() { cancel(); done.Wait() })
	configure(tb, d, upstream, slots)
	return "http://" + d.CallerAddress()
}

// configure submits a document with one upstream, and retries until the instance
// accepts changes.
func configure(tb testing.TB, d *daemon.Daemon, upstream string, slots int) {
	tb.Helper()
	document := &contract.Document{
		Preset:      "ordinary",
		Presets:     map[string]contract.Preset{"ordinary": {AdmitOnline: true, BatchShare: 0.9}},
		DataCentres: map[string]contract.DataCentre{"kochi": {Region: "kerala"}},
		Services:    map[string]contract.Service{"deskmate": {Kind: contract.KindModel, Model: "m", Idempotent: true}},
		Upstreams: map[string]contract.Upstream{
			"engine-1": {Address: upstream, DataCentre: "kochi", Services: []string{"deskmate"}, Slots: slots},
		},
		Accounts: map[string]contract.Account{"drivers": {KeyHashes: []string{"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}, Weight: 1}},
		Limits: contract.Limits{
			MaxBodyBytes: 1 << 20, DefaultDeadlineMillis: 30_000, MaxDeadlineMillis: 600_000, EndpointTTLSeconds: 1,
			MaxJobItems: 1000, ItemAttempts: 3, MaxAnswerBytes: 1 << 20, RetryShare: 0.1,
		},
	}
	for {
		_, err := d.Configuration().Submit(context.Background(), config.Request{ID: "bench", Author: "bench", Edits: config.Diff(&contract.Document{}, document)})
		if err == nil {
			return
		}
		if d.Configuration().Ready() == nil {
			tb.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// benchmarkTarget is one way to reach the upstream, with the latency and the CPU time
// of the requests sent to it.
type benchmarkTarget struct {
	name       string
	url        string
	httpClient *http.Client
	latency    *hdrhistogram.Histogram
	cpuTime    time.Duration
	requests   int
}

func newTarget(name, url string) *benchmarkTarget {
	return &benchmarkTarget{
		name:       name,
		url:        url,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		latency:    hdrhistogram.New(1, maxLatencyNanos, significantDigits),
	}
}

// call sends one request and checks that its answer is complete.
func (t *benchmarkTarget) call() error {
	r, err := http.NewRequest(http.MethodPost, t.url+"/v1/chat/completions", strings.NewReader(requestBody))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer secret")
	response, err := t.httpClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return fmt.Errorf("incomplete answer of target %s: %s", t.name, text)
	}
	return err
}

// openLoop sends n requests at requestsPerSecond without waiting for answers. It
// measures the latency of a request from the time at which it was due, so that delays
// in sending count as latency.
func (t *benchmarkTarget) openLoop(tb testing.TB, n int) {
	tb.Helper()
	cpuBefore := cpuTime()
	start := time.Now()
	samples := make([]time.Duration, n)
	var calls sync.WaitGroup
	for i := range n {
		due := start.Add(time.Duration(i) * time.Second / requestsPerSecond)
		time.Sleep(time.Until(due))
		calls.Go(func() {
			if err := t.call(); err != nil {
				tb.Error(err)
			}
			samples[i] = time.Since(due)
		})
	}
	calls.Wait()
	t.cpuTime += cpuTime() - cpuBefore
	t.requests += n
	for _, s := range samples {
		_ = t.latency.RecordValue(int64(s))
	}
}

func (t *benchmarkTarget) quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(q))
}

func (t *benchmarkTarget) cpuTimePerRequest() time.Duration {
	return t.cpuTime / time.Duration(t.requests)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkOverhead compares calls of an upstream directly, through a bare forwarder
// and through an instance, in interleaved rounds of one run. It reports the latency
// that the instance adds, and its CPU time per request, also as a ratio to that of
// the bare forwarder.
//
//	go test -run=NONE -bench=Overhead -benchtime=1x ./daemon
func BenchmarkOverhead(b *testing.B) {
	upstream := httptest.NewServer(instantUpstream())
	defer upstream.Close()
	forwarder := httptest.NewServer(bareForwarder(upstream.URL))
	defer forwarder.Close()
	address := upstream.Listener.Addr().(*net.TCPAddr).String()
	direct := newTarget("direct", upstream.URL)
	bare := newTarget("bare", forwarder.URL)
	instance := newTarget("instance", runDaemon(b, address, 512))
	targets := []*benchmarkTarget{direct, bare, instance}
	for _, t := range targets {
		t.openLoop(b, warmRequests)
		*t = *newTarget(t.name, t.url)
	}
	const rounds = 5
	for b.Loop() {
		for range rounds {
			for _, t := range targets {
				t.openLoop(b, requestsPerSecond)
			}
		}
	}
	added := func(t *benchmarkTarget, q float64) float64 {
		return float64(t.quantile(q)-direct.quantile(q)) / float64(time.Millisecond)
	}
	instanceCPU := instance.cpuTimePerRequest() - direct.cpuTimePerRequest()
	bareCPU := bare.cpuTimePerRequest() - direct.cpuTimePerRequest()
	b.ReportMetric(added(instance, 50), "added-p50-ms")
	b.ReportMetric(added(instance, 99), "added-p99-ms")
	b.ReportMetric(added(bare, 50), "bare-p50-ms")
	b.ReportMetric(added(bare, 99), "bare-p99-ms")
	b.ReportMetric(float64(instanceCPU)/float64(time.Microsecond), "cpu-us/request")
	b.ReportMetric(float64(instanceCPU)/float64(bareCPU), "cpu-ratio-to-bare")
}
