package upstream

import (
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

const (
	// errorWeight is the weight of one attempt in the error rate of a target.
	errorWeight = 0.3
	// minSpacingTokens is the number of tokens from which the token spacing of a stream
	// is recorded.
	minSpacingTokens = 4
	// maxAccounts limits the accounts of which answer lengths are recorded.
	maxAccounts = 4096
)

// observeFirst records that an attempt has got its first token, and the time to it if the
// attempt is online.
func (s *scheduler) observeFirst(g *slot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ps := g.target, g.pool.poolState
	t.failures = 0
	t.answers++
	if t.isLoadUncertain(now) {
		s.serveQueues()
	}
	elapsed := now.Sub(g.startedAt)
	if g.class == contract.Batch {
		ps.batchFirstToken = ps.batchFirstToken.Observe(now, elapsed)
		return
	}
	t.firstToken = t.firstToken.Observe(now, elapsed)
	t.lastFirstTokenAt = now
	t.limit = t.limit.Observe(now, route.Sample{Observed: elapsed, Reference: ps.medianFirstToken, InFlight: t.online})
	ps.hedgeQuantile = ps.hedgeQuantile.Observe(elapsed, route.HedgeQuantile)
	s.metrics.firstToken.Observe(elapsed.Seconds())
}

// observeLate records the waiting time of an attempt that has no first token yet, if
// that is longer than the target's average.
func (s *scheduler) observeLate(g *slot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := g.target
	if waited := now.Sub(g.startedAt); g.firstTokenNanos.Load() == 0 && waited > t.firstToken.Value {
		t.firstToken = t.firstToken.Observe(now, waited)
	}
}

// observeEnd records how long an attempt held its slot, and its token spacing. The
// caller holds the lock.
func (s *scheduler) observeEnd(g *slot, now time.Time) {
	if last := g.lastEventAt(); last.After(g.target.lastEventAt) {
		g.target.lastEventAt = last
	}
	if g.class == contract.Online {
		ps := g.pool.poolState
		ps.slotTime = ps.slotTime.Observe(now, now.Sub(g.startedAt))
		ps.shortestRun = ps.shortestRun.Observe(now.Sub(g.startedAt))
	}
	if n := g.tokens.Load(); n >= minSpacingTokens {
		mean := time.Duration((g.lastTokenNanos.Load() - g.firstTokenNanos.Load()) / (n - 1))
		g.target.spacing = g.target.spacing.Observe(now, mean)
	}
}

// observeLength records the length of a complete answer.
func (s *scheduler) observeLength(p *pool, account string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.lengths = p.lengths.Observe(tokens)
	if length, ok := p.accountLengths[account]; ok || len(p.accountLengths) < maxAccounts {
		p.accountLengths[account] = length.Observe(tokens)
	}
}

// estimate returns the expected length of an answer in tokens, and whether the request
// is long compared with others of its service.
func (s *scheduler) estimate(p *pool, account string, limit, promptBytes int) (tokens int, long bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := route.Estimate(limit, promptBytes, p.accountLengths[account])
	return int(work), route.IsLong(work, p.lengths)
}

// hedgeDelay returns the time after which a request of the service is hedged, and false
// if it is not. It adds the request's share to the hedge budget.
func (s *scheduler) hedgeDelay(p *pool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.hedgeBudget = p.hedgeBudget.Earn(s.fleet.preset.HedgeShare)
	if s.policy != route.Adaptive || len(p.open) < 2 {
		return 0, false
	}
	return route.HedgeDelay(p.medianFirstToken, p.hedgeQuantile.Value)
}

// recordRetry takes a retry from the hedge budget.
func (s *scheduler) recordRetry(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.hedgeBudget = p.hedgeBudget.ChargeRetry()
}

// spendHedge takes a hedge from the hedge budget. It reports false if the budget does
// not allow one.
func (s *scheduler) spendHedge(p *pool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used, slots := p.slots()
	var ok bool
	p.hedgeBudget, ok = p.hedgeBudget.Spend(p.shortQueue.waiting+p.poolState.longQueue.waiting, used, slots)
	return ok
}

// medians returns the median time to a first token and between tokens, 0 where none has been
// observed.
func (s *scheduler) medians(p *pool) (first, spacing time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.medianFirstToken, p.medianSpacing
}

// Limits of the time without a token after which an attempt is cancelled.
const (
	minTokenTimeout = 250 * time.Millisecond
	// defaultTokenTimeout applies while a service has no observed latencies.
	defaultTokenTimeout = 10 * time.Second
	// tokenTimeoutSpacings is the timeout of a token in median token spacings,
	// firstTokenTimeoutFactor that of the first one in median times to the first token.
	tokenTimeoutSpacings    = 20
	minFirstTokenTimeout    = time.Second
	firstTokenTimeoutFactor = 10
	batchTimeoutFactor      = 4
)

// tokenTimeout returns how long an attempt may wait for its first token, or for a further
// one when it has begun.
func (s *scheduler) tokenTimeout(g *slot, begun bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := defaultTokenTimeout
	switch first, spacing := g.pool.medianFirstToken, g.pool.medianSpacing; {
	case begun && spacing > 0:
		timeout = max(tokenTimeoutSpacings*spacing, minTokenTimeout)
	case !begun && first > 0:
		timeout = max(firstTokenTimeoutFactor*first, minFirstTokenTimeout)
	}
	if g.class == contract.Batch {
		return batchTimeoutFactor * timeout
	}
	return timeout
}
