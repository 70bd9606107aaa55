package main

import (
	"sync"
	"time"
)

const (
	// A worker that flaps is up for half of flapPeriod and down for the other half.
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6800 * time.Millisecond
	flaps      = 3
	// flapPause is between the last crash and the start after which the worker stays up.
	flapPause = 50 * time.Millisecond
)

// caseFlap lets one of nine workers go down and up for a while and then stay up. Long items of
// an earlier job fill the eight others, so that a second job is tried at that worker only. When the
// time to finish is over, its items must be listed, since all workers are sound and have nothing
// to do.
func caseFlap(w *world) (bool, error) {
	const prefix, sound, slots = "/pule252/", 8, 4
	w.configure(3, batchRoute("r-2", prefix, 2400000))
	var running []*process
	defer func() {
		for _, p := range running {
			_ = p.command.Process.Kill()
		}
	}()
	start := func(first, interval time.Duration) (*process, error) {
		p, err := w.startWorkerProcess(len(running)+1, slots, true, first, interval)
		if err == nil {
			running = append(running, p)
		}
		return p, err
	}
	for range sound {
		if _, err := start(100*time.Millisecond, 80*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startUp(2, 0, workerShape{}); err != nil {
		return false, err
	}
	// 32 items of 22.5 s, with a first part of their own.
	if !w.submit(w.instances[0], prefix, newJobOf("5d07b8", prefix, sound*slots, 280)) {
		return false, errUnplayable
	}
	time.Sleep(time.Second)
	p, err := start(900*time.Millisecond, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	j := newJob(prefix, slots, 20)
	if !w.submit(w.instances[0], prefix, j) {
		return false, errUnplayable
	}
	begunAt := time.Now()
	reader := w.newReader(j)
	var reading sync.WaitGroup
	stop := make(chan struct{})
	reading.Go(func() { reader.run(stop) })
	if w.trouble {
		for n := time.Duration(0); ; n++ {
			time.Sleep(time.Until(begunAt.Add(n*flapPeriod + flapPeriod/2)))
			p.crash()
			up := (n + 1) * flapPeriod
			last := up > flaps*flapTime
			if last {
				up = n*flapPeriod + flapPeriod/2 + flapPause
			}
			time.Sleep(time.Until(begunAt.Add(up)))
			if p, err = start(900*time.Millisecond, 50*time.Millisecond); err != nil {
				return false, err
			}
			if last {
				break
			}
		}
		w.logf("the worker stays up from now on, %.3f s after the first start", time.Since(begunAt).Seconds())
	}
	time.Sleep(time.Until(begunAt.Add(flaps*flapTime + 5*time.Second)))
	endAt := time.Now()
	w.logf("traffic has ended, %d of %d results are read", reader.count(), len(j.items))
	time.Sleep(time.Until(endAt.Add(finishTime)))
	close(stop)
	reading.Wait()
	reader.readAll()
	missing := len(j.items) - reader.count()
	var last int64
	for _, p := range running {
		last = max(last, p.ran.Load(), p.ended.Load())
	}
	idle := time.Since(time.Unix(0, last))
	w.logf("%d of %d items are not listed; the workers began, ended or lost their last run %.3f s ago", missing, len(j.items), idle.Seconds())
	// An item that failed at a worker in the last 20 s does not count.
	return missing > 0 && idle > 20*time.Second, nil
}
