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

// policyEngine has the proportions of a real engine: a full batch slows a step
// by a third, and a prompt costs part of a step.
var policyEngine = engine.Options{
	MaxRunning: 16, StepBase: 10 * time.Millisecond, StepPerRunning: 200 * time.Microsecond,
	PrefillPerToken: 5 * time.Microsecond, ReportLag: 500 * time.Millisecond,
}

const (
	policyUpstreams = 10
	policyWarmup    = time.Second
	policyMeasured  = 4 * time.Second
	promptBytes     = 1200
	// slowedAfter lies in a burst, so that many requests are in flight.
	slowedAfter = time.Second + burstLength/2
	// burstPeriod and burstLength shape the arrivals: a burst has burstFactor
	// times the ordinary rate.
	burstPeriod = time.Second
	burstLength = 250 * time.Millisecond
	burstFactor = 3
)

// trial is one run of one variant.
type trial struct {
	policy route.Policy
	// online requests a second outside of bursts, and their length in tokens.
	rate   float64
	tokens int
	// longShare of the requests have longTokens.
	longShare  float64
	longTokens int
	// batch calls at once, of batchTokens; as online work when unprotected.
	batch       int
	unprotected bool
	// slowed upstreams are ten times slower from slowedAfter of the measurement on.
	slowed int
	// batchShare of the preset; 0 means 1.
	batchShare float64
}

// result of a trial.
type result struct {
	firstToken, total *hdrhistogram.Histogram
	errors            atomic.Int64
	batchTokens       atomic.Int64
	counters          map[string]float64
}

// report adds the counters of the dispatcher to a benchmark's result.
func (r *result) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(r.errors.Load()), "errors")
	for name, value := range r.counters {
		b.ReportMetric(value, name)
	}
}

func (r *result) first(q float64) float64 { return float64(r.firstToken.ValueAtQuantile(q)) / 1000 }
func (r *result) whole(q float64) float64 { return float64(r.total.ValueAtQuantile(q)) / 1000 }

const batchTokens = 64

func prompt(random *rand.Rand) string {
	return fmt.Sprintf("%016x", random.Uint64()) + strings.Repeat("x", promptBytes)
}

// run measures a trial with arrivals that don't wait for answers.
func (tr trial) run(b *testing.B) *result {
	b.Helper()
	r := &result{firstToken: hdrhistogram.New(1, 60_000_000, 3), total: hdrhistogram.New(1, 60_000_000, 3)}
	f := newBench(b, policyUpstreams, policyEngine, func(o *Options, d *contract.Document) {
		o.Policy = tr.policy
		o.PollInterval = 0
		p := d.Presets["normal"]
		p.HeadroomSlots = 2
		if tr.batchShare > 0 {
			p.BatchShare = tr.batchShare
		}
		d.Presets["normal"] = p
	})
	defer f.close()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	start := time.Now().Add(policyWarmup)
	for i := range tr.batch {
		wait.Go(func() { tr.batchWorker(ctx, f, r, start, uint64(i)) })
	}
	slow := time.AfterFunc(policyWarmup+slowedAfter, func() {
		for i := range tr.slowed {
			f.engines[3*i].SetFaults(engine.Faults{SlowFactor: 10})
		}
	})
	tr.arrivals(f, r, start)
	slow.Stop()
	cancel()
	wait.Wait()
	r.counters = map[string]float64{}
	for _, name := range []string{"preemptions", "ejections", "moves", "hedges", "retries"} {
		r.counters[name] = f.counter(name)
	}
	return r
}

func (tr trial) batchWorker(ctx context.Context, f *bench, r *result, start time.Time, seed uint64) {
	random := rand.New(rand.NewPCG(2, seed))
	class := contract.Batch
	if tr.unprotected {
		class = contract.Online
	}
	for ctx.Err() == nil {
		c := call(class, prompt(random), batchTokens)
		c.Deadline = time.Time{}
		_ = f.Complete(ctx, c, func(chunk contract.Chunk) error {
			if chunk.Text != "" && time.Now().After(start) {
				r.batchTokens.Add(1)
			}
			return nil
		})
	}
}

