package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["stuck"] = caseStuck }

// caseStuck sends some large jobs whose Host headers are legal in size and have an odd port, and
// then ordinary ones. Without trouble the first have an ordinary Host header.
func caseStuck(w *world) error {
	const oddJobs, oddItems, oddBytes = 6, 200, 18500
	const jobs, items, events = 6, 10, 3
	// An ampersand takes six bytes in JSON.
	const ampersands = 10840
	w.memoryMB = 144
	w.store.handler = &limitedRows{w.store.handler}
	for n := range 6 {
		if _, err := w.startWorker(fmt.Sprintf("w%d", n+1), "-events", fmt.Sprint(events), "-gap", "10ms"); err != nil {
			return err
		}
	}
	w.configure(batchRoute("/sheets/"))
	if err := w.startDaemons(2); err != nil {
		return err
	}
	host := hostName
	if w.trouble {
		host += ":" + strings.Repeat("&", ampersands)
	}
	accepted := 0
	for i := range oddJobs {
		id, body := newID(), longJob(false, oddItems, oddBytes)
		for range 5 {
			a := w.sendTo(w.daemons[i%2], host, http.MethodPost, "/sheets/"+id, id, map[string]string{"Content-Type": "application/json"}, body, 8*time.Second)
			w.record("odd client: batch job %s of %d bytes, host of %d bytes, at %s: status %d, error %v", id, len(body), len(host), w.daemons[i%2].name, a.status, a.err)
			if a.err == nil && a.status == http.StatusAccepted {
				accepted++
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	w.record("%d odd jobs accepted", accepted)
	time.Sleep(15 * time.Second)
	ids, missing := make([]string, jobs), make([]int, jobs)
	var wait sync.WaitGroup
	for i := range jobs {
		ids[i] = newID()
		if _, err := w.submit(w.daemons[i%2], "/sheets/", ids[i], items); err != nil {
			w.record("client: %v", err)
			continue
		}
		wait.Go(func() {
			list, _ := w.results(w.daemons[(i+1)%2], ids[i], readTime)
			missing[i] = items - len(list)
			w.record("client: batch job %s: %d of %d items listed", ids[i], len(list), items)
		})
	}
	wait.Wait()
	idle, total := w.idleTime(), 0
	for _, n := range missing {
		total += n
	}
	w.record("the last run of a worker ended %.1f s ago", idle.Seconds())
	if total > 0 && idle < calmTime {
		return fmt.Errorf("workers were still at work %.1f s ago", idle.Seconds())
	}
	for i, n := range missing {
		if n > 0 {
			w.breaks("LOST: the ordinary batch job %s was accepted, and %d of its %d items are not listed after %.0f s, the last %.0f s without a run at any worker",
				ids[i], n, items, readTime.Seconds(), idle.Seconds())
		}
	}
	return nil
}
