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
	metricResident  = "process_resident_memory_bytes"
	metricProcessor = "process_cpu_seconds_total"
	counterPrefix   = "daisylb_upstream_"
	counterSuffix   = "_total"
	// metricEnded counts batch items that ended on an instance.
	metricEnded = "daisylb_batch_items_total"
)

// Times of the readings.
const (
	sampleInterval = time.Second
	sampleTimeout  = 2 * time.Second
)

// reading is the sum of the metrics of all instances at one time.
type reading struct {
	resident  float64
	processor float64
	counters  map[string]float64
	instances int
}

// systemRecord is what the instances' metrics told of a variant.
type systemRecord struct {
	// residentBefore is from before the run, residentPeak the largest sum
	// in it. peakOpen is the number of requests that were open at that time.
	residentBefore float64
	residentPeak   float64
	openAtPeak     int64
	// processor and counters are differences over the measured window.
	processor float64
	counters  map[string]float64
	// window is the time between the readings, in seconds.
	window    float64
	instances int
}

func newSystemRecord() *systemRecord { return &systemRecord{counters: map[string]float64{}} }

func (r *systemRecord) merge(o *systemRecord) {
	if grown := o.residentPeak - o.residentBefore; grown >= r.residentPeak-r.residentBefore {
		r.residentBefore, r.residentPeak, r.openAtPeak = o.residentBefore, o.residentPeak, o.openAtPeak
	}
	r.processor += o.processor
	r.window += o.window
	for name, v := range o.counters {
		r.counters[name] += v
	}
	r.instances = max(r.instances, o.instances)
}

// kilobytesPerStream is the growth of the instances' memory for each request
// that was open at the peak.
func (r *systemRecord) kilobytesPerStream() float64 {
	if r.openAtPeak == 0 {
		return 0
	}
	return (r.residentPeak - r.residentBefore) / 1024 / float64(r.openAtPeak)
}

// endedItems is the number of batch items that ended in the window, committed
// or not.
func (r *systemRecord) endedItems() float64 {
	sum := 0.0
	for series, v := range r.counters {
		if strings.HasPrefix(series, metricEnded+"{") {
			sum += v
		}
	}
	return sum
}

// watcher reads the metrics of a deployment.
type watcher struct {
	deployment Deployment
	calls      *http.Client
}

// watch reads metrics from before the run until the end of the window. open
// returns the number of open requests.
func (w *watcher) watch(ctx context.Context, start time.Time, window time.Duration, open func() int64) *systemRecord {
	r := newSystemRecord()
	if len(w.deployment.Operators) == 0 {
		return r
	}
	before := w.read(ctx)
	r.residentBefore, r.instances = before.resident, before.instances
	if !sleepUntil(ctx, start) {
		return r
	}
	first, began := w.read(ctx), time.Now()
	for sleepUntil(ctx, nextSample(start, window)) {
		now := w.read(ctx)
		if now.instances == before.instances && now.resident > r.residentPeak {
			r.residentPeak, r.openAtPeak = now.resident, open()
		}
		if time.Since(start) >= window {
			r.window = time.Since(began).Seconds()
			r.differences(first, now)
			return r
		}
	}
	return r
}

// nextSample returns the time of the next reading; the last is at the end of
// the window.
func nextSample(start time.Time, window time.Duration) time.Time {
	next, end := time.Now().Add(sampleInterval), start.Add(window)
	if next.After(end) {
		return end
	}
	return next
}

func (r *systemRecord) differences(first, last reading) {
	r.processor = last.processor - first.processor
	for name, v := range last.counters {
		if d := v - first.counters[name]; d != 0 {
			r.counters[name] = d
		}
	}
}

// read sums the metrics of the instances that answer.
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
	response, err := w.calls.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return code.New(code.PeerUnreachable, "status %d from %s", response.StatusCode, address)
	}
	return sum.add(response.Body)
}

// add reads the text form of metrics.
func (r *reading) add(text io.Reader) error {
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		series, number, found := cutLast(lines.Text())
		value, err := strconv.ParseFloat(number, 64)
		if !found || err != nil {
			continue
		}
		name, _, _ := strings.Cut(series, "{")
		switch {
		case name == metricResident:
			r.resident += value
		case name == metricProcessor:
			r.processor += value
		case name == metricEnded, strings.HasPrefix(name, counterPrefix) && strings.HasSuffix(name, counterSuffix):
			r.counters[series] += value
		}
	}
	return lines.Err()
}

func cutLast(line string) (before, after string, found bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
