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

// plannedCall is one call and what becomes of its run.
type plannedCall struct {
	instance int
	key      string
	at       time.Duration
	takes    time.Duration
	// result is 0 for an answer, code.UpstreamRefused for a call that was not
	// dispatched, or code.UpstreamFailed.
	result code.Number
}

// plannedFault changes what fails.
type plannedFault struct {
	at   time.Duration
	kind string
	n    int
}

// plan is a run of a fleet.
type plan struct {
	calls  []plannedCall
	faults []plannedFault
}

var plans = rapid.Custom(func(r *rapid.T) plan {
	moment := rapid.Map(rapid.IntRange(0, int(planLength/(100*time.Millisecond))), func(n int) time.Duration {
		return time.Duration(n) * 100 * time.Millisecond
	})
	call := rapid.Custom(func(r *rapid.T) plannedCall {
		return plannedCall{
			instance: rapid.IntRange(0, planInstances-1).Draw(r, "instance"),
			key:      rapid.SampledFrom([]string{"a", "b"}).Draw(r, "key"),
			at:       moment.Draw(r, "at"),
			takes:    time.Duration(rapid.IntRange(0, 3000).Draw(r, "takes")) * time.Millisecond,
			result:   rapid.SampledFrom([]code.Number{0, 0, 0, code.UpstreamRefused, code.UpstreamFailed}).Draw(r, "result"),
		}
	})
	fault := rapid.Custom(func(r *rapid.T) plannedFault {
		return plannedFault{
			at:   moment.Draw(r, "at"),
			kind: rapid.SampledFrom([]string{"lose", "hold", "release", "down", "up", "forwards", "cut", "freeze", "alone", "kill"}).Draw(r, "kind"),
			n:    rapid.IntRange(0, 8).Draw(r, "n"),
		}
	})
	return plan{
		calls:  rapid.SliceOfN(call, 2, 14).Draw(r, "calls"),
		faults: rapid.SliceOfN(fault, 0, 8).Draw(r, "faults"),
	}
})

// apply brings one fault about.
func (p plannedFault) apply(f *fleet) {
	i := p.n % planInstances
	switch p.kind {
	case "lose":
		f.store.Faults().LoseAnswers(p.n)
	case "hold":
		f.store.Faults().HoldWrites(p.n)
	case "release":
		f.store.ReleaseHeld()
	case "down", "up":
		f.store.Faults().SetDown(p.kind == "down")
	case "forwards":
		f.loseForwards(p.n)
	case "cut":
		f.disconnect(f.members[i].id, true)
	case "freeze":
		f.freeze(f.members[i].id)
	case "alone":
		f.members[i].view.set([]claim.Peer{{ID: f.members[i].id, Address: f.members[i].id}})
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
	// open is set when the caller does not know whether the step took effect.
	open bool
}

// recorder collects a history.
type recorder struct {
	clock atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
	verdict    verdict
}

// verdict is what was wrong with a run of a plan.
type verdict struct {
	// twice counts keys that ran more than once.
	twice  int
	faults []string
}

func (r *recorder) add(caller int, call int64, o operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.clock.Add(1)
	if o.open {
		end = 1 << 60
	}
	r.operations = append(r.operations, porcupine.Operation{ClientId: caller, Input: o, Call: call, Return: end})
}

func (r *recorder) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdict.faults = append(r.verdict.faults, fmt.Sprintf(format, args...))
}

// doer is a way to run calls.
type doer func(ctx context.Context, f *fleet, instance int, p claim.Params, run claim.Run) (contract.PlainAnswer, error)

func withService(ctx context.Context, f *fleet, instance int, p claim.Params, run claim.Run) (contract.PlainAnswer, error) {
	return f.members[instance].Do(ctx, p, run)
}

// make one call and record its steps.
func (r *recorder) makeCall(f *fleet, do doer, caller int, c plannedCall) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	began := r.clock.Add(1)
	p := params(c.key)
	p.Deadline = time.Now().Add(10 * time.Second)
	granted, dispatched := false, false
	var settleBegan int64
	var mine string
	answer, err := do(ctx, f, c.instance, p, func(context.Context) (contract.PlainAnswer, error) {
		granted = true
		r.add(caller, began, operation{key: c.key, kind: "grant"})
		time.Sleep(c.takes)
		defer func() { settleBegan = r.clock.Add(1) }()
		if c.result == code.UpstreamRefused {
			return contract.PlainAnswer{}, code.New(c.result, "busy")
		}
		dispatched = true
		answer := f.run(c.key)
		mine = string(answer.Body)
		if c.result != 0 {
			return contract.PlainAnswer{}, code.New(c.result, "broken")
		}
		return answer, nil
	})
	if err != nil && code.From(err).Outcome == code.NotRun && dispatched {
		r.fail("key %s: the answer says not_run after a run: %v", c.key, err)
	}
	if !granted {
		r.add(caller, began, operation{key: c.key, kind: "read", number: code.Of(err), answer: string(answer.Body)})
		return
	}
	settle := operation{key: c.key, kind: "finish", answer: mine, open: err != nil}
	switch c.result {
	case code.UpstreamRefused:
		settle.kind = "release"
	case code.UpstreamFailed:
		settle.kind = "abandon"
	}
	r.add(caller, settleBegan, settle)
}

