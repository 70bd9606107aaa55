package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["dark"] = playDark
	cases["only"] = playOnly
}

// unlisted returns the items of a job without a result, as a break of the rule LOST.
func (w *world) unlisted(job string, sent []item, results []result) (broken []string) {
	listed := map[string]bool{}
	for _, r := range results {
		listed[r.ID] = true
	}
	for _, it := range sent {
		if !listed[it.ID] {
			broken = append(broken, fmt.Sprintf("LOST: item %s of job %s is listed neither as succeeded nor as dead_letter %v after the traffic has ended; runs: %s",
				it.ID, job, finish, describe(w.runsOf(it.ID), w.started)))
		}
	}
	return broken
}

// idle reports whether the workers in service had under half of their slots in use and
// none of the items all the while, which the rule LOST asks for.
func (w *world) idle(period time.Duration) bool {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		workers := append([]*worker(nil), w.workers...)
		w.mu.Unlock()
		for _, k := range workers {
			if !k.isDark() && len(k.slots)+int(k.waiting.Load()) > 0 {
				return false
			}
		}
	}
	return true
}

// judgeAtEnd waits for the end of the finishing time and judges the rule LOST.
func (w *world) judgeAtEnd(job string, sent []item, s shape) ([]string, error) {
	w.logf("the traffic has ended; the jobs have %v more", finish)
	end := time.Now().Add(finish)
	_, results := w.follow(job, nil, end.Add(-6*time.Second))
	idle := len(results) < len(sent) && w.idle(time.Until(end))
	_, results = w.follow(job, results, time.Now())
	w.logf("at the end of the finishing time %d of %d items are listed; workers without work in the last seconds: %v", len(results), len(sent), idle)
	var broken []string
	for _, r := range results {
		if r.State != "succeeded" || r.Text != s.text(r.ID) {
			broken = append(broken, fmt.Sprintf("MIXED: item %s is %s, with a text of %d bytes", r.ID, r.State, len(r.Text)))
		}
	}
	if idle {
		broken = append(broken, w.unlisted(job, sent, results)...)
	}
	// What follows is for the record only.
	if len(results) < len(sent) {
		w.follow(job, results, time.Now().Add(45*time.Second))
	}
	return broken, nil
}

// playDark sends the first job of a quiet deployment and lets one of its six workers go
// dark for 4.4 s. It then starts again, under another id and at another address.
func playDark(w *world, trouble bool) ([]string, error) {
	s := shape{slots: 8, events: 60, interval: 60 * time.Millisecond}
	if err := w.startAll(3, 6, s); err != nil {
		return nil, err
	}
	const job = "7c41e09b52d60000"
	sent := newItems(job, 24)
	if status := w.submit(w.instances[0], job, sent); status != http.StatusAccepted {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		w.workers[0].goDark()
		time.Sleep(4400 * time.Millisecond)
		if _, err := w.addWorker(s); err != nil {
			return nil, err
		}
	}
	return w.judgeAtEnd(job, sent, s)
}

// playOnly sends a job to a service with one worker and silences half of the open
// connections to it. New connections work.
func playOnly(w *world, trouble bool) ([]string, error) {
	s := shape{slots: 8, events: 60, interval: 60 * time.Millisecond}
	if err := w.startAll(3, 1, s); err != nil {
		return nil, err
	}
	const job = "7c41e09b52d60000"
	sent := newItems(job, 8)
	if status := w.submit(w.instances[0], job, sent); status != http.StatusAccepted {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		silenced, open := w.workers[0].proxy.silence(0.5, false)
		w.logf("network: %d of %d open connections to the worker go silent", silenced, open)
	}
	return w.judgeAtEnd(job, sent, s)
}
