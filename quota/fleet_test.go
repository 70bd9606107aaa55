package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/roster"
)

// fleet simulates machines with real Limiters and leases in virtual time. now is the true time.
// Each machine has a clock of its own, like CLOCK_BOOTTIME.
type fleet struct {
	now    time.Duration
	events eventQueue
	random *rand.Rand
	bounds Bounds
	// rows are all writes of the store's rows, in order.
	rows     []*roster.Member
	machines []*machine
	byPort   map[netip.AddrPort]*machine
	// limits are those in force at machines that know the last version.
	limits map[string]contract.RateLimit
	// lossShare and duplicateShare are the shares of datagrams that are lost and sent twice.
	lossShare, duplicateShare float64
	// maxDelay is the time a datagram takes at most.
	maxDelay time.Duration
	// whenHoarding are the faults that happen at the moment at which hoard uses its tokens.
	whenHoarding []fault
	started      map[string][]time.Duration
	refused      map[string]int
}

type machine struct {
	*process
	name    string
	address netip.AddrPort
	clock   time.Duration
	// frozenUntil is the time until which the machine does nothing.
	frozenUntil time.Duration
	// storeCutUntil and peersCutUntil are the ends of its partitions.
	storeCutUntil, peersCutUntil time.Duration
	// limits are those of the document that the machine knows.
	limits  map[string]contract.RateLimit
	removed bool
}

// process is one process of a machine; nil while the machine is down.
type process struct {
	id         string
	limiter    *Limiter
	lease      roster.HeldLease
	firstStart bool
	members    map[string]*roster.Member
	readAt     time.Duration
	// read is the number of the store's writes that the process has read.
	read    int
	waiters []*waiter
}

// waiter is a request that waits for tokens.
type waiter struct {
	account  *account
	answered <-chan struct{}
	ends     time.Duration
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue struct {
	events []event
	seq    int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// storeEpoch is the store's clock at the beginning.
const storeEpoch = 1000 * time.Second

func newFleet(seed uint64, n int, bounds Bounds, limits map[string]contract.RateLimit) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), bounds: bounds, byPort: map[netip.AddrPort]*machine{},
		limits: limits, maxDelay: 3 * time.Millisecond, started: map[string][]time.Duration{}, refused: map[string]int{},
	}
	for range n {
		f.start(f.add(), true)
	}
	return f
}

// after runs fn after d.
func (f *fleet) after(d time.Duration, fn func()) {
	f.events.seq++
	heap.Push(&f.events, event{f.now + max(d, 0), f.events.seq, fn})
}

// at runs fn after d at a machine, later if it is frozen then, never if p has ended by then.
func (f *fleet) at(m *machine, p *process, d time.Duration, fn func()) {
	f.after(d, func() {
		switch {
		case m.process != p || p == nil:
		case m.frozenUntil > f.now:
			f.at(m, p, m.frozenUntil-f.now, fn)
		default:
			fn()
		}
	})
}

// run runs the events until the time end.
func (f *fleet) run(end time.Duration) {
	for f.events.Len() > 0 && f.events.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

// local returns the time by the clock of a machine.
func (f *fleet) local(m *machine) time.Duration { return m.clock + f.now }

func (f *fleet) add() *machine {
	n := len(f.machines) + 1
	m := &machine{
		name: fmt.Sprint("m", n), address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 4000),
		clock: time.Hour + f.jitter(100*time.Hour), limits: f.limits,
	}
	f.machines, f.byPort[m.address] = append(f.machines, m), m
	return m
}

const (
	simulatedPoll = 600 * time.Millisecond
	// simulatedHeartbeat and simulatedHeartbeatPerMachine are those of package roster.
	simulatedHeartbeat           = time.Second
	simulatedHeartbeatPerMachine = 15 * time.Millisecond
	// simulatedRefresh is longer than refreshInterval, which only saves time.
	simulatedRefresh = 500 * time.Millisecond
)

// start starts a process on a machine.
func (f *fleet) start(m *machine, first bool) {
	p := &process{id: fmt.Sprint(m.name, "/", f.random.Uint64()), firstStart: first, members: map[string]*roster.Member{}}
	m.process = p
	p.limiter = newLimiter(Options{
		Self: m.name, Bounds: f.bounds,
		Leases: func() roster.Leases {
			members := make([]*roster.Member, 0, len(p.members))
			for _, r := range p.members {
				members = append(members, r)
			}
			return p.lease.Leases(members, p.readAt, f.local(m))
		},
		Limit: func(account string) (contract.RateLimit, bool) { l, ok := m.limits[account]; return l, ok },
		Clock: func() time.Duration { return f.local(m) },
	})
	p.limiter.send = func(to netip.AddrPort, data []byte) { f.send(m, to, data) }
	p.limiter.after = func(d time.Duration, fn func()) { f.at(m, p, d, func() { fn(); f.serveWaiters(m) }) }
	f.poll(m, p)
	f.at(m, p, f.jitter(simulatedRefresh), func() { f.refresh(m, p) })
}

