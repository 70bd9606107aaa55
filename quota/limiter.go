package quota

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/boottime"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/roster"
)

// Options configures a Limiter. All fields but Log, Registerer and Clock are required.
type Options struct {
	// Self is the name of the machine in its lease.
	Self   string
	Bounds Bounds
	// Leases returns the leases of all members.
	Leases func() roster.Leases
	// Limit returns the limit of an account by the document in force, and false if there is no
	// such account.
	Limit func(account string) (contract.RateLimit, bool)
	// Conn sends and receives the messages. Run closes it.
	Conn *net.UDPConn
	// Log and Registerer may be nil.
	Log        *zap.Logger
	Registerer prometheus.Registerer
	// Clock returns the time by package boottime; nil means boottime.Now.
	Clock func() time.Duration
}

// Limiter takes tokens for requests and grants those of the shares that this instance owns. It
// is safe for concurrent use.
type Limiter struct {
	options Options
	metrics *metrics
	// send sends a datagram without blocking. It queues them in outgoing, so that no lock is
	// held over I/O.
	send     func(address netip.AddrPort, data []byte)
	outgoing chan datagram
	// after calls a function after a time.
	after func(time.Duration, func())

	mu       sync.Mutex
	owner    owner
	accounts map[string]*account
	// pending has the requests for tokens whose answers are accepted, by id.
	pending map[uint64]*ask
	nextID  uint64
	// skippedUntil has, by name, the owners that did not answer.
	skippedUntil map[string]time.Duration
}

// account is the state of one client account at this instance.
type account struct {
	stock
	name string
	// limit is the limit of the last request.
	limit contract.RateLimit
	// ask is the request for tokens that waits for its answer, nil if none.
	ask *ask
	// waiting is the number of requests that wait for it.
	waiting int
	// unavailableUntil has, for each share, how long its owner is not asked after it said that
	// it does not own the share.
	unavailableUntil [maxShares]time.Duration
	// refusedAt is the time of the last request that was refused; 0 if the account counts as
	// served.
	refusedAt time.Duration
}

// ask is a request for tokens.
type ask struct {
	id      uint64
	account *account
	share   int
	owner   string
	address netip.AddrPort
	sentAt  time.Duration
	// done is closed when the answer has come or its time is over.
	done chan struct{}
}

const (
	// answerTimeout is the time for the answer of an owner. It is many round trips between data
	// centres, and covers a short pause of the owner.
	answerTimeout = 40 * time.Millisecond
	// admitTimeout limits the time in which a request waits for tokens. It allows for three
	// owners that do not answer.
	admitTimeout = 150 * time.Millisecond
	// skipTime is how long an owner that did not answer is not asked again.
	skipTime = time.Second
	// notOwnerTime is how long a share is not asked after its owner said that it is none: views
	// of the members differ for a moment.
	notOwnerTime = 100 * time.Millisecond
	// unavailableRetryAfter is the hint for callers while no owner answers.
	unavailableRetryAfter = 300 * time.Millisecond
	// refreshInterval is the time between two updates of the ring.
	refreshInterval = 100 * time.Millisecond
	// idleAccountTime is the time after which the state of an account without requests is
	// dropped. servedTime is the time without a refusal after which an account counts as served.
	idleAccountTime = time.Minute
	servedTime      = 2 * time.Second
)

// New returns a Limiter. It returns an error if a required option is missing.
func New(o Options) (*Limiter, error) {
	if o.Self == "" || o.Bounds.Window <= 0 || o.Leases == nil || o.Limit == nil || o.Conn == nil {
		return nil, errors.New("quota: Options lacks a required field")
	}
	l := newLimiter(o)
	l.send = func(address netip.AddrPort, data []byte) {
		select {
		case l.outgoing <- datagram{address, data}:
		default:
			l.metrics.unsent.Inc()
		}
	}
	return l, nil
}

