package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/daisylb/daisylb/storage/memory"
)

const (
	// documentInterval and documentBurst are the interval and number of
	// documents in quick succession.
	documentInterval = 100 * time.Millisecond
	documentBurst    = 6
	// lostResponses is the number of responses that the store loses.
	// lateEffectDelay is the time after a lost response at which its operation
	// takes effect.
	lostResponses   = 12
	lateEffectDelay = 1500 * time.Millisecond
	// A planned stop takes about stopSteps times stopStep.
	stopSteps = 40
	stopStep  = 100 * time.Millisecond
	// stopDocuments is the number of documents that are written during a stop.
	stopDocuments = 3
	// rollInterval is the time between two stops of a roll.
	rollInterval = time.Second
	// workerKindPrefix begins the kinds of faults of a worker.
	workerKindPrefix = "worker "
)

// inject executes a fault and records its period as a disturbance.
func (s *soak) inject(ctx context.Context, f Fault) {
	if slices.Contains(allOverlaps, f.Kind) {
		s.overlap(ctx, f)
		return
	}
	d := Disturbance{Kind: f.Kind, From: time.Now(), Planned: isPlanned(f.Kind)}
	// The fault is recorded before it starts, with an end in the future. The
	// end is corrected when the fault is over.
	d.To = d.From.Add(time.Hour)
	k := f.Index % len(s.instances)
	switch f.Kind {
	case faultTerm, faultHup, faultKill, faultFreeze, faultStoreOneInstance, faultStoreRights, faultCallerLink, faultTermAgain, faultReloads, faultJobsTerm, faultJobsKill, faultKillSeries:
		d.Instance = s.instances[k].callerAddress()
	}
	w, link := s.pickWorker(f.Index)
	if strings.HasPrefix(f.Kind, workerKindPrefix) {
		d.Worker = w.id
	}
	index := 0
	s.history.update(func() {
		index = len(s.history.Disturbances)
		s.history.Disturbances = append(s.history.Disturbances, d)
	})
	if d.Worker != "" {
		s.disturbWorker(ctx, f, w, link)
	} else {
		s.execute(ctx, f, k)
	}
	s.history.update(func() { s.history.Disturbances[index].To = time.Now() })
}

// execute executes a fault and returns when it is over. k is the index of the
// instance.
func (s *soak) execute(ctx context.Context, f Fault, k int) {
	i := s.instances[k]
	switch f.Kind {
	case faultTerm:
		var others sync.WaitGroup
		others.Go(func() { s.disturbStop(ctx, f, i) })
		s.terminate(k, 1, func() {})
		others.Wait()
	case faultRoll:
		s.roll(ctx, f)
	case faultKill, faultHup:
		i.signal(signals[f.Kind])
	case faultKillAll:
		for _, i := range s.instances {
			i.signal(syscall.SIGKILL)
		}
	case faultFreeze:
		i.signal(syscall.SIGSTOP)
		wait(ctx, f.Duration)
		i.signal(syscall.SIGCONT)
	case faultDocument:
		s.writeDocuments(ctx, 1)
	case faultDocuments:
		s.writeDocuments(ctx, documentBurst)
	case faultDrain:
		s.replaceWorker(ctx)
	case faultTermAgain, faultReloads, faultRoutes, faultJobsTerm, faultJobsKill, faultKillSeries, faultKillInStop:
		s.executeSeries(ctx, f, k)
	case faultCallerLink:
		s.disturbLink(ctx, s.callerLinks[k], f)
	default:
		s.disturbStore(ctx, f, k)
	}
}

// disturbStop sends SIGHUP and writes documents at a moment of a planned stop that the
// index of the fault selects.
func (s *soak) disturbStop(ctx context.Context, f Fault, i *instance) {
	wait(ctx, time.Duration(f.Index/11%stopSteps)*stopStep)
	i.signal(syscall.SIGHUP)
	s.writeDocuments(ctx, stopDocuments)
}

// terminate stops an instance as planned, after which it is restarted. It does
// nothing and reports false if the instance or most others are being stopped. Otherwise it
// calls amid at the beginning of the stop and waits for it.
func (s *soak) terminate(k, most int, amid func()) bool {
	s.mu.Lock()
	busy := s.terminating[k] || len(s.terminating) >= most
	if !busy {
		s.terminating[k] = true
	}
	s.mu.Unlock()
	if busy {
		return false
	}
	var late sync.WaitGroup
	late.Go(amid)
	for range lateCallers {
		c := &persistentCaller{callerPool: s.callers, operator: s.operator, address: s.instances[k].callerAddress()}
		late.Go(c.sendLate)
	}
	s.history.update(func() {
		s.history.Stops = append(s.history.Stops, Stop{s.instances[k].callerAddress(), time.Now()})
	})
	s.instances[k].terminate()
	late.Wait()
	s.mu.Lock()
	delete(s.terminating, k)
	s.mu.Unlock()
	return true
}

