package instance

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/instance/instancepb"
)

const (
	// nonMemberProbePeriods is how many periods pass between probes of listed
	// instances that are not live members.
	nonMemberProbePeriods = 4
	// relayTimeoutFactor is how many probe timeouts relayed probes get,
	// suspectTimeoutFactor how many a suspect gets to answer the probe that
	// notifies it of the suspicion.
	relayTimeoutFactor   = 2
	suspectTimeoutFactor = 6
)

// probeLoop probes one member per period until ctx ends.
func (m *Membership) probeLoop(ctx context.Context) {
	for step := 0; ; step++ {
		if !m.sleep(ctx, m.jitter(m.scaleTimeout(m.options.Period))) {
			return
		}
		m.updateSelf()
		m.expire()
		m.notifyVersion()
		m.runPeriod(ctx, step)
		m.publish(true)
	}
}

// notifyLoop advertises changes of this instance's entry, notifies suspects and
// synchronises after a pause. It is separate from probeLoop because probes may
// take long.
func (m *Membership) notifyLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.advertise:
			m.advertiseToWatchers(ctx)
		case t := <-m.suspects:
			calls.Go(func() { m.probeSuspect(ctx, t) })
		case <-m.resync:
			m.syncAfterPause(ctx)
		}
	}
}

// probeSuspect notifies a suspect of the suspicion, so that it can refute at
// once. Its answer may take as long as several probes.
func (m *Membership) probeSuspect(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, m.scaleTimeout(suspectTimeoutFactor*m.options.ProbeTimeout))
	defer cancel()
	m.probeDirect(ctx, t)
}

// scaleTimeout returns d multiplied by one plus the slowness score.
func (m *Membership) scaleTimeout(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d * time.Duration(1+m.table.slowness)
}

// expire declares suspects dead whose suspicion timeout has passed, and removes
// old dead members.
func (m *Membership) expire() {
	m.mu.Lock()
	m.detectPause(time.Now())
	before := m.table.counts.Deaths
	m.table.expire(time.Now())
	deaths := m.table.counts.Deaths - before
	m.mu.Unlock()
	if deaths > 0 {
		m.log.Info("members declared dead", zap.Uint64("deaths", deaths))
	}
	m.publish(false)
}

// runPeriod probes one neighbour and notifies a suspect every second period. It
// probes a listed instance that is not a live member every
// nonMemberProbePeriods, or every period while this instance knows no other
// live member.
func (m *Membership) runPeriod(ctx context.Context, step int) {
	m.mu.Lock()
	isolated := m.table.live() == 1
	neighbour, ok := m.table.neighbour()
	var t target
	if ok {
		t = neighbour.target()
	}
	if suspect, ok := m.table.randomOwnSuspect(); ok && step%2 == 0 {
		m.queueSuspect(suspect.target())
	}
	m.mu.Unlock()
	if ok {
		m.probe(ctx, t)
	}
	if isolated || step%nonMemberProbePeriods == 0 {
		m.probeNonMember(ctx)
	}
}

// queueSuspect queues a suspect to be notified, unless the queue is full.
func (m *Membership) queueSuspect(t target) {
	select {
	case m.suspects <- t:
	default:
	}
}

// target is a member to be probed.
type target struct {
	handle  handle
	address string
	// extraTimeouts is the number of usual timeouts added to the bound of the
	// probe.
	extraTimeouts int
}

// target returns the member as the target of a probe.
func (r *record) target() target {
	return target{r.handle, r.member.PeerAddress, r.extraTimeouts}
}

// probeResult is the result of probing one member.
type probeResult struct {
	answered bool
	// replaced is set when a different process answered at the address.
	replaced bool
	// late is set when the answer took longer than the usual bound.
	late bool
	// relayAnswered is set when a relay answered, whether or not it reached the
	// target.
	relayAnswered bool
}

// probe probes the target directly and through relays, and marks it suspect
// when no path reaches it.
func (m *Membership) probe(ctx context.Context, t target) {
	usual := (1 + relayTimeoutFactor) * m.options.ProbeTimeout
	bound := m.scaleTimeout(usual) * time.Duration(1+t.extraTimeouts)
	startedAt, pauses := time.Now(), m.pauseCount()
	result := m.probeAllPaths(ctx, t, bound)
	m.options.pausePoint()
	result.late = time.Since(startedAt) > usual
	if ctx.Err() != nil {
		return
	}
	if m.pauseCount() != pauses && !result.answered {
		m.metrics.countProbe("void")
		return
	}
	m.recordProbe(t, result)
}

// recordProbe updates the member, the slowness score and the metrics by the
// result of a probe.
func (m *Membership) recordProbe(t target, result probeResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case result.answered:
		if !result.late {
			m.adjustSlowness(-1)
			m.table.reduceTimeouts(t.handle)
		}
		m.metrics.countProbe("answered")
	case result.replaced:
		m.table.markReplaced(now, t.handle)
		m.metrics.countProbe("replaced")
	default:
		if !result.relayAnswered && m.table.live() > 2 {
			m.adjustSlowness(1)
		}
		m.table.markSuspect(now, t.handle)
		m.metrics.countProbe("failed")
		m.queueSuspect(t)
	}
}

