package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// finishBound is the time after the end of the load until which items are due.
	finishBound = 18 * time.Second
	// Items may still be open then if one of their job has just run, one of any job was
	// just finished, or their own run has failed recently.
	calmTime     = 5 * time.Second
	progressTime = 3 * time.Second
	failureTime  = 20 * time.Second
	// Runs that their sender cancels within shortRun are left out.
	shortRun = time.Second
)

// awaitJobs waits until the jobs are finished. It records the items that are not listed
// at finish.
func (s *soak) awaitJobs(ctx context.Context, finish time.Time) {
	finished := make(chan struct{})
	go func() {
		s.jobs.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(time.Until(finish)):
		s.recordUnfinished(ctx)
		<-finished
	}
}

// recordUnfinished reads each open job and records the items that are not listed.
func (s *soak) recordUnfinished(ctx context.Context) {
	s.mu.Lock()
	slots := workerSlots * len(s.workers)
	s.mu.Unlock()
	var open []*Job
	s.history.update(func() {
		for _, j := range s.history.Jobs {
			if !j.AcceptedAt.IsZero() && !j.Cancelling {
				open = append(open, j)
			}
		}
	})
	for _, j := range open {
		missing, ok := s.unlistedItems(ctx, j)
		if !ok {
			continue
		}
		s.history.update(func() {
			for _, item := range missing {
				s.history.Unfinished = append(s.history.Unfinished, UnfinishedItem{Job: j.ID, Item: item, At: time.Now(), Slots: slots})
			}
		})
	}
}

// unlistedItems returns the items of a job that are not among its results. ok is false
// when no instance answers.
func (s *soak) unlistedItems(ctx context.Context, j *Job) (missing []string, ok bool) {
	listed := map[string]bool{}
	for tries := 0; tries < maxFinalReads && ctx.Err() == nil; tries++ {
		r := s.callers.readJob(j.ID, s.callers.anyAddress(), len(listed), false)
		if r.Status != http.StatusOK {
			continue
		}
		for _, result := range r.Results {
			listed[result.Item] = true
		}
		if len(r.Results) == 0 || len(listed) >= len(j.Items) {
			ok = true
			break
		}
	}
	for _, item := range j.Items {
		if !listed[item] {
			missing = append(missing, item)
		}
	}
	return missing, ok
}

// leftUnfinished finds items that were not listed at the end of the time to finish
// although nothing hindered or ran them.
func leftUnfinished(h *History) (found []Violation) {
	unlisted := map[string][]string{}
	for _, u := range h.Unfinished {
		unlisted[u.Job] = append(unlisted[u.Job], u.Item)
	}
	for _, u := range h.Unfinished {
		from := u.At.Add(-calmTime)
		if !h.undisturbed("", from.Add(recoveryTime), u.At, true) || h.progressedAt(u, unlisted[u.Job]) {
			continue
		}
		found = append(found, Violation{ID: u.Item, Detail: fmt.Sprintf("of job %s is not listed at the end of the time to finish and does not run", u.Job)})
	}
	return found
}

// progressedAt reports whether one of the unlisted items of a job ran or failed, or others
// were finished or took half of the workers, shortly before an unfinished item was seen.
func (h *History) progressedAt(u UnfinishedItem, unlisted []string) bool {
	running := 0
	for _, r := range h.Runs {
		end := r.EndedAt
		if end.IsZero() || end.After(u.At) {
			end = u.At
		}
		if r.StartedAt.After(u.At) || r.Cancelled && end.Sub(r.StartedAt) < shortRun && h.workerSound(r.Worker, r.StartedAt, end) {
			continue
		}
		calm := !end.Before(u.At.Add(-calmTime))
		if calm {
			running++
		}
		item := slices.Contains(unlisted, r.Request)
		failed := r.Request == u.Item && !r.Finished && !end.Before(u.At.Add(-failureTime))
		done := r.Finished && h.isItem(r.Request) && !end.Before(u.At.Add(-progressTime))
		if calm && item || failed || done {
			return true
		}
	}
	return running*2 >= u.Slots
}

// isItem reports whether a request is an item of a job.
func (h *History) isItem(request string) bool {
	for _, j := range h.Jobs {
		if slices.Contains(j.Items, request) {
			return true
		}
	}
	return false
}
