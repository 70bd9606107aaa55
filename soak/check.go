package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Violation is a guarantee that did not hold. ID names the request, item, job or
// path prefix. It is empty for guarantees about the store.
type Violation struct {
	Check  string
	ID     string
	Detail string
}

// Bounds that the checks apply. drainBound, maxWritesPerSecond,
// maxReadsPerSecond and maxAttempts are also configured in the daemons.
const (
	recoveryTime       = 3 * time.Second
	drainBound         = 2 * time.Second
	applyBound         = 2 * time.Second
	cancelBound        = 3 * time.Second
	jobVisibleBound    = time.Second
	closeRaceBound     = 200 * time.Millisecond
	maxWritesPerSecond = 800
	maxReadsPerSecond  = 2000
	maxAttempts        = 3
	maxTurnedAway      = 3
	// A planned stop may cut a request that was sent until lateSend after it began, in the
	// last sixth of the grace period.
	lateSend  = 3 * time.Second
	lastSixth = gracePeriod * 5 / 6
)

// checks has all checks by name.
var checks = map[string]func(*History) []Violation{
	"whole answers":     wholeAnswers,
	"at most once":      atMostOnce,
	"not run":           notRun,
	"asked for":         askedFor,
	"complete once":     completeOnce,
	"fixed positions":   fixedPositions,
	"job known":         jobKnown,
	"refused jobs":      refusedJobs,
	"ended jobs":        endedJobs,
	"refused cancels":   refusedCancels,
	"draining":          draining,
	"document in force": documentInForce,
	"planned stop":      plannedStop,
	"store's rates":     storeRates,
	"quota":             quota,
	"request quota":     requestQuota,
	"turned away":       turnedAway,
	"turned away again": turnedAwayAgain,
	"stamps":            stamps,
	"service":           serviceAllowed,
	"denied":            denied,
	"kept connections":  keptConnections,
	"left unfinished":   leftUnfinished,
	"item bodies":       itemBodies,
}

// Check returns all violations in a history.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Violation
	for _, name := range slices.Sorted(keys(checks)) {
		for _, v := range checks[name](h) {
			v.Check = name
			all = append(all, v)
		}
	}
	return all
}

// keys returns an iterator over the keys of m.
func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// undisturbed reports whether no disturbance of an instance overlapped the time
// between from and to or the recoveryTime before it. An empty instance means any
// instance. Disturbances without an instance, such as those of the store and
// the workers, apply to all. Planned ones count only with includePlanned, and pauses of
// workers never.
func (h *History) undisturbed(instance string, from, to time.Time, includePlanned bool) bool {
	for _, d := range h.Disturbances {
		if d.Planned && !includePlanned || d.Kind == faultWorkerPauses {
			continue
		}
		applies := instance == "" || d.Instance == "" || d.Instance == instance
		if applies && d.From.Before(to) && d.To.After(from.Add(-recoveryTime)) {
			return false
		}
	}
	return true
}

// heldUp reports whether a run may have been on its way to its worker during a pause.
func (h *History) heldUp(r WorkerRun) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Kind == faultWorkerPauses && d.Worker == r.Worker && d.From.Before(r.StartedAt) && d.To.After(r.StartedAt.Add(-recoveryTime))
	})
}

// wholeAnswers finds answers with events of another request, and incomplete
// answers that ended like complete ones.
func wholeAnswers(h *History) (found []Violation) {
	for _, a := range h.Attempts {
		want := Events(a.Request)
		if len(a.Events) > len(want) || !slices.Equal(a.Events, want[:len(a.Events)]) {
			found = append(found, Violation{ID: a.Request, Detail: fmt.Sprintf("events %q", a.Events)})
		} else if a.Status == 200 && a.Completed && len(a.Events) < len(want) {
			found = append(found, Violation{ID: a.Request, Detail: fmt.Sprintf("ends as whole after %d of %d events", len(a.Events), len(want))})
		}
	}
	return found
}

// runsByRequest returns the runs at workers by request id.
func (h *History) runsByRequest() map[string][]WorkerRun {
	runs := map[string][]WorkerRun{}
	for _, r := range h.Runs {
		runs[r.Request] = append(runs[r.Request], r)
	}
	return runs
}