func (f *fleet) refresh(m *machine, p *process) {
	p.limiter.refresh()
	f.at(m, p, simulatedRefresh, func() { f.refresh(m, p) })
}

// poll reads the rows as the feed does. The first read is followed by the first heartbeat.
func (f *fleet) poll(m *machine, p *process) {
	sentAt := f.local(m)
	next := func() { f.at(m, p, simulatedPoll, func() { f.poll(m, p) }) }
	f.after(f.jitter(50*time.Millisecond), func() {
		if m.storeCutUntil > f.now {
			next()
			return
		}
		rows, storeNow := f.rows, storeEpoch+f.now
		f.at(m, p, f.jitter(50*time.Millisecond), func() {
			first := p.readAt == 0
			f.read(m, p, rows, storeNow, sentAt)
			if first {
				f.heartbeat(m, p)
			}
			next()
		})
	})
}

func (f *fleet) read(m *machine, p *process, rows []*roster.Member, storeNow, sentAt time.Duration) {
	p.lease.ObserveClock(storeNow, sentAt, f.local(m))
	for _, written := range rows[p.read:] {
		r := *written
		if r.Name == m.name {
			p.lease.ObserveOwnRow(&r, p.id)
		}
		if prev := p.members[r.Name]; prev != nil {
			r.KeepNewerLease(prev)
		}
		p.members[r.Name] = &r
	}
	p.readAt, p.read = sentAt, len(rows)
}

// heartbeat writes the row of a machine. Now and then a write, or the response to it, is lost,
// and in 1 of 500 cases the write takes effect up to 30 s later.
func (f *fleet) heartbeat(m *machine, p *process) {
	row, sentAt := roster.Member{Name: m.name, ID: p.id, LeaseAddress: m.address.String()}, f.local(m)
	p.lease.Extend(&row, p.firstStart, sentAt)
	delay, responds := f.jitter(50*time.Millisecond), f.random.IntN(50) > 0
	if f.random.IntN(500) == 0 {
		delay, responds = f.jitter(30*time.Second), false
	}
	if m.storeCutUntil <= f.now {
		f.after(delay, func() {
			f.rows = append(f.rows, &row)
			if responds {
				f.at(m, p, f.jitter(50*time.Millisecond), func() { p.lease.Confirm(&row, sentAt, f.local(m)) })
			}
		})
	}
	f.at(m, p, max(simulatedHeartbeat, time.Duration(len(f.machines))*simulatedHeartbeatPerMachine), func() { f.heartbeat(m, p) })
}

func (f *fleet) send(from *machine, to netip.AddrPort, data []byte) {
	copies := 1
	if f.random.Float64() < f.duplicateShare {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.lossShare {
			continue
		}
		m := f.byPort[to]
		f.after(f.jitter(f.maxDelay)+1, func() {
			if m == nil || m.process == nil || from.peersCutUntil > f.now || m.peersCutUntil > f.now {
				return
			}
			p := m.process
			f.at(m, p, 0, func() { p.limiter.handle(data, from.address); f.serveWaiters(m) })
		})
	}
}

// request sends a request of an account to a machine.
func (f *fleet) request(m *machine, name string) {
	p := m.process
	f.at(m, p, 0, func() {
		limit, ok := m.limits[name]
		if !ok {
			return
		}
		l := p.limiter
		l.mu.Lock()
		w := &waiter{account: l.begin(name, limit, f.local(m)), ends: f.local(m) + admitTimeout}
		l.mu.Unlock()
		if !f.attempt(m, w) {
			p.waiters = append(p.waiters, w)
			f.at(m, p, admitTimeout, func() { f.serveWaiters(m) })
		}
	})
}

// attempt is what Limiter.Admit does each time that it holds the lock.
func (f *fleet) attempt(m *machine, w *waiter) (done bool) {
	l := m.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	release, answered, err := l.attempt(w.account, f.local(m) >= w.ends, f.local(m))
	if answered != nil {
		w.account.waiting++
		w.answered = answered
		return false
	}
	if err != nil {
		f.refused[w.account.name]++
	} else if release != nil {
		f.started[w.account.name] = append(f.started[w.account.name], f.now)
	}
	return true
}

