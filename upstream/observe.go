package upstream

import (
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

const (
	// errorWeight is the share of one attempt in a target's share of failures.
	errorWeight = 0.3
	// minSpacingTokens is the length from which a stream's spacing counts.
	minSpacingTokens = 4
	// maxAccounts bounds the accounts whose answer lengths are remembered.
	maxAccounts = 4096
)

// observeFirst notes the first token of an attempt.
func (s *scheduler) observeFirst(g *slot, now time.Time) {
	if g.class == contract.Batch {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := now.Sub(g.started)
	t, h := g.target, g.pool.history
	t.first = t.first.Observe(now, taken)
	t.failures = 0
	t.proven = now
	t.limit = t.limit.Observe(now, route.Sample{Observed: taken, Reference: h.prior, InFlight: t.online})
	h.high = h.high.Observe(taken, route.HedgeQuantile)
	s.metrics.firstToken.Observe(taken.Seconds())
}

// observeLate notes that an attempt has no first token at now, when that is
// later than expected.
func (s *scheduler) observeLate(g *slot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := g.target
	if waited := now.Sub(g.started); g.first.Load() == 0 && waited > t.first.Value {
		t.first = t.first.Observe(now, waited)
	}
}

// observeEnd notes how long an attempt held its slot. The lock is held.
func (s *scheduler) observeEnd(g *slot, now time.Time) {
	if g.class == contract.Online {
		h := g.pool.history
		h.occupied = h.occupied.Observe(now, now.Sub(g.started))
	}
	if n := g.tokens.Load(); n >= minSpacingTokens {
		mean := time.Duration((g.last.Load() - g.first.Load()) / (n - 1))
		g.target.spacing = g.target.spacing.Observe(now, mean)
	}
}

// observeLength notes the length of a whole answer.
func (s *scheduler) observeLength(p *pool, account string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.length = p.length.Observe(tokens)
	if known, ok := p.lengths[account]; ok || len(p.lengths) < maxAccounts {
		p.lengths[account] = known.Observe(tokens)
	}
}

// estimate returns the expected length of an answer in tokens, and whether the
// request is long for its service.
func (s *scheduler) estimate(p *pool, account string, limit, promptBytes int) (tokens int, long bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := route.Estimate(limit, promptBytes, p.lengths[account])
	return int(work), route.IsLong(work, p.length)
}

// hedgeDelay returns when a request of the service is hedged, if ever.
func (s *scheduler) hedgeDelay(p *pool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.hedges = p.hedges.Earn(s.fleet.preset.HedgeShare)
	if s.policy != route.Adaptive || len(p.open) < 2 {
		return 0, false
	}
	return route.HedgeDelay(p.prior, p.high.Value)
}

// noteRetry takes a retry from the budget of hedges.
func (s *scheduler) noteRetry(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.hedges = p.hedges.Retry()
}

// spendHedge takes a hedge from the budget.
func (s *scheduler) spendHedge(p *pool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used, slots := p.slots()
	var ok bool
	p.hedges, ok = p.hedges.Spend(p.short.waiting+p.history.long.waiting, used, slots)
	return ok
}

// Bounds of the time without a token after which an attempt is given up.
const (
	minStall         = 250 * time.Millisecond
	unknownStall     = 10 * time.Second
	stallSpacings    = 20
	minFirstStall    = time.Second
	stallFirstTokens = 10
	batchStallFactor = 4
)

// patience returns how long an attempt may go without its first and without
// its next token.
func (s *scheduler) patience(g *slot) (first, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, next = unknownStall, unknownStall
	if p := g.pool.prior; p > 0 {
		first = max(stallFirstTokens*p, minFirstStall)
	}
	if d := g.pool.spacing; d > 0 {
		next = max(stallSpacings*d, minStall)
	}
	if g.class == contract.Batch {
		first, next = batchStallFactor*first, batchStallFactor*next
	}
	return first, next
}
