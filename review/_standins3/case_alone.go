package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["alone"] = caseAlone }

// caseAlone sends many batch jobs at once to an instance that is the only one left.
func caseAlone(w *world) error {
	const jobs, items, bodyBytes, events = 60, 24, 20000, 12
	w.memoryMB = 144
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
	ids := make([]string, jobs)
	accepted := make([]bool, jobs)
	var wait sync.WaitGroup
	for i := range jobs {
		ids[i] = newID()
		wait.Go(func() {
			_, err := w.submitSized(w.daemons[0], "/sheets/", ids[i], items, bodyBytes)
			accepted[i] = err == nil
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	sent := time.Now()
	missing := make([]int, jobs)
	for i := range jobs {
		if accepted[i] {
			wait.Go(func() {
				list, _ := w.results(w.daemons[0], ids[i], readTime)
				missing[i] = items - len(list)
				w.record("client: batch job %s: %d of %d items listed", ids[i], len(list), items)
			})
		}
	}
	wait.Wait()
	idle := w.idleTime()
	w.record("the last run of a worker ended %.1f s ago", idle.Seconds())
	total := 0
	for _, n := range missing {
		total += n
	}
	if total > 0 && idle < calmTime {
		return fmt.Errorf("workers were still at work %.1f s ago", idle.Seconds())
	}
	for i, n := range missing {
		if n > 0 {
			w.breaks("LOST: batch job %s was accepted, and %d of its %d items are not listed %.0f s after the last job was sent, the last %.0f s without a run at any worker",
				ids[i], n, items, time.Since(sent).Seconds(), idle.Seconds())
		}
	}
	return nil
}

const (
	// readTime is longer than finish_s, which is 18 s. calmTime is the time in which no worker
	// had an item, by the rule.
	readTime = 35 * time.Second
	calmTime = 5 * time.Second
)

// idleTime returns the time since the last run of any worker ended.
func (w *world) idleTime() time.Duration {
	last := int64(0)
	for _, p := range w.workers {
		p.mu.Lock()
		for _, r := range p.runs {
			last = max(last, r.At)
		}
		p.mu.Unlock()
	}
	return time.Since(time.UnixMilli(last))
}
