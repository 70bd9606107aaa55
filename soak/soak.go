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

// Options configure a soak.
type Options struct {
	// Seed determines the plan.
	Seed uint64
	// FaultPeriod is the time in which faults are injected.
	FaultPeriod time.Duration
	// Instances and Workers are their numbers. Callers is the number of
	// concurrent callers of online requests.
	Instances int
	Workers   int
	Callers   int
	// Slot tells soaks apart that one process runs at the same time. It is from 0 to 2.
	Slot int
	// OnlyWorkers draws a plan that leaves all instances and the store in touch.
	OnlyWorkers bool
	// Program is the path of the daemon. Dir is the directory for settings and
	// logs.
	Program string
	Dir     string
	// Out receives a line for each fault. It may be io.Discard.
	Out io.Writer
}

// Report is the result of a soak.
type Report struct {
	Plan       []Fault
	Violations []Violation
	Attempts   int
	Served     int
	Jobs       int
	Items      int
	Runs       int
	// Denied and Cut are the numbers of requests that two checks count.
	Denied int
	Cut    int
	// Late is the number of items that were not listed at the end of the time to finish.
	Late int
	// Stalls is the number of stalls of this process, beside which bounds in time are not
	// judged.
	Stalls int
	// LogLines has the log lines of the daemons for each violation, by its id.
	LogLines map[string][]string
}

// soak is the state of a running soak.
type soak struct {
	options     Options
	history     *History
	store       *store
	operator    *operator
	instances   []*instance
	storeModes  []*atomic.Int32
	workers     []*worker
	workerLinks []*proxy
	callerLinks []*proxy
	callers     *callerPool
	startedAt   time.Time
	// jobs are the callers of jobs, which run until jobsCtx ends.
	jobs    sync.WaitGroup
	jobsCtx context.Context

	mu          sync.Mutex
	terminating map[int]bool
	lastWorker  int
	lastJob     int
	// otherWorkers are those of the service that routes move to at times. They are sound.
	otherWorkers []*worker
}

const (
	startTimeout = time.Minute
	// A soak has slotAddresses: one an instance, one for the store and the workers and one
	// for the links of callers.
	slotAddresses     = 80
	maxInstances      = 64
	serverIP          = maxInstances
	linkIP            = maxInstances + 1
	heartbeatInterval = time.Second
	// Jobs are submitted in bursts of jobBurst, which exceeds the quota.
	jobBurst         = 4
	jobBurstInterval = 2100 * time.Millisecond
	finishTimeout    = 2 * time.Minute
	// statusTime is for how long the status of jobs is kept.
	statusTime = 2 * time.Minute
	// stallLimit is how late a timer may fire before the host counts as
	// stalled. Time bounds are not checked for that period.
	stallLimit         = 100 * time.Millisecond
	stallCheckInterval = 50 * time.Millisecond
	stallKind          = "stall"
	// workerDrainTime is how long a worker keeps running after it was marked as
	// draining: drainBound and the time of the longest request.
	workerDrainTime = 8 * time.Second
)

// Run carries out a soak. It stops everything that it started before it returns.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{options: o, history: NewHistory(), terminating: map[int]bool{}}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	plan := NewPlan(o.Seed, o.FaultPeriod, o.OnlyWorkers)
	s.run(ctx, plan)
	if err := ctx.Err(); err != nil {
		return Report{}, err
	}
	return s.report(plan), nil
}

