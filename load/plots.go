package load

import (
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WriteLatencies writes the distributions of the first token's latency, and of
// the whole answer's, by variant and mix, as SVG.
func (r *Report) WriteLatencies(w io.Writer) error {
	first := r.distributions(func(o *recorder) *hdrhistogram.Histogram { return o.first })
	whole := r.distributions(func(o *recorder) *hdrhistogram.Histogram { return o.whole })
	p := plot{title: r.Name + ": latency from the time a request was due"}
	p.panels = append(p.panels,
		panel{quantileAxis(), logAxis("first token (ms)", first), first},
		panel{quantileAxis(), logAxis("whole answer (ms)", whole), whole})
	return p.write(w)
}

// plottedQuantiles are in percent.
var plottedQuantiles = [...]float64{0, 10, 20, 30, 40, 50, 60, 70, 75, 80, 85, 90, 92, 94, 95, 96, 97, 98, 99, 99.2, 99.4, 99.6, 99.8, 99.9}

// quantileAxis spreads the tail: it is logarithmic in 1/(1-q).
func quantileAxis() axis {
	a := axis{label: "share of requests (%)", low: 1, high: 1000, log: true}
	for _, q := range [...]struct {
		percent float64
		label   string
	}{{0, "0"}, {50, "50"}, {90, "90"}, {95, "95"}, {99, "99"}, {99.9, "99.9"}} {
		a.ticks = append(a.ticks, tick{inverseTail(q.percent), q.label})
	}
	return a
}

func inverseTail(percent float64) float64 { return 100 / (100 - percent) }

func (r *Report) distributions(of func(*recorder) *hdrhistogram.Histogram) []series {
	var list []series
	r.eachOnline(func(name string, o *recorder) {
		h := of(o)
		if h.TotalCount() == 0 {
			return
		}
		s := series{name: name}
		for _, q := range plottedQuantiles {
			s.points = append(s.points, point{inverseTail(q), millis(h, q)})
		}
		list = append(list, s)
	})
	return list
}

func (r *Report) eachOnline(do func(name string, o *recorder)) {
	for _, v := range r.Variants {
		m := r.results.merged[v.Name]
		for _, mix := range slices.Sorted(maps.Keys(m.online)) {
			do(v.Name+" "+mix, m.online[mix])
		}
	}
}

// timeBucket is the resolution of the time line.
const timeBucket = 500 * time.Millisecond

// tailQuantile is the quantile on the time line.
const tailQuantile = 0.99

// WriteTimeLine writes the online tail and the batch throughput over the time
// of a run, as SVG. Rounds are laid over each other.
func (r *Report) WriteTimeLine(w io.Writer) error {
	var tails, rates []series
	r.eachOnline(func(name string, o *recorder) {
		if len(o.samples) > 0 {
			tails = append(tails, series{name, tailLine(o.samples)})
		}
	})
	for _, v := range r.Variants {
		m := r.results.merged[v.Name]
		for _, mix := range slices.Sorted(maps.Keys(m.batch)) {
			rates = append(rates, series{v.Name + " " + mix, r.results.rateLine(v.Name, mix)})
		}
	}
	x := linearAxis("time in the run (s)", r.WindowSeconds)
	p := plot{title: r.Name + ": over time"}
	p.panels = append(p.panels, panel{x, logAxis("first token, p99 of each half second (ms)", tails), tails})
	if len(rates) > 0 {
		_, high := bounds(rates)
		p.panels = append(p.panels, panel{x, linearAxis("batch items a second", high), rates})
	}
	return p.write(w)
}

// tailLine returns the tail of the requests that were due in each bucket.
func tailLine(samples []sample) []point {
	buckets := map[int][]time.Duration{}
	for _, s := range samples {
		i := int(s.due / timeBucket)
		buckets[i] = append(buckets[i], s.first)
	}
	var line []point
	for _, i := range slices.Sorted(maps.Keys(buckets)) {
		list := buckets[i]
		slices.Sort(list)
		rank := int(math.Ceil(tailQuantile*float64(len(list)))) - 1
		line = append(line, point{middle(i), float64(list[rank]) / 1e6})
	}
	return line
}

// middle returns the middle of a bucket in seconds.
func middle(bucket int) float64 { return (float64(bucket) + 0.5) * timeBucket.Seconds() }

// rateLine returns the committed items of each bucket as a mean over rounds.
func (r *results) rateLine(variant, mix string) []point {
	counts := map[int]int{}
	rounds := r.rounds[variant]
	for _, m := range rounds {
		points := m.batch[mix].points
		for i := 1; i < len(points); i++ {
			if points[i].at >= 0 {
				counts[int(points[i].at/timeBucket)] += points[i].finished - points[i-1].finished
			}
		}
	}
	var line []point
	for i := range int(r.experiment.Duration / timeBucket) {
		line = append(line, point{middle(i), float64(counts[i]) / timeBucket.Seconds() / float64(len(rounds))})
	}
	return line
}