// run carries a plan out and returns what was wrong with it.
func (p plan) run(do doer) verdict {
	f := newFleet(planInstances, nil)
	r := &recorder{}
	var wg sync.WaitGroup
	for i, c := range p.calls {
		wg.Go(func() {
			time.Sleep(c.at)
			r.makeCall(f, do, i, c)
		})
	}
	for _, fault := range p.faults {
		wg.Go(func() {
			time.Sleep(fault.at)
			fault.apply(f)
		})
	}
	wg.Wait()
	f.store.Faults().Set(memory.FaultSettings{})
	f.store.ReleaseHeld()
	f.members[0].Drain(context.Background())
	time.Sleep(5 * time.Minute)
	for i, key := range []string{"a", "b"} {
		r.makeCall(f, do, len(p.calls)+i, plannedCall{key: key})
		if n := f.runsOf(key); n > 1 {
			r.verdict.twice++
			r.fail("key %s: %d runs", key, n)
		}
	}
	f.stop()
	if !porcupine.CheckOperations(model, r.operations) {
		r.fail("the history is not that of a claim register: %+v", r.operations)
	}
	return r.verdict
}

// register is the state of one key in the model.
type register struct {
	phase  string
	answer string
	// latent is set when a refused claim may be in the table.
	latent bool
}

// model is a claim register: granted only when free, and once finished it gives
// the same answer for good. A pending answer only says to ask again.
var model = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(operation).key
			byKey[key] = append(byKey[key], o)
		}
		return [][]porcupine.Operation{byKey["a"], byKey["b"]}
	},
	Init: func() []any { return []any{register{phase: "free"}} },
	Step: func(state, input, _ any) []any {
		s, o := state.(register), input.(operation)
		next := s.step(o)
		if o.open {
			next = append(next, s)
		}
		return next
	},
}).ToModel()

func (s register) step(o operation) []any {
	moved := s
	switch {
	case o.kind == "grant" && s.phase == "free":
		moved.phase = "held"
	case o.kind == "finish" && s.phase == "held":
		moved.phase, moved.answer = "finished", o.answer
	case o.kind == "release" && s.phase == "held":
		moved.phase = "free"
	case o.kind == "abandon" && s.phase == "held":
		moved.phase = "lost"
	case o.kind == "read" && s.allows(o):
		moved.latent = s.latent || o.number == code.ClaimUnavailable
	default:
		return nil
	}
	return []any{moved}
}

func (s register) allows(o operation) bool {
	switch o.number {
	case 0:
		return s.phase == "finished" && s.answer == o.answer
	case code.OutcomeUnknown:
		return s.phase == "lost" || s.phase == "held" || (s.phase == "free" && s.latent)
	case code.ResultPending:
		return s.phase != "lost"
	}
	return o.number == code.ClaimUnavailable
}

func (p plan) inBubble(t *testing.T, do doer) (v verdict) {
	synctest.Test(t, func(*testing.T) { v = p.run(do) })
	return v
}

func TestHistoriesAreThoseOfClaimRegister(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := plans.Draw(r, "plan")
		if v := p.inBubble(t, withService); len(v.faults) > 0 {
			r.Fatal(v.faults)
		}
	})
}

// TestNaiveWaysRunTwice carries the same plans out in two naive ways and with
// the service.
func TestNaiveWaysRunTwice(t *testing.T) {
	const examples = 200
	count := func(do doer) (twice int) {
		for seed := range examples {
			if plans.Example(seed).inBubble(t, do).twice > 0 {
				twice++
			}
		}
		return twice
	}
	after, retried, service := count(claimAfterDispatch), count(runAgainOnUnknown), count(withService)
	t.Logf("of %d plans, a call ran twice in: %d with the claim after dispatch, %d with a run again on an unknown answer, %d with the service", examples, after, retried, service)
	if after == 0 || retried == 0 {
		t.Error("the plans do not show the naive ways failing")
	}
	if service != 0 {
		t.Errorf("%d plans fail with the service", service)
	}
}
