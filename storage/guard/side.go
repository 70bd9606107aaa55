package guard

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/retry"
)

// side applies the limits to one side of the store's operations, the reads or the
// writes. Each has its own rate limiters, retry budget and breaker. It is safe for
// concurrent use.
type side struct {
	// name is "read" or "write", as in metrics and logs.
	name          string
	liveInstances func() int
	sharedRate    float64
	maxWait       time.Duration
	budget        *retry.Budget
	breaker       *breaker
	lanes         map[Lane]*rate.Limiter

	mu          sync.Mutex
	refreshedAt time.Time
}

// newSide returns the limits of one side. perSecond is the rate that the store
// accepts from all instances, owner the part of it reserved for the lane Owner; 0
// means that Owner uses the tokens of Urgent.
func newSide(name string, o Options, perSecond, owner float64) *side {
	s := &side{
		name:          name,
		liveInstances: o.LiveInstances,
		sharedRate:    perSecond - owner,
		maxWait:       o.MaxWait,
		budget:        retry.NewBudget(retryShare, retryReserve),
		breaker:       &breaker{openTime: o.OpenTime},
		lanes:         map[Lane]*rate.Limiter{},
	}
	s.lanes[Urgent] = rate.NewLimiter(0, minBurstOperations)
	s.lanes[Poll] = rate.NewLimiter(0, minBurstOperations)
	s.lanes[Owner] = s.lanes[Urgent]
	if owner > 0 {
		s.lanes[Owner] = rate.NewLimiter(rate.Limit(owner), burst(owner))
	}
	s.refreshRates(time.Now())
	return s
}

// burst returns the burst for a rate: the operations of one second, and at least
// minBurstOperations.
func burst(perSecond float64) int { return max(minBurstOperations, int(perSecond)) }

// share returns the instance's part of sharedRate, in operations per second.
func (s *side) share() float64 { return s.sharedRate / float64(max(1, s.liveInstances())) }

// refreshRates adjusts the rates to the number of live instances, at most once per
// shareRefreshInterval.
func (s *side) refreshRates(now time.Time) {
	s.mu.Lock()
	due := now.Sub(s.refreshedAt) >= shareRefreshInterval
	if due {
		s.refreshedAt = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	share := s.share()
	setRate(s.lanes[Urgent], now, share*urgentShare)
	setRate(s.lanes[Poll], now, share*pollShare)
}

// setRate changes the rate of l, if it differs, and its burst with it.
func setRate(l *rate.Limiter, now time.Time, perSecond float64) {
	if l.Limit() == rate.Limit(perSecond) {
		return
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst(perSecond))
}

// emptyBuckets takes all saved tokens from the lanes. The guard calls it when the
// store recovers, so that the bursts of all instances do not reach the store at the
// same time.
func (s *side) emptyBuckets() {
	now := time.Now()
	for _, l := range s.lanes {
		if tokens := int(l.TokensAt(now)); tokens > 0 {
			l.AllowN(now, tokens)
		}
	}
}

// acquire waits for a token of the lane. It returns code.StoreThrottled at once
// when the wait would be longer than maxWait, would end after the deadline of ctx,
// or is needed at all in the lane Poll; also when ctx ends during the wait.
func (s *side) acquire(ctx context.Context, lane Lane) error {
	now := time.Now()
	s.refreshRates(now)
	reservation := s.lanes[lane].ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	limit := s.maxWait
	if lane == Poll {
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