// serveWaiters lets the waiting requests try again whose answers have come or whose time is
// over.
func (f *fleet) serveWaiters(m *machine) {
	waiters := m.waiters
	m.waiters = nil
	for _, w := range waiters {
		select {
		case <-w.answered:
		default:
			if f.local(m) < w.ends {
				m.waiters = append(m.waiters, w)
				continue
			}
		}
		w.account.waiting--
		if !f.attempt(m, w) {
			m.waiters = append(m.waiters, w)
		}
	}
}

// load sends requests of an account at a rate until a time. Each of a few callers stays with
// one machine for 2 to 8 s. The requests come evenly spaced, those of a burst at once.
func (f *fleet) load(name string, perSecond float64, burst int, until time.Duration) {
	const callers = 4
	var at [callers]*machine
	var leaves [callers]time.Duration
	n := 0
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		for range burst {
			c := n % callers
			n++
			if at[c] == nil || at[c].process == nil || f.now >= leaves[c] {
				at[c], leaves[c] = f.machines[f.random.IntN(len(f.machines))], f.now+2*time.Second+f.jitter(6*time.Second)
			}
			if at[c].process != nil {
				f.request(at[c], name)
			}
		}
		f.after(seconds(float64(burst)/perSecond), next)
	}
	next()
}

// mostOver returns the largest number of requests of an account that started in a sliding
// window over what it may have, for windows that begin in [from, to).
func (f *fleet) mostOver(name string, limit contract.RateLimit, from, to time.Duration) (over float64, at time.Duration) {
	allowed := (limit.PerSecond*f.bounds.Window.Seconds()+limit.Burst)*(1+f.bounds.Overage) + f.bounds.Slack
	starts, end := f.started[name], 0
	over = -allowed
	for i, s := range starts {
		for end < len(starts) && starts[end] <= s+f.bounds.Window {
			end++
		}
		if excess := float64(end-i) - allowed; s >= from && s < to && excess > over {
			over, at = excess, s
		}
	}
	return over, at
}

// varyingLoad sends requests of an account until a time: for some seconds at changing rates, up to
// far above its limit, and then as hoard does.
func (f *fleet) varyingLoad(name string, limit contract.RateLimit, until time.Duration) {
	if f.now >= until {
		return
	}
	phase := time.Duration(0)
	for range f.random.IntN(6) {
		length := 100*time.Millisecond + f.jitter(time.Second)
		ends := f.now + phase + length
		perSecond, burst := 0.9*limit.PerSecond, 1
		if f.random.IntN(3) > 0 {
			perSecond, burst = 5*limit.PerSecond+20, 1+f.random.IntN(10)
		}
		f.after(phase, func() { f.load(name, perSecond, burst, ends) })
		phase += length + f.jitter(300*time.Millisecond)
	}
	f.after(phase, func() {
		length := f.hoard(name, limit)
		f.after(length, func() { f.varyingLoad(name, limit, until) })
	})
}

// hoard makes a few machines hold as many tokens as they can and uses them at the last moment:
// many requests, which raise the expected demand; a pause, in which the buckets fill up; one
// request at each machine, which then asks ahead; and many requests just before the tokens
// expire, or long after. It returns how long that takes.
func (f *fleet) hoard(name string, limit contract.RateLimit) time.Duration {
	machines := make([]*machine, 8)
	for i := range machines {
		machines[i] = f.machines[f.random.IntN(len(f.machines))]
	}
	many := func(count int) {
		for range count {
			if m := machines[f.random.IntN(len(machines))]; m.process != nil {
				f.request(m, name)
			}
		}
	}
	pause := maxDenial + min(seconds(limit.Burst/limit.PerSecond), time.Second)
	many(int(20 * (limit.PerSecond + limit.Burst)))
	f.after(pause, func() {
		for _, m := range machines {
			if m.process != nil {
				f.request(m, name)
			}
		}
	})
	hold := grantTTL - 20*time.Millisecond
	if f.random.IntN(3) == 0 {
		hold = pause
	}
	last := pause + hold
	f.after(last, func() {
		many(int(4 * (limit.PerSecond + limit.Burst)))
		faults := f.whenHoarding
		f.whenHoarding = nil
		f.after(grantTTL, func() {
			for _, x := range faults {
				x.apply(f)
			}
		})
	})
	for at := 20 * time.Millisecond; at < f.bounds.Window; at += 20 * time.Millisecond {
		f.after(last+at, func() { many(int(limit.PerSecond/10) + 2) })
	}
	return last + f.bounds.Window
}
