package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["replaced"] = playReplaced }

const (
	// replacedMachines is the number of machines that were replaced before the fault, and
	// replacedAtOnce how many of them run at a time, for a second: few enough that the
	// others never take many of them for living ones.
	replacedMachines = 600
	replacedAtOnce   = 20
	// trafficTime is how long the traffic goes on after the machines are back. RECOVER is
	// judged where that is longer than recoverTime.
	recoverTime = 12 * time.Second
	trafficTime = 2 * time.Second
)

// replaceMachines starts machines under new names and at new addresses and removes them
// for good once they have entered themselves, as if one after another had been replaced.
func (w *world) replaceMachines() error {
	for first := 0; first < replacedMachines; first += replacedAtOnce {
		begun := time.Now()
		var all []*instance
		for n := first; n < first+replacedAtOnce; n++ {
			ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200+1+first/replacedAtOnce)%250, 1+n%replacedAtOnce)
			i, err := w.newInstance(fmt.Sprintf("edge-%d", 100+n), ip)
			if err != nil {
				return err
			}
			if err := i.start(); err != nil {
				return err
			}
			all = append(all, i)
		}
		err := w.awaitReady(all, 15*time.Second)
		for _, i := range all {
			i.kill()
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Until(begun.Add(time.Second)))
	}
	w.logf("%d machines have come and gone for good", replacedMachines)
	return nil
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady(all []*instance, limit time.Duration) error {
	for _, i := range all {
		if err := i.ready(limit); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until every instance has answered with the living instances only for a
// while, or until the limit.
func (w *world) settle(limit time.Duration) error {
	const calm = 11 * time.Second
	since := time.Now()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, i := range w.instances {
			if addresses, _ := w.resolve(i); len(addresses) != len(w.instances) {
				since = time.Now()
			}
		}
		if time.Since(since) >= calm {
			w.logf("every instance has answered with the %d living ones for %v", len(w.instances), calm)
			return nil
		}
	}
	return fmt.Errorf("not every instance answers with the living ones only after %v", limit)
}

// browse lets clients send streaming requests until a time: each asks the nearest
// instances for addresses, one second each, draws one and sends a request.
func (w *world) browse(phase string, s shape, until time.Time) (all []outcome) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for n := range 6 {
		wait.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				id := fmt.Sprintf("9c41%s%02x%04x", phase, n, k)
				o := outcome{id: id, sentAt: time.Now()}
				if address := w.pick(n + k); address != "" {
					o = w.stream(address, id, s)
				}
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return all
}

// pick returns an address for a client: from the first of up to three instances that
// answers, without those to which no connection can be made, of which it tries three.
func (w *world) pick(seed int) string {
	for k := range w.instances {
		addresses, _ := w.resolve(w.instances[(seed+k)%len(w.instances)])
		if len(addresses) == 0 {
			continue
		}
		for try := range 3 {
			if address := addresses[(seed*31+try*17)%len(addresses)]; w.reachable(address) {
				return address
			}
		}
		return ""
	}
	return ""
}

func (w *world) reachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// served returns how many of the requests that were sent after a time got their answers.
func served(all []outcome, after time.Time) (n, of int) {
	for _, o := range all {
		if o.sentAt.Before(after) {
			continue
		}
		of++
		if o.whole {
			n++
		}
	}
	return n, of
}

// playReplaced lets a deployment replace its machines often, one for one, and then takes
// the power from all of the three that are left. Two come back, one is gone for good.
func playReplaced(w *world, trouble bool) ([]string, error) {
	s := shape{slots: 8, events: 31, interval: 20 * time.Millisecond}
	if err := w.startAll(3, 6, s); err != nil {
		return nil, err
	}
	if trouble && os.Getenv("HISTORY") != "0" {
		if err := w.replaceMachines(); err != nil {
			return nil, err
		}
		if err := w.settle(40 * time.Second); err != nil {
			return nil, err
		}
	}
	before := w.browse("b", s, time.Now().Add(4*time.Second))
	n, of := served(before, w.started)
	w.logf("before the fault %d of %d requests were served", n, of)
	const job = "7c41e09b52d60000"
	sent := newItems(job, 20)
	if status := w.submit(w.instances[0], job, sent); status != http.StatusAccepted {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		for _, i := range w.instances {
			i.kill()
		}
		time.Sleep(time.Second)
		for _, i := range w.instances[1:] {
			if err := i.start(); err != nil {
				return nil, err
			}
		}
	}
	backAt := time.Now()
	w.logf("the machines are back, but for the first, which is gone for good")
	after := w.browse("a", s, backAt.Add(trafficTime))
	n2, of2 := served(after, backAt.Add(recoverTime))
	if of2 > 0 {
		w.logf("later than %v after the machines are back %d of %d requests were served", recoverTime, n2, of2)
	}
	broken, err := w.judgeAtEnd(job, sent, s)
	if 4*n >= of && of2 > 0 && 4*n2 < of2 {
		broken = append(broken, fmt.Sprintf("RECOVER: of the requests sent later than %v after the machines are back %d of %d were served, %d of %d before the fault", recoverTime, n2, of2, n, of))
	}
	return broken, err
}