// atMostOnce finds requests that ran more than once although they may run only
// once.
func atMostOnce(h *History) (found []Violation) {
	runs := h.runsByRequest()
	for _, a := range h.Attempts {
		if n := len(runs[a.Request]); a.Once && n > 1 {
			found = append(found, Violation{ID: a.Request, Detail: fmt.Sprintf("ran %d times", n)})
		}
	}
	return found
}

// guaranteesNotRun reports whether a status tells the caller that the request
// did not run.
func guaranteesNotRun(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// notRun finds requests that ran although their status said that they did not.
func notRun(h *History) (found []Violation) {
	runs := h.runsByRequest()
	for _, a := range h.Attempts {
		if guaranteesNotRun(a.Status) && len(runs[a.Request]) > 0 {
			found = append(found, Violation{ID: a.Request, Detail: fmt.Sprintf("answered %d and ran", a.Status)})
		}
	}
	return found
}

// askedFor finds runs of requests that no caller sent, or that were altered on
// the way.
func askedFor(h *History) (found []Violation) {
	sent := map[string]bool{}
	for _, a := range h.Attempts {
		sent[a.Request] = true
	}
	for _, j := range h.Jobs {
		for _, item := range j.Items {
			sent[item] = true
		}
	}
	for _, r := range h.Runs {
		if !sent[r.Request] || !r.Unchanged {
			found = append(found, Violation{ID: r.Request, Detail: fmt.Sprintf("sent %v, unchanged %v", sent[r.Request], r.Unchanged)})
		}
	}
	return found
}

// completeOnce checks that each item of an accepted job that was not cancelled
// is listed exactly once, with its complete text, or as given up after maxAttempts
// failures.
func completeOnce(h *History) (found []Violation) {
	failures := map[string]int{}
	for _, r := range h.Runs {
		if r.Status == http.StatusInternalServerError {
			failures[r.Request]++
		}
	}
	final := map[string][]Result{}
	for _, r := range h.Reads {
		if r.Final && r.Status == 200 {
			final[r.Job] = append(final[r.Job], r.Results...)
		}
	}
	for _, j := range h.Jobs {
		if j.AcceptedAt.IsZero() || !j.CancelledAt.IsZero() {
			continue
		}
		listed := map[string]int{}
		for _, r := range final[j.ID] {
			listed[r.Item]++
			if failures[r.Item] >= maxAttempts && !r.Succeeded {
				continue
			}
			if !r.Succeeded || r.Text != answerText(r.Item) {
				found = append(found, Violation{ID: r.Item, Detail: fmt.Sprintf("succeeded %v, text %q", r.Succeeded, r.Text)})
			}
		}
		for _, item := range j.Items {
			if listed[item] != 1 {
				found = append(found, Violation{ID: item, Detail: fmt.Sprintf("listed %d times in job %s", listed[item], j.ID)})
			}
		}
	}
	return found
}

// fixedPositions checks that a position in the results of a job always has the
// same result, at every instance, and that the total is right.
func fixedPositions(h *History) (found []Violation) {
	seen := map[string]Result{}
	for _, r := range h.Reads {
		if r.Status != 200 {
			continue
		}
		if j := h.Jobs[r.Job]; j != nil && r.Total != len(j.Items) {
			found = append(found, Violation{ID: r.Job, Detail: fmt.Sprintf("total %d of %d", r.Total, len(j.Items))})
		}
		for i, result := range r.Results {
			key := fmt.Sprintf("%s/%d", r.Job, r.After+i)
			if before, ok := seen[key]; ok && before != result {
				found = append(found, Violation{ID: r.Job, Detail: fmt.Sprintf("position %d held %s and holds %s", r.After+i, before.Item, result.Item)})
			}
			seen[key] = result
		}
	}
	return found
}

// jobKnown finds accepted jobs that an instance in touch did not know after
// jobVisibleBound, and positions of results at which it had nothing although they had been
// read before.
func jobKnown(h *History) (found []Violation) {
	reads := map[string][]JobRead{}
	for _, r := range h.Reads {
		reads[r.Job] = append(reads[r.Job], r)
	}
	for _, r := range h.Reads {
		j := h.Jobs[r.Job]
		if j == nil || !h.inTouch(r.Instance, r.SentAt, r.SentAt) {
			continue
		}
		due := r.SentAt.Add(-jobVisibleBound)
		unknown := r.Status == http.StatusNotFound || r.Status == http.StatusGone
		if unknown && !j.AcceptedAt.IsZero() && due.After(j.AcceptedAt) {
			found = append(found, Violation{ID: r.Job, Detail: "not known at " + r.Instance})
		}
		known := slices.ContainsFunc(reads[r.Job], func(before JobRead) bool {
			return before.DoneAt.Before(due) && before.After+len(before.Results) > r.After
		})
		if known && (unknown || r.Status == http.StatusOK && len(r.Results) == 0) && r.DoneAt.Before(j.SubmittedAt.Add(statusTime)) {
			found = append(found, Violation{ID: r.Job, Detail: fmt.Sprintf("nothing at position %d, which had been read, at %s", r.After, r.Instance)})
		}
	}
	return found
}

// refusedJobs finds items that ran although every submission of their job was
// rejected.
func refusedJobs(h *History) (found []Violation) {
	runs := h.runsByRequest()
	for _, j := range h.Jobs {
		if len(j.Statuses) == 0 || slices.ContainsFunc(j.Statuses, func(s int) bool { return !guaranteesNotRun(s) }) {
			continue
		}
		for _, item := range j.Items {
			if len(runs[item]) > 0 {
				found = append(found, Violation{ID: item, Detail: "ran though its job was refused at every attempt"})
			}
		}
	}
	return found
}

// endedJobs finds items that started later than cancelBound after their job was
// cancelled.
func endedJobs(h *History) (found []Violation) {
	runs := h.runsByRequest()
	for _, j := range h.Jobs {
		if j.CancelledAt.IsZero() {
			continue
		}
		for _, item := range j.Items {
			for _, r := range runs[item] {
				if r.StartedAt.After(j.CancelledAt.Add(cancelBound)) && h.undisturbed("", j.CancelledAt, r.StartedAt, true) && !h.heldUp(r) {
					found = append(found, Violation{ID: item, Detail: fmt.Sprintf("runs %v after its job was ended", r.StartedAt.Sub(j.CancelledAt))})
				}
			}
		}
	}
	return found
}

// refusedCancels finds calls to cancel an accepted job that an instance in touch did not
// acknowledge.
func refusedCancels(h *History) (found []Violation) {
	for _, j := range h.Jobs {
		for _, c := range j.RefusedCancels {
			if h.inTouch(c.Instance, c.SentAt, c.DoneAt) {
				found = append(found, Violation{ID: j.ID, Detail: fmt.Sprintf("its end was answered %d by %s after %v", c.Status, c.Instance, c.DoneAt.Sub(c.SentAt))})
			}
		}
	}
	return found
}

// draining finds requests that started at a worker later than drainBound after
// it was marked as draining.
func draining(h *History) (found []Violation) {
	for _, d := range h.Drains {
		for _, r := range h.Runs {
			if r.Worker == d.Worker && r.StartedAt.After(d.AcknowledgedAt.Add(drainBound)) && h.undisturbed("", d.AcknowledgedAt, r.StartedAt, true) && !h.heldUp(r) {
				found = append(found, Violation{ID: r.Request, Detail: fmt.Sprintf("runs at %s %v after it began to drain", r.Worker, r.StartedAt.Sub(d.AcknowledgedAt))})
			}
		}
	}
	return found
}

// documentInForce checks that an instance applies the newest document that was
// acknowledged more than applyBound before the probe. Probes near a change are
// skipped, since either version may be in force.
func documentInForce(h *History) (found []Violation) {
	for _, p := range h.Probes {
		var last *Change
		raced := false
		for i := range h.Changes {
			c := &h.Changes[i]
			if c.Prefix != p.Prefix || c.AcknowledgedAt.After(p.SentAt.Add(time.Second)) {
				continue
			}
			raced = raced || c.AcknowledgedAt.After(p.SentAt.Add(-applyBound))
			if last == nil || c.AcknowledgedAt.After(last.AcknowledgedAt) {
				last = c
			}
		}
		if last != nil && !raced && last.Service != p.Service && h.undisturbed(p.Instance, last.AcknowledgedAt, p.SentAt, true) {
			found = append(found, Violation{ID: p.Prefix, Detail: fmt.Sprintf("service %q, not %q, at %s, %v after the change", p.Service, last.Service, p.Instance, p.SentAt.Sub(last.AcknowledgedAt))})
		}
	}
	return found
}

// plannedStop finds requests that were cut while only planned work was going
// on. A request may race with the close of its connection. If it fails within
// closeRaceBound and neither an instance nor a worker has received it, the caller
// may send it again, so it is not a violation. Nor is one whose deadline was reached, or
// that the grace period was too short for.
func plannedStop(h *History) (found []Violation) {
	runs := h.runsByRequest()
	for _, a := range h.Attempts {
		raced := !a.Received && len(runs[a.Request]) == 0 && a.DoneAt.Sub(a.SentAt) < closeRaceBound
		if !a.Written || raced || a.DoneAt.Sub(a.SentAt) >= callTimeout || h.graceTooShort(&a) || a.Status != 0 && (a.Status != 200 || a.Completed) || !h.undisturbed("", a.SentAt, a.DoneAt, false) {
			continue
		}
		found = append(found, Violation{ID: a.Request, Detail: fmt.Sprintf("cut at %s after %d events, with status %d", a.Instance, len(a.Events), a.Status)})
	}
	return found
}

// graceTooShort reports whether a request was sent early in a planned stop of its instance
// and ended in the last part of the grace period.
func (h *History) graceTooShort(a *Attempt) bool {
	return slices.ContainsFunc(h.Stops, func(s Stop) bool {
		return s.Instance == a.Instance && !a.SentAt.After(s.At.Add(lateSend)) && !a.DoneAt.Before(s.At.Add(lastSixth)) && a.DoneAt.Before(s.At.Add(gracePeriod))
	})
}

// storeRates finds seconds with more calls of the store than its rates allow.
func storeRates(h *History) (found []Violation) {
	for _, s := range h.StoreCalls {
		if s.Writes > maxWritesPerSecond || s.Reads > maxReadsPerSecond {
			found = append(found, Violation{Detail: fmt.Sprintf("%d writes and %d reads in the second of %s", s.Writes, s.Reads, s.StartedAt.Format(time.TimeOnly))})
		}
	}
	return found
}

// quota finds times at which more tokens were queued than the route allows.
func quota(h *History) (found []Violation) {
	for _, w := range h.QueuedTokens {
		// The quota of a route is that of each account.
		if limit := int64(quotaTokens); w.Tokens > limit && !h.Accounts || w.Tokens > limit*accountCount {
			found = append(found, Violation{Detail: fmt.Sprintf("%d tokens wait at %s", w.Tokens, w.RecordedAt.Format(time.TimeOnly))})
		}
	}
	return found
}

// turnedAway finds valid jobs that were rejected with a status after which a
// caller does not send them again.
func turnedAway(h *History) (found []Violation) {
	for id, j := range h.Jobs {
		for _, status := range j.Statuses {
			if status >= 300 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
				found = append(found, Violation{ID: id, Detail: fmt.Sprintf("answered %d", status)})
			}
		}
	}
	return found
}

// turnedAwayAgain finds accepted jobs that undisturbed instances turned away
// maxTurnedAway times when they came again.
func turnedAwayAgain(h *History) (found []Violation) {
	times := map[string]int{}
	for _, r := range h.Again {
		due := h.Jobs[r.Job].AcceptedAt.Add(jobVisibleBound)
		if r.Status < 400 || r.Status >= 500 || !r.SentAt.After(due) || !h.undisturbed("", r.SentAt, r.DoneAt, true) {
			continue
		}
		if times[r.Job]++; times[r.Job] == maxTurnedAway {
			found = append(found, Violation{ID: r.Job, Detail: fmt.Sprintf("answered %d by %s, the last of %d refusals, though it was accepted", r.Status, r.Instance, maxTurnedAway)})
		}
	}
	return found
}

// String returns the violation on one line.
func (v Violation) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s: %s %s", v.Check, v.ID, v.Detail))
}
