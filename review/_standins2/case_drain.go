package main

import (
	"context"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/daisylb/daisylb/storage"
)

// leave removes the worker's entry without a report before, and returns when the store
// acknowledged that. The worker serves on.
func (x *worker) leave() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state = "gone"
	key := storage.RowKey{Table: "servers", Key: x.id}
	_, err := x.w.rows.ApplyRows(context.Background(), storage.RowTransaction{Removes: []storage.RowKey{key}})
	at := time.Now()
	x.w.logf("worker %s: entry removed, acknowledged, %v", x.id, err)
	return at
}

// caseDrain lets the open connections to the store go silent. A second later a worker leaves
// without a report: its entry is removed, and it serves on. Requests that machines in touch take
// must not reach it later than the bound.
func caseDrain(w *world) (bool, error) {
	const prefix = "/lohu930/"
	w.configure(3, streamRoute("r-1", prefix), batchRoute("r-2", "/pule252/", 2400000))
	if err := w.startUp(3, 3, workerShape{slots: 8, first: 30 * time.Millisecond, interval: 5 * time.Millisecond, events: 30}); err != nil {
		return false, err
	}
	w.usual(8*time.Second, prefix, "/pule252/")
	silentAt := time.Now()
	if w.trouble {
		for _, i := range w.instances {
			w.logf("%s: %d open connections to the store go silent", i.name, i.store.silence(shareOf("SHARE", 1)))
		}
	}
	time.Sleep(time.Second)
	leaving := w.workers[2]
	ackAt := leaving.leave()
	bound := ackAt.Add(drainBound)
	touch := silentAt.Add(stableWindow)
	type sent struct {
		at time.Time
		by string
	}
	var mu sync.Mutex
	sentAt := map[string]sent{}
	var asked sync.WaitGroup
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
		for _, i := range w.instances {
			asked.Go(func() {
				at := time.Now()
				id, a := w.ask(i, prefix)
				mu.Lock()
				defer mu.Unlock()
				sentAt[id] = sent{at, i.name}
				if a.status != 200 || a.err != nil {
					w.logf("client: %s at %s: %d %v", id, i.name, a.status, a.err)
				}
			})
		}
	}
	asked.Wait()
	broken := map[string]int{}
	var last time.Duration
	total := 0
	for _, r := range w.allRuns() {
		s, ok := sentAt[r.request]
		if !ok || r.worker != leaving.id || !r.arrivedAt.After(bound) || !s.at.After(touch) {
			continue
		}
		broken[s.by]++
		total++
		last = max(last, r.arrivedAt.Sub(ackAt))
		w.logf("%s reached %s %.3f s after the acknowledgement, sent to %s %.3f s after the silence", r.request, r.worker, r.arrivedAt.Sub(ackAt).Seconds(), s.by, s.at.Sub(silentAt).Seconds())
	}
	for _, name := range sorted(broken) {
		w.logf("%s sent %d requests too late", name, broken[name])
	}
	w.logf("%d requests reached the worker that has left later than the bound, the last one %.3f s after the acknowledgement", total, last.Seconds())
	return total > 0, nil
}

func shareOf(name string, d float64) float64 {
	if x, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return x
	}
	return d
}
