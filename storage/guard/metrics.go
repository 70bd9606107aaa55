package guard

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// metrics are the metrics of a Guard.
type metrics struct {
	operations  *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	retries     *prometheus.CounterVec
	throttled   *prometheus.CounterVec
	rejected    *prometheus.CounterVec
	breakerOpen *prometheus.GaugeVec
}

// newMetrics returns the metrics and registers them with r unless r is nil.
func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		operations:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_store_operations_total", Help: "Attempts that reached the store, by result number; 0 is success."}, []string{"side", "result"}),
		duration:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "daisylb_store_operation_duration_seconds", Help: "Time of one attempt.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"side"}),
		retries:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_store_retries_total", Help: "Attempts after the first."}, []string{"side"}),
		throttled:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_store_throttled_total", Help: "Operations over the instance's share."}, []string{"side", "lane"}),
		rejected:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_store_rejected_total", Help: "Operations that an open breaker refused."}, []string{"side"}),
		breakerOpen: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "daisylb_store_breaker_open", Help: "1 while the breaker is open."}, []string{"side"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.operations, m.duration, m.retries, m.throttled, m.rejected, m.breakerOpen} {
		if err := r.Register(c); err != nil {
			return nil, code.Wrap(code.InvalidSettings, err, "metrics of the guard cannot be registered")
		}
	}
	return m, nil
}

// observe records the result and the duration of an attempt that reached the store.
func (m *metrics) observe(side string, err error, took time.Duration) {
	m.operations.WithLabelValues(side, strconv.Itoa(int(code.Of(err)))).Inc()
	m.duration.WithLabelValues(side).Observe(took.Seconds())
}
