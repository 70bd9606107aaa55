package soak

import (
	"slices"
	"testing"
	"time"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// after returns the time d after the start of the history.
func after(d time.Duration) time.Time { return noon.Add(d) }

// validHistory returns a history without violations. It has online requests,
// jobs, a drained worker, a changed document, a planned stop and a disturbance.
func validHistory() *History {
	h := NewHistory()
	completeAttempt := func(id string, once bool, offset time.Duration) Attempt {
		return Attempt{Request: id, Once: once, Instance: "a", SentAt: after(offset), DoneAt: after(offset + time.Second), Status: 200, Events: Events(id), Completed: true, Written: true}
	}
	h.Attempts = []Attempt{
		completeAttempt("r1", true, 0), completeAttempt("r2", false, time.Second),
		{Request: "r3", Once: true, Instance: "a", SentAt: after(0), DoneAt: after(time.Second), Status: 503, Written: true},
		{Request: "r4", Once: true, Instance: "b", SentAt: after(20 * time.Second), DoneAt: after(21 * time.Second), Written: true},
		{Request: "r6", Once: true, Instance: "a", SentAt: after(0), DoneAt: after(time.Millisecond), Written: true},
	}
	h.Runs = []WorkerRun{
		{Request: "r1", Worker: "w", StartedAt: after(0), Unchanged: true},
		{Request: "r2", Worker: "w", StartedAt: after(time.Second), Unchanged: true},
		{Request: "r2", Worker: "v", ResumedAfter: 2, StartedAt: after(1100 * time.Millisecond), Unchanged: true},
		{Request: "r4", Worker: "v", StartedAt: after(20 * time.Second), Unchanged: true},
		{Request: "i1", Worker: "v", StartedAt: after(2 * time.Second), Unchanged: true},
		{Request: "i2", Worker: "v", StartedAt: after(2 * time.Second), Unchanged: true},
	}
	h.Jobs["j"] = &Job{ID: "j", Items: []string{"i1", "i2"}, Statuses: []int{503, 202}, AcceptedAt: after(time.Second)}
	h.Jobs["e"] = &Job{ID: "e", Items: []string{"i3"}, Statuses: []int{202}, AcceptedAt: after(time.Second), CancelledAt: after(2 * time.Second)}
	h.Jobs["n"] = &Job{ID: "n", Items: []string{"i4"}, Statuses: []int{429, 503}}
	results := []Result{{"i2", true, answerText("i2")}, {"i1", true, answerText("i1")}}
	h.Reads = []JobRead{
		{Job: "j", Instance: "a", SentAt: after(3 * time.Second), Status: 200, Total: 2, Results: results[:1]},
		{Job: "j", Instance: "b", SentAt: after(9 * time.Second), Status: 200, Total: 2, Results: results, Final: true},
	}
	h.Drains = []Drain{{"w", after(3 * time.Second)}}
	h.Changes = []Change{{"/change/", true, after(5 * time.Second)}}
	h.Probes = []Probe{{"/change/", "a", after(4 * time.Second), false}, {"/change/", "a", after(8 * time.Second), true}}
	h.Disturbances = []Disturbance{{Kind: "kill", Instance: "b", From: after(20 * time.Second), To: after(21 * time.Second)}}
	h.StoreCalls = []StoreCalls{{noon, 400, 90}}
	h.QueuedTokens = []QueuedTokens{{noon, quotaTokens - 1}, {after(time.Second), quotaTokens}}
	return h
}

// cutInStop adds a planned stop to a history and returns a request of that instance, by
// the times after the beginning of the stop at which it was sent and cut.
func cutInStop(h *History, sent, cut time.Duration) Attempt {
	h.Stops = append(h.Stops, Stop{"a", after(0)})
	return Attempt{Request: "r5", Instance: "a", SentAt: after(sent), DoneAt: after(cut), Status: 200, Events: Events("r5")[:1], Written: true}
}

// TestCutThatTheGracePeriodAllowsIsNoViolation covers requests that were sent early in a
// planned stop and outlasted it, and one that reached its deadline.
func TestCutThatTheGracePeriodAllowsIsNoViolation(t *testing.T) {
	h := validHistory()
	late := cutInStop(h, lateSend-time.Second, lastSixth+time.Second)
	expired := Attempt{Request: "r7", Instance: "c", SentAt: after(0), DoneAt: after(callTimeout), Status: 200, Events: Events("r7")[:1], Written: true}
	h.Attempts = append(h.Attempts, late, expired)
	if found := Check(h); len(found) > 0 {
		t.Errorf("violations: %v", found)
	}
}

// TestEachCheckDetectsItsMutants alters a valid history so that it violates one
// guarantee at a time.
func TestEachCheckDetectsItsMutants(t *testing.T) {
	if found := Check(validHistory()); len(found) > 0 {
		t.Fatalf("violations in a valid history: %v", found)
	}
	mutants := map[string][]func(*History){
		"quota":       {func(h *History) { h.QueuedTokens[1].Tokens++ }},
		"turned away": {func(h *History) { h.Jobs["j"].Statuses[0] = 409 }, func(h *History) { h.Jobs["n"].Statuses[0] = 404 }},
		"whole answers": {
			func(h *History) { h.Attempts[0].Events = Events("r2") },
			func(h *History) { h.Attempts[0].Events = h.Attempts[0].Events[:2] },
			func(h *History) {
				h.Attempts[1].Events = slices.Insert(h.Attempts[1].Events, 1, h.Attempts[1].Events[1])
			},
			func(h *History) { h.Attempts[3].Events = Events("r4")[1:] },
		},
		"at most once": {func(h *History) {
			h.Runs = append(h.Runs, WorkerRun{Request: "r1", Worker: "v", StartedAt: after(0), Unchanged: true})
		}},
		"not run": {func(h *History) {
			h.Runs = append(h.Runs, WorkerRun{Request: "r3", Worker: "v", StartedAt: after(0), Unchanged: true})
		}},
		"asked for": {
			func(h *History) {
				h.Runs = append(h.Runs, WorkerRun{Request: "x", Worker: "v", StartedAt: after(0), Unchanged: true})
			},
			func(h *History) { h.Runs[1].Unchanged = false },
		},
		"complete once": {
			func(h *History) { h.Reads[1].Results = h.Reads[1].Results[:1] },
			func(h *History) { h.Reads[1].Results[1].Text = "i1/1" },
			func(h *History) { h.Reads[1].Results[0].Succeeded = false },
			func(h *History) { h.Reads[1].Results = append(h.Reads[1].Results, h.Reads[1].Results[0]) },
		},
		"fixed positions": {
			func(h *History) { h.Reads[0].Results = []Result{{"i1", true, answerText("i1")}} },
			func(h *History) { h.Reads[0].Total = 3 },
		},
		"job known": {func(h *History) { h.Reads[0].Status = 404 }},
		"refused jobs": {func(h *History) {
			h.Runs = append(h.Runs, WorkerRun{Request: "i4", Worker: "v", StartedAt: after(0), Unchanged: true})
		}},
		"ended jobs": {func(h *History) {
			h.Runs = append(h.Runs, WorkerRun{Request: "i3", Worker: "v", StartedAt: after(6 * time.Second), Unchanged: true})
		}},
		"draining": {func(h *History) { h.Runs[4].Worker, h.Runs[4].StartedAt = "w", after(6*time.Second) }},
		"document in force": {func(h *History) { h.Probes[1].Found = false }, func(h *History) {
			h.Changes[0].Added = false
			h.Probes[0].SentAt = after(9 * time.Second)
			h.Probes[0].Found = true
		}},
		"planned stop": {
			func(h *History) {
				h.Attempts = append(h.Attempts, Attempt{Request: "r5", Instance: "a", SentAt: after(0), DoneAt: after(time.Millisecond), Written: true, Received: true})
			},
			func(h *History) {
				h.Attempts = append(h.Attempts, Attempt{Request: "r5", Instance: "a", SentAt: after(0), DoneAt: after(closeRaceBound), Written: true})
			},
			func(h *History) { h.Disturbances[0].Planned = true },
			// Sent too late in a stop, and cut too early in one.
			func(h *History) { h.Attempts = append(h.Attempts, cutInStop(h, lateSend+time.Second, lastSixth)) },
			func(h *History) { h.Attempts = append(h.Attempts, cutInStop(h, time.Second, lastSixth-time.Second)) },
			func(h *History) { h.Attempts[0].Completed, h.Attempts[0].Events = false, Events("r1")[:1] },
		},
		"store's rates": {func(h *History) { h.StoreCalls[0].Writes = maxWritesPerSecond + 1 }, func(h *History) { h.StoreCalls[0].Reads = maxReadsPerSecond + 1 }},
	}
	for name := range checks {
		if len(mutants[name]) == 0 {
			t.Errorf("check %q has no mutant", name)
		}
		for i, mutate := range mutants[name] {
			h := validHistory()
			mutate(h)
			if !slices.ContainsFunc(Check(h), func(v Violation) bool { return v.Check == name }) {
				t.Errorf("check %q does not detect its mutant %d, violations found: %v", name, i, Check(h))
			}
		}
	}
}

// TestTimeBoundsAreIgnoredDuringDisturbance exceeds several time bounds while
// the store is down for the whole history.
func TestTimeBoundsAreIgnoredDuringDisturbance(t *testing.T) {
	h := validHistory()
	h.Disturbances = append(h.Disturbances, Disturbance{Kind: "store down", From: noon, To: after(time.Minute)})
	h.Runs[4].Worker, h.Runs[4].StartedAt = "w", after(6*time.Second)
	h.Probes[1].Found = false
	h.Runs = append(h.Runs, WorkerRun{Request: "i3", Worker: "v", StartedAt: after(6 * time.Second), Unchanged: true})
	if found := Check(h); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

func TestSameSeedDrawsSamePlan(t *testing.T) {
	plannedOnly := 0
	for seed := range uint64(60) {
		plan := NewPlan(seed, 20*time.Second)
		if !slices.Equal(plan, NewPlan(seed, 20*time.Second)) {
			t.Fatalf("seed %d drew two different plans", seed)
		}
		if !slices.ContainsFunc(plan, func(f Fault) bool { return !isPlanned(f.Kind) }) {
			plannedOnly++
		}
		for _, f := range plan {
			if f.At < minFaultStart || f.At > 20*time.Second || f.Duration < minFaultDuration || f.Duration > maxFaultDuration {
				t.Errorf("seed %d: start or duration of fault %v is out of range", seed, f)
			}
		}
	}
	if plannedOnly < 10 || plannedOnly > 40 {
		t.Errorf("%d of 60 plans have planned work only, want 10 to 40", plannedOnly)
	}
}