// start starts the store, the workers and the instances, and waits until all
// instances are ready.
func (s *soak) start(ctx context.Context) error {
	if s.options.Instances > maxInstances {
		return fmt.Errorf("%d instances, there are addresses for %d", s.options.Instances, maxInstances)
	}
	pid := os.Getpid()
	ip := func(k int) string {
		return fmt.Sprintf("127.%d.%d.%d", 10+pid%200, pid/200%250, s.options.Slot*slotAddresses+k+1)
	}
	s.store = newStore(s.history)
	s.history.Accounts = hasAccounts(s.options.Seed)
	s.operator = &operator{rows: s.store.rows, history: s.history, accounts: s.history.Accounts}
	if err := s.operator.write(ctx, documentShape{}); err != nil {
		return err
	}
	for k := range s.options.Workers {
		if err := errors.Join(s.addWorker(ctx, fmt.Sprintf("w%d", k), ip(serverIP), serviceName), s.addWorker(ctx, fmt.Sprintf("t%d", k), ip(serverIP), otherServiceName)); err != nil {
			return err
		}
	}
	free, err := freePorts(ip(0))
	if err != nil {
		return err
	}
	proxyAddresses := map[string]string{}
	for k := range s.options.Instances {
		address, mode, err := s.store.listen(ip(serverIP))
		if err != nil {
			return err
		}
		i := &instance{name: fmt.Sprintf("i%d", k), ip: ip(k), program: s.options.Program, dir: s.options.Dir, storeAddress: address, ports: free, accounts: s.history.Accounts}
		link, err := newProxy(ip(linkIP), i.callerAddress())
		if err != nil {
			return err
		}
		s.instances, s.storeModes, s.callerLinks = append(s.instances, i), append(s.storeModes, mode), append(s.callerLinks, link)
		proxyAddresses[i.callerAddress()] = link.address()
		if err := errors.Join(i.writeSettings(statusTime), i.start()); err != nil {
			return err
		}
	}
	s.callers = newCallerPool(s.history, s.instances, proxyAddresses)
	return s.awaitReady(ctx)
}

// awaitReady waits until the number of resolved addresses is that of the
// instances.
func (s *soak) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, stallCheckInterval) {
		if len(s.callers.resolve(ctx)) == len(s.instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready within %v", startTimeout)
}

// addWorker starts a worker behind a proxy and adds its entry to the store.
func (s *soak) addWorker(ctx context.Context, id, ip, service string) error {
	w, err := newWorker(id, ip, service, s.history)
	if err != nil {
		return err
	}
	if service == otherServiceName {
		s.otherWorkers = append(s.otherWorkers, w)
		return putRow(ctx, s.store.rows, "servers", id, w.entry("ready", 0))
	}
	link, err := newProxy(ip, w.address)
	if err != nil {
		return err
	}
	w.address = link.address()
	s.mu.Lock()
	s.workers, s.workerLinks = append(s.workers, w), append(s.workerLinks, link)
	s.mu.Unlock()
	return putRow(ctx, s.store.rows, "servers", id, w.entry("ready", 0))
}

// run runs callers and faults for FaultPeriod and waits until the faults are
// over. It then waits for the open jobs, at most finishTimeout, and reads the
// results of all accepted jobs.
func (s *soak) run(ctx context.Context, plan []Fault) {
	s.startedAt = time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, s.options.FaultPeriod)
	defer cancel()
	jobsCtx, cancelJobs := context.WithCancel(ctx)
	defer cancelJobs()
	s.jobsCtx = jobsCtx
	var load, faults sync.WaitGroup
	for range s.options.Callers {
		load.Go(func() { s.callers.sendRequests(loadCtx) })
	}
	for k := range persistentPerInstance * len(s.instances) {
		c := &persistentCaller{callerPool: s.callers, operator: s.operator, address: s.instances[k%len(s.instances)].callerAddress()}
		load.Go(func() { c.run(loadCtx) })
	}
	load.Go(func() { s.callers.probeInstances(loadCtx) })
	load.Go(func() { s.submitJobs(loadCtx) })
	stallCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	load.Go(func() { s.watchStalls(stallCtx) })
	for _, f := range plan {
		wait(loadCtx, time.Until(s.startedAt.Add(f.At)))
		if loadCtx.Err() != nil {
			break
		}
		_, _ = fmt.Fprintln(s.options.Out, f)
		faults.Go(func() { s.inject(ctx, f) })
	}
	<-loadCtx.Done()
	finish := time.Now().Add(finishBound)
	faults.Wait()
	timer := time.AfterFunc(finishTimeout, cancelJobs)
	defer timer.Stop()
	s.awaitJobs(ctx, finish)
	stopWatching()
	load.Wait()
	s.readAllJobs(ctx)
}

