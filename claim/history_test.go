package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage/memory"
)

const (
	planInstances = 3
	planLength    = 40 * time.Second
)

// plannedCall is one call of a plan and the result of its run.
type plannedCall struct {
	instance   int
	key        string
	startAfter time.Duration
	duration   time.Duration
	// result is 0 for an answer, code.UpstreamRefused for a call that was not
	// dispatched, or code.UpstreamFailed.
	result code.Number
}

// plannedFault is a change of the injected faults.
type plannedFault struct {
	startAfter time.Duration
	// kind names the fault. "cut" disconnects an instance from its peers, "alone"
	// gives it a view of itself only.
	kind string
	// n is the number of calls to fail, or selects the instance.
	n int
}

// plan has the calls and faults of one run of a fleet.
type plan struct {
	calls  []plannedCall
	faults []plannedFault
}

// plans generates random plans.
var plans = rapid.Custom(func(r *rapid.T) plan {
	moment := rapid.Map(rapid.IntRange(0, int(planLength/(100*time.Millisecond))), func(n int) time.Duration {
		return time.Duration(n) * 100 * time.Millisecond
	})
	call := rapid.Custom(func(r *rapid.T) plannedCall {
		return plannedCall{
			instance:   rapid.IntRange(0, planInstances-1).Draw(r, "instance"),
			key:        rapid.SampledFrom([]string{"a", "b"}).Draw(r, "key"),
			startAfter: moment.Draw(r, "at"),
			duration:   time.Duration(rapid.IntRange(0, 3000).Draw(r, "takes")) * time.Millisecond,
			result:     rapid.SampledFrom([]code.Number{0, 0, 0, code.UpstreamRefused, code.UpstreamFailed}).Draw(r, "result"),
		}
	})
	fault := rapid.Custom(func(r *rapid.T) plannedFault {
		return plannedFault{
			startAfter: moment.Draw(r, "at"),
			kind:       rapid.SampledFrom([]string{"lose", "hold", "release", "down", "up", "forwards", "cut", "freeze", "alone", "kill"}).Draw(r, "kind"),
			n:          rapid.IntRange(0, 8).Draw(r, "n"),
		}
	})
	return plan{
		calls:  rapid.SliceOfN(call, 2, 14).Draw(r, "calls"),
		faults: rapid.SliceOfN(fault, 0, 8).Draw(r, "faults"),
	}
})

// apply injects or removes the fault.
func (p plannedFault) apply(f *fleet) {
	i := p.n % planInstances
	switch p.kind {
	case "lose":
		f.store.Faults().LoseResponses(p.n)
	case "hold":
		f.store.Faults().HoldWrites(p.n)
	case "release":
		f.store.ReleaseHeld()
	case "down", "up":
		f.store.Faults().SetDown(p.kind == "down")
	case "forwards":
		f.loseForwards(p.n)
	case "cut":
		f.disconnect(f.instances[i].id, true)
	case "freeze":
		f.freeze(f.instances[i].id)
	case "alone":
		f.instances[i].view.set([]claim.Peer{{ID: f.instances[i].id, Address: f.instances[i].id}})
	case "kill":
		if i > 0 {
			f.kill(i)
		}
	}
}

// operation is one step of a call in a history.
type operation struct {
	key  string
	kind string
	// number is the result of a claim that was not granted.
	number code.Number
	answer string
	// unresolved is set when the caller does not know whether the step took effect.
	unresolved bool
}

// recorder collects a history.
type recorder struct {
	clock atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
	verdict    verdict
}

// verdict is the result of the checks of one plan.
type verdict struct {
	// ranTwice is the number of keys that ran more than once.
	ranTwice   int
	violations []string
}

// add records an operation that began at a time of the clock and ends now. An
// unresolved operation may take effect at any later time.
func (r *recorder) add(caller int, call int64, o operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.clock.Add(1)
	if o.unresolved {
		end = 1 << 60
	}
	r.operations = append(r.operations, porcupine.Operation{ClientId: caller, Input: o, Call: call, Return: end})
}

func (r *recorder) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdict.violations = append(r.verdict.violations, fmt.Sprintf(format, args...))
}

// callFunc is a scheme to run calls.
type callFunc func(ctx context.Context, f *fleet, instance int, p claim.Params, run claim.Run) (contract.PlainAnswer, error)

func viaService(ctx context.Context, f *fleet, instance int, p claim.Params, run claim.Run) (contract.PlainAnswer, error) {
	return f.instances[instance].Do(ctx, p, run)
}

