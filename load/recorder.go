package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range in nanoseconds and precision of the histograms.
const (
	minLatencyNanos   = int64(time.Microsecond)
	maxLatencyNanos   = int64(10 * time.Minute)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyNanos, maxLatencyNanos, significantDigits)
}

// recordLatency adds d to h, limited to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), minLatencyNanos), maxLatencyNanos))
}

// sample is one request on the timeline.
type sample struct {
	due        time.Duration
	firstToken time.Duration
}

// recorder collects the measured requests of one mix in one variant, of one
// round or of all. Adding is safe for concurrent use.
type recorder struct {
	mix *OnlineMix

	mu              sync.Mutex
	firstToken      *hdrhistogram.Histogram
	total           *hdrhistogram.Histogram
	spacing         *hdrhistogram.Histogram
	sendLag         *hdrhistogram.Histogram
	endings         map[Ending]int
	sent            int
	withinObjective int
	tokens          int
	moves           int
	samples         []sample
}

func newRecorder(m *OnlineMix) *recorder {
	return &recorder{mix: m, firstToken: newHistogram(), total: newHistogram(), spacing: newHistogram(), sendLag: newHistogram(), endings: map[Ending]int{}}
}

// add counts one request, unless it was due in the warm-up. A request that is
// unanswered at the end of the run counts with the latency reached by then, so
// that it stays in the tail. Other requests without text have no latency.
func (r *recorder) add(a *arrival, o outcome) {
	if !a.measured() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.endings[o.ending]++
	r.moves += o.moves
	recordLatency(r.sendLag, o.sendLag)
	first := o.firstToken
	if first == 0 && o.ending.Kind == Unanswered {
		first = o.total
	}
	if first > 0 {
		recordLatency(r.firstToken, first)
		r.samples = append(r.samples, sample{a.due, first})
	}
	for _, g := range o.spacing {
		recordLatency(r.spacing, g)
	}
	switch o.ending.Kind {
	case Right:
		recordLatency(r.total, o.total)
		r.tokens += a.answerTokens
		if r.meetsObjective(o) {
			r.withinObjective++
		}
	case Unanswered:
		recordLatency(r.total, o.total)
	}
}

func (r *recorder) meetsObjective(o outcome) bool {
	latency := o.firstToken
	if !r.mix.Stream {
		latency = o.total
	}
	return r.mix.Objective == 0 || latency <= r.mix.Objective
}

// merge adds the data of another recorder of the same mix.
func (r *recorder) merge(o *recorder) {
	r.firstToken.Merge(o.firstToken)
	r.total.Merge(o.total)
	r.spacing.Merge(o.spacing)
	r.sendLag.Merge(o.sendLag)
	for e, n := range o.endings {
		r.endings[e] += n
	}
	r.sent += o.sent
	r.withinObjective += o.withinObjective
	r.tokens += o.tokens
	r.moves += o.moves
	r.samples = append(r.samples, o.samples...)
}
