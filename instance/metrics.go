package instance

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// metrics holds the counters of the membership.
type metrics struct {
	probes *prometheus.CounterVec
	lists  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisylb_instance_probes_total",
			Help: "Probes of other instances by result.",
		}, []string{"result"}),
		lists: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisylb_instance_list_reads_total",
			Help: "Reads of the platform's instance list by result.",
		}, []string{"result"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.probes, m.lists} {
		if err := r.Register(c); err != nil {
			return nil, code.Wrap(code.InvalidSettings, err, "metrics of the membership")
		}
	}
	return m, nil
}

func (m *metrics) countProbe(result string) { m.probes.WithLabelValues(result).Inc() }

func (m *metrics) countListRead(result string) { m.lists.WithLabelValues(result).Inc() }
