package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Defaults of Drain.
const (
	// DefaultDrainMargin covers the spread of the draining state to the
	// instances that answer callers, and the clocks of the callers.
	DefaultDrainMargin = 15 * time.Second
	// DefaultDrainBound bounds the wait for open requests.
	DefaultDrainBound = 10 * time.Minute

	drainPoll = 50 * time.Millisecond
)

// Drain describes a planned stop.
type Drain struct {
	// AnswerTTL is how long callers may keep an endpoint answer.
	AnswerTTL time.Duration
	// Margin is added to AnswerTTL; zero means DefaultDrainMargin.
	Margin time.Duration
	// Bound limits the wait for open requests after new ones are refused; zero
	// means DefaultDrainBound.
	Bound time.Duration
	// InFlight returns the number of open requests.
	InFlight func() int
}

// DrainResult tells how a planned stop went.
type DrainResult struct {
	// Accepted is how long late callers were taken.
	Accepted time.Duration `json:"accepted_ns"`
	// Finished is how long open requests then took.
	Finished time.Duration `json:"finished_ns"`
	// CutOff is the number of requests still open at the bound; 0 in a planned
	// stop that harmed nobody.
	CutOff int `json:"cut_off"`
}

// Drain carries out a planned stop: leave the endpoint answers, take what still
// arrives from holders of old answers, refuse new requests, finish the open
// ones, stop. The end of ctx skips the time for late callers, then bounds the
// rest by Drain.Bound alone.
func (l *Lifecycle) Drain(ctx context.Context, d Drain) (DrainResult, error) {
	d.setDefaults()
	start := time.Now()
	if err := l.StartDrain(); err != nil {
		return DrainResult{}, err
	}
	wait(ctx, d.AnswerTTL+d.Margin)
	l.refusing.Store(true)
	refused := time.Now()
	cutOff := finish(d)
	result := DrainResult{Accepted: refused.Sub(start), Finished: time.Since(refused), CutOff: cutOff}
	if cutOff > 0 {
		l.log.Error("drain bound passed", zap.Int("cut_off", cutOff), zap.Duration("bound", d.Bound))
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

// wait returns after d or at the end of ctx.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// finish waits for the open requests and returns how many are left at the
// bound.
func finish(d Drain) int {
	deadline := time.Now().Add(d.Bound)
	for {
		open := d.InFlight()
		if open == 0 || !time.Now().Before(deadline) {
			return open
		}
		time.Sleep(drainPoll)
	}
}
