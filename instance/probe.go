package instance

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/instance/instancepb"
)

const (
	// outsiderSteps is how many periods pass between probes of listed instances
	// that are not live members.
	outsiderSteps = 4
	// relayTimeouts is how many probe timeouts relays get, suspectTimeouts how
	// many a suspect gets that is told of the suspicion.
	relayTimeouts   = 2
	suspectTimeouts = 6
)

// probeLoop probes one member a period.
func (m *Membership) probeLoop(ctx context.Context) {
	for step := 0; ; step++ {
		if !m.sleep(ctx, m.jitter(m.scaled(m.options.Period))) {
			return
		}
		m.observe()
		m.expire()
		m.remindVersion()
		m.step(ctx, step)
		m.publish(true)
	}
}

// announceLoop spreads changes of the own entry, and tells members that they are
// suspected, apart from the probes, which may take long.
func (m *Membership) announceLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.announce:
			m.tellWatchers(ctx)
		case t := <-m.accused:
			calls.Go(func() { m.tellSuspect(ctx, t) })
		case <-m.woken:
			m.catchUp(ctx)
		}
	}
}

// tellSuspect gives a suspect the chance to refute at once. Its answer may take
// as long as several probes.
func (m *Membership) tellSuspect(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, m.scaled(suspectTimeouts*m.options.ProbeTimeout))
	defer cancel()
	m.direct(ctx, t)
}

// scaled widens d by the own slowness.
func (m *Membership) scaled(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d * time.Duration(1+m.table.slowness)
}

func (m *Membership) expire() {
	m.mu.Lock()
	m.noticePause(time.Now())
	before := m.table.counts.Deaths
	m.table.expire(time.Now())
	deaths := m.table.counts.Deaths - before
	m.mu.Unlock()
	if deaths > 0 {
		m.log.Info("members are dead", zap.Uint64("deaths", deaths))
	}
	m.publish(false)
}

// step probes one neighbour, reminds a suspect every other time, and now and
// then probes a listed instance that is not a live member.
func (m *Membership) step(ctx context.Context, step int) {
	m.mu.Lock()
	alone := m.table.live() == 1
	neighbour, ok := m.table.neighbour()
	var t target
	if ok {
		t = neighbour.target()
	}
	if suspect, ok := m.table.suspect(); ok && step%2 == 0 {
		m.remind(suspect.target())
	}
	m.mu.Unlock()
	if ok {
		m.probe(ctx, t)
	}
	if alone || step%outsiderSteps == 0 {
		m.probeOutsider(ctx)
	}
}

// remind has a suspect told of the suspicion, unless many are waiting for that.
func (m *Membership) remind(t target) {
	select {
	case m.accused <- t:
	default:
	}
}

// target is one member to be probed.
type target struct {
	handle  handle
	address string
	// lenience widens the bound of the probe.
	lenience int
}

func (r *record) target() target {
	return target{r.handle, r.member.PeerAddress, r.lenience}
}

// verdict is the result of probing one member.
type verdict struct {
	answered bool
	// replaced is set when another process answered at the address.
	replaced bool
	// late is set when the answer took longer than the usual bound.
	late bool
	// helped is set when some relay answered, with or without the target.
	helped bool
}

// probe asks the target directly and then through relays, and accuses it when
// no way leads to it.
func (m *Membership) probe(ctx context.Context, t target) {
	usual := (1 + relayTimeouts) * m.options.ProbeTimeout
	bound := m.scaled(usual) * time.Duration(1+t.lenience)
	started, pauses := time.Now(), m.pauses()
	v := m.ask(ctx, t, bound)
	m.options.gate()
	v.late = time.Since(started) > usual
	if ctx.Err() != nil {
		return
	}
	if m.pauses() != pauses && !v.answered {
		m.metrics.probe("void")
		return
	}
	m.judge(t, v)
}

func (m *Membership) judge(t target, v verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case v.answered:
		if !v.late {
			m.adjust(-1)
			m.table.trust(t.handle)
		}
		m.metrics.probe("answered")
	case v.replaced:
		m.table.replaced(now, t.handle)
		m.metrics.probe("replaced")
	default:
		if !v.helped && m.table.live() > 2 {
			m.adjust(1)
		}
		m.table.accuse(now, t.handle)
		m.metrics.probe("failed")
		m.remind(t)
	}
}

