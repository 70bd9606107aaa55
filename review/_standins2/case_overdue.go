package main

import (
	"sync"
	"time"
)

// caseOverdue lets half of the open connections to the workers, all of one machine of three, go
// silent while the last items of a large job run, which is overdue by then. When the time to finish is over, each of its items
// must be listed, unless a worker has it.
func caseOverdue(w *world) (bool, error) {
	const prefix = "/pule252/"
	w.configure(3, batchRoute("r-2", prefix, 2400000))
	if err := w.startUp(3, 2, workerShape{slots: 4, first: 700 * time.Millisecond, interval: 4 * time.Millisecond}); err != nil {
		return false, err
	}
	j := newJob(prefix, 200, 50)
	if !w.submit(w.instances[0], prefix, j) {
		return false, errUnplayable
	}
	acceptedAt := time.Now()
	reader := w.newReader(j)
	var reading sync.WaitGroup
	stop := make(chan struct{})
	reading.Go(func() { reader.run(stop) })
	time.Sleep(time.Until(acceptedAt.Add(18500 * time.Millisecond)))
	if w.trouble {
		for _, x := range w.workers {
			w.logf("worker %s: %d open connections go silent", x.id, x.link.silence(0.5))
		}
	}
	endAt := time.Now()
	w.logf("traffic has ended, %d of %d results are read", reader.count(), len(j.items))
	time.Sleep(time.Until(endAt.Add(finishTime)))
	close(stop)
	reading.Wait()
	reader.readAll()
	return w.judgeFinish(j, reader, time.Now()), nil
}

// reader reads the results of a job as clients do, about twice a second.
type reader struct {
	w  *world
	j  *job
	mu sync.Mutex
	// states has the state of each item that was listed.
	states map[string]string
	next   int
}

func (w *world) newReader(j *job) *reader { return &reader{w: w, j: j, states: map[string]string{}} }

func (r *reader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.states)
}

// readOnce reads a page from an instance and reports whether it had a result.
func (r *reader) readOnce(i *instance) bool {
	l, a := r.w.read(i, r.j, r.next)
	if a.status != 200 {
		r.w.logf("client: results of %s from %d at %s: %d %v", r.j.id, r.next, i.name, a.status, a.err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range l.Results {
		r.states[result.ID] = result.State
		r.w.logf("client: result of %s is %s", result.ID, result.State)
	}
	r.next = max(r.next, l.Next)
	return len(l.Results) > 0
}

func (r *reader) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		for r.readOnce(r.w.instances[n%len(r.w.instances)]) {
		}
	}
}

// readAll reads what is listed, again after each failure.
func (r *reader) readAll() {
	for n := range 4 {
		for r.readOnce(r.w.instances[n%len(r.w.instances)]) {
		}
	}
}

// judgeFinish reports whether an item is not listed at a time though in the 5 s before no
// worker had it or another one of the job, in the 3 s before none was finished, and it has not
// failed at a worker in the 20 s before.
func (w *world) judgeFinish(j *job, r *reader, at time.Time) bool {
	missing := 0
	had, finished := 0, 0
	listed := func(id string) bool { r.mu.Lock(); defer r.mu.Unlock(); return r.states[id] != "" }
	item := map[string]bool{}
	for _, id := range j.items {
		item[id] = true
	}
	failedLately := map[string]bool{}
	for _, x := range w.allRuns() {
		if !item[x.request] {
			continue
		}
		open := x.endedAt.IsZero() || x.endedAt.After(at.Add(-5*time.Second))
		if open && !listed(x.request) {
			had++
		}
		if x.finished && x.endedAt.After(at.Add(-3*time.Second)) && x.endedAt.Before(at) {
			finished++
		}
		if !x.finished && !x.endedAt.IsZero() && x.endedAt.After(at.Add(-20*time.Second)) && x.endedAt.Sub(x.arrivedAt) > time.Second {
			failedLately[x.request] = true
		}
	}
	for _, id := range j.items {
		if !listed(id) {
			w.logf("item %s is not listed, failed lately %v", id, failedLately[id])
			if !failedLately[id] {
				missing++
			}
		}
	}
	w.logf("%d items are not listed; workers had %d of them in the last 5 s, finished %d in the last 3 s", missing, had, finished)
	return missing > 0 && had == 0 && finished == 0
}