// makeCall makes one call and records its steps.
func (r *recorder) makeCall(f *fleet, do callFunc, caller int, c plannedCall) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	startedAt := r.clock.Add(1)
	p := params(c.key)
	p.Deadline = time.Now().Add(10 * time.Second)
	granted, dispatched := false, false
	var settleStartedAt int64
	var ownAnswer string
	answer, err := do(ctx, f, c.instance, p, func(context.Context) (contract.PlainAnswer, error) {
		granted = true
		r.add(caller, startedAt, operation{key: c.key, kind: "grant"})
		time.Sleep(c.duration)
		defer func() { settleStartedAt = r.clock.Add(1) }()
		if c.result == code.UpstreamRefused {
			return contract.PlainAnswer{}, code.New(c.result, "busy")
		}
		dispatched = true
		answer := f.run(c.key)
		ownAnswer = string(answer.Body)
		if c.result != 0 {
			return contract.PlainAnswer{}, code.New(c.result, "broken")
		}
		return answer, nil
	})
	if err != nil && code.From(err).Outcome == code.NotRun && dispatched {
		r.fail("key %s: outcome not_run after a run: %v", c.key, err)
	}
	if !granted {
		r.add(caller, startedAt, operation{key: c.key, kind: "read", number: code.Of(err), answer: string(answer.Body)})
		return
	}
	settle := operation{key: c.key, kind: "finish", answer: ownAnswer, unresolved: err != nil}
	switch c.result {
	case code.UpstreamRefused:
		settle.kind = "release"
	case code.UpstreamFailed:
		settle.kind = "abandon"
	}
	r.add(caller, settleStartedAt, settle)
}

// execute runs the plan on a new fleet and checks the result.
func (p plan) execute(do callFunc) verdict {
	f := newFleet(planInstances, nil)
	r := &recorder{}
	var wg sync.WaitGroup
	for i, c := range p.calls {
		wg.Go(func() {
			time.Sleep(c.startAfter)
			r.makeCall(f, do, i, c)
		})
	}
	for _, fault := range p.faults {
		wg.Go(func() {
			time.Sleep(fault.startAfter)
			fault.apply(f)
		})
	}
	wg.Wait()
	f.store.Faults().Set(memory.FaultSettings{})
	f.store.ReleaseHeld()
	f.instances[0].Drain(context.Background())
	time.Sleep(5 * time.Minute)
	for i, key := range []string{"a", "b"} {
		r.makeCall(f, do, len(p.calls)+i, plannedCall{key: key})
		if n := f.runsOf(key); n > 1 {
			r.verdict.ranTwice++
			r.fail("key %s: %d runs", key, n)
		}
	}
	f.stop()
	if !porcupine.CheckOperations(model, r.operations) {
		r.fail("the history does not match the model: %+v", r.operations)
	}
	return r.verdict
}

// keyState is the state of one key in the model.
type keyState struct {
	phase  string
	answer string
	// maybeClaimed is set when a claim that was rejected may be in the table.
	maybeClaimed bool
}

// model is a register of claims: a key is granted only when free, and once finished
// it returns the same answer forever. A pending result is allowed in every state
// except lost.
var model = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(operation).key
			byKey[key] = append(byKey[key], o)
		}
		return [][]porcupine.Operation{byKey["a"], byKey["b"]}
	},
	Init: func() []any { return []any{keyState{phase: "free"}} },
	Step: func(state, input, _ any) []any {
		s, o := state.(keyState), input.(operation)
		next := s.step(o)
		if o.unresolved {
			next = append(next, s)
		}
		return next
	},
}).ToModel()

// step returns the state after an operation, or none when the operation is not
// allowed.
func (s keyState) step(o operation) []any {
	next := s
	switch {
	case o.kind == "grant" && s.phase == "free":
		next.phase = "held"
	case o.kind == "finish" && s.phase == "held":
		next.phase, next.answer = "finished", o.answer
	case o.kind == "release" && s.phase == "held":
		next.phase = "free"
	case o.kind == "abandon" && s.phase == "held":
		next.phase = "lost"
	case o.kind == "read" && s.allows(o):
		next.maybeClaimed = s.maybeClaimed || o.number == code.ClaimUnavailable
	default:
		return nil
	}
	return []any{next}
}

// allows reports whether a claim may have returned this result in the state.
func (s keyState) allows(o operation) bool {
	switch o.number {
	case 0:
		return s.phase == "finished" && s.answer == o.answer
	case code.OutcomeUnknown:
		return s.phase == "lost" || s.phase == "held" || (s.phase == "free" && s.maybeClaimed)
	case code.ResultPending:
		return s.phase != "lost"
	}
	return o.number == code.ClaimUnavailable
}

func (p plan) runSynctest(t *testing.T, do callFunc) (v verdict) {
	synctest.Test(t, func(*testing.T) { v = p.execute(do) })
	return v
}

func TestHistoriesMatchClaimModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := plans.Draw(r, "plan")
		if v := p.runSynctest(t, viaService); len(v.violations) > 0 {
			r.Fatal(v.violations)
		}
	})
}

// TestNaiveSchemesRunTwice runs the same plans with two faulty schemes and with the
// service. The schemes must run a call twice in some plan, which shows that the plans
// can find such a fault.
func TestNaiveSchemesRunTwice(t *testing.T) {
	const examples = 200
	count := func(do callFunc) (twice int) {
		for seed := range examples {
			if plans.Example(seed).runSynctest(t, do).ranTwice > 0 {
				twice++
			}
		}
		return twice
	}
	after, retried, service := count(claimAfterDispatch), count(runAgainOnUnknown), count(viaService)
	t.Logf("of %d plans, a call ran twice in: %d with the claim after dispatch, %d with a run again on an unknown answer, %d with the service", examples, after, retried, service)
	if after == 0 || retried == 0 {
		t.Error("the plans do not make the naive schemes run a call twice")
	}
	if service != 0 {
		t.Errorf("%d plans ran a call twice with the service, want 0", service)
	}
}
