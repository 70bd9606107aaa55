package main

import (
	"net/http"
	"sync"
	"time"
)

// caseConfig loses two of three machines for good. Long after that, the open connections to
// the store go silent, and a second later the operator adds a route. From the moment at which
// the version has to be in force and the machine is in touch again, requests on the new route
// must not be answered 404.
func caseConfig(w *world) (bool, error) {
	first, batch := streamRoute("r-1", "/lohu930/"), batchRoute("r-2", "/pule252/", 2400000)
	w.configure(3, first, batch)
	if err := w.startUp(3, 3, workerShape{slots: 8, first: 30 * time.Millisecond, interval: 5 * time.Millisecond, events: 30}); err != nil {
		return false, err
	}
	w.usual(6*time.Second, "/lohu930/", "/pule252/")
	if w.trouble {
		for _, i := range w.instances[1:] {
			i.signal(9)
			i.store.close()
		}
	}
	i := w.instances[0]
	time.Sleep(8 * time.Second)
	// Usual work until shortly before the connections go silent.
	for range 2 {
		w.submit(i, "/pule252/", newJob("/pule252/", 10, 40))
	}
	time.Sleep(3 * time.Second)
	silentAt := time.Now()
	if w.trouble {
		w.logf("%s: %d open connections to the store go silent", i.name, i.store.silence(1))
	}
	time.Sleep(time.Second)
	ackAt := w.configure(7, first, batch, streamRoute("r-3", "/pufi791/"))
	from := ackAt.Add(applyBound)
	if touch := silentAt.Add(stableWindow); touch.After(from) {
		from = touch
	}
	broken, served := 0, 0
	var last time.Duration
	var asked sync.WaitGroup
	var mu sync.Mutex
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		asked.Go(func() {
			id, a := w.ask(i, "/pufi791/")
			late := a.sentAt.Sub(from)
			w.logf("client: %s to the new route at %s: %d %v, sent %.3f s after the acknowledgement, %.3f s after the bound", id, i.name, a.status, a.err, a.sentAt.Sub(ackAt).Seconds(), late.Seconds())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case late > 0 && a.status == http.StatusNotFound:
				broken++
				last = max(last, late)
			case a.status == http.StatusOK:
				served++
			}
		})
	}
	asked.Wait()
	w.logf("%d requests that were sent later than the bound were answered 404, the last one %.3f s after it; %d were served", broken, last.Seconds(), served)
	if served == 0 {
		w.logf("the new route was never served")
	}
	return broken > 0, nil
}

// usual sends the usual traffic for a time: a few online requests a second to each instance, a
// job now and then, and calls for the jobs' results.
func (w *world) usual(d time.Duration, online, batch string) {
	stop := make(chan struct{})
	time.AfterFunc(d, func() { close(stop) })
	var all sync.WaitGroup
	for n, i := range w.instances {
		all.Go(func() { w.usualOnline(stop, i, online) })
		all.Go(func() { w.usualJobs(stop, i, w.instances[(n+1)%len(w.instances)], batch) })
	}
	all.Wait()
}

func (w *world) usualOnline(stop <-chan struct{}, i *instance, prefix string) {
	var all sync.WaitGroup
	defer all.Wait()
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			all.Go(func() { w.ask(i, prefix) })
		}
	}
}

func (w *world) usualJobs(stop <-chan struct{}, i, readAt *instance, prefix string) {
	for {
		j := newJob(prefix, 5, 40)
		if w.submit(i, prefix, j) {
			for after := 0; after < len(j.items); time.Sleep(500 * time.Millisecond) {
				l, _ := w.read(readAt, j, after)
				after = max(after, l.Next)
				select {
				case <-stop:
					return
				default:
				}
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
