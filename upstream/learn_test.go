package upstream

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// speedRun is a play of a fleet whose workers run at different speeds.
type speedRun struct {
	instances, learning, workers int
	rate                         float64
	end                          time.Duration
	// speed and knee return a worker's speed, and the number of requests beyond which
	// its rate does not grow. silentUntil returns until when it sends nothing.
	speed       func(worker int, since time.Duration) float64
	knee        func(worker int) int
	silentUntil func(worker int, since time.Duration) time.Duration
	// slowdown is the share by which each running request slows all at its worker.
	slowdown float64
	// observe is called at each second with the time since the start.
	observe func(f *learningFleet, since time.Duration)
}

// speedResult describes the requests of a run.
type speedResult struct {
	all, failed, late, slowest int64
	meanTime                   time.Duration
}

// onTime returns how many answers were whole and began in time.
func (r speedResult) onTime() int64 { return r.all - r.late - r.failed }

// play returns the result of a run. Late requests have no first event within 300 ms,
// slow ones take longer than slowAnswer.
func (r speedRun) play(t *testing.T) (result speedResult) {
	const slowAnswer = 1200 * time.Millisecond
	start := time.Now()
	scripts := make([]script, r.workers)
	for i := range scripts {
		var running atomic.Int64
		free := make(chan struct{}, 8)
		scripts[i] = func(_ testing.TB, _ *scriptedWorker, c net.Conn, q *http.Request) {
			free <- struct{}{}
			defer func() { <-free }()
			running.Add(1)
			defer running.Add(-1)
			pause := func(d time.Duration) {
				factor := 1 / r.speed(i, time.Since(start))
				if r.knee != nil {
					factor *= max(float64(running.Load())/float64(r.knee(i)), 1)
				}
				factor *= 1 + r.slowdown*float64(running.Load())
				time.Sleep(time.Duration(float64(d) * factor))
				if r.silentUntil != nil {
					time.Sleep(r.silentUntil(i, time.Since(start)) - time.Since(start))
				}
			}
			writeAnswer(c, q, pause)
		}
	}
	var mu sync.Mutex
	var sum time.Duration
	load := streams{rate: r.rate, until: r.end, done: func(_ int, took time.Duration, err error, first time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		result.all++
		sum += took
		switch {
		case err != nil:
			result.failed++
		case first > 300*time.Millisecond:
			result.late++
		}
		if took > slowAnswer {
			result.slowest++
		}
	}}
	learningOptions{instances: r.instances, learning: r.learning, slots: 8}.play(t, load, scripts, func(f *learningFleet) {
		if r.observe != nil {
			r.observe(f, time.Since(start))
		}
	})
	result.meanTime = sum / time.Duration(result.all)
	return result
}

// usual is the speed of workers that all run at the usual speed.
func usual(int, time.Duration) float64 { return 1 }

// speedsOf returns what the instances have learned of a worker, on average, and how many
// instances differ by more than a fifth from want.
func (f *learningFleet) speedsOf(worker int, want float64) (mean float64, wrong int) {
	for _, d := range f.dispatchers {
		for _, u := range d.State().Upstreams {
			if u.ID == workerName(worker) {
				mean += u.Speed / float64(len(f.dispatchers))
				if math.Abs(u.Speed/want-1) > 0.2 {
					wrong++
				}
			}
		}
	}
	return mean, wrong
}

// TestFleetFindsSpeedsWithinSeconds has workers at 0.55 and 1.2 times the usual speed. All
// instances must know them after 5 s, although each sends a worker a request only now and
// then, and must use them so that answers take less time.
func TestFleetFindsSpeedsWithinSeconds(t *testing.T) {
	speed := func(i int, _ time.Duration) float64 {
		switch {
		case i < 5:
			return 0.55
		case i < 10:
			return 1.2
		}
		return 1
	}
	results := map[int]speedResult{}
	for _, learning := range []int{0, 30} {
		synctest.Test(t, func(t *testing.T) {
			r := speedRun{instances: 30, learning: learning, workers: 28, rate: 100, end: 10 * time.Second, speed: speed}
			r.observe = func(f *learningFleet, since time.Duration) {
				if learning == 0 || since != 5*time.Second {
					return
				}
				for i := range r.workers {
					mean, wrong := f.speedsOf(i, speed(i, 0))
					t.Logf("worker %d at %.2f: learned %.2f, %d of 30 instances off by over a fifth", i, speed(i, 0), mean, wrong)
					if math.Abs(mean/speed(i, 0)-1) > 0.15 || wrong > 3 {
						t.Errorf("worker %d at speed %.2f: learned %.2f on average, %d of 30 instances are off by over a fifth", i, speed(i, 0), mean, wrong)
					}
				}
			}
			results[learning] = r.play(t)
			t.Logf("%d instances learn: %+v", learning, results[learning])
		})
	}
	if results[30].meanTime >= results[0].meanTime || results[30].slowest >= results[0].slowest || results[30].late > results[0].late {
		t.Errorf("%+v with learned speeds and %+v without, want shorter answers", results[30], results[0])
	}
}

