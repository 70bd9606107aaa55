package soak

import (
	"slices"
	"testing"
	"time"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return noon.Add(d) }

// held is a history in which every promise was kept: online requests, a job, a
// drained worker, a changed document, a planned stop and a disturbance.
func held() *History {
	h := NewHistory()
	whole := func(id string, once bool, at time.Duration) Attempt {
		return Attempt{Request: id, Once: once, Instance: "a", Sent: after(at), Done: after(at + time.Second), Status: 200, Text: Events(id), Whole: true, Read: true}
	}
	h.Attempts = []Attempt{
		whole("r1", true, 0), whole("r2", false, time.Second),
		{Request: "r3", Once: true, Instance: "a", Sent: after(0), Done: after(time.Second), Status: 503, Read: true},
		{Request: "r4", Once: true, Instance: "b", Sent: after(20 * time.Second), Done: after(21 * time.Second), Read: true},
	}
	h.Runs = []Run{
		{Request: "r1", Worker: "w", At: after(0), Right: true},
		{Request: "r2", Worker: "w", At: after(time.Second), Right: true},
		{Request: "r2", Worker: "v", After: 2, At: after(1100 * time.Millisecond), Right: true},
		{Request: "r4", Worker: "v", At: after(20 * time.Second), Right: true},
		{Request: "i1", Worker: "v", At: after(2 * time.Second), Right: true},
		{Request: "i2", Worker: "v", At: after(2 * time.Second), Right: true},
	}
	h.Jobs["j"] = &Job{ID: "j", Items: []string{"i1", "i2"}, Statuses: []int{503, 202}, Accepted: after(time.Second)}
	h.Jobs["e"] = &Job{ID: "e", Items: []string{"i3"}, Statuses: []int{202}, Accepted: after(time.Second), Ended: after(2 * time.Second)}
	h.Jobs["n"] = &Job{ID: "n", Items: []string{"i4"}, Statuses: []int{429, 503}}
	results := []Result{{"i2", true, textOf("i2")}, {"i1", true, textOf("i1")}}
	h.Reads = []Read{
		{Job: "j", Instance: "a", Sent: after(3 * time.Second), Status: 200, Total: 2, Results: results[:1]},
		{Job: "j", Instance: "b", Sent: after(9 * time.Second), Status: 200, Total: 2, Results: results, Final: true},
	}
	h.Drains = []Drain{{"w", after(3 * time.Second)}}
	h.Changes = []Change{{"/change/", true, after(5 * time.Second)}}
	h.Probes = []Probe{{"/change/", "a", after(4 * time.Second), false}, {"/change/", "a", after(8 * time.Second), true}}
	h.Disturbances = []Disturbance{{What: "kill", Instance: "b", From: after(20 * time.Second), To: after(21 * time.Second)}}
	h.Seconds = []Second{{noon, 400, 90}}
	h.Waiting = []Waiting{{noon, quotaTokens - 1}, {after(time.Second), quotaTokens}}
	return h
}

