package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["end"] = caseEnd }

const (
	ackTime    = 6 * time.Second
	cancelTime = 3 * time.Second
)

// caseEnd ends the last of many batch jobs as soon as they are accepted by an instance that is the
// only one left. Each
// client asks again after each failure, at an address that has not failed it if there is one.
func caseEnd(w *world) error {
	const jobs, ended, items, events = 60, 12, 24, 60
	w.memoryMB = 536
	w.store.handler = &newestVersion{w.rows, w.store.handler}
	for n := range 12 {
		if _, err := w.startWorker(fmt.Sprintf("w%d", n+1), "-events", fmt.Sprint(events), "-gap", "20ms"); err != nil {
			return err
		}
	}
	w.configure(batchRoute("/sheets/"))
	if err := w.startDaemons(2); err != nil {
		return err
	}
	if w.trouble {
		w.daemons[1].signal(syscall.SIGKILL)
		w.record("%s killed for good", w.daemons[1].name)
		time.Sleep(6 * time.Second)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	type end struct {
		items      []string
		sent, ack  time.Time
		unanswered bool
	}
	var ends []end
	for n := range jobs {
		wait.Go(func() {
			id := newID()
			list, err := w.submit(w.daemons[0], "/sheets/", id, items)
			if err != nil || n < jobs-ended {
				return
			}
			e := end{items: list, sent: time.Now()}
			for n := 0; time.Since(e.sent) < 20*time.Second; n++ {
				d := w.daemons[0]
				if n > 0 && !w.trouble {
					d = w.daemons[n%2]
				}
				a := w.send(d, http.MethodDelete, "/api/lots/"+id, "", nil, nil, 5*time.Second)
				w.record("client: end of %s at %s: status %d, error %v", id, d.name, a.status, a.err)
				if a.err == nil && a.status == http.StatusOK {
					e.ack = time.Now()
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			ends = append(ends, e)
			mu.Unlock()
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(5 * time.Second)
	started := map[string]time.Time{}
	for _, p := range w.workers {
		for _, r := range p.started() {
			started[r.Request] = time.UnixMilli(max(r.At, started[r.Request].UnixMilli()))
		}
	}
	for _, e := range ends {
		// An end without an acknowledgement counts as acknowledged after ack_ms.
		counted := e.sent.Add(ackTime)
		if !e.ack.IsZero() && e.ack.Before(counted) {
			counted = e.ack
		}
		for _, i := range e.items {
			if at, ok := started[i]; ok && at.After(counted.Add(cancelTime)) {
				w.breaks("UNASKED: item %s ran %.1f s after its job's end was asked, acknowledged after %.1f s", i, at.Sub(e.sent).Seconds(), e.ack.Sub(e.sent).Seconds())
			}
		}
	}
	w.record("%d ends", len(ends))
	return nil
}
