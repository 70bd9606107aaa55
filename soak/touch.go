package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// deniedShare and deniedBase bound how many requests may be denied: one in
	// deniedShare and deniedBase. maxDeniedOutOfTouch bounds those of disturbed
	// instances.
	deniedShare         = 500
	deniedBase          = 5
	maxDeniedOutOfTouch = 10
	// maxCut bounds how many requests may be cut without an answer.
	maxCut = 3
)

// inTouch reports whether neither an instance nor the store was disturbed between from and
// to or in the recoveryTime before it. Workers may be disturbed, and planned work other
// than signals that stop a process does not count.
func (h *History) inTouch(instance string, from, to time.Time) bool {
	for _, d := range h.Disturbances {
		if d.Worker != "" || d.Planned && d.Kind != faultTerm && d.Kind != faultTermAgain && d.Kind != faultRoll && d.Kind != faultJobsTerm {
			continue
		}
		if (d.Instance == "" || d.Instance == instance) && d.From.Before(to) && d.To.After(from.Add(-recoveryTime)) {
			return false
		}
	}
	return true
}

// workerSound reports whether a worker and its link were not disturbed between from and
// to or in the recoveryTime before it. A pause is no disturbance.
func (h *History) workerSound(worker string, from, to time.Time) bool {
	for _, d := range h.Disturbances {
		if d.Worker == worker && !d.Planned && d.From.Before(to) && d.To.After(from.Add(-recoveryTime)) {
			return false
		}
	}
	return true
}

// cutOnKeptConnections returns the requests that an instance in touch passed on to a sound
// worker and ended without an answer.
func cutOnKeptConnections(h *History) (cut []Violation) {
	runs := h.runsByRequest()
	for _, a := range h.Attempts {
		ran := runs[a.Request]
		if a.Status != 0 || !a.Written || len(ran) == 0 || a.DoneAt.Sub(a.SentAt) >= callTimeout {
			continue
		}
		last := ran[len(ran)-1]
		if h.inTouch(a.Instance, a.SentAt, a.DoneAt) && h.workerSound(last.Worker, last.StartedAt, a.DoneAt) {
			cut = append(cut, Violation{ID: a.Request, Detail: fmt.Sprintf("no answer from %s after %v, though it ran at %s", a.Instance, a.DoneAt.Sub(a.SentAt), last.Worker)})
		}
	}
	return cut
}

// keptConnections finds requests that were cut without an answer, if there are more than
// maxCut.
func keptConnections(h *History) []Violation {
	if cut := cutOnKeptConnections(h); len(cut) > maxCut {
		return cut
	}
	return nil
}

// denials returns the requests for routes of all documents that an instance itself
// answered with a final refusal. Of disturbed instances it returns those that say that
// there is no such route.
func denials(h *History) (found []Violation) {
	for _, a := range h.Attempts {
		own := a.Stamp == "" && a.Status >= 300 && a.Status < 500 && !guaranteesNotRun(a.Status)
		if a.Changing || !own || !unknownRoute(a.Status) && !h.inTouch(a.Instance, a.SentAt, a.DoneAt) {
			continue
		}
		found = append(found, Violation{ID: a.Request, Detail: fmt.Sprintf("answered %d by %s", a.Status, a.Instance)})
	}
	return found
}

func unknownRoute(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// denied finds denied requests, if there are more than the bounds.
func denied(h *History) []Violation {
	found := denials(h)
	outOfTouch := 0
	for _, a := range h.Attempts {
		if !a.Changing && a.Stamp == "" && unknownRoute(a.Status) && !h.inTouch(a.Instance, a.SentAt, a.DoneAt) {
			outOfTouch++
		}
	}
	if len(found) > deniedBase+len(h.Attempts)/deniedShare || outOfTouch > maxDeniedOutOfTouch {
		return found
	}
	return nil
}

// itemBodies finds bodies of items that are not those that were submitted, and instances in
// touch that know no body, later than jobVisibleBound after the job was accepted, of an item
// that no worker had finished and that was not given up.
func itemBodies(h *History) (found []Violation) {
	runs := h.runsByRequest()
	for _, r := range h.BodyReads {
		j := h.Jobs[r.Job]
		if r.Status == http.StatusOK && !r.Unchanged {
			found = append(found, Violation{ID: r.Item, Detail: "other body at " + r.Instance})
			continue
		}
		if r.Status != http.StatusNotFound && r.Status != http.StatusGone || j == nil || j.AcceptedAt.IsZero() || j.Cancelling {
			continue
		}
		due := r.SentAt.After(j.AcceptedAt.Add(jobVisibleBound)) && h.inTouch(r.Instance, r.SentAt, r.DoneAt)
		if due && !mayBeListed(runs[r.Item], r.DoneAt) {
			found = append(found, Violation{ID: r.Item, Detail: fmt.Sprintf("no body at %s, %v after job %s was accepted", r.Instance, r.SentAt.Sub(j.AcceptedAt), r.Job)})
		}
	}
	return found
}

// mayBeListed reports whether a worker had finished an item, or had failed it often enough
// for it to be given up, by the given time.
func mayBeListed(runs []WorkerRun, by time.Time) bool {
	failures := 0
	for _, r := range runs {
		if r.EndedAt.IsZero() || r.EndedAt.After(by) {
			continue
		}
		if r.Finished {
			return true
		}
		if r.Status == http.StatusInternalServerError {
			failures++
		}
	}
	return failures >= maxAttempts
}

// stamps finds answers that do not bear the mark of a worker that gave this status: all
// successes, and the failures that have a mark.
func stamps(h *History) (found []Violation) {
	runs := h.runsByRequest()
	for _, a := range h.Attempts {
		if a.Stamp == "" && (a.Status < 200 || a.Status >= 300) {
			continue
		}
		given := false
		for _, r := range runs[a.Request] {
			given = given || a.Stamp == stamp(r.Worker, a.Request) && a.Status == r.Status
		}
		if !given {
			found = append(found, Violation{ID: a.Request, Detail: fmt.Sprintf("status %d with the mark %q", a.Status, a.Stamp)})
		}
	}
	return found
}

// serviceAllowed finds requests that ran at a service that no document names for their
// route: items of jobs at the service that only online routes move to.
func serviceAllowed(h *History) (found []Violation) {
	for _, r := range h.Runs {
		if r.Service == otherServiceName && h.isItem(r.Request) {
			found = append(found, Violation{ID: r.Request, Detail: "ran at service " + r.Service})
		}
	}
	return found
}
