package soak

import (
	"fmt"
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
		return Attempt{Request: id, Once: once, Instance: "a", SentAt: after(offset), DoneAt: after(offset + time.Second), Status: 200, Stamp: stamp("w", id), Events: Events(id), Completed: true, Written: true}
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
	for i := range h.Runs {
		r := &h.Runs[i]
		r.Status, r.EndedAt, r.Finished = 200, r.StartedAt.Add(time.Second), true
	}
	h.Jobs["j"] = &Job{ID: "j", Items: []string{"i1", "i2"}, Statuses: []int{503, 202}, SubmittedAt: after(0), AcceptedAt: after(time.Second)}
	h.Jobs["e"] = &Job{ID: "e", Items: []string{"i3"}, Statuses: []int{202}, AcceptedAt: after(time.Second), CancelledAt: after(2 * time.Second)}
	h.Jobs["n"] = &Job{ID: "n", Items: []string{"i4"}, Statuses: []int{429, 503}}
	results := []Result{{"i2", true, answerText("i2")}, {"i1", true, answerText("i1")}}
	h.Reads = []JobRead{
		{Job: "j", Instance: "a", SentAt: after(3 * time.Second), DoneAt: after(3 * time.Second), Status: 200, Total: 2, Results: results[:1]},
		{Job: "j", Instance: "b", SentAt: after(9 * time.Second), DoneAt: after(9 * time.Second), Status: 200, Total: 2, Results: results, Final: true},
	}
	h.Drains = []Drain{{"w", after(3 * time.Second)}}
	h.Changes = []Change{{"/change/", "s", after(5 * time.Second)}}
	h.Probes = []Probe{{"/change/", "a", after(4 * time.Second), ""}, {"/change/", "a", after(8 * time.Second), "s"}}
	h.Disturbances = []Disturbance{{Kind: "kill", Instance: "b", From: after(20 * time.Second), To: after(21 * time.Second)}}
	h.StoreCalls = []StoreCalls{{noon, 400, 90}}
	h.QueuedTokens = []QueuedTokens{{noon, quotaTokens - 1}, {after(time.Second), quotaTokens}}
	return h
}

// cutInStop adds a planned stop to a history and returns a request of that instance, by
// the times after the beginning of the stop at which it was sent and cut.
func cutInStop(h *History, sent, cut time.Duration) Attempt {
	h.Stops = append(h.Stops, Stop{"a", after(0)})
	return cutAfterFirst(h, "r5", "a", sent, cut)
}

// cutAfterFirst adds a run to a history and returns its request, cut after its first
// event.
func cutAfterFirst(h *History, id, instance string, sent, cut time.Duration) Attempt {
	h.Runs = append(h.Runs, WorkerRun{Request: id, Worker: "w", Status: 200, StartedAt: after(sent), EndedAt: after(cut), Unchanged: true})
	return Attempt{Request: id, Instance: instance, SentAt: after(sent), DoneAt: after(cut), Status: 200, Stamp: stamp("w", id), Events: Events(id)[:1], Written: true}
}

// addAttempts adds a number of equal attempts to a history.
func addAttempts(h *History, n int, a Attempt) {
	for range n {
		h.Attempts = append(h.Attempts, a)
	}
}

// cutAtSoundWorker adds a run to a history, beside a disturbed worker, and returns its
// request, which was cut.
func cutAtSoundWorker(h *History) Attempt {
	h.Disturbances = append(h.Disturbances, Disturbance{Kind: faultWorkerFlaps, Worker: "v", From: noon, To: after(time.Minute)})
	h.Runs = append(h.Runs, WorkerRun{Request: "r8", Worker: "w", Status: 200, StartedAt: after(0), Unchanged: true})
	return Attempt{Request: "r8", Instance: "a", SentAt: after(0), DoneAt: after(time.Second), Written: true}
}

// addUnfinished adds an open job with an item that nothing runs to a history. Its last run
// failed long before.
func addUnfinished(h *History) {
	h.Jobs["u"] = &Job{ID: "u", Items: []string{"i5"}, Statuses: []int{202}}
	h.Runs = append(h.Runs, WorkerRun{Request: "i5", Worker: "v", Status: 500, StartedAt: after(29 * time.Second), EndedAt: after(30 * time.Second), Unchanged: true})
	h.Unfinished = []UnfinishedItem{{Job: "u", Item: "i5", At: after(time.Minute), Slots: 12}}
}

// addRefusalsOfAcceptedJob adds refusals of a job that comes again to a history.
func addRefusalsOfAcceptedJob(h *History, n int) {
	for range n {
		h.Again = append(h.Again, Resubmission{Job: "j", Instance: "a", SentAt: after(8 * time.Second), DoneAt: after(8 * time.Second), Status: 429})
	}
}

// pauseWorker adds a pause of worker w to a history.
func pauseWorker(h *History, from time.Duration) {
	h.Disturbances = append(h.Disturbances, Disturbance{Kind: faultWorkerPauses, Worker: "w", From: after(from), To: after(from + pauseTime), Planned: true})
}

