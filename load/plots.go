package load

import (
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WriteLatencies writes the distributions of first-token latency and of the
// latency of whole answers, by variant and mix, as SVG.
func (r *Report) WriteLatencies(w io.Writer) error {
	first := r.distributions(func(o *recorder) *hdrhistogram.Histogram { return o.firstToken })
	whole := r.distributions(func(o *recorder) *hdrhistogram.Histogram { return o.total })
	p := plot{title: r.Name + ": latency from the time a request was due"}
	p.panels = append(p.panels,
		panel{quantileAxis(), logAxis("first token (ms)", first), first},
		panel{quantileAxis(), logAxis("whole answer (ms)", whole), whole})
	return p.write(w)
}

var plottedPercentiles = [...]float64{0, 10, 20, 30, 40, 50, 60, 70, 75, 80, 85, 90, 92, 94, 95, 96, 97, 98, 99, 99.2, 99.4, 99.6, 99.8, 99.9}

// quantileAxis returns an axis that is logarithmic in 1/(1-q), which stretches
// the tail.
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

// inverseTail returns 1/(1-q) for q in percent.
func inverseTail(percent float64) float64 { return 100 / (100 - percent) }

func (r *Report) distributions(of func(*recorder) *hdrhistogram.Histogram) []series {
	var list []series
	r.eachOnline(func(name string, o *recorder) {
		h := of(o)
		if h.TotalCount() == 0 {
			return
		}
		s := series{name: name}
		for _, q := range plottedPercentiles {
			s.points = append(s.points, point{inverseTail(q), percentileMillis(h, q)})
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

// timeBucket is the resolution of the timeline.
const timeBucket = 500 * time.Millisecond

// tailQuantile is the latency quantile that the timeline shows.
const tailQuantile = 0.99

// WriteTimeline writes the tail latency of online requests and the batch
// throughput over the time of a run, as SVG. All rounds share one time axis.
func (r *Report) WriteTimeline(w io.Writer) error {
	var tails, rates []series
	r.eachOnline(func(name string, o *recorder) {
		if len(o.samples) > 0 {
			tails = append(tails, series{name, tailPoints(o.samples)})
		}
	})
	for _, v := range r.Variants {
		m := r.results.merged[v.Name]
		for _, mix := range slices.Sorted(maps.Keys(m.batch)) {
			rates = append(rates, series{v.Name + " " + mix, r.results.ratePoints(v.Name, mix)})
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

// tailPoints returns the tail latency of the requests that were due in each
// bucket, in milliseconds.
func tailPoints(samples []sample) []point {
	buckets := map[int][]time.Duration{}
	for _, s := range samples {
		i := int(s.due / timeBucket)
		buckets[i] = append(buckets[i], s.firstToken)
	}
	var line []point
	for _, i := range slices.Sorted(maps.Keys(buckets)) {
		list := buckets[i]
		slices.Sort(list)
		rank := int(math.Ceil(tailQuantile*float64(len(list)))) - 1
		line = append(line, point{bucketMiddle(i), float64(list[rank]) / 1e6})
	}
	return line
}

// bucketMiddle returns the middle of a bucket in seconds.
func bucketMiddle(bucket int) float64 { return (float64(bucket) + 0.5) * timeBucket.Seconds() }

// ratePoints returns the items committed per second in each bucket, as the mean
// over the rounds.
func (r *results) ratePoints(variant, mix string) []point {
	counts := map[int]int{}
	rounds := r.rounds[variant]
	for _, m := range rounds {
		points := m.batch[mix].points
		for i := 1; i < len(points); i++ {
			if points[i].sinceStart >= 0 {
				counts[int(points[i].sinceStart/timeBucket)] += points[i].finished - points[i-1].finished
			}
		}
	}
	var line []point
	for i := range int(r.experiment.Duration / timeBucket) {
		line = append(line, point{bucketMiddle(i), float64(counts[i]) / timeBucket.Seconds() / float64(len(rounds))})
	}
	return line
}
