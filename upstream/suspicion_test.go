package upstream

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/upstream/upstreampb"
)

// silentRun is a play of a fleet in which some workers send nothing for a time.
type silentRun struct {
	instances, learning, workers, silent int
	rate                                 float64
	from, until, end                     time.Duration
	leaveAfter                           time.Duration
	log                                  *zap.Logger
}

// silentResult counts requests: sent ones that arrived at silent workers, running ones
// that were there when the silence began, and others that failed or were late.
type silentResult struct{ sent, running, late, all int64 }

// play returns the result of a run.
func (r silentRun) play(t *testing.T) (result silentResult) {
	var sent, running, late, all atomic.Int64
	start := time.Now()
	isSilent := func() bool { return time.Since(start) >= r.from && time.Since(start) < r.until }
	scripts := make([]script, r.workers)
	for i := range scripts {
		scripts[i] = func(_ testing.TB, _ *scriptedWorker, c net.Conn, q *http.Request) {
			pause := func(d time.Duration) {
				time.Sleep(d)
				if i < r.silent && isSilent() {
					time.Sleep(r.until - time.Since(start))
				}
			}
			switch since := time.Since(start); {
			case i >= r.silent:
			case isSilent():
				sent.Add(1)
			case since < r.from && r.from-since < workerFirstEvent+workerEvents*workerSpacing:
				running.Add(1)
			}
			writeAnswer(c, q, pause)
		}
	}
	o := learningOptions{instances: r.instances, learning: r.learning, slots: 8, log: r.log}
	o.play(t, streams{rate: r.rate, until: r.end, leaveAfter: r.leaveAfter, done: func(_ int, _ time.Duration, err error, first time.Duration) {
		all.Add(1)
		if err != nil || first > 300*time.Millisecond {
			late.Add(1)
		}
	}}, scripts, nil)
	return silentResult{sent.Load(), running.Load(), late.Load(), all.Load()}
}

// lighting has the proportions of the larger deployments: 30 instances share 28 workers,
// of which 3 send nothing for 6 s.
var lighting = silentRun{instances: 30, workers: 28, silent: 3, rate: 100, from: 4 * time.Second, until: 10 * time.Second, end: 16 * time.Second}

// TestOneInstanceWarnsTheOthersOfASilentUpstream guards against each instance of a fleet
// losing a request of its own at an upstream that sends nothing.
func TestOneInstanceWarnsTheOthersOfASilentUpstream(t *testing.T) {
	for _, leaveAfter := range []time.Duration{5 * time.Second, 2 * time.Second, 600 * time.Millisecond} {
		t.Run(leaveAfter.String(), func(t *testing.T) {
			results := map[int]silentResult{}
			for _, learning := range []int{0, 15, 30} {
				synctest.Test(t, func(t *testing.T) {
					r := lighting
					r.learning, r.leaveAfter = learning, leaveAfter
					results[learning] = r.play(t)
					t.Logf("%d of 30 instances share: %+v", learning, results[learning])
				})
			}
			if alone, shared := results[0], results[30]; 2*shared.sent > alone.sent || shared.late >= alone.late {
				t.Errorf("%+v with reports and %+v without, want at most half of the requests sent to silent upstreams", shared, alone)
			}
		})
	}
}

// TestUpstreamIsUsedAgainSoonAfterItsSilence guards against upstreams that stay left out.
func TestUpstreamIsUsedAgainSoonAfterItsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		start, r := time.Now(), lighting
		r.learning, r.log = 30, zap.New(core)
		r.play(t)
		out := logs.FilterMessage("upstream left out").Len()
		if again := logs.FilterMessage("upstream used again").Len(); out == 0 || again != out {
			t.Errorf("upstreams were left out %d times and used again %d times", out, again)
		}
		for _, e := range logs.FilterMessage("upstream used again").All() {
			if since := e.Time.Sub(start); since > r.until+3*time.Second {
				t.Errorf("an upstream was used again %v after the start, want within 3s of %v", since, r.until)
			}
		}
	})
}

// TestSilencesOfOneInstancesOwnFaultAreNotReported cuts an instance off from all workers,
// while the datagrams of its peers still pass. It must not make the others leave them out.
func TestSilencesOfOneInstancesOwnFaultAreNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		start := time.Now()
		cut := func() bool { s := time.Since(start); return s > 3*time.Second && s < 7*time.Second }
		var workers []script
		for range 12 {
			workers = append(workers, func(_ testing.TB, _ *scriptedWorker, c net.Conn, q *http.Request) {
				mine := instanceOf(q, 10) == 0
				pause := func(d time.Duration) {
					time.Sleep(d)
					if mine && cut() {
						time.Sleep(7*time.Second - time.Since(start))
					}
				}
				writeAnswer(c, q, pause)
			})
		}
		var failed atomic.Int64
		learningOptions{instances: 10, learning: 10, slots: 8, log: zap.New(core)}.play(t, streams{rate: 40, until: 10 * time.Second, done: func(i int, _ time.Duration, err error, first time.Duration) {
			if i != 0 && (err != nil || first > 300*time.Millisecond) {
				failed.Add(1)
			}
		}}, workers, nil)
		if n := logs.FilterMessage("many upstreams silent, not reporting them").Len(); n == 0 {
			t.Error("the fault was not seen")
		}
		if out := logs.FilterMessage("upstream left out").Len(); out > 0 || failed.Load() > 0 {
			t.Errorf("upstreams were left out %d times, %d requests of other instances failed or were late", out, failed.Load())
		}
	})
}

