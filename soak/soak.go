package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options of a soak.
type Options struct {
	// Seed draws the plan.
	Seed uint64
	// For is the time in which faults are injected.
	For time.Duration
	// Instances and Workers are their numbers, People the callers of online
	// requests at a time.
	Instances int
	Workers   int
	People    int
	// Program is the daemon, Dir where settings and logs go.
	Program string
	Dir     string
	// Out is told of each fault; it may be io.Discard.
	Out io.Writer
}

// Report is the outcome of a soak.
type Report struct {
	Plan       []Fault
	Violations []Violation
	Attempts   int
	Served     int
	Jobs       int
	Items      int
	Runs       int
	// Lines has the log lines of the daemons for each violation.
	Lines map[string][]string
}

// soak is a running soak.
type soak struct {
	options   Options
	history   *History
	store     *store
	operator  *operator
	instances []*instance
	modes     []*atomic.Int32
	workers   []*worker
	links     []*proxy
	front     []*proxy
	callers   *callers
	began     time.Time

	mu      sync.Mutex
	stopped map[int]bool
	serial  int
}

const (
	startTime = time.Minute
	beatPace  = time.Second
	// Jobs come jobBurst at once, more than the quota has room for.
	jobBurst   = 4
	jobPace    = 2100 * time.Millisecond
	finishTime = 2 * time.Minute
	// stallLimit is how late a timer may be before the machine counts as stalled;
	// bounds in time are not judged then.
	stallLimit = 100 * time.Millisecond
	stallPace  = 50 * time.Millisecond
	// lingerTime is how long a worker goes on after it has said that it drains.
	lingerTime = 4 * time.Second
)

// Play carries out a soak. It ends what it started, also when ctx ends.
func Play(ctx context.Context, o Options) (Report, error) {
	s := &soak{options: o, history: NewHistory(), stopped: map[int]bool{}}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	plan := NewPlan(o.Seed, o.For)
	s.play(ctx, plan)
	if err := ctx.Err(); err != nil {
		return Report{}, err
	}
	return s.report(plan), nil
}

// start builds the site and waits until all instances are ready.
func (s *soak) start(ctx context.Context) error {
	pid := os.Getpid()
	ip := func(k int) string { return fmt.Sprintf("127.%d.%d.%d", 10+pid%200, pid/200%250, k+1) }
	s.store = newStore(s.history)
	s.operator = &operator{rows: s.store.rows, history: s.history}
	if err := s.operator.write(ctx, false); err != nil {
		return err
	}
	for k := range s.options.Workers {
		if err := s.addWorker(ctx, fmt.Sprintf("w%d", k), ip(200)); err != nil {
			return err
		}
	}
	free, err := freePorts(ip(0))
	if err != nil {
		return err
	}
	dial := map[string]string{}
	for k := range s.options.Instances {
		address, mode, err := s.store.listen(ip(200))
		if err != nil {
			return err
		}
		i := &instance{name: fmt.Sprintf("i%d", k), ip: ip(k), program: s.options.Program, dir: s.options.Dir, store: address, ports: free}
		link, err := newProxy(ip(201), i.callers())
		if err != nil {
			return err
		}
		s.instances, s.modes, s.front = append(s.instances, i), append(s.modes, mode), append(s.front, link)
		dial[i.callers()] = link.address()
		if err := errors.Join(i.writeSettings(), i.start()); err != nil {
			return err
		}
	}
	s.callers = newCallers(s.history, s.instances, dial)
	return s.awaitReady(ctx)
}

