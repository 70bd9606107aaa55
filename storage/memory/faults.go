package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisylb/daisylb/code"
)

// FaultSettings are the faults that a Store injects. The zero value injects none.
type FaultSettings struct {
	// Down makes every operation fail without effect.
	Down bool `json:"down,omitempty"`
	// ReadsDown makes every read fail; writes still work.
	ReadsDown bool `json:"reads_down,omitempty"`
	// WritesDown makes every write fail without effect; reads still work.
	WritesDown bool `json:"writes_down,omitempty"`
	// Delay is added to the duration of every operation, in nanoseconds in JSON.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// LoseNext is the number of next writes that take effect but lose their
	// responses.
	LoseNext int `json:"lose_next,omitempty"`
	// HoldNext is the number of next writes that are held: they lose their responses
	// and take effect at the next call of Store.ReleaseHeld.
	HoldNext int `json:"hold_next,omitempty"`
	// LoseShare is the probability, from 0 to 1, that a write takes effect but loses
	// its response. Seed seeds the random numbers.
	LoseShare float64 `json:"lose_share,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
	// InstanceLag is the age of the instance list, in nanoseconds in JSON.
	InstanceLag time.Duration `json:"instance_lag_ns,omitempty"`
	// WritesPerSecond and ReadsPerSecond limit the rates; operations over the limit
	// fail with code.StoreThrottled. 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
}

// Faults injects faults into a Store and counts its operations. The zero value
// injects none. It is safe for concurrent use.
type Faults struct {
	mu           sync.Mutex
	settings     FaultSettings
	random       *rand.Rand
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	counts       Counts
}

// Counts are the numbers of operations and of injected faults. Writes has only the
// writes that were accepted, Reads also those that were throttled or refused.
type Counts struct {
	Writes int64 `json:"writes"`
	Reads  int64 `json:"reads"`
	// Injected counts delays, lost responses and refused operations.
	Injected int64 `json:"injected"`
	// Throttled counts operations over the rate.
	Throttled int64 `json:"throttled"`
	// Lost counts lost responses, those of held writes included.
	Lost int64 `json:"lost"`
	// Refused counts operations that failed since the store was down.
	Refused int64 `json:"refused"`
}

// writeFault is the fault of one write.
type writeFault int

const (
	noFault writeFault = iota
	// loseResponse lets the write take effect and loses its response.
	loseResponse
	// holdWrite loses the response and delays the effect until Store.ReleaseHeld.
	holdWrite
)

// Set replaces all settings.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = s
	f.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	f.writeLimiter = newLimiter(s.WritesPerSecond)
	f.readLimiter = newLimiter(s.ReadsPerSecond)
}

// Settings returns the present settings. LoseNext and HoldNext are the remaining
// numbers.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// SetDown sets FaultSettings.Down.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Down = down
}

// SetDelay sets FaultSettings.Delay.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Delay = d
}

// LoseResponses makes the next n writes take effect but return code.StoreUnknown.
func (f *Faults) LoseResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.LoseNext = n
}

// HoldWrites makes the next n writes return code.StoreUnknown and take effect only
// at the next call of Store.ReleaseHeld.
func (f *Faults) HoldWrites(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.HoldNext = n
}

// Counts returns the counts so far.
func (f *Faults) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// newLimiter returns a limiter with a burst of one second, or nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// beforeRead counts and delays a read, or returns the error with which it fails.
func (f *Faults) beforeRead(ctx context.Context) error {
	f.mu.Lock()
	f.counts.Reads++
	delay := f.settings.Delay
	f.mu.Unlock()
	if err := f.wait(ctx, delay); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkAvailable(f.settings.ReadsDown, f.readLimiter)
}

// beforeWrite counts and delays a write. It returns the fault of the write, or the
// error with which it fails without effect.
func (f *Faults) beforeWrite(ctx context.Context) (writeFault, error) {
	f.mu.Lock()
	delay := f.settings.Delay
	f.mu.Unlock()
	if err := f.wait(ctx, delay); err != nil {
		return noFault, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkAvailable(f.settings.WritesDown, f.writeLimiter); err != nil {
		return noFault, err
	}
	f.counts.Writes++
	fault := f.drawFault()
	if fault != noFault {
		f.counts.Injected++
		f.counts.Lost++
	}
	return fault, nil
}

// drawFault returns the fault of the next write. The caller holds f.mu.
func (f *Faults) drawFault() writeFault {
	s := &f.settings
	switch {
	case s.HoldNext > 0:
		s.HoldNext--
		return holdWrite
	case s.LoseNext > 0:
		s.LoseNext--
		return loseResponse
	case s.LoseShare > 0 && f.random.Float64() < s.LoseShare:
		return loseResponse
	}
	return noFault
}

// checkAvailable returns the error of an operation when the store is down or over
// its rate. The caller holds f.mu.
func (f *Faults) checkAvailable(down bool, limit *rate.Limiter) error {
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

// wait waits for delay. It returns code.StoreUnavailable when ctx ends first.
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