// addBodyRead adds a job and a read of the body of one of its items to a history. The body
// is not that of the item.
func addBodyRead(h *History, item string, status int) {
	h.Jobs["o"] = &Job{ID: "o", Items: []string{item}, Statuses: []int{202}, AcceptedAt: after(2 * time.Second)}
	h.BodyReads = []BodyRead{{Job: "o", Item: item, Instance: "a", SentAt: after(4 * time.Second), DoneAt: after(4 * time.Second), Status: status}}
	h.Reads = append(h.Reads, JobRead{Job: "o", Instance: "a", SentAt: after(9 * time.Second), Status: 200, Total: 1, Results: []Result{{item, true, answerText(item)}}, Final: true})
}

// TestWhatTheRulesAllowIsNoViolation covers few cut and denied requests, a worker that was
// disturbed, an item that was given up after its failures, and items that were open when
// the time to finish was over but ran, had just failed or followed others.
func TestWhatTheRulesAllowIsNoViolation(t *testing.T) {
	run := func(request string, from, to time.Duration) WorkerRun {
		return WorkerRun{Request: request, Worker: "v", StartedAt: after(from), EndedAt: after(to), Unchanged: true}
	}
	allowed := map[string]func(*History){
		"few cut": func(h *History) { addAttempts(h, maxCut, cutAtSoundWorker(h)) },
		"few denied": func(h *History) {
			addAttempts(h, deniedBase, Attempt{Request: "r5", Instance: "a", SentAt: after(0), DoneAt: after(0), Status: 413})
		},
		"disturbed worker": func(h *History) {
			a := cutAtSoundWorker(h)
			h.Runs[len(h.Runs)-1].Worker = "v"
			addAttempts(h, maxCut+1, a)
		},
		"given up": func(h *History) {
			for range maxAttempts {
				r := run("i2", time.Second, 2*time.Second)
				r.Status = 500
				h.Runs = append(h.Runs, r)
			}
			dead := Result{Item: "i2"}
			h.Reads[0].Results, h.Reads[1].Results = []Result{dead}, []Result{dead, h.Reads[1].Results[1]}
		},
		"body of a finished item": func(h *History) { addBodyRead(h, "i1", 404) },
		"runs":                    func(h *History) { addUnfinished(h); h.Runs = append(h.Runs, run("i5", 56*time.Second, time.Hour)) },
		"failed recently":         func(h *History) { addUnfinished(h); h.Runs = append(h.Runs, run("i5", 39*time.Second, 41*time.Second)) },
		"others finish": func(h *History) {
			addUnfinished(h)
			r := run("i1", 56*time.Second, 58*time.Second)
			r.Finished = true
			h.Runs = append(h.Runs, r)
		},
		"few refused again": func(h *History) { addRefusalsOfAcceptedJob(h, maxTurnedAway-1) },
		"held up by a pause": func(h *History) {
			h.Runs[4].Worker, h.Runs[4].StartedAt = "w", after(6*time.Second)
			pauseWorker(h, 5*time.Second)
		},
		"disturbed end": func(h *History) {
			addUnfinished(h)
			h.Disturbances = append(h.Disturbances, Disturbance{Kind: faultKill, Instance: "b", From: after(54 * time.Second), To: after(56 * time.Second)})
		},
	}
	for name, change := range allowed {
		h := validHistory()
		change(h)
		if found := Check(h); len(found) > 0 {
			t.Errorf("%s: violations %v", name, found)
		}
	}
}

