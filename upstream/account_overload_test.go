package upstream

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// accountResult is what an account got.
type accountResult struct {
	sent, served, onTime int
}

// part returns n as a part of the sent requests.
func (r accountResult) part(n int) float64 { return float64(n) / float64(max(r.sent, 1)) }

// overloadPlay is a load of ten accounts on workers that they use to usualLoad. The first
// account sends burst times its usual rate in the middle third of the time.
type overloadPlay struct {
	instances int
	burst     float64
	// callers is the number of callers of an account. A caller stays with an instance for
	// callerStay.
	callers int
}

const (
	overloadAccounts = 10
	usualLoad        = 0.7
	callerStay       = 2 * time.Second
	overloadTime     = 24 * time.Second
)

// run returns what each account got in the time of the burst.
func (p overloadPlay) run(t *testing.T) [overloadAccounts]accountResult {
	const (
		workers       = 8
		slots         = workers * 4 // newForwarder gives each worker 4 slots.
		runTime       = 740 * time.Millisecond
		objective     = 300 * time.Millisecond
		callerTimeout = 5 * time.Second
	)
	var results [overloadAccounts]accountResult
	synctest.Test(t, func(t *testing.T) {
		var tooMany atomic.Int64
		dial, all, wait := pipeWorkers(queueingWorkers(workers, slots/workers, runTime, &tooMany)...)
		f := newSharingFleet(t, p.instances, dial, all)
		var mu sync.Mutex
		var callers sync.WaitGroup
		start := time.Now()
		for a := range overloadAccounts {
			random := rand.New(rand.NewPCG(uint64(a), 1))
			usual := usualLoad * slots / runTime.Seconds() / overloadAccounts
			callers.Go(func() {
				for time.Since(start) < overloadTime {
					elapsed := time.Since(start)
					inBurst, rate := elapsed >= overloadTime/3 && elapsed < overloadTime*2/3, usual
					if a == 0 && inBurst {
						rate *= p.burst
					}
					time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
					caller := random.IntN(p.callers)
					instance := f.instances[(a*7+caller*5+int(time.Since(start)/callerStay)*11)%p.instances]
					call := streamCall(fmt.Sprint(a), true)
					call.Class, call.Account, call.Share = contract.Online, fmt.Sprint("a", a), 1./overloadAccounts
					call.Deadline, call.Objective, call.MaxGap = time.Now().Add(callerTimeout), objective, 2*time.Second
					call.ExpectedTokens = int(runTime / defaultTimePerToken)
					sentAt, first := time.Now(), time.Duration(0)
					sink := &answerSink{wrote: func() {
						if first == 0 {
							first = time.Since(sentAt)
						}
					}}
					callers.Go(func() {
						err := instance.Forward(t.Context(), call, sink)
						mu.Lock()
						defer mu.Unlock()
						r := &results[a]
						if !inBurst {
							return
						}
						r.sent++
						if err == nil {
							r.served++
							if first <= objective {
								r.onTime++
							}
						}
					})
				}
			})
		}
		callers.Wait()
		f.close()
		wait.Wait()
		t.Logf("%d instances, burst %.1f, %d callers: %d requests found no slot at their worker", p.instances, p.burst, p.callers, tooMany.Load())
	})
	return results
}

// TestBurstOfOneAccountCostsOthersNothing guards against requests of all accounts that are
// late or lost because one of them sends 7.5 times its usual rate, which is 1.16 times what
// the workers can run. The requests have passed the request quotas.
func TestBurstOfOneAccountCostsOthersNothing(t *testing.T) {
	const tolerance = 0.02
	for name, p := range map[string]overloadPlay{
		"one instance":                 {instances: 1, callers: 1},
		"many instances":               {instances: 24, callers: 1},
		"many instances, many callers": {instances: 24, callers: 24},
	} {
		t.Run(name, func(t *testing.T) {
			p.burst = 1
			without := p.run(t)
			p.burst = 7.5
			with := p.run(t)
			var sum, sumWithout accountResult
			for a := range overloadAccounts {
				w, wo := with[a], without[a]
				t.Logf("account %d: %d sent, %.3f served, %.3f on time; without the burst %d, %.3f, %.3f", a,
					w.sent, w.part(w.served), w.part(w.onTime), wo.sent, wo.part(wo.served), wo.part(wo.onTime))
				if a > 0 {
					sum = accountResult{sum.sent + w.sent, sum.served + w.served, sum.onTime + w.onTime}
					sumWithout = accountResult{sumWithout.sent + wo.sent, sumWithout.served + wo.served, sumWithout.onTime + wo.onTime}
				}
			}
			t.Logf("others: %.3f served, %.3f on time; without %.3f, %.3f", sum.part(sum.served), sum.part(sum.onTime), sumWithout.part(sumWithout.served), sumWithout.part(sumWithout.onTime))
			for a := 1; a < overloadAccounts; a++ {
				if w, wo := with[a], without[a]; w.part(w.served) < wo.part(wo.served)-tolerance {
					t.Errorf("account %d: %.3f served, want at most %.2f less than the %.3f without the burst", a, w.part(w.served), tolerance, wo.part(wo.served))
				}
			}
			if got, want := sum.part(sum.onTime), sumWithout.part(sumWithout.onTime)-tolerance; got < want {
				t.Errorf("%.3f of the others' requests on time, want at least %.3f", got, want)
			}
		})
	}
}
