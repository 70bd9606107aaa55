package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
	"github.com/daisylb/daisylb/standin/engine"
)

// policyEngine has the proportions of a real engine: a full batch makes a step a third
// slower, and a prompt costs part of a step.
var policyEngine = engine.Options{
	MaxRunning: 16, StepBase: 10 * time.Millisecond, StepPerRunning: 200 * time.Microsecond,
	PrefillPerToken: 5 * time.Microsecond, ReportLag: 500 * time.Millisecond,
}

const (
	policyUpstreams = 10
	policyWarmup    = time.Second
	policyMeasured  = 4 * time.Second
	promptBytes     = 1200
	// slowedAfter falls into a burst, so that many requests are in flight.
	slowedAfter = time.Second + burstLength/2
	// During the first burstLength of each burstPeriod, requests arrive at burstFactor
	// times the ordinary rate.
	burstPeriod = time.Second
	burstLength = 250 * time.Millisecond
	burstFactor = 3
)

// trial describes one run of one variant.
type trial struct {
	policy route.Policy
	// rate is the number of online requests per second outside of bursts, tokens their
	// length.
	rate   float64
	tokens int
	// longShare is the share of the requests that have longTokens.
	longShare  float64
	longTokens int
	// batchCalls is the number of concurrent batch calls of batchTokens each. With
	// batchAsOnline they are sent as online calls.
	batchCalls    int
	batchAsOnline bool
	// slowed is the number of upstreams that become ten times slower at slowedAfter of
	// the measurement.
	slowed int
	// batchShare is the batch share of the preset; 0 means 1.
	batchShare float64
}

// result is the result of a trial.
type result struct {
	firstToken, total *hdrhistogram.Histogram
	errors            atomic.Int64
	batchTokens       atomic.Int64
	counters          map[string]float64
}

// report adds the counters of the dispatcher to the result of a benchmark.
func (r *result) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(r.errors.Load()), "errors")
	for name, value := range r.counters {
		b.ReportMetric(value, name)
	}
}

func (r *result) firstTokenMillis(q float64) float64 {
	return float64(r.firstToken.ValueAtQuantile(q)) / 1000
}
func (r *result) totalMillis(q float64) float64 { return float64(r.total.ValueAtQuantile(q)) / 1000 }

const batchTokens = 64

func prompt(random *rand.Rand) string {
	return fmt.Sprintf("%016x", random.Uint64()) + strings.Repeat("x", promptBytes)
}

// run runs a trial. Requests arrive independently of the answers.
func (tr trial) run(b *testing.B) *result {
	b.Helper()
	r := &result{firstToken: hdrhistogram.New(1, 60_000_000, 3), total: hdrhistogram.New(1, 60_000_000, 3)}
	h := newHarness(b, policyUpstreams, policyEngine, func(o *Options, d *contract.Document) {
		o.Policy = tr.policy
		o.PollInterval = 0
		p := d.Presets["normal"]
		p.HeadroomSlots = 2
		if tr.batchShare > 0 {
			p.BatchShare = tr.batchShare
		}
		d.Presets["normal"] = p
	})
	defer h.close()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	start := time.Now().Add(policyWarmup)
	for i := range tr.batchCalls {
		wait.Go(func() { tr.batchWorker(ctx, h, r, start, uint64(i)) })
	}
	slow := time.AfterFunc(policyWarmup+slowedAfter, func() {
		for i := range tr.slowed {
			h.engines[3*i].SetFaults(engine.Faults{SlowFactor: 10})
		}
	})
	tr.arrivals(h, r, start)
	slow.Stop()
	cancel()
	wait.Wait()
	r.counters = map[string]float64{}
	for _, name := range []string{"preemptions", "ejections", "moves", "hedges", "retries"} {
		r.counters[name] = h.counter(name)
	}
	return r
}

// batchWorker runs batch calls, one after another, until ctx ends.
func (tr trial) batchWorker(ctx context.Context, h *harness, r *result, start time.Time, seed uint64) {
	random := rand.New(rand.NewPCG(2, seed))
	class := contract.Batch
	if tr.batchAsOnline {
		class = contract.Online
	}
	for ctx.Err() == nil {
		c := call(class, prompt(random), batchTokens)
		c.Deadline = time.Time{}
		_ = h.Complete(ctx, c, func(chunk contract.Chunk) error {
			if chunk.Text != "" && time.Now().After(start) {
				r.batchTokens.Add(1)
			}
			return nil
		})
	}
}

