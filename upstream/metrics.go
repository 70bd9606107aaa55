package upstream

import "github.com/prometheus/client_golang/prometheus"

// metrics of the dispatcher; usable without a registerer.
type metrics struct {
	attempts    *prometheus.CounterVec
	preemptions prometheus.Counter
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisylb_upstream_attempts_total",
			Help: "Attempts on upstreams by class and result.",
		}, []string{"class", "result"}),
		preemptions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "daisylb_upstream_preemptions_total",
			Help: "Batch attempts cancelled because online work took the slot.",
		}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.attempts, m.preemptions} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
