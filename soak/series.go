package soak

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// seriesLength is the number of steps of a series, seriesStep the least time between
	// two of them.
	seriesLength = 8
	seriesStep   = 50 * time.Millisecond
	// killCount is the number of kills of a series of restarts.
	killCount = 4
	// jobsBeforeSignal are submitted to an instance up to maxSignalDelay before its signal.
	jobsBeforeSignal = 4
	maxSignalDelay   = 25 * time.Millisecond
	// pauseTime is how long a sound worker may be silent.
	pauseTime = time.Second
	// entryTimeout is how long the entry of a worker that went dark stays in the store.
	entryTimeout = 3 * heartbeatInterval
)

// stepTime returns the time before a step of a series, from one to eight times seriesStep.
func stepTime(f Fault, step int) time.Duration {
	return time.Duration(1+(f.Index/11+step*5)%8) * seriesStep
}

// executeSeries executes faults that come in series or overlap with others. k is the
// index of the instance.
func (s *soak) executeSeries(ctx context.Context, f Fault, k int) {
	switch f.Kind {
	case faultTermAgain:
		s.stopAmid(ctx, f, k, syscall.SIGTERM)
	case faultKillInStop:
		next := f
		next.Index++
		s.stopAmid(ctx, next, k, syscall.SIGKILL)
	case faultReloads:
		s.reload(ctx, f, k)
	case faultRoutes:
		s.changeRoutes(ctx, f)
	case faultJobsTerm:
		s.startJobs(ctx, f, k)
		s.terminate(k, len(s.instances), func() {})
	case faultJobsKill:
		s.startJobs(ctx, f, k)
		s.instances[k].signal(syscall.SIGKILL)
	case faultKillSeries:
		for n := range killCount {
			s.instances[k].signal(syscall.SIGKILL)
			wait(ctx, restartDelay+stepTime(f, n))
		}
	}
}

// overlap executes a change while another fault cuts an instance off or silences a worker,
// or as soon as the instance is back. Each is recorded by itself.
func (s *soak) overlap(ctx context.Context, f Fault) {
	i := s.instances[f.Index%len(s.instances)]
	changes := []string{faultHup, faultDocuments, faultReloads, faultRoutes}
	if !s.options.OnlyWorkers {
		changes = append(changes, faultJobsTerm, faultTermAgain)
	}
	cuts := []string{faultKill, faultFreeze, faultCallerLink, faultStoreRights}
	cut, change := f, f
	cut.Kind, change.Kind = cuts[f.Index/7%len(cuts)], changes[f.Index/13%len(changes)]
	var changed sync.WaitGroup
	switch f.Kind {
	case faultChangeAtReturn:
		killed := i.current()
		s.inject(ctx, cut)
		if cut.Kind == faultKill {
			i.awaitStart(ctx, killed)
		}
		wait(ctx, stepTime(f, 0)-seriesStep)
		s.inject(ctx, change)
		return
	case faultPauseInChange:
		cut.Kind = faultWorkerPauses
	}
	changed.Go(func() {
		wait(ctx, stepTime(f, 0))
		s.inject(ctx, change)
	})
	s.inject(ctx, cut)
	changed.Wait()
}

// stopAmid stops an instance, also if all others are being stopped, while its process gets
// a signal again and again and SIGHUP, and while documents change. With SIGKILL the process
// gets it once, together with another instance.
func (s *soak) stopAmid(ctx context.Context, f Fault, k int, again syscall.Signal) {
	signal := s.instances[k].process()
	var others sync.WaitGroup
	others.Go(func() { s.disturbStop(ctx, f, s.instances[k]) })
	s.terminate(k, len(s.instances), func() {
		for n := range seriesLength {
			wait(ctx, stepTime(f, n))
			if again == syscall.SIGKILL && n == f.Index/11%seriesLength {
				signal(again)
				s.instances[(k+1)%len(s.instances)].signal(again)
				return
			}
			signal(syscall.SIGHUP)
			if again == syscall.SIGTERM {
				signal(again)
			}
		}
	})
	others.Wait()
}

// reload changes the settings file of an instance in quick succession. In between the
// file is incomplete or missing. In every other fault SIGHUP and documents come along.
func (s *soak) reload(ctx context.Context, f Fault, k int) {
	i := s.instances[k]
	silent := f.Index/7%2 == 0
	for n := range seriesLength {
		switch n % 4 {
		case 0, 3:
			_ = i.writeSettings(statusTime + time.Duration(n+1)*time.Second)
		case 1:
			_ = os.Truncate(i.settingsPath(), 100)
		case 2:
			_ = os.Remove(i.settingsPath())
		}
		wait(ctx, stepTime(f, n))
		if !silent {
			i.signal(syscall.SIGHUP)
			s.writeDocuments(ctx, 1)
		}
	}
	_ = i.writeSettings(statusTime)
}

// changeRoutes writes documents in quick succession that move, split, add and remove
// routes. Some are large. The last is as before.
func (s *soak) changeRoutes(ctx context.Context, f Fault) {
	services := []string{serviceName, otherServiceName, ""}
	for n := range seriesLength {
		bits := f.Index >> (n % 4)
		shape := documentShape{changeService: services[(bits+n)%len(services)], onceMoves: bits&1 > 0, againSplits: bits&2 > 0, partRoutes: bits&4 > 0}
		if bits&8 > 0 {
			shape.more = moreRoutes
		}
		if err := s.operator.write(ctx, shape); err != nil {
			return
		}
		wait(ctx, stepTime(f, n))
	}
	_ = s.operator.write(ctx, documentShape{changeService: services[f.Index%len(services)]})
}

// startJobs submits jobs to an instance and returns up to maxSignalDelay later.
func (s *soak) startJobs(ctx context.Context, f Fault, k int) {
	for range jobsBeforeSignal {
		s.startJob(s.instances[k].callerAddress())
	}
	wait(ctx, time.Duration(f.Index/7)*time.Millisecond%maxSignalDelay)
}

// interruptWorker lets a worker pause, crash and start again in short periods, or go dark
// and start again.
func (s *soak) interruptWorker(ctx context.Context, f Fault, w *worker, link *proxy) {
	switch f.Kind {
	case faultWorkerPauses:
		link.setMode(linkBlocks)
		wait(ctx, pauseTime)
		link.setMode(linkForwards)
	case faultWorkerFlaps:
		end := time.Now().Add(f.Duration)
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			link.setMode(linkResets)
			wait(ctx, 2*stepTime(f, n))
			link.setMode(linkForwards)
			_ = w.announce(ctx, s.store.rows)
			wait(ctx, 2*stepTime(f, n+1))
		}
	case faultWorkerDark:
		link.silence(true)
		link.setMode(linkBlocks)
		wait(ctx, min(f.Duration, entryTimeout))
		if f.Duration > entryTimeout {
			w.withdraw(ctx, s.store.rows)
			wait(ctx, f.Duration-entryTimeout)
		}
		link.closeAll()
		link.setMode(linkForwards)
		_ = w.announce(ctx, s.store.rows)
	}
}
