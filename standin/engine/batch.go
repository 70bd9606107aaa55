package engine

import (
	"sync/atomic"
	"time"
)

// sequence is one request in the waiting queue or the running batch.
type sequence struct {
	// ready receives one value per generated token. Its capacity is the length of
	// the answer, so that the decoding loop never blocks.
	ready           chan struct{}
	remainingTokens int
	// uncachedTokens is the number of prompt tokens to compute on admission.
	uncachedTokens int
	cancelled      atomic.Bool
}

// submit queues a sequence that generates length tokens and first computes
// uncached prompt tokens.
func (e *Engine) submit(length, uncached int) *sequence {
	s := &sequence{ready: make(chan struct{}, length), remainingTokens: length, uncachedTokens: uncached}
	e.mu.Lock()
	e.waiting = append(e.waiting, s)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// cancel marks a sequence as cancelled and counts it. The decoding loop removes it in
// its present or next step.
func (e *Engine) cancel(s *sequence) {
	s.cancelled.Store(true)
	e.cancelled.Add(1)
}

// decode runs the batch until the engine is closed. Each step admits waiting
// sequences and generates one token for every running sequence.
func (e *Engine) decode() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		step := e.admit()
		if step == 0 {
			if !e.waitForWork() {
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(step)
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-e.closed:
			return
		}
		e.emit()
	}
}

// waitForWork waits for a submitted sequence. It reports false when the engine is
// closed.
func (e *Engine) waitForWork() bool {
	select {
	case <-e.wake:
		return true
	case <-e.closed:
		return false
	}
}

// admit fills the running batch from the waiting queue and returns the duration of
// the next step, or 0 when no sequence runs.
func (e *Engine) admit() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = dropCancelled(e.running)
	e.waiting = dropCancelled(e.waiting)
	uncached := 0
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		uncached += s.uncachedTokens
	}
	if len(e.running) == 0 {
		return 0
	}
	step := e.options.StepBase +
		time.Duration(len(e.running))*e.options.StepPerRunning +
		time.Duration(uncached)*e.options.PrefillPerToken
	if f := e.faults.Load().SlowFactor; f > 1 {
		step = time.Duration(float64(step) * f)
	}
	return step
}

// emit generates one token for every running sequence, unless the fault Stall is
// set, and removes the sequences that are complete.
func (e *Engine) emit() {
	if e.faults.Load().Stall {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, s := range e.running {
		if s.cancelled.Load() {
			continue
		}
		s.ready <- struct{}{}
		s.remainingTokens--
		e.tokens.Add(1)
		if s.remainingTokens > 0 {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// dropCancelled removes cancelled sequences from list in place.
func dropCancelled(list []*sequence) []*sequence {
	kept := list[:0]
	for _, s := range list {
		if !s.cancelled.Load() {
			kept = append(kept, s)
		}
	}
	clear(list[len(kept):])
	return kept
}