// TestEachCheckCatchesItsMutants breaks one promise at a time.
func TestEachCheckCatchesItsMutants(t *testing.T) {
	if found := Check(held()); len(found) > 0 {
		t.Fatalf("a history without fault: %v", found)
	}
	mutants := map[string][]func(*History){
		"quota":       {func(h *History) { h.Waiting[1].Tokens++ }},
		"turned away": {func(h *History) { h.Jobs["j"].Statuses[0] = 409 }, func(h *History) { h.Jobs["n"].Statuses[0] = 404 }},
		"whole answers": {
			func(h *History) { h.Attempts[0].Text = Events("r2") },
			func(h *History) { h.Attempts[0].Text = h.Attempts[0].Text[:2] },
			func(h *History) { h.Attempts[1].Text = slices.Insert(h.Attempts[1].Text, 1, h.Attempts[1].Text[1]) },
			func(h *History) { h.Attempts[3].Text = Events("r4")[1:] },
		},
		"at most once": {func(h *History) { h.Runs = append(h.Runs, Run{Request: "r1", Worker: "v", At: after(0), Right: true}) }},
		"not run":      {func(h *History) { h.Runs = append(h.Runs, Run{Request: "r3", Worker: "v", At: after(0), Right: true}) }},
		"asked for": {
			func(h *History) { h.Runs = append(h.Runs, Run{Request: "x", Worker: "v", At: after(0), Right: true}) },
			func(h *History) { h.Runs[1].Right = false },
		},
		"complete once": {
			func(h *History) { h.Reads[1].Results = h.Reads[1].Results[:1] },
			func(h *History) { h.Reads[1].Results[1].Text = "i1/1" },
			func(h *History) { h.Reads[1].Results[0].Succeeded = false },
			func(h *History) { h.Reads[1].Results = append(h.Reads[1].Results, h.Reads[1].Results[0]) },
		},
		"fixed positions": {
			func(h *History) { h.Reads[0].Results = []Result{{"i1", true, textOf("i1")}} },
			func(h *History) { h.Reads[0].Total = 3 },
		},
		"job known":    {func(h *History) { h.Reads[0].Status = 404 }},
		"refused jobs": {func(h *History) { h.Runs = append(h.Runs, Run{Request: "i4", Worker: "v", At: after(0), Right: true}) }},
		"ended jobs": {func(h *History) {
			h.Runs = append(h.Runs, Run{Request: "i3", Worker: "v", At: after(6 * time.Second), Right: true})
		}},
		"draining": {func(h *History) { h.Runs[4].Worker, h.Runs[4].At = "w", after(6*time.Second) }},
		"document in force": {func(h *History) { h.Probes[1].Found = false }, func(h *History) {
			h.Changes[0].Added = false
			h.Probes[0].Sent = after(9 * time.Second)
			h.Probes[0].Found = true
		}},
		"planned stop": {
			func(h *History) { h.Disturbances[0].Planned = true },
			func(h *History) { h.Attempts[0].Whole, h.Attempts[0].Text = false, Events("r1")[:1] },
		},
		"store's rates": {func(h *History) { h.Seconds[0].Writes = writesBound + 1 }, func(h *History) { h.Seconds[0].Reads = readsBound + 1 }},
	}
	for name := range checks {
		if len(mutants[name]) == 0 {
			t.Errorf("check %q has no mutant", name)
		}
		for i, mutate := range mutants[name] {
			h := held()
			mutate(h)
			if !slices.ContainsFunc(Check(h), func(v Violation) bool { return v.Check == name }) {
				t.Errorf("check %q does not catch its mutant %d: %v", name, i, Check(h))
			}
		}
	}
}

// TestBoundsInTimeAreNotJudgedInADisturbance disturbs the store all the time.
func TestBoundsInTimeAreNotJudgedInADisturbance(t *testing.T) {
	h := held()
	h.Disturbances = append(h.Disturbances, Disturbance{What: "store down", From: noon, To: after(time.Minute)})
	h.Runs[4].Worker, h.Runs[4].At = "w", after(6*time.Second)
	h.Probes[1].Found = false
	h.Runs = append(h.Runs, Run{Request: "i3", Worker: "v", At: after(6 * time.Second), Right: true})
	if found := Check(h); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

func TestSeedsDrawTheSamePlanAgain(t *testing.T) {
	planned := 0
	for seed := range uint64(60) {
		plan := NewPlan(seed, 20*time.Second)
		if !slices.Equal(plan, NewPlan(seed, 20*time.Second)) {
			t.Fatalf("seed %d draws another plan", seed)
		}
		if !slices.ContainsFunc(plan, func(f Fault) bool { return !isPlanned(f.Kind) }) {
			planned++
		}
		for _, f := range plan {
			if f.At < firstFault || f.At > 20*time.Second || f.For < minFault || f.For > maxFault {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if planned < 10 || planned > 40 {
		t.Errorf("%d of 60 plans have planned work only", planned)
	}
}