// probeAllPaths collects the results of a direct probe and, when that is late
// or fails, of probes through relays.
func (m *Membership) probeAllPaths(ctx context.Context, t target, bound time.Duration) probeResult {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()

	results := make(chan probeResult, 1+max(m.options.Relays, 0))
	calls.Go(func() { results <- m.probeDirect(ctx, t) })
	relayTimer := time.NewTimer(m.scaleTimeout(m.options.ProbeTimeout))
	defer relayTimer.Stop()

	var all probeResult
	pending, relayed := 1, false
	for pending > 0 || !relayed {
		select {
		case result := <-results:
			pending--
			all = all.combine(result)
		case <-relayTimer.C:
		}
		if all.answered || all.replaced {
			return all
		}
		if !relayed {
			relayed = true
			pending += m.startRelayedProbes(ctx, t, &calls, results)
		}
	}
	return all
}

// combine returns the result of several probes of the same member.
func (result probeResult) combine(other probeResult) probeResult {
	return probeResult{
		answered:      result.answered || other.answered,
		replaced:      result.replaced || other.replaced,
		relayAnswered: result.relayAnswered || other.relayAnswered,
	}
}

// probeDirect probes the target without a relay.
func (m *Membership) probeDirect(ctx context.Context, t target) probeResult {
	r, err := m.options.Prober.Probe(ctx, t.address, &instancepb.ProbeRequest{
		Gossip: m.gossip(t.handle),
		Target: uint64(t.handle),
	})
	m.options.pausePoint()
	if err != nil {
		return probeResult{}
	}
	m.receive(r.GetGossip())
	m.syncIfUnknown(ctx, t.address, r.GetIntroduce())
	if handle(r.GetGossip().GetSender().GetHandle()) != t.handle {
		return probeResult{replaced: true}
	}
	return probeResult{answered: true}
}

// syncIfUnknown synchronises with a peer that does not know this instance, or
// that named members unknown here.
func (m *Membership) syncIfUnknown(ctx context.Context, address string, requested bool) {
	m.mu.Lock()
	unknownSeen := m.table.unknownSeen
	m.table.unknownSeen = false
	m.mu.Unlock()
	if requested || unknownSeen {
		m.sync(ctx, address)
	}
}

// startRelayedProbes starts probes through relays and returns their number.
func (m *Membership) startRelayedProbes(ctx context.Context, t target, calls *sync.WaitGroup, results chan<- probeResult) int {
	m.mu.Lock()
	relays := m.table.relays(t.handle, m.options.Relays)
	m.mu.Unlock()
	for _, address := range relays {
		calls.Go(func() { results <- m.probeThroughRelay(ctx, address, t) })
	}
	return len(relays)
}

func (m *Membership) probeThroughRelay(ctx context.Context, address string, t target) probeResult {
	r, err := m.options.Prober.Relay(ctx, address, &instancepb.RelayRequest{
		Gossip:    m.gossip(t.handle),
		Target:    uint64(t.handle),
		Address:   t.address,
		TimeoutMs: uint32(m.scaleTimeout(m.options.ProbeTimeout) * time.Duration(1+t.extraTimeouts) / time.Millisecond),
	})
	m.options.pausePoint()
	if err != nil {
		return probeResult{}
	}
	m.receive(r.GetGossip())
	if r.GetAnswered() {
		m.receive(&instancepb.Gossip{Entries: []*instancepb.Entry{r.GetTarget()}})
	}
	return probeResult{answered: r.GetAnswered(), relayAnswered: true}
}

// probeNonMember probes a listed instance that is not a live member, and
// synchronises with it if it answers.
func (m *Membership) probeNonMember(ctx context.Context) {
	m.mu.Lock()
	h, address, ok := m.table.nonMember()
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.scaleTimeout(m.options.ProbeTimeout))
	defer cancel()
	if result := m.probeDirect(ctx, target{handle: h, address: address}); result.answered {
		m.sync(ctx, address)
	}
}

// advertiseToWatchers probes the members that watch this instance, all at once,
// to send them its entry.
func (m *Membership) advertiseToWatchers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.scaleTimeout((1+relayTimeoutFactor)*m.options.ProbeTimeout))
	defer cancel()
	var calls sync.WaitGroup
	for _, t := range m.watchers() {
		calls.Go(func() { m.probeDirect(ctx, t) })
	}
	calls.Wait()
}

func (m *Membership) watchers() []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var targets []target
	for _, h := range m.table.watchers() {
		targets = append(targets, target{handle: h, address: m.table.records[h].member.PeerAddress})
	}
	return targets
}

func (m *Membership) gossip(subject handle) *instancepb.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.gossip(time.Now(), subject)
}
