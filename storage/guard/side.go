package guard

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
)

// side holds the limits of the reads or of the writes.
type side struct {
	name    string
	live    func() int
	total   float64
	maxWait time.Duration
	budget  *retry.Budget
	circuit *circuit
	lanes   map[Lane]*rate.Limiter

	mu        sync.Mutex
	refreshed time.Time
}

func newSide(name string, o Options, perSecond, owner float64) *side {
	s := &side{
		name:    name,
		live:    o.Live,
		total:   perSecond - owner,
		maxWait: o.MaxWait,
		budget:  retry.NewBudget(retryShare, retryReserve),
		circuit: &circuit{open: o.Open},
		lanes:   map[Lane]*rate.Limiter{},
	}
	s.lanes[Urgent] = rate.NewLimiter(0, minBurst)
	s.lanes[Poll] = rate.NewLimiter(0, minBurst)
	s.lanes[Owner] = s.lanes[Urgent]
	if owner > 0 {
		s.lanes[Owner] = rate.NewLimiter(rate.Limit(owner), burst(owner))
	}
	s.refresh(time.Now())
	return s
}

// burst is one second of the rate.
func burst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// share returns the instance's part of the rate, per second.
func (s *side) share() float64 { return s.total / float64(max(1, s.live())) }

// refresh follows the number of live instances.
func (s *side) refresh(now time.Time) {
	s.mu.Lock()
	due := now.Sub(s.refreshed) >= shareRefreshInterval
	if due {
		s.refreshed = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	share := s.share()
	setRate(s.lanes[Urgent], now, share*urgentShare)
	setRate(s.lanes[Poll], now, share*pollShare)
}

func setRate(l *rate.Limiter, now time.Time, perSecond float64) {
	if l.Limit() == rate.Limit(perSecond) {
		return
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst(perSecond))
}

// drain empties the lanes, so that instances that see the store return at the
// same time do not add up their bursts.
func (s *side) drain() {
	now := time.Now()
	for _, l := range s.lanes {
		if spare := int(l.TokensAt(now)); spare > 0 {
			l.AllowN(now, spare)
		}
	}
}

// take waits for a token of the lane. It fails with code.StoreThrottled when
// the wait would be over the limit or past the deadline.
func (s *side) take(ctx context.Context, l Lane) error {
	now := time.Now()
	s.refresh(now)
	reservation := s.lanes[l].ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	limit := s.maxWait
	if l == Poll {
		limit = 0
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, deadline.Sub(now))
	}
	if wait > limit {
		reservation.CancelAt(now)
		return code.New(code.StoreThrottled, "the instance's share of the store's %ss is used up", s.name).WithRetryAfter(wait)
	}
	if wait == 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return code.Wrap(code.StoreThrottled, ctx.Err(), "the wait for the store's %ss ended", s.name)
	}
}