func (s *soak) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, stallPace) {
		if len(s.callers.resolve(ctx)) == len(s.instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready within %v", startTime)
}

// addWorker starts a worker behind a proxy and enters it into the store.
func (s *soak) addWorker(ctx context.Context, id, ip string) error {
	w, err := newWorker(id, ip, s.history)
	if err != nil {
		return err
	}
	link, err := newProxy(ip, w.address)
	if err != nil {
		return err
	}
	w.address = link.address()
	s.mu.Lock()
	s.workers, s.links = append(s.workers, w), append(s.links, link)
	s.mu.Unlock()
	return put(ctx, s.store.rows, "servers", id, w.entry("ready", 0))
}

// play runs callers and faults, then lets everything come to rest and reads all
// jobs to their end.
func (s *soak) play(ctx context.Context, plan []Fault) {
	s.began = time.Now()
	active, cancel := context.WithTimeout(ctx, s.options.For)
	defer cancel()
	settled, settle := context.WithCancel(ctx)
	defer settle()
	var work, jobs, faults sync.WaitGroup
	for range s.options.People {
		work.Go(func() { s.callers.live(active) })
	}
	work.Go(func() { s.callers.probe(active) })
	work.Go(func() { s.submitJobs(active, settled, &jobs) })
	background, stop := context.WithCancel(ctx)
	defer stop()
	work.Go(func() { s.watchStalls(background) })
	for _, f := range plan {
		wait(active, time.Until(s.began.Add(f.At)))
		if active.Err() != nil {
			break
		}
		_, _ = fmt.Fprintln(s.options.Out, f)
		faults.Go(func() { s.inject(ctx, f) })
	}
	<-active.Done()
	faults.Wait()
	end := time.AfterFunc(finishTime, settle)
	defer end.Stop()
	jobs.Wait()
	stop()
	work.Wait()
	s.readAll(ctx)
}

// submitJobs keeps jobs until they end or the soak has settled.
func (s *soak) submitJobs(active, settled context.Context, jobs *sync.WaitGroup) {
	for n := 0; active.Err() == nil; n++ {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(n)))
		jobs.Go(func() { s.callers.keepJob(settled, n, random) })
		if n%jobBurst == jobBurst-1 {
			wait(active, jobPace)
		}
	}
}

// watchStalls notes when the machine that the soak runs on lets a timer wait.
func (s *soak) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		wait(ctx, stallPace)
		if late := time.Since(before) - stallPace; late > stallLimit {
			s.disturb(Disturbance{What: "stall", From: before, To: time.Now()})
		}
	}
}

func (s *soak) disturb(d Disturbance) {
	s.history.record(func() { s.history.Disturbances = append(s.history.Disturbances, d) })
}

// readAll reads every accepted job from its start at each instance.
func (s *soak) readAll(ctx context.Context) {
	for _, id := range slices.Sorted(keys(s.history.Jobs)) {
		j := s.history.Jobs[id]
		if j.Accepted.IsZero() {
			continue
		}
		for k, i := range s.instances {
			for after, tries := 0, 0; after < len(j.Items) && tries < maxFinalReads && ctx.Err() == nil; tries++ {
				r := s.callers.read(id, i.callers(), after, k == 0)
				after += len(r.Results)
				if len(r.Results) == 0 {
					if !j.Ended.IsZero() {
						break
					}
					wait(ctx, readPace)
				}
			}
		}
	}
}

// maxFinalReads bounds the reads of a job at one instance.
const maxFinalReads = 20

func (s *soak) report(plan []Fault) Report {
	r := Report{Plan: plan, Violations: Check(s.history), Attempts: len(s.history.Attempts), Jobs: len(s.history.Jobs), Runs: len(s.history.Runs),
		Lines: map[string][]string{}}
	for _, a := range s.history.Attempts {
		if a.Status == 200 && a.Whole {
			r.Served++
		}
	}
	for _, j := range s.history.Jobs {
		r.Items += len(j.Items)
	}
	for _, v := range r.Violations {
		r.Lines[v.ID] = linesOf(s.instances, v.ID)
	}
	return r
}

// close ends everything that was started.
func (s *soak) close() {
	var ended sync.WaitGroup
	for _, i := range s.instances {
		ended.Go(i.stop)
	}
	ended.Wait()
	for _, p := range append(s.links, s.front...) {
		p.close()
	}
	for _, w := range s.workers {
		_ = w.server.Close()
	}
	if s.store != nil {
		s.store.close()
	}
}

// signals of the faults that send one.
var signals = map[string]syscall.Signal{faultKill: syscall.SIGKILL, faultHup: syscall.SIGHUP}
