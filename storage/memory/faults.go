package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisylb/daisylb/code"
)

// FaultSettings say how a store fails. The zero value injects nothing.
type FaultSettings struct {
	// Down makes every operation fail without effect.
	Down bool `json:"down,omitempty"`
	// ReadsDown makes every read fail; writes go on.
	ReadsDown bool `json:"reads_down,omitempty"`
	// WritesDown makes every write fail without effect; reads go on.
	WritesDown bool `json:"writes_down,omitempty"`
	// Delay makes every operation take this much longer, in nanoseconds.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// LoseNext is the number of writes whose answers are lost after the effect.
	LoseNext int `json:"lose_next,omitempty"`
	// HoldNext is the number of writes whose answers are lost before the effect:
	// they take effect at the next call of Store.ReleaseHeld.
	HoldNext int `json:"hold_next,omitempty"`
	// LoseShare is the probability that the answer of a write is lost after the
	// effect, 0 to 1, drawn with Seed.
	LoseShare float64 `json:"lose_share,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
	// InstanceLag is the age of the instance list, in nanoseconds.
	InstanceLag time.Duration `json:"instance_lag_ns,omitempty"`
	// WritesPerSecond and ReadsPerSecond bound the rates; operations over them
	// fail with code.StoreThrottled. 0 means no bound.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
}

// Faults makes a store fail on request. The zero value injects nothing. It is
// safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
	random   *rand.Rand
	writeCap *rate.Limiter
	readCap  *rate.Limiter
	counts   Counts
}

// Counts are the operations that reached the store, and the faults it injected.
type Counts struct {
	Writes   int64 `json:"writes"`
	Reads    int64 `json:"reads"`
	Injected int64 `json:"injected"`
	// Throttled operations were over the rate.
	Throttled int64 `json:"throttled"`
	// Lost counts answers lost after the effect or before it.
	Lost int64 `json:"lost"`
	// Refused counts operations that came while the store was down.
	Refused int64 `json:"refused"`
}

// answer says what becomes of the answer of a write.
type answer int

const (
	answerGiven answer = iota
	answerLost
	answerHeld
)

// Set replaces all settings.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = s
	f.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	f.writeCap = newCap(s.WritesPerSecond)
	f.readCap = newCap(s.ReadsPerSecond)
}

// Settings returns the settings in force.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// SetDown makes every operation fail without effect until it is unset.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Down = down
}

// SetDelay makes every operation take d longer.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Delay = d
}

// LoseAnswers makes the next n writes take effect but report StoreUnknown.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.LoseNext = n
}

// HoldWrites makes the next n writes report StoreUnknown and take effect only
// at the next call of Store.ReleaseHeld.
func (f *Faults) HoldWrites(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.HoldNext = n
}

// Counts returns the operations seen so far.
func (f *Faults) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func newCap(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (f *Faults) read(ctx context.Context) error {
	f.mu.Lock()
	f.counts.Reads++
	delay := f.settings.Delay
	f.mu.Unlock()
	if err := f.wait(ctx, delay); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse(f.settings.ReadsDown, f.readCap)
}

// write says what becomes of the answer, or fails without effect.
func (f *Faults) write(ctx context.Context) (answer, error) {
	f.mu.Lock()
	delay := f.settings.Delay
	f.mu.Unlock()
	if err := f.wait(ctx, delay); err != nil {
		return answerGiven, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refuse(f.settings.WritesDown, f.writeCap); err != nil {
		return answerGiven, err
	}
	f.counts.Writes++
	a := f.draw()
	if a != answerGiven {
		f.counts.Injected++
		f.counts.Lost++
	}
	return a, nil
}

// draw decides the fate of one answer; f.mu is held.
func (f *Faults) draw() answer {
	s := &f.settings
	switch {
	case s.HoldNext > 0:
		s.HoldNext--
		return answerHeld
	case s.LoseNext > 0:
		s.LoseNext--
		return answerLost
	case s.LoseShare > 0 && f.random.Float64() < s.LoseShare:
		return answerLost
	}
	return answerGiven
}

// refuse fails an operation when the store is down or over its rate; f.mu is
// held.
func (f *Faults) refuse(down bool, limit *rate.Limiter) error {
	if f.settings.Down || down {
		f.counts.Injected++
		f.counts.Refused++
		return code.New(code.StoreUnavailable, "the store is down")
	}
	if limit != nil && !limit.Allow() {
		f.counts.Throttled++
		return code.New(code.StoreThrottled, "the store's rate is used up")
	}
	return nil
}

func (f *Faults) wait(ctx context.Context, delay time.Duration) error {
	if err := ctx.Err(); err != nil {
		return code.Wrap(code.StoreUnavailable, err, "the operation ended before the store took it")
	}
	if delay <= 0 {
		return nil
	}
	f.mu.Lock()
	f.counts.Injected++
	f.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return code.Wrap(code.StoreUnavailable, ctx.Err(), "the store did not answer in time")
	}
}
