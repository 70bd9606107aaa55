package caller

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// metrics counts and times requests. The label values are bounded: routes are
// fixed, and numbers are those of package code's table.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisylb_caller_requests_total",
			Help: "Answered requests by route and result number; 0 is success.",
		}, []string{"route", "number"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "daisylb_caller_request_duration_seconds",
			Help:    "Time from the headers of a request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"route"}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.duration)
	}
	return m
}

// observe records one request and its result number.
func (m *metrics) observe(route string, number code.Number, duration time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(int(number))).Inc()
	m.duration.WithLabelValues(route).Observe(duration.Seconds())
}
