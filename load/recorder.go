package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	shortest          = int64(time.Microsecond)
	longest           = int64(10 * time.Minute)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortest, longest, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), shortest), longest))
}

// sample is one request on the time line.
type sample struct {
	due   time.Duration
	first time.Duration
}

// recorder collects the measured requests of one mix in one variant, over all
// rounds. It is safe for concurrent use.
type recorder struct {
	mix *OnlineMix

	mu      sync.Mutex
	first   *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	gaps    *hdrhistogram.Histogram
	lag     *hdrhistogram.Histogram
	endings map[Ending]int
	sent    int
	good    int
	tokens  int
	moves   int
	samples []sample
}

func newRecorder(m *OnlineMix) *recorder {
	return &recorder{mix: m, first: newHistogram(), whole: newHistogram(), gaps: newHistogram(), lag: newHistogram(), endings: map[Ending]int{}}
}

// add counts one measured request. A request without an answer at the end of
// the run has the latency that it had reached by then, so that it stays in the
// tail; refused requests have none.
func (r *recorder) add(a *arrival, o outcome) {
	if !a.measured() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.endings[o.ending]++
	r.moves += o.moves
	record(r.lag, o.lag)
	first := o.first
	if first == 0 && o.ending.Kind == Unanswered {
		first = o.whole
	}
	if first > 0 {
		record(r.first, first)
		r.samples = append(r.samples, sample{a.due, first})
	}
	for _, g := range o.gaps {
		record(r.gaps, g)
	}
	switch o.ending.Kind {
	case Right:
		record(r.whole, o.whole)
		r.tokens += a.answer
		if r.isGood(o) {
			r.good++
		}
	case Unanswered:
		record(r.whole, o.whole)
	}
}

func (r *recorder) isGood(o outcome) bool {
	latency := o.first
	if !r.mix.Stream {
		latency = o.whole
	}
	return r.mix.Objective == 0 || latency <= r.mix.Objective
}

// merge adds what another recorder of the same mix has.
func (r *recorder) merge(o *recorder) {
	r.first.Merge(o.first)
	r.whole.Merge(o.whole)
	r.gaps.Merge(o.gaps)
	r.lag.Merge(o.lag)
	for e, n := range o.endings {
		r.endings[e] += n
	}
	r.sent += o.sent
	r.good += o.good
	r.tokens += o.tokens
	r.moves += o.moves
	r.samples = append(r.samples, o.samples...)
}