// startJob starts a job whose first submission goes to the given address.
func (s *soak) startJob(first string) {
	s.mu.Lock()
	n := s.lastJob
	s.lastJob++
	s.mu.Unlock()
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(n)))
	s.jobs.Go(func() { s.callers.runJob(s.jobsCtx, n, random, first) })
}

// submitJobs starts jobs in bursts until loadCtx ends.
func (s *soak) submitJobs(loadCtx context.Context) {
	for n := 0; loadCtx.Err() == nil; n++ {
		s.startJob(s.callers.anyAddress())
		if n%jobBurst == jobBurst-1 {
			wait(loadCtx, jobBurstInterval)
		}
	}
}

// watchStalls records a disturbance whenever a timer of this process fires too
// late.
func (s *soak) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		wait(ctx, stallCheckInterval)
		if late := time.Since(before) - stallCheckInterval; late > stallLimit {
			s.recordDisturbance(Disturbance{Kind: stallKind, From: before, To: time.Now()})
		}
	}
}

func (s *soak) recordDisturbance(d Disturbance) {
	s.history.update(func() { s.history.Disturbances = append(s.history.Disturbances, d) })
}

// readAllJobs reads the results of every accepted job from the start, at each
// instance.
func (s *soak) readAllJobs(ctx context.Context) {
	for _, id := range slices.Sorted(keys(s.history.Jobs)) {
		j := s.history.Jobs[id]
		if j.AcceptedAt.IsZero() {
			continue
		}
		for k, i := range s.instances {
			for after, tries := 0, 0; after < len(j.Items) && tries < maxFinalReads && ctx.Err() == nil; tries++ {
				r := s.callers.readJob(id, i.callerAddress(), after, k == 0)
				after += len(r.Results)
				if len(r.Results) == 0 {
					if !j.CancelledAt.IsZero() {
						break
					}
					wait(ctx, readInterval)
				}
			}
		}
	}
}

// maxFinalReads bounds the reads of a job at one instance.
const maxFinalReads = 20

// recordReceived marks the unanswered attempts that an instance has logged.
func (s *soak) recordReceived() {
	for i := range s.history.Attempts {
		a := &s.history.Attempts[i]
		if a.Status == 0 && a.Written {
			a.Received = len(logLines(s.instances, `"`+a.Request+`"`)) > 0
		}
	}
}

func (s *soak) report(plan []Fault) Report {
	s.recordReceived()
	r := Report{Plan: plan, Violations: Check(s.history), Attempts: len(s.history.Attempts), Jobs: len(s.history.Jobs), Runs: len(s.history.Runs),
		Denied: len(denials(s.history)), Cut: len(cutOnKeptConnections(s.history)), Late: len(s.history.Unfinished), LogLines: map[string][]string{}}
	for _, a := range s.history.Attempts {
		if a.Status == 200 && a.Completed {
			r.Served++
		}
	}
	for _, d := range s.history.Disturbances {
		if d.Kind == stallKind {
			r.Stalls++
		}
	}
	for _, j := range s.history.Jobs {
		r.Items += len(j.Items)
	}
	for _, v := range r.Violations {
		r.LogLines[v.ID] = logLines(s.instances, v.ID)
	}
	return r
}

// close stops everything that was started.
func (s *soak) close() {
	var ended sync.WaitGroup
	for _, i := range s.instances {
		ended.Go(i.stop)
	}
	ended.Wait()
	for _, p := range append(s.workerLinks, s.callerLinks...) {
		p.close()
	}
	for _, w := range append(s.workers, s.otherWorkers...) {
		_ = w.server.Close()
	}
	if s.store != nil {
		s.store.close()
	}
}

// signals has the signal of each fault that only sends one.
var signals = map[string]syscall.Signal{faultKill: syscall.SIGKILL, faultHup: syscall.SIGHUP}
