package order

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// metrics has the Prometheus metrics of a Lease.
type metrics struct {
	held   prometheus.Gauge
	orders *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, group string) (*metrics, error) {
	labels := prometheus.Labels{"group": group}
	m := &metrics{
		held:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "daisylb_order_lease_held", Help: "1 while this instance holds the lease.", ConstLabels: labels}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_order_results_total", Help: "Orders by result number; 0 is success.", ConstLabels: labels}, []string{"result"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.held, m.orders} {
		if err := r.Register(c); err != nil {
			return nil, code.Wrap(code.InvalidSettings, err, "metrics of the lease cannot be registered")
		}
	}
	return m, nil
}

func (m *metrics) setHeld(held bool) {
	if held {
		m.held.Set(1)
		return
	}
	m.held.Set(0)
}

// countOrder counts an order by its result number.
func (m *metrics) countOrder(err error) {
	m.orders.WithLabelValues(strconv.Itoa(int(code.Of(err)))).Inc()
}