// newLimiter returns a Limiter that lacks the function which sends datagrams.
func newLimiter(o Options) *Limiter {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	l := &Limiter{
		after:        func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		options:      o,
		metrics:      newMetrics(o.Registerer),
		owner:        owner{bounds: o.Bounds, buckets: map[shareKey]*bucket{}},
		accounts:     map[string]*account{},
		pending:      map[uint64]*ask{},
		skippedUntil: map[string]time.Duration{},
		outgoing:     make(chan datagram, maxOutgoing),
		// Late answers to a previous process of the machine must not match a request of this one.
		nextID: rand.Uint64(),
	}
	l.owner.setRing(&Ring{self: o.Self}, o.Clock())
	return l
}

// Run grants and receives tokens until ctx ends. It always returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(l.receive)
	wait.Go(func() { l.transmit(ctx) })
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for l.refresh(); ; l.refresh() {
		select {
		case <-ctx.Done():
			_ = l.options.Conn.Close()
			wait.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// refresh rebuilds the ring and drops state that is no longer needed.
func (l *Limiter) refresh() {
	leases := l.options.Leases()
	now := l.options.Clock()
	ring := NewRing(l.options.Self, &leases, l.options.Bounds.Window, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	granting := l.owner.granting
	l.owner.setRing(ring, now)
	if granting != l.owner.granting {
		l.options.Log.Info("granting of quota tokens changed", zap.Bool("grants", l.owner.granting), zap.Int("owners", len(ring.owners)),
			zap.Duration("since_extension", now-leases.ExtendedAt), zap.Duration("since_read", now-leases.ReadAt))
	}
	maps.DeleteFunc(l.pending, func(_ uint64, q *ask) bool { return now-q.sentAt > grantTTL })
	maps.DeleteFunc(l.skippedUntil, func(_ string, until time.Duration) bool { return until <= now })
	for name, a := range l.accounts {
		a.expire(now)
		l.metrics.expired.Add(float64(a.expired))
		a.expired = 0
		if a.refusedAt != 0 && now-a.refusedAt > servedTime {
			a.refusedAt = 0
			l.options.Log.Info("account no longer refused", zap.String("account", name), zap.Float64("requests_per_s", a.perSecond(now)))
		}
		if a.ask == nil && a.waiting == 0 && now-a.usedAt > idleAccountTime {
			delete(l.accounts, name)
		}
	}
}

// Admit takes a token of an account, for which limit is the limit by the document in force.
// release gives the token back, if the request is refused for another reason.
//
// Errors: code.AccountLimit when the account is over its limit, and code.QuotaUnavailable when
// no owner answers before admitTimeout or the end of ctx.
func (l *Limiter) Admit(ctx context.Context, name string, limit contract.RateLimit) (release func(), err error) {
	var timeout <-chan time.Time
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.begin(name, limit, l.options.Clock())
	for ended := false; ; {
		release, answered, err := l.attempt(a, ended, l.options.Clock())
		if answered == nil {
			return release, err
		}
		if timeout == nil {
			timer := time.NewTimer(admitTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		a.waiting++
		l.mu.Unlock()
		select {
		case <-answered:
		case <-timeout:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		l.mu.Lock()
		a.waiting--
	}
}

// begin counts a request of an account and returns the account. l.mu must be held.
func (l *Limiter) begin(name string, limit contract.RateLimit, now time.Duration) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name}
		l.accounts[name] = a
	}
	if limit.PerSecond < a.limit.PerSecond {
		// The tokens held are of the higher limit.
		a.drop()
	}
	a.limit = limit
	a.observe(now)
	return a
}

// attempt takes a token of an account. If there is none, it sees to it that an owner is asked,
// and returns a channel that is closed when a further attempt may succeed. If last is set, it
// asks nobody and refuses instead. l.mu must be held.
func (l *Limiter) attempt(a *account, last bool, now time.Duration) (release func(), answered <-chan struct{}, err error) {
	shares := Split(a.limit, l.options.Bounds).Count
	for {
		if expiresAt, ok := a.take(now); ok {
			l.metrics.admitted.Inc()
			l.askAhead(a, shares, now)
			return func() { l.giveBack(a, expiresAt) }, nil, nil
		}
		if last {
			return nil, nil, l.refusal(a, 0, now)
		}
		if a.ask != nil {
			return nil, a.ask.done, nil
		}
		share, wait := l.shareToAsk(a, shares, now)
		switch {
		case share >= 0:
			l.request(a, share, a.want(a.waiting+1, now), now)
		case wait > 0:
			return nil, nil, l.refusal(a, wait, now)
		default:
			l.awaitOwner(a, now)
		}
	}
}

// awaitOwner makes the requests of an account wait for a while, after which one of its shares
// may have an owner that can be asked. l.mu must be held.
func (l *Limiter) awaitOwner(a *account, now time.Duration) {
	q := &ask{account: a, sentAt: now, done: make(chan struct{})}
	a.ask = q
	l.after(answerTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.finish(q)
	})
}

// giveBack returns the token of a request that was refused.
func (l *Limiter) giveBack(a *account, expiresAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.giveBack(expiresAt, l.options.Clock())
}

// refusal returns the error for a request without a token; wait is the time until the account
// is expected to have one, 0 if no owner could tell.
func (l *Limiter) refusal(a *account, wait, now time.Duration) error {
	if wait <= 0 {
		l.metrics.unavailable.Inc()
		return code.New(code.QuotaUnavailable, "no owner of the account's quota has answered").WithRetryAfter(unavailableRetryAfter)
	}
	l.metrics.refused.Inc()
	if a.refusedAt == 0 {
		l.options.Log.Info("account over its quota", zap.String("account", a.name), zap.Float64("limit_per_s", a.limit.PerSecond), zap.Float64("burst", a.limit.Burst),
			zap.Float64("requests_per_s_here", a.perSecond(now)), zap.Duration("wait", wait))
	}
	a.refusedAt = now
	retryAfter := a.retryAfter(wait, a.limit.PerSecond/float64(max(len(l.owner.ring.owners), 1)), now)
	return code.New(code.AccountLimit, "the account is over %g requests a second", a.limit.PerSecond).WithRetryAfter(retryAfter)
}

// shareToAsk returns the share of an account to ask for tokens; see stock.shareToAsk. Instances
// begin with different shares. l.mu must be held.
func (l *Limiter) shareToAsk(a *account, shares int, now time.Duration) (int, time.Duration) {
	start := int((xxhash.Sum64String(l.options.Self) ^ xxhash.Sum64String(a.name)) % uint64(shares))
	return a.shareToAsk(shares, start, func(share int) bool {
		name, _, ok := l.owner.ring.Owner(a.name, share)
		return ok && l.skippedUntil[name] <= now && a.unavailableUntil[share] <= now
	}, now)
}

// askAhead requests tokens for the expected demand, if there are too few. l.mu must be held.
func (l *Limiter) askAhead(a *account, shares int, now time.Duration) {
	if a.ask != nil {
		return
	}
	want := a.want(0, now)
	if want == 0 {
		return
	}
	if share, _ := l.shareToAsk(a, shares, now); share >= 0 {
		l.request(a, share, want, now)
	}
}

// request requests tokens of a share. The request is done at once if this instance owns the
// share or its owner has no usable address. l.mu must be held.
func (l *Limiter) request(a *account, share, want int, now time.Duration) {
	name, text, _ := l.owner.ring.Owner(a.name, share)
	q := &ask{account: a, share: share, owner: name, sentAt: now, done: make(chan struct{})}
	if name == l.options.Self {
		l.apply(q, l.grant(a.name, share, want, now), now)
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		l.options.Log.Warn("quota owner without a usable address", zap.String("owner", name), zap.String("address", text))
		l.skippedUntil[name] = now + skipTime
		return
	}
	l.nextID++
	q.id, q.address = l.nextID, address
	a.ask, l.pending[q.id] = q, q
	m := message{id: q.id, account: a.name, share: share, tokens: want}
	l.send(address, m.append(nil))
	l.after(answerTimeout, func() { l.expire(q) })
}

// expire ends the wait for an answer. The answer is still accepted if it comes later.
func (l *Limiter) expire(q *ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.account.ask != q {
		return
	}
	now := l.options.Clock()
	if l.skippedUntil[q.owner] <= now {
		l.options.Log.Info("quota owner did not answer", zap.String("owner", q.owner), zap.String("account", q.account.name), zap.Int("share", q.share),
			zap.Duration("waited", now-q.sentAt))
	}
	l.metrics.unanswered.Inc()
	l.skippedUntil[q.owner] = now + skipTime
	l.finish(q)
}