// TestStalledInstanceReportsNothing guards against a frozen process that, when it goes
// on, takes the events that it has not read for silence.
func TestStalledInstanceReportsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, slots := silentTarget(t)
		now := time.Now()
		f.sched.watchTargets(now)
		if got := f.Digest().Observations; len(got) != 1 || got[0].Heard {
			t.Fatalf("observations %+v, want one silent upstream", got)
		}
		f.sched.watchTargets(now.Add(time.Second))
		if got := f.Digest().Observations; len(got) != 0 {
			t.Errorf("observations after a stall %+v, want none", got)
		}
		for _, g := range slots {
			f.sched.release(g, time.Now())
		}
	})
}

// TestDigestsWithoutReportsHaveTheBytesOfOlderVersions guards the interface to instances
// that do not share observations, in both directions.
func TestDigestsWithoutReportsHaveTheBytesOfOlderVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, slots := silentTarget(t)
		f.sched.watchTargets(time.Now())
		digest := f.Digest()
		data, err := proto.Marshal(digest.toProto())
		if err != nil {
			t.Fatal(err)
		}
		digest.Observations = nil
		plain, err := proto.Marshal(digest.toProto())
		if err != nil {
			t.Fatal(err)
		}
		if len(data) <= len(plain) || string(data[:len(plain)]) != string(plain) {
			t.Errorf("a digest with an observation, %x, does not begin with one without, %x", data, plain)
		}
		var got upstreampb.Digest
		if err := proto.Unmarshal(plain, &got); err != nil || len(got.GetObservations()) != 0 {
			t.Errorf("an older digest was read as %v, %v", &got, err)
		}
		f.sched.watch = nil
		if got := f.Digest(); len(got.Observations) != 0 {
			t.Errorf("observations %+v with the feature off, want none", got.Observations)
		}
		for _, g := range slots {
			f.sched.release(g, time.Now())
		}
	})
}

// silentTarget returns a dispatcher with requests at three upstreams, of which one has
// been silent for longer than is reported while the others send events.
func silentTarget(t *testing.T) (*Dispatcher, []*slot) {
	_, workers, _ := pipeWorkers(nil, nil, nil, nil)
	d := newForwarder(t, workers...)
	d.sched.watch = &watch{}
	p, err := d.current().pool("s", contract.KindRouted)
	if err != nil {
		t.Fatal(err)
	}
	p.medianFirstToken, p.medianSpacing = workerFirstEvent, workerSpacing
	var slots []*slot
	for range 3 {
		g := d.sched.tryAcquire(t.Context(), request{pool: p, deadline: time.Now().Add(time.Minute)})
		g.sentNanos.Store(1)
		slots = append(slots, g)
	}
	time.Sleep(time.Second)
	for _, g := range slots {
		if g.target != slots[0].target {
			g.recordToken(time.Now())
		}
	}
	return d, slots
}

// instanceOf returns the instance that sent a request of streams, if each has its turn.
func instanceOf(q *http.Request, instances int) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(q.Header.Get("Id"), "o"))
	return n % instances
}

// TestOneInstanceWarnsTheOthersOfAnUpstreamThatFails guards against each instance losing
// requests of its own at an upstream that responds to each request with an error at once,
// which makes it look free and fast.
func TestOneInstanceWarnsTheOthersOfAnUpstreamThatFails(t *testing.T) {
	failures := map[int]int64{}
	for _, learning := range []int{0, 30} {
		synctest.Test(t, func(t *testing.T) {
			var failed atomic.Int64
			start := time.Now()
			var workers []script
			for i := range 28 {
				workers = append(workers, func(_ testing.TB, _ *scriptedWorker, c net.Conn, q *http.Request) {
					if i == 0 && time.Since(start) > 2*time.Second {
						failed.Add(1)
						_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nSigned: yes\r\nId: " + q.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"))
						return
					}
					writeAnswer(c, q, nil)
				})
			}
			learningOptions{instances: 30, learning: learning, slots: 8}.play(t, streams{rate: 100, until: 10 * time.Second}, workers, nil)
			failures[learning] = failed.Load()
		})
	}
	t.Logf("requests that failed at the upstream, by the number of instances that share: %v", failures)
	if 2*failures[30] > failures[0] {
		t.Errorf("%d requests failed with reports and %d without, want at most half", failures[30], failures[0])
	}
}

// TestRequestsThatFailEverywhereDoNotMakeOthersLate guards against requests at fault
// themselves, a tenth of all, that make the fleet leave out one upstream after another.
func TestRequestsThatFailEverywhereDoNotMakeOthersLate(t *testing.T) {
	late := map[int]int64{}
	for _, learning := range []int{0, 30} {
		synctest.Test(t, func(t *testing.T) {
			var workers []script
			var failing atomic.Int64
			for range 28 {
				workers = append(workers, func(_ testing.TB, _ *scriptedWorker, c net.Conn, q *http.Request) {
					if instanceOf(q, 10) == 0 {
						failing.Add(1)
						return
					}
					writeAnswer(c, q, nil)
				})
			}
			var slow, failed atomic.Int64
			load := streams{rate: 150, until: 8 * time.Second, instance: func(n int) int { return n * 7 % 30 }, done: func(_ int, _ time.Duration, err error, first time.Duration) {
				if err != nil {
					failed.Add(1)
				} else if first > 300*time.Millisecond {
					slow.Add(1)
				}
			}}
			learningOptions{instances: 30, learning: learning, slots: 8}.play(t, load, workers, nil)
			t.Logf("%d instances learn: %d requests fail, %d failed, %d late", learning, failing.Load(), failed.Load(), slow.Load())
			late[learning] = slow.Load() + failed.Load() - failing.Load()
		})
	}
	if late[30] > late[0] {
		t.Errorf("%d other requests failed or were late with reports and %d without", late[30], late[0])
	}
}