func (tr trial) arrivals(f *bench, r *result, start time.Time) {
	random := rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	var mu sync.Mutex
	end := start.Add(policyMeasured)
	for at := start.Add(-policyWarmup); at.Before(end); {
		rate := tr.rate
		if at.Sub(start.Add(-policyWarmup))%burstPeriod < burstLength {
			rate *= burstFactor
		}
		if rate == 0 {
			time.Sleep(time.Until(end))
			break
		}
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		long := random.Float64() < tr.longShare
		c := call(contract.Online, prompt(random), tr.tokens)
		if long {
			c.Chat.MaxTokens = tr.longTokens
		}
		time.Sleep(time.Until(at))
		wait.Go(func() { tr.ask(f, r, c, !long && at.After(start), at, &mu) })
	}
	wait.Wait()
}

func (tr trial) ask(f *bench, r *result, c *contract.Completion, counts bool, at time.Time, mu *sync.Mutex) {
	var first time.Duration
	err := f.Complete(context.Background(), c, func(contract.Chunk) error {
		if first == 0 {
			first = time.Since(at)
		}
		return nil
	})
	if err != nil {
		r.errors.Add(1)
		return
	}
	if !counts {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	_ = r.firstToken.RecordValue(first.Microseconds())
	_ = r.total.RecordValue(time.Since(at).Microseconds())
}

var baselines = []struct {
	name   string
	policy route.Policy
}{
	{"adaptive", route.Adaptive}, {"least-in-flight", route.LeastInFlight},
	{"round-robin", route.RoundRobin}, {"random", route.Random},
}

// BenchmarkPolicy runs each variant once with its reference and reports ratios.
func BenchmarkPolicy(b *testing.B) {
	b.Run("batch-harm", benchmarkBatchHarm)
	b.Run("short-beside-long", benchmarkShortBesideLong)
	b.Run("slowed", benchmarkSlowed)
}

func benchmarkBatchHarm(b *testing.B) {
	online := trial{rate: 150, tokens: 16}
	alone := online.run(b)
	batch := trial{batch: 16 * policyUpstreams, unprotected: true, policy: route.LeastInFlight}.run(b)
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
			tr.batch = 16 * policyUpstreams
			tr.batchShare, tr.unprotected, tr.policy = variant.share, variant.unprotected, variant.policy
			r := tr.run(b)
			r.report(b)
			b.ReportMetric(alone.first(99), "alone-p99-ms")
			b.ReportMetric(r.first(99), "p99-ms")
			b.ReportMetric(r.first(99)/alone.first(99), "p99-ratio")
			b.ReportMetric(r.first(50)/alone.first(50), "p50-ratio")
			b.ReportMetric(float64(r.batchTokens.Load())/float64(batch.batchTokens.Load()), "batch-share")
		})
	}
}

func benchmarkShortBesideLong(b *testing.B) {
	for _, base := range baselines {
		b.Run(base.name, func(b *testing.B) {
			alone := trial{policy: base.policy, rate: 120, tokens: 12}.run(b)
			r := trial{policy: base.policy, rate: 120, tokens: 12, longShare: 0.3, longTokens: 300}.run(b)
			r.report(b)
			b.ReportMetric(alone.first(99), "alone-p99-ms")
			b.ReportMetric(r.first(99), "p99-ms")
			b.ReportMetric(r.first(99)/alone.first(99), "p99-ratio")
			b.ReportMetric(r.whole(99)/alone.whole(99), "p99-whole-ratio")
		})
	}
}

func benchmarkSlowed(b *testing.B) {
	for _, base := range baselines {
		b.Run(base.name, func(b *testing.B) {
			fine := trial{policy: base.policy, rate: 120, tokens: 16}.run(b)
			r := trial{policy: base.policy, rate: 120, tokens: 16, slowed: 3}.run(b)
			r.report(b)
			b.ReportMetric(fine.first(99), "fine-p99-ms")
			b.ReportMetric(r.first(99), "p99-ms")
			b.ReportMetric(r.first(99)/fine.first(99), "p99-ratio")
			b.ReportMetric(r.whole(99)/fine.whole(99), "p99-whole-ratio")
		})
	}
}
