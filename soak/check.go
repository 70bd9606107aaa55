package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Violation is a broken promise. ID is the request, item or job that it is about.
type Violation struct {
	Check string
	ID    string
	What  string
}

// Bounds of the users' deployments, which the daemons are told as well.
const (
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
	applyBound   = 2 * time.Second
	cancelBound  = 3 * time.Second
	settleBound  = time.Second
	lostBound    = 200 * time.Millisecond
	writesBound  = 800
	readsBound   = 2000
	maxAttempts  = 3
)

// checks are all checks by name.
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
	"draining":          draining,
	"document in force": documentInForce,
	"planned stop":      plannedStop,
	"store's rates":     storeRates,
	"quota":             quota,
	"turned away":       turnedAway,
}

// Check returns all broken promises of a history.
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

func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// calm reports whether an instance, and the store and the workers, were without
// disturbance. An empty instance stands for all of them.
func (h *History) calm(instance string, from, to time.Time, planned bool) bool {
	for _, d := range h.Disturbances {
		if d.Planned && !planned {
			continue
		}
		concerns := instance == "" || d.Instance == "" || d.Instance == instance
		if concerns && d.From.Before(to) && d.To.After(from.Add(-stableWindow)) {
			return false
		}
	}
	return true
}

// wholeAnswers finds answers that are not the caller's own, or not whole though
// they look so.
func wholeAnswers(h *History) (found []Violation) {
	for _, a := range h.Attempts {
		want := Events(a.Request)
		if len(a.Text) > len(want) || !slices.Equal(a.Text, want[:len(a.Text)]) {
			found = append(found, Violation{ID: a.Request, What: fmt.Sprintf("events %q", a.Text)})
		} else if a.Status == 200 && a.Whole && len(a.Text) < len(want) {
			found = append(found, Violation{ID: a.Request, What: fmt.Sprintf("ends as whole after %d of %d events", len(a.Text), len(want))})
		}
	}
	return found
}

func (h *History) runsOf() map[string][]Run {
	runs := map[string][]Run{}
	for _, r := range h.Runs {
		runs[r.Request] = append(runs[r.Request], r)
	}
	return runs
}

func atMostOnce(h *History) (found []Violation) {
	runs := h.runsOf()
	for _, a := range h.Attempts {
		if n := len(runs[a.Request]); a.Once && n > 1 {
			found = append(found, Violation{ID: a.Request, What: fmt.Sprintf("ran %d times", n)})
		}
	}
	return found
}

// promisesNotRun are the statuses that callers take for "not run".
func promisesNotRun(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

func notRun(h *History) (found []Violation) {
	runs := h.runsOf()
	for _, a := range h.Attempts {
		if promisesNotRun(a.Status) && len(runs[a.Request]) > 0 {
			found = append(found, Violation{ID: a.Request, What: fmt.Sprintf("answered %d and ran", a.Status)})
		}
	}
	return found
}

// askedFor finds runs that nobody asked for, or that were changed on the way.
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
		if !sent[r.Request] || !r.Right {
			found = append(found, Violation{ID: r.Request, What: fmt.Sprintf("sent %v, unchanged %v", sent[r.Request], r.Right)})
		}
	}
	return found
}

// completeOnce asks that each item of an accepted job that was not ended is
// listed once, with its whole text.
func completeOnce(h *History) (found []Violation) {
	final := map[string][]Result{}
	for _, r := range h.Reads {
		if r.Final && r.Status == 200 {
			final[r.Job] = append(final[r.Job], r.Results...)
		}
	}
	for _, j := range h.Jobs {
		if j.Accepted.IsZero() || !j.Ended.IsZero() {
			continue
		}
		listed := map[string]int{}
		for _, r := range final[j.ID] {
			listed[r.Item]++
			if !r.Succeeded || r.Text != textOf(r.Item) {
				found = append(found, Violation{ID: r.Item, What: fmt.Sprintf("succeeded %v, text %q", r.Succeeded, r.Text)})
			}
		}
		for _, item := range j.Items {
			if listed[item] != 1 {
				found = append(found, Violation{ID: item, What: fmt.Sprintf("listed %d times in job %s", listed[item], j.ID)})
			}
		}
	}
	return found
}

// fixedPositions asks that a position of a job never shows another result, at any
// instance, and that the total is right.
func fixedPositions(h *History) (found []Violation) {
	seen := map[string]Result{}
	for _, r := range h.Reads {
		if r.Status != 200 {
			continue
		}
		if j := h.Jobs[r.Job]; j != nil && r.Total != len(j.Items) {
			found = append(found, Violation{ID: r.Job, What: fmt.Sprintf("total %d of %d", r.Total, len(j.Items))})
		}
		for i, result := range r.Results {
			key := fmt.Sprintf("%s/%d", r.Job, r.After+i)
			if before, ok := seen[key]; ok && before != result {
				found = append(found, Violation{ID: r.Job, What: fmt.Sprintf("position %d held %s and holds %s", r.After+i, before.Item, result.Item)})
			}
			seen[key] = result
		}
	}
	return found
}