// arrivals sends the online requests and waits for their answers.
func (tr trial) arrivals(h *harness, r *result, start time.Time) {
	random := rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	var mu sync.Mutex
	end := start.Add(policyMeasured)
	for arrivesAt := start.Add(-policyWarmup); arrivesAt.Before(end); {
		rate := tr.rate
		if arrivesAt.Sub(start.Add(-policyWarmup))%burstPeriod < burstLength {
			rate *= burstFactor
		}
		if rate == 0 {
			time.Sleep(time.Until(end))
			break
		}
		arrivesAt = arrivesAt.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		long := random.Float64() < tr.longShare
		c := call(contract.Online, prompt(random), tr.tokens)
		if long {
			c.Chat.MaxTokens = tr.longTokens
		}
		time.Sleep(time.Until(arrivesAt))
		wait.Go(func() { tr.sendRequest(h, r, c, !long && arrivesAt.After(start), arrivesAt, &mu) })
	}
	wait.Wait()
}

// sendRequest runs an online call and records its latencies if record is set.
// arrivedAt is when the request was to be sent.
func (tr trial) sendRequest(h *harness, r *result, c *contract.Completion, record bool, arrivedAt time.Time, mu *sync.Mutex) {
	var first time.Duration
	err := h.Complete(context.Background(), c, func(contract.Chunk) error {
		if first == 0 {
			first = time.Since(arrivedAt)
		}
		return nil
	})
	if err != nil {
		r.errors.Add(1)
		return
	}
	if !record {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	_ = r.firstToken.RecordValue(first.Microseconds())
	_ = r.total.RecordValue(time.Since(arrivedAt).Microseconds())
}

var policyVariants = []struct {
	name   string
	policy route.Policy
}{
	{"adaptive", route.Adaptive}, {"least-in-flight", route.LeastInFlight},
	{"round-robin", route.RoundRobin}, {"random", route.Random},
}

// BenchmarkPolicy runs each variant and its reference once, and reports the ratios.
func BenchmarkPolicy(b *testing.B) {
	b.Run("batch-harm", benchmarkBatchHarm)
	b.Run("short-beside-long", benchmarkShortBesideLong)
	b.Run("slowed", benchmarkSlowed)
}

func benchmarkBatchHarm(b *testing.B) {
	online := trial{rate: 150, tokens: 16}
	reference := online.run(b)
	batch := trial{batchCalls: 16 * policyUpstreams, batchAsOnline: true, policy: route.LeastInFlight}.run(b)
	for _, variant := range []struct {
		name        string
		share       float64
		unprotected bool
		policy      route.Policy
	}{
		{name: "protected", share: 1},
		{name: "protected-share-0.8", share: 0.8},
		{name: "protected-share-0.6", share: 0.6},
		{name: "unprotected", unprotected: true, policy: route.LeastInFlight},
	} {
		b.Run(variant.name, func(b *testing.B) {
			tr := online
			tr.batchCalls = 16 * policyUpstreams
			tr.batchShare, tr.batchAsOnline, tr.policy = variant.share, variant.unprotected, variant.policy
			r := tr.run(b)
			r.report(b)
			b.ReportMetric(reference.firstTokenMillis(99), "alone-p99-ms")
			b.ReportMetric(r.firstTokenMillis(99), "p99-ms")
			b.ReportMetric(r.firstTokenMillis(99)/reference.firstTokenMillis(99), "p99-ratio")
			b.ReportMetric(r.firstTokenMillis(50)/reference.firstTokenMillis(50), "p50-ratio")
			b.ReportMetric(float64(r.batchTokens.Load())/float64(batch.batchTokens.Load()), "batch-share")
		})
	}
}

func benchmarkShortBesideLong(b *testing.B) {
	for _, variant := range policyVariants {
		b.Run(variant.name, func(b *testing.B) {
			reference := trial{policy: variant.policy, rate: 120, tokens: 12}.run(b)
			r := trial{policy: variant.policy, rate: 120, tokens: 12, longShare: 0.3, longTokens: 300}.run(b)
			r.report(b)
			b.ReportMetric(reference.firstTokenMillis(99), "alone-p99-ms")
			b.ReportMetric(r.firstTokenMillis(99), "p99-ms")
			b.ReportMetric(r.firstTokenMillis(99)/reference.firstTokenMillis(99), "p99-ratio")
			b.ReportMetric(r.totalMillis(99)/reference.totalMillis(99), "p99-whole-ratio")
		})
	}
}

func benchmarkSlowed(b *testing.B) {
	for _, variant := range policyVariants {
		b.Run(variant.name, func(b *testing.B) {
			reference := trial{policy: variant.policy, rate: 120, tokens: 16}.run(b)
			r := trial{policy: variant.policy, rate: 120, tokens: 16, slowed: 3}.run(b)
			r.report(b)
			b.ReportMetric(reference.firstTokenMillis(99), "fine-p99-ms")
			b.ReportMetric(r.firstTokenMillis(99), "p99-ms")
			b.ReportMetric(r.firstTokenMillis(99)/reference.firstTokenMillis(99), "p99-ratio")
			b.ReportMetric(r.totalMillis(99)/reference.totalMillis(99), "p99-whole-ratio")
		})
	}
}
