package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["document"] = playDocument }

// playDocument kills one of three instances that has accepted jobs, and starts it again
// while the store's table with the configuration can't be read.
func playDocument(w *world, trouble bool) ([]string, error) {
	const jobs, items = 30, 2
	s := shape{slots: 8, events: 60, interval: 80 * time.Millisecond}
	if err := w.startAll(3, 4, s); err != nil {
		return nil, err
	}
	owner := w.instances[0]
	sent := map[string][]item{}
	for n := range jobs {
		job := fmt.Sprintf("7c41e09b52d6%04x", n)
		sent[job] = newItems(job, items)
		if status := w.submit(owner, job, sent[job]); status != http.StatusAccepted {
			return nil, fmt.Errorf("job %s was answered %d", job, status)
		}
	}
	time.Sleep(time.Second)
	if trouble {
		w.setDown("op", true)
		owner.kill()
		time.Sleep(200 * time.Millisecond)
		if err := owner.start(); err != nil {
			return nil, err
		}
		time.Sleep(4200 * time.Millisecond)
		w.setDown("op", false)
	}
	var broken []string
	until := time.Now().Add(40 * time.Second)
	for job, all := range sent {
		total, results := w.follow(job, nil, until)
		if total != len(all) {
			broken = append(broken, fmt.Sprintf("LOST: job %s has total %d, %d were sent", job, total, len(all)))
		}
		for _, r := range results {
			if r.State != "succeeded" {
				broken = append(broken, fmt.Sprintf("MIXED: item %s is %s, though no worker answered it with 422 or 500, its route stands, its job was not ended and is not %d s old; runs: %s",
					r.ID, r.State, keepSeconds, describe(w.runsOf(r.ID), w.started)))
			} else if r.Text != s.text(r.ID) {
				broken = append(broken, fmt.Sprintf("MIXED: item %s has another text than its whole output", r.ID))
			}
		}
	}
	return broken, nil
}
