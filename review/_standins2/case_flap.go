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
)

// caseFlap lets the only worker of a service go down and up for a while and then stay up. A job
// that was accepted at the beginning must be listed when the time to finish is over, since the
// worker is sound and has nothing to do.
func caseFlap(w *world) (bool, error) {
	const prefix = "/pule252/"
	w.configure(3, batchRoute("r-2", prefix, 2400000))
	started := 0
	start := func() (*process, error) {
		started++
		return w.startWorkerProcess(started, 8, true, 900*time.Millisecond, 50*time.Millisecond)
	}
	p, err := start()
	if err != nil {
		return false, err
	}
	defer func() { _ = p.command.Process.Kill() }()
	if err := w.startUp(2, 0, workerShape{}); err != nil {
		return false, err
	}
	j := newJob(prefix, 4, 20)
	if !w.submit(w.instances[0], prefix, j) {
		return false, errUnplayable
	}
	acceptedAt := time.Now()
	reader := w.newReader(j)
	var reading sync.WaitGroup
	stop := make(chan struct{})
	reading.Go(func() { reader.run(stop) })
	lastRun := p
	if w.trouble {
		for end := acceptedAt.Add(flaps * flapTime); time.Now().Before(end); {
			time.Sleep(flapPeriod / 2)
			p.crash()
			time.Sleep(flapPeriod / 2)
			if p.ran.Load() > 0 {
				lastRun = p
			}
			if p, err = start(); err != nil {
				return false, err
			}
		}
		w.logf("the worker stays up from now on")
	}
	time.Sleep(time.Until(acceptedAt.Add(flaps*flapTime + 4*time.Second)))
	endAt := time.Now()
	w.logf("traffic has ended, %d of %d results are read", reader.count(), len(j.items))
	time.Sleep(time.Until(endAt.Add(finishTime)))
	close(stop)
	reading.Wait()
	reader.readAll()
	missing := len(j.items) - reader.count()
	last := max(lastRun.ran.Load(), p.ran.Load())
	idle := time.Since(time.Unix(0, last))
	w.logf("%d of %d items are not listed; the last run of one began %.3f s ago", missing, len(j.items), idle.Seconds())
	// An item that failed at a worker in the last 20 s does not count.
	return missing > 0 && idle > 20*time.Second+flapPeriod/2, nil
}