// TestCutThatTheGracePeriodAllowsIsNoViolation covers requests that were sent early in a
// planned stop and outlasted it, and one that reached its deadline.
func TestCutThatTheGracePeriodAllowsIsNoViolation(t *testing.T) {
	h := validHistory()
	late := cutInStop(h, lateSend-time.Second, lastSixth+time.Second)
	expired := cutAfterFirst(h, "r7", "c", 0, callTimeout)
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
		"quota":             {func(h *History) { h.QueuedTokens[1].Tokens++ }},
		"request quota":     {func(h *History) { addRunsOfAccount(h, 54) }},
		"turned away":       {func(h *History) { h.Jobs["j"].Statuses[0] = 409 }, func(h *History) { h.Jobs["n"].Statuses[0] = 404 }},
		"turned away again": {func(h *History) { addRefusalsOfAcceptedJob(h, maxTurnedAway) }},
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
		"job known": {
			func(h *History) { h.Reads[0].Status = 404 },
			func(h *History) { h.Reads[0].Status = 410 },
			// Neither the store nor the instance was disturbed beside the read.
			func(h *History) {
				h.Reads[0].Status, h.Reads[0].SentAt = 404, after(8*time.Second)
				h.Disturbances = append(h.Disturbances, Disturbance{Kind: faultWorkerFlaps, Worker: "w", From: after(0), To: after(time.Minute)},
					Disturbance{Kind: faultStoreDown, From: after(time.Second), To: after(2 * time.Second)})
			},
			func(h *History) {
				h.Reads = append(h.Reads, JobRead{Job: "j", Instance: "a", SentAt: after(11 * time.Second), DoneAt: after(11 * time.Second), Status: 200, Total: 2, After: 1})
			},
		},
		"refused jobs": {func(h *History) {
			h.Runs = append(h.Runs, WorkerRun{Request: "i4", Worker: "v", StartedAt: after(0), Unchanged: true})
		}},
		"ended jobs": {func(h *History) {
			h.Runs = append(h.Runs, WorkerRun{Request: "i3", Worker: "v", StartedAt: after(6 * time.Second), Unchanged: true})
		}},
		"refused cancels": {func(h *History) {
			h.Jobs["e"].RefusedCancels = []CancelCall{{Instance: "a", SentAt: after(time.Second), DoneAt: after(2 * time.Second), Status: 502}}
		}},
		"draining": {func(h *History) { h.Runs[4].Worker, h.Runs[4].StartedAt = "w", after(6*time.Second) }},
		"document in force": {func(h *History) { h.Probes[1].Service = "" }, func(h *History) { h.Probes[1].Service = "t" }, func(h *History) {
			h.Changes[0].Service = ""
			h.Probes[0].SentAt = after(9 * time.Second)
			h.Probes[0].Service = "s"
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
		"stamps": {
			func(h *History) { h.Attempts[0].Stamp = "" },
			func(h *History) { h.Attempts[0].Stamp = stamp("w", "r2") },
			func(h *History) { h.Runs[0].Status = 500 },
			func(h *History) { h.Attempts[2].Stamp = stamp("w", "r3") },
		},
		"service": {func(h *History) { h.Runs[4].Service = otherServiceName }},
		"denied": {
			func(h *History) {
				addAttempts(h, deniedBase+1, Attempt{Request: "r5", Instance: "a", SentAt: after(0), DoneAt: after(0), Status: 413})
			},
			func(h *History) {
				addAttempts(h, deniedBase+1, Attempt{Request: "r5", Instance: "b", SentAt: after(20 * time.Second), DoneAt: after(20 * time.Second), Status: 404})
			},
		},
		"kept connections": {func(h *History) { addAttempts(h, maxCut+1, cutAtSoundWorker(h)) }},
		"left unfinished":  {func(h *History) { addUnfinished(h) }},
		"item bodies": {
			func(h *History) { addBodyRead(h, "i6", 404) },
			func(h *History) { addBodyRead(h, "i6", 200) },
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

// TestPausesHideNoViolation adds pauses of a worker to histories with violations in which
// another worker or none took part.
func TestPausesHideNoViolation(t *testing.T) {
	violations := map[string]func(*History){
		"ended jobs": func(h *History) {
			h.Runs = append(h.Runs, WorkerRun{Request: "i3", Worker: "v", StartedAt: after(6 * time.Second), Unchanged: true})
		},
		"document in force": func(h *History) { h.Probes[1].Service = "" },
		"job known":         func(h *History) { h.Reads[0].Status = 404 },
		"left unfinished":   addUnfinished,
		"planned stop":      func(h *History) { h.Attempts = append(h.Attempts, cutInStop(h, time.Second, lastSixth-time.Second)) },
		"kept connections":  func(h *History) { addAttempts(h, maxCut+1, cutAtSoundWorker(h)) },
	}
	for name, change := range violations {
		h := validHistory()
		change(h)
		for n := range 60 {
			pauseWorker(h, time.Duration(n)*time.Second)
		}
		if !slices.ContainsFunc(Check(h), func(v Violation) bool { return v.Check == name }) {
			t.Errorf("%s is hidden by pauses, violations found: %v", name, Check(h))
		}
	}
}

// TestTimeBoundsAreIgnoredDuringDisturbance exceeds several time bounds while
// the store is down for the whole history.
func TestTimeBoundsAreIgnoredDuringDisturbance(t *testing.T) {
	h := validHistory()
	h.Disturbances = append(h.Disturbances, Disturbance{Kind: "store down", From: noon, To: after(time.Minute)})
	h.Runs[4].Worker, h.Runs[4].StartedAt = "w", after(6*time.Second)
	h.Probes[1].Service = ""
	h.Runs = append(h.Runs, WorkerRun{Request: "i3", Worker: "v", StartedAt: after(6 * time.Second), Unchanged: true})
	if found := Check(h); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

func TestSameSeedDrawsSamePlan(t *testing.T) {
	plannedOnly := 0
	for seed := range uint64(60) {
		plan := NewPlan(seed, 20*time.Second, false)
		if !slices.Equal(plan, NewPlan(seed, 20*time.Second, false)) {
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

// addRunsOfAccount adds n requests of one account that are sent and run in one window of its
// quota, which allows 53.
func addRunsOfAccount(h *History, n int) {
	h.Accounts = true
	for id := 0; n > 0; id++ {
		request := fmt.Sprintf("r10%d", id)
		if accountOf(request) != "account-0" {
			continue
		}
		n--
		sentAt := after(time.Duration(n) * time.Millisecond)
		h.Attempts = append(h.Attempts, Attempt{Request: request, SentAt: sentAt})
		h.Runs = append(h.Runs, WorkerRun{Request: request, Worker: "w", Service: serviceName, StartedAt: sentAt.Add(time.Second)})
	}
}