// ask gathers the answers to a direct probe and, when it is late or fails, to
// probes through relays.
func (m *Membership) ask(ctx context.Context, t target, bound time.Duration) verdict {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()

	answers := make(chan verdict, 1+max(m.options.Relays, 0))
	calls.Go(func() { answers <- m.direct(ctx, t) })
	late := time.NewTimer(m.scaled(m.options.ProbeTimeout))
	defer late.Stop()

	var all verdict
	pending, relayed := 1, false
	for pending > 0 || !relayed {
		select {
		case v := <-answers:
			pending--
			all = all.with(v)
		case <-late.C:
		}
		if all.answered || all.replaced {
			return all
		}
		if !relayed {
			relayed = true
			pending += m.askRelays(ctx, t, &calls, answers)
		}
	}
	return all
}

func (v verdict) with(o verdict) verdict {
	return verdict{answered: v.answered || o.answered, replaced: v.replaced || o.replaced, helped: v.helped || o.helped}
}

// direct probes the target itself.
func (m *Membership) direct(ctx context.Context, t target) verdict {
	r, err := m.options.Prober.Probe(ctx, t.address, &instancepb.ProbeRequest{
		Gossip: m.gossip(t.handle),
		Target: uint64(t.handle),
	})
	m.options.gate()
	if err != nil {
		return verdict{}
	}
	m.receive(r.GetGossip())
	m.introduce(ctx, t.address, r.GetIntroduce())
	if handle(r.GetGossip().GetSender().GetHandle()) != t.handle {
		return verdict{replaced: true}
	}
	return verdict{answered: true}
}

// introduce compares memberships with a peer that does not know this instance,
// or that named members that are not known here.
func (m *Membership) introduce(ctx context.Context, address string, asked bool) {
	m.mu.Lock()
	strangers := m.table.strangers
	m.table.strangers = false
	m.mu.Unlock()
	if asked || strangers {
		m.sync(ctx, address)
	}
}

// askRelays starts indirect probes and returns their number.
func (m *Membership) askRelays(ctx context.Context, t target, calls *sync.WaitGroup, answers chan<- verdict) int {
	m.mu.Lock()
	relays := m.table.relays(t.handle, m.options.Relays)
	m.mu.Unlock()
	for _, address := range relays {
		calls.Go(func() { answers <- m.askRelay(ctx, address, t) })
	}
	return len(relays)
}

func (m *Membership) askRelay(ctx context.Context, address string, t target) verdict {
	r, err := m.options.Prober.Relay(ctx, address, &instancepb.RelayRequest{
		Gossip:    m.gossip(t.handle),
		Target:    uint64(t.handle),
		Address:   t.address,
		TimeoutMs: uint32(m.scaled(m.options.ProbeTimeout) * time.Duration(1+t.lenience) / time.Millisecond),
	})
	m.options.gate()
	if err != nil {
		return verdict{}
	}
	m.receive(r.GetGossip())
	if r.GetAnswered() {
		m.receive(&instancepb.Gossip{Entries: []*instancepb.Entry{r.GetTarget()}})
	}
	return verdict{answered: r.GetAnswered(), helped: true}
}

// probeOutsider looks whether a listed instance that is not a live member
// answers, and compares memberships with it when it does.
func (m *Membership) probeOutsider(ctx context.Context) {
	m.mu.Lock()
	h, address, ok := m.table.outsider()
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.scaled(m.options.ProbeTimeout))
	defer cancel()
	if v := m.direct(ctx, target{handle: h, address: address}); v.answered {
		m.sync(ctx, address)
	}
}

// tellWatchers probes the members that watch this one, all at once, to spread
// the own state.
func (m *Membership) tellWatchers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.scaled((1+relayTimeouts)*m.options.ProbeTimeout))
	defer cancel()
	var calls sync.WaitGroup
	for _, t := range m.watchers() {
		calls.Go(func() { m.direct(ctx, t) })
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

func (m *Membership) gossip(about handle) *instancepb.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.gossip(time.Now(), about)
}
