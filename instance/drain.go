package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Defaults of Drain.
const (
	// DefaultDrainMargin allows for the time until the instances that answer
	// callers know the draining state, and for differences between the callers'
	// clocks.
	DefaultDrainMargin = 15 * time.Second
	// DefaultDrainBound bounds the wait for requests in flight.
	DefaultDrainBound = 10 * time.Minute

	drainPollInterval = 50 * time.Millisecond
)

// Drain holds the parameters of a planned stop.
type Drain struct {
	// AnswerTTL is how long callers may cache an endpoint answer.
	AnswerTTL time.Duration
	// Margin is added to AnswerTTL; zero means DefaultDrainMargin.
	Margin time.Duration
	// Bound limits the wait for requests in flight once new ones are rejected;
	// zero means DefaultDrainBound.
	Bound time.Duration
	// InFlight returns the number of requests in flight; nil means none.
	InFlight func() int
}

// DrainResult reports the outcome of a planned stop.
type DrainResult struct {
	// AcceptDuration is how long new requests were still accepted while draining.
	AcceptDuration time.Duration `json:"accepted_ns"`
	// FinishDuration is how long the requests in flight took after that.
	FinishDuration time.Duration `json:"finished_ns"`
	// CutOff is the number of requests still in flight when Bound was reached;
	// 0 when every request finished.
	CutOff int `json:"cut_off"`
}

// Drain carries out a planned stop and returns when the lifecycle is stopped.
// It enters the draining state, in which the endpoint answers no longer name
// the instance, accepts new requests for AnswerTTL plus Margin, since callers
// may still hold older answers, then rejects new requests and waits until none
// is in flight or Bound is reached. When ctx ends, new requests are rejected at
// once; the wait for those in flight is limited by Bound only.
func (l *Lifecycle) Drain(ctx context.Context, d Drain) (DrainResult, error) {
	d.setDefaults()
	start := time.Now()
	if err := l.StartDrain(); err != nil {
		return DrainResult{}, err
	}
	wait(ctx, d.AnswerTTL+d.Margin)
	l.rejecting.Store(true)
	rejectedAt := time.Now()
	cutOff := waitInFlight(d)
	result := DrainResult{AcceptDuration: rejectedAt.Sub(start), FinishDuration: time.Since(rejectedAt), CutOff: cutOff}
	if cutOff > 0 {
		l.log.Error("drain bound reached with requests in flight", zap.Int("cut_off", cutOff), zap.Duration("bound", d.Bound))
	}
	return result, l.Stop()
}

func (d *Drain) setDefaults() {
	if d.Margin == 0 {
		d.Margin = DefaultDrainMargin
	}
	if d.Bound == 0 {
		d.Bound = DefaultDrainBound
	}
	if d.InFlight == nil {
		d.InFlight = func() int { return 0 }
	}
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitInFlight waits until no request is in flight and returns how many are
// left at the bound.
func waitInFlight(d Drain) int {
	deadline := time.Now().Add(d.Bound)
	for {
		n := d.InFlight()
		if n == 0 || !time.Now().Before(deadline) {
			return n
		}
		time.Sleep(drainPollInterval)
	}
}
