package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/daisylb/daisylb/storage/memory"
)

const (
	// stormPace and stormSize are those of documents in quick succession.
	stormPace = 100 * time.Millisecond
	stormSize = 6
	// lostAnswers is how many answers of the store are lost, lateEffect how long
	// after a lost answer its effect comes.
	lostAnswers = 12
	lateEffect  = 1500 * time.Millisecond
)

// inject carries a fault out and notes the time for which it disturbed.
func (s *soak) inject(ctx context.Context, f Fault) {
	d := Disturbance{What: f.Kind, From: time.Now(), Planned: isPlanned(f.Kind)}
	// The end is not known yet: until it is, the disturbance goes on.
	d.To = d.From.Add(time.Hour)
	k := f.Index % len(s.instances)
	switch f.Kind {
	case faultTerm, faultHup, faultKill, faultFreeze, faultStoreSome, faultCallerLink:
		d.Instance = s.instances[k].callers()
	}
	index := 0
	s.history.record(func() {
		index = len(s.history.Disturbances)
		s.history.Disturbances = append(s.history.Disturbances, d)
	})
	s.carryOut(ctx, f, k)
	s.history.record(func() { s.history.Disturbances[index].To = time.Now() })
}

func (s *soak) carryOut(ctx context.Context, f Fault, k int) {
	i := s.instances[k]
	switch f.Kind {
	case faultTerm:
		s.terminate(k)
	case faultKill, faultHup:
		i.signal(signals[f.Kind])
	case faultKillAll:
		for _, i := range s.instances {
			i.signal(syscall.SIGKILL)
		}
	case faultFreeze:
		i.signal(syscall.SIGSTOP)
		wait(ctx, f.For)
		i.signal(syscall.SIGCONT)
	case faultDocument:
		s.change(ctx, 1)
	case faultDocuments:
		s.change(ctx, stormSize)
	case faultDrain:
		s.replaceWorker(ctx)
	case faultWorkerGone, faultWorkerSlow, faultWorkerLink:
		s.harmWorker(ctx, f)
	case faultCallerLink:
		s.hold(ctx, s.front[k], f)
	default:
		s.harmStore(ctx, f, k)
	}
}

// terminate stops an instance as planned; it is started again. One is stopped at
// a time.
func (s *soak) terminate(k int) {
	s.mu.Lock()
	busy := len(s.stopped) > 0
	if !busy {
		s.stopped[k] = true
	}
	s.mu.Unlock()
	if busy {
		return
	}
	s.instances[k].terminate()
	s.mu.Lock()
	delete(s.stopped, k)
	s.mu.Unlock()
}

// change writes documents; the last one adds or removes a route.
func (s *soak) change(ctx context.Context, n int) {
	for range n {
		s.operator.mu.Lock()
		extra := !s.operator.extra
		s.operator.mu.Unlock()
		if err := s.operator.write(ctx, extra); err != nil {
			return
		}
		wait(ctx, stormPace)
	}
}

// replaceWorker starts a worker and lets the oldest one drain and leave.
func (s *soak) replaceWorker(ctx context.Context) {
	s.mu.Lock()
	s.serial++
	id := fmt.Sprintf("n%d", s.serial)
	old := s.workers[0]
	s.workers = s.workers[1:]
	link := s.links[0]
	s.links = s.links[1:]
	s.mu.Unlock()
	if err := s.addWorker(ctx, id, s.workers[0].ip()); err != nil {
		return
	}
	if err := put(ctx, s.store.rows, "servers", old.id, old.entry("draining", 1)); err != nil {
		return
	}
	s.history.record(func() { s.history.Drains = append(s.history.Drains, Drain{old.id, time.Now()}) })
	wait(ctx, lingerTime)
	_ = remove(ctx, s.store.rows, "servers", old.id)
	_ = old.server.Close()
	link.close()
}

func (s *soak) harmWorker(ctx context.Context, f Fault) {
	s.mu.Lock()
	k := f.Index % len(s.workers)
	w, link := s.workers[k], s.links[k]
	s.mu.Unlock()
	until := time.Now().Add(f.For)
	switch f.Kind {
	case faultWorkerLink:
		s.hold(ctx, link, f)
		return
	case faultWorkerGone:
		w.mu.Lock()
		w.broken = until
		w.mu.Unlock()
	case faultWorkerSlow:
		w.mu.Lock()
		w.slow = until
		w.mu.Unlock()
	}
	wait(ctx, f.For)
}

// hold harms a link in a way that the plan's index draws.
func (s *soak) hold(ctx context.Context, link *proxy, f Fault) {
	modes := []linkMode{linkDelays, linkSilent, linkOneWay, linkThrottles, linkResets}
	link.set(modes[f.Index/7%len(modes)])
	wait(ctx, f.For)
	link.set(linkPasses)
}

func (s *soak) harmStore(ctx context.Context, f Fault, k int) {
	modes := []storeMode{storeRefuses, storeThrottles, storeResets, storeSilent, storeSlow}
	mode := int32(modes[f.Index/7%len(modes)])
	switch f.Kind {
	case faultStoreSome:
		s.modes[k].Store(mode)
		wait(ctx, f.For)
		s.modes[k].Store(int32(storeServes))
	case faultStoreDown:
		for _, m := range s.modes {
			m.Store(mode)
		}
		wait(ctx, f.For)
		for _, m := range s.modes {
			m.Store(int32(storeServes))
		}
	case faultStoreLost, faultStoreLate:
		faults := memory.RowFaults{LoseAnswers: lostAnswers}
		if f.Kind == faultStoreLate {
			faults.Delay = lateEffect
		}
		s.store.rows.SetFaults(faults)
		wait(ctx, f.For)
		s.store.rows.SetFaults(memory.RowFaults{})
	case faultStoreDrops:
		s.store.rows.DropHistory()
	}
}