func jobKnown(h *History) (found []Violation) {
	for _, r := range h.Reads {
		j := h.Jobs[r.Job]
		if j == nil || j.Accepted.IsZero() || r.Status != 404 {
			continue
		}
		if r.Sent.After(j.Accepted.Add(settleBound)) && h.calm(r.Instance, j.Accepted, r.Sent, true) {
			found = append(found, Violation{ID: r.Job, What: "not known at " + r.Instance})
		}
	}
	return found
}

func refusedJobs(h *History) (found []Violation) {
	runs := h.runsOf()
	for _, j := range h.Jobs {
		if len(j.Statuses) == 0 || slices.ContainsFunc(j.Statuses, func(s int) bool { return !promisesNotRun(s) }) {
			continue
		}
		for _, item := range j.Items {
			if len(runs[item]) > 0 {
				found = append(found, Violation{ID: item, What: "ran though its job was refused at every attempt"})
			}
		}
	}
	return found
}

func endedJobs(h *History) (found []Violation) {
	runs := h.runsOf()
	for _, j := range h.Jobs {
		if j.Ended.IsZero() {
			continue
		}
		for _, item := range j.Items {
			for _, r := range runs[item] {
				if r.At.After(j.Ended.Add(cancelBound)) && h.calm("", j.Ended, r.At, true) {
					found = append(found, Violation{ID: item, What: fmt.Sprintf("runs %v after its job was ended", r.At.Sub(j.Ended))})
				}
			}
		}
	}
	return found
}

func draining(h *History) (found []Violation) {
	for _, d := range h.Drains {
		for _, r := range h.Runs {
			if r.Worker == d.Worker && r.At.After(d.At.Add(drainBound)) && h.calm("", d.At, r.At, true) {
				found = append(found, Violation{ID: r.Request, What: fmt.Sprintf("runs at %s %v after it began to drain", r.Worker, r.At.Sub(d.At))})
			}
		}
	}
	return found
}

// documentInForce asks that an instance answers as the newest document says that
// was acknowledged long enough ago.
func documentInForce(h *History) (found []Violation) {
	for _, p := range h.Probes {
		var last *Change
		crossed := false
		for i := range h.Changes {
			c := &h.Changes[i]
			if c.Prefix != p.Prefix || c.At.After(p.Sent.Add(time.Second)) {
				continue
			}
			crossed = crossed || c.At.After(p.Sent.Add(-applyBound))
			if last == nil || c.At.After(last.At) {
				last = c
			}
		}
		if last != nil && !crossed && last.Added != p.Found && h.calm(p.Instance, last.At, p.Sent, true) {
			found = append(found, Violation{ID: p.Prefix, What: fmt.Sprintf("found %v at %s, %v after the change", p.Found, p.Instance, p.Sent.Sub(last.At))})
		}
	}
	return found
}

// plannedStop finds requests that were cut though nothing but planned work went
// on. One that crossed the close of its connection and was not passed on may be
// sent again.
func plannedStop(h *History) (found []Violation) {
	runs := h.runsOf()
	for _, a := range h.Attempts {
		crossed := len(runs[a.Request]) == 0 && a.Done.Sub(a.Sent) < lostBound
		if !a.Read || crossed || a.Status != 0 && (a.Status != 200 || a.Whole) || !h.calm("", a.Sent, a.Done, false) {
			continue
		}
		found = append(found, Violation{ID: a.Request, What: fmt.Sprintf("cut at %s after %d events, with status %d", a.Instance, len(a.Text), a.Status)})
	}
	return found
}

func storeRates(h *History) (found []Violation) {
	for _, s := range h.Seconds {
		if s.Writes > writesBound || s.Reads > readsBound {
			found = append(found, Violation{What: fmt.Sprintf("%d writes and %d reads in the second of %s", s.Writes, s.Reads, s.At.Format(time.TimeOnly))})
		}
	}
	return found
}

// quota finds times at which more tokens waited than the route allows.
func quota(h *History) (found []Violation) {
	for _, w := range h.Waiting {
		if w.Tokens > quotaTokens {
			found = append(found, Violation{What: fmt.Sprintf("%d tokens wait at %s", w.Tokens, w.At.Format(time.TimeOnly))})
		}
	}
	return found
}

// turnedAway finds proper jobs that got an answer after which nobody sends them again.
func turnedAway(h *History) (found []Violation) {
	for id, j := range h.Jobs {
		for _, status := range j.Statuses {
			if status >= 300 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
				found = append(found, Violation{ID: id, What: fmt.Sprintf("answered %d", status)})
			}
		}
	}
	return found
}

// String returns the violation on one line.
func (v Violation) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s: %s %s", v.Check, v.ID, v.What))
}