// roll stops all instances in turn, up to half of them at a time, each with SIGHUP and
// documents at some moment of its stop.
func (s *soak) roll(ctx context.Context, f Fault) {
	var stops sync.WaitGroup
	for n := range s.instances {
		k := (f.Index + n) % len(s.instances)
		stops.Go(func() {
			for !s.terminate(k, max(len(s.instances)/2, 1), func() {}) && ctx.Err() == nil {
				wait(ctx, stopStep)
			}
		})
		next := f
		next.Index += n * stopSteps
		stops.Go(func() { s.disturbStop(ctx, next, s.instances[k]) })
		wait(ctx, rollInterval)
	}
	stops.Wait()
}

// writeDocuments writes n documents. Each adds the changing route or removes
// it.
func (s *soak) writeDocuments(ctx context.Context, n int) {
	for range n {
		if err := s.operator.write(ctx, documentShape{changeService: s.operator.toggledChangeService()}); err != nil {
			return
		}
		wait(ctx, documentInterval)
	}
}

// replaceWorker starts a worker, then drains the oldest one and removes it.
func (s *soak) replaceWorker(ctx context.Context) {
	s.mu.Lock()
	s.lastWorker++
	id := fmt.Sprintf("n%d", s.lastWorker)
	ip := s.workers[0].ip()
	s.mu.Unlock()
	if err := s.addWorker(ctx, id, ip, serviceName); err != nil {
		return
	}
	s.mu.Lock()
	old, link := s.workers[0], s.workerLinks[0]
	s.workers, s.workerLinks = s.workers[1:], s.workerLinks[1:]
	s.mu.Unlock()
	if err := old.announceDraining(ctx, s.store.rows); err != nil {
		return
	}
	s.history.update(func() { s.history.Drains = append(s.history.Drains, Drain{old.id, time.Now()}) })
	wait(ctx, workerDrainTime)
	_ = removeRow(ctx, s.store.rows, "servers", old.id)
	_ = old.server.Close()
	link.close()
}

// pickWorker returns the worker, with its link, that the index of a fault selects.
func (s *soak) pickWorker(index int) (*worker, *proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := index % len(s.workers)
	return s.workers[k], s.workerLinks[k]
}

// disturbWorker disturbs a worker or its link, for the duration of the fault.
func (s *soak) disturbWorker(ctx context.Context, f Fault, w *worker, link *proxy) {
	until := time.Now().Add(f.Duration)
	switch f.Kind {
	case faultWorkerPauses, faultWorkerFlaps, faultWorkerDark:
		s.interruptWorker(ctx, f, w, link)
		return
	case faultWorkerLink:
		s.disturbLink(ctx, link, f)
		return
	case faultWorkerSilent:
		link.silence(false)
		return
	case faultWorkerFails:
		w.mu.Lock()
		w.failingUntil, w.failsAll = until, f.Index/7%2 == 0
		w.mu.Unlock()
	case faultWorkerBreaks:
		w.mu.Lock()
		w.brokenUntil = until
		w.mu.Unlock()
	case faultWorkerSlow:
		w.mu.Lock()
		w.slowUntil = until
		w.mu.Unlock()
	}
	wait(ctx, f.Duration)
}

// disturbLink disturbs a link for the duration of the fault, in a mode selected
// by its index.
func (s *soak) disturbLink(ctx context.Context, link *proxy, f Fault) {
	modes := []linkMode{linkDelays, linkBlocks, linkBlocksReplies, linkThrottles, linkResets}
	link.setMode(modes[f.Index/7%len(modes)])
	wait(ctx, f.Duration)
	link.setMode(linkForwards)
}

// disturbStore executes a fault of the store, in a mode selected by the index
// of the fault.
func (s *soak) disturbStore(ctx context.Context, f Fault, k int) {
	modes := append(slices.Clone(refusals), storeSlow)
	mode := int32(modes[f.Index/7%len(modes)])
	switch f.Kind {
	case faultStoreOneInstance, faultStoreRights:
		if f.Kind == faultStoreRights {
			mode = int32(storeRevoked)
		}
		s.storeModes[k].Store(mode)
		wait(ctx, f.Duration)
		s.storeModes[k].Store(int32(storeServes))
	case faultStoreDown:
		for _, m := range s.storeModes {
			m.Store(mode)
		}
		wait(ctx, f.Duration)
		for _, m := range s.storeModes {
			m.Store(int32(storeServes))
		}
	case faultStoreTable:
		// The process that starts meanwhile does not know the table.
		table := storeTables[f.Index/7%len(storeTables)]
		s.store.refusedTable.Store(&table)
		s.instances[k].signal(syscall.SIGKILL)
		wait(ctx, f.Duration)
		s.store.refusedTable.Store(nil)
	case faultStoreLosesResponses, faultStoreLateEffects:
		faults := memory.RowFaults{LoseResponses: lostResponses}
		if f.Kind == faultStoreLateEffects {
			faults.EffectDelay = lateEffectDelay
		}
		s.store.rows.SetFaults(faults)
		wait(ctx, f.Duration)
		s.store.rows.SetFaults(memory.RowFaults{})
	case faultStoreDropsHistory:
		s.store.rows.DropHistory()
	}
}