// TestFleetFollowsASlowdownAndARecovery guards against speeds that are kept too long, in
// both directions.
func TestFleetFollowsASlowdownAndARecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		speed := func(i int, since time.Duration) float64 {
			if i == 3 && since > 4*time.Second && since < 9*time.Second {
				return 0.5
			}
			return 1
		}
		r := speedRun{instances: 30, learning: 30, workers: 28, rate: 120, end: 16 * time.Second, speed: speed}
		r.observe = func(f *learningFleet, since time.Duration) {
			mean, _ := f.speedsOf(3, 1)
			t.Logf("%v: learned speed %.2f", since, mean)
			switch {
			case since == 8*time.Second && mean > 0.65:
				t.Errorf("learned %.2f 4 s after the slowdown to 0.5", mean)
			case since == 15*time.Second && mean < 0.85:
				t.Errorf("learned %.2f 6 s after the recovery", mean)
			}
		}
		r.play(t)
	})
}

// TestShortSilenceIsNotSlowness has a worker that pauses for 300 ms now and then.
func TestShortSilenceIsNotSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := speedRun{instances: 30, learning: 30, workers: 28, rate: 100, end: 10 * time.Second, speed: usual}
		r.silentUntil = func(i int, since time.Duration) time.Duration {
			if from := 4 * time.Second; i == 2 && since >= from && since < from+300*time.Millisecond {
				return from + 300*time.Millisecond
			}
			return 0
		}
		r.observe = func(f *learningFleet, since time.Duration) {
			if mean, wrong := f.speedsOf(2, 1); since >= 3*time.Second && (mean < 0.8 || wrong > 6) {
				t.Errorf("%v: learned speed %.2f, %d of 30 instances off by over a fifth", since, mean, wrong)
			}
		}
		r.play(t)
	})
}

// TestFullLoadDoesNotShrinkTheFleet guards against a spiral in which the effect of load is
// taken for slowness, and less and less work is admitted. The workers slow down with each
// request and can run some 63 requests a second.
func TestFullLoadDoesNotShrinkTheFleet(t *testing.T) {
	for _, rate := range []float64{60, 72, 84} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			results := map[int]speedResult{}
			for _, learning := range []int{0, 20} {
				synctest.Test(t, func(t *testing.T) {
					r := speedRun{instances: 20, learning: learning, workers: 8, rate: rate, end: 15 * time.Second, speed: usual}
					r.slowdown = 0.05
					r.observe = func(f *learningFleet, since time.Duration) {
						if learning == 0 || since < 5*time.Second {
							return
						}
						for _, u := range f.dispatchers[0].State().Upstreams {
							if u.Speed < 0.75 || u.Knee < 4 {
								t.Errorf("%v: %s has speed %.2f and knee %d at full load", since, u.ID, u.Speed, u.Knee)
							}
						}
					}
					results[learning] = r.play(t)
					t.Logf("%d instances learn: %+v", learning, results[learning])
				})
			}
			// Runs of the same fleet differ by some 2 % under overload.
			if a, b := results[20].onTime(), results[0].onTime(); float64(a) < 0.95*float64(b) {
				t.Errorf("%d answers began in time with learned capacities and %d without", a, b)
			}
		})
	}
}

// TestWorkIsKeptBelowTheKnee has workers that slow down beyond 3 requests. Answers must
// not take longer than without learning.
func TestWorkIsKeptBelowTheKnee(t *testing.T) {
	results := map[int]speedResult{}
	for _, learning := range []int{0, 20} {
		synctest.Test(t, func(t *testing.T) {
			r := speedRun{instances: 20, learning: learning, workers: 12, rate: 70, end: 15 * time.Second, speed: usual}
			r.knee = func(i int) int {
				if i < 4 {
					return 3
				}
				return 8
			}
			r.observe = func(f *learningFleet, since time.Duration) {
				if learning > 0 && since == 12*time.Second {
					text := ""
					for _, u := range f.dispatchers[0].State().Upstreams {
						text += fmt.Sprintf(" %s:%.2f/%d", u.ID, u.Speed, u.Knee)
					}
					t.Logf("learned speed and knee:%s", text)
				}
			}
			results[learning] = r.play(t)
			t.Logf("%d instances learn: %+v", learning, results[learning])
		})
	}
	if a, b := results[20], results[0]; a.meanTime > b.meanTime || a.slowest > b.slowest {
		t.Errorf("%+v with learned capacities and %+v without, want shorter answers", a, b)
	}
}
