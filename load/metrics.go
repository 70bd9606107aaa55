package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisylb/daisylb/code"
)

// Names of the metrics that are read from operator listeners.
const (
	metricResidentBytes = "process_resident_memory_bytes"
	metricCPUSeconds    = "process_cpu_seconds_total"
	counterPrefix       = "daisylb_upstream_"
	counterSuffix       = "_total"
	// metricEndedItems counts batch items that ended on an instance.
	metricEndedItems = "daisylb_batch_items_total"
)

// Interval and timeout of the metric reads.
const (
	sampleInterval = time.Second
	sampleTimeout  = 2 * time.Second
)

// reading is the sum of the metrics of all instances at one time.
type reading struct {
	residentBytes float64
	cpuSeconds    float64
	counters      map[string]float64
	instances     int
}

// systemRecord summarizes the metrics of the instances for one variant.
type systemRecord struct {
	// residentBytesBefore is measured before the run. residentBytesPeak is the
	// largest sum during the window, and openAtPeak the number of open requests
	// at that time.
	residentBytesBefore float64
	residentBytesPeak   float64
	openAtPeak          int64
	// cpuSeconds and counters are differences over the measured window.
	cpuSeconds float64
	counters   map[string]float64
	// windowSeconds is the time between the first and the last reading.
	windowSeconds float64
	instances     int
}

func newSystemRecord() *systemRecord { return &systemRecord{counters: map[string]float64{}} }

// merge adds the data of another round. The memory figures are those of the
// round with the largest growth.
func (r *systemRecord) merge(o *systemRecord) {
	if grown := o.residentBytesPeak - o.residentBytesBefore; grown >= r.residentBytesPeak-r.residentBytesBefore {
		r.residentBytesBefore, r.residentBytesPeak, r.openAtPeak = o.residentBytesBefore, o.residentBytesPeak, o.openAtPeak
	}
	r.cpuSeconds += o.cpuSeconds
	r.windowSeconds += o.windowSeconds
	for name, v := range o.counters {
		r.counters[name] += v
	}
	r.instances = max(r.instances, o.instances)
}

// kilobytesPerStream returns the growth of the instances' resident memory per
// request that was open at the peak.
func (r *systemRecord) kilobytesPerStream() float64 {
	if r.openAtPeak == 0 {
		return 0
	}
	return (r.residentBytesPeak - r.residentBytesBefore) / 1024 / float64(r.openAtPeak)
}

// endedItems returns the number of batch items that ended in the window,
// whether committed or not.
func (r *systemRecord) endedItems() float64 {
	sum := 0.0
	for series, v := range r.counters {
		if strings.HasPrefix(series, metricEndedItems+"{") {
			sum += v
		}
	}
	return sum
}

// watcher reads the metrics of a deployment.
type watcher struct {
	deployment Deployment
	client     *http.Client
}

// watch reads metrics from before the run until the end of the window. open
// returns the number of open requests.
func (w *watcher) watch(ctx context.Context, start time.Time, window time.Duration, open func() int64) *systemRecord {
	r := newSystemRecord()
	if len(w.deployment.Operators) == 0 {
		return r
	}
	before := w.read(ctx)
	r.residentBytesBefore, r.instances = before.residentBytes, before.instances
	if !sleepUntil(ctx, start) {
		return r
	}
	first, firstReadAt := w.read(ctx), time.Now()
	for sleepUntil(ctx, nextSample(start, window)) {
		now := w.read(ctx)
		if now.instances == before.instances && now.residentBytes > r.residentBytesPeak {
			r.residentBytesPeak, r.openAtPeak = now.residentBytes, open()
		}
		if time.Since(start) >= window {
			r.windowSeconds = time.Since(firstReadAt).Seconds()
			r.setDifferences(first, now)
			return r
		}
	}
	return r
}

// nextSample returns the time of the next reading. The last one is at the end
// of the window.
func nextSample(start time.Time, window time.Duration) time.Time {
	next, end := time.Now().Add(sampleInterval), start.Add(window)
	if next.After(end) {
		return end
	}
	return next
}

// setDifferences stores the growth of the CPU time and the counters between two
// readings.
func (r *systemRecord) setDifferences(first, last reading) {
	r.cpuSeconds = last.cpuSeconds - first.cpuSeconds
	for name, v := range last.counters {
		if d := v - first.counters[name]; d != 0 {
			r.counters[name] = d
		}
	}
}

// read sums the metrics of the instances that respond.
func (w *watcher) read(ctx context.Context) reading {
	sum := reading{counters: map[string]float64{}}
	for _, address := range w.deployment.Operators {
		if err := w.readOne(ctx, address, &sum); err == nil {
			sum.instances++
		}
	}
	return sum
}

func (w *watcher) readOne(ctx context.Context, address string, sum *reading) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+w.deployment.OperatorKey)
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return code.New(code.PeerUnreachable, "status %d from %s", response.StatusCode, address)
	}
	return sum.add(response.Body)
}

// add parses metrics in the Prometheus text format and adds the known ones.
func (r *reading) add(text io.Reader) error {
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		series, number, found := splitSample(lines.Text())
		value, err := strconv.ParseFloat(number, 64)
		if !found || err != nil {
			continue
		}
		name, _, _ := strings.Cut(series, "{")
		switch {
		case name == metricResidentBytes:
			r.residentBytes += value
		case name == metricCPUSeconds:
			r.cpuSeconds += value
		case name == metricEndedItems, strings.HasPrefix(name, counterPrefix) && strings.HasSuffix(name, counterSuffix):
			r.counters[series] += value
		}
	}
	return lines.Err()
}

// splitSample splits a line into series and value. It reports false for
// comments and lines without a value.
func splitSample(line string) (before, after string, found bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
