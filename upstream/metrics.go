package upstream

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a Dispatcher. They also work without a registerer.
type metrics struct {
	attempts          *prometheus.CounterVec
	preemptions       prometheus.Counter
	retries           prometheus.Counter
	hedges            prometheus.Counter
	ejections         prometheus.Counter
	migrations        prometheus.Counter
	leftOut           prometheus.Counter
	slowUpstreams     prometheus.Gauge
	exchangesSkipped  prometheus.Counter
	refusedEarly      prometheus.Counter
	overShare         prometheus.Gauge
	firstToken        prometheus.Histogram
	forwarded         *prometheus.CounterVec
	forwardFirstEvent *prometheus.HistogramVec
	forwardQueued     *prometheus.HistogramVec
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_upstream_" + name + "_total", Help: help})
}

// newMetrics returns the metrics and registers them with r, unless r is nil.
func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisylb_upstream_attempts_total",
			Help: "Attempts on upstreams by class and result.",
		}, []string{"class", "result"}),
		preemptions:      counter("preemptions", "Batch attempts cancelled because online work took the slot."),
		retries:          counter("retries", "Attempts after a failed one."),
		hedges:           counter("hedges", "Second attempts beside a first one without a token."),
		ejections:        counter("ejections", "Upstreams taken out of ordinary use for being slow or failing."),
		exchangesSkipped: counter("exchanges_skipped", "Exchanges of load with peers left out because the budget of bytes was used up."),
		leftOut:          counter("left_out", "Upstreams left out because instances reported that they do not respond."),
		migrations:       counter("moves", "Streams taken off an ejected upstream and resumed elsewhere."),
		refusedEarly:     counter("refused_early", "Waiting requests of accounts refused because they could not begin before their deadline."),
		overShare: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "daisylb_upstream_accounts_over_share",
			Help: "Accounts with waiting requests that use more than their share of the slots.",
		}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "daisylb_upstream_first_token_seconds",
			Help:    "Time to the first token of online attempts.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
	m.slowUpstreams = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "daisylb_upstream_slow_upstreams",
		Help: "Upstreams that are learned to be slower than usual for their service.",
	})
	m.forwarded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "daisylb_upstream_forwarded_total",
		Help: "Requests to routed services by class and result.",
	}, []string{"class", "result"})
	m.forwardFirstEvent = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "daisylb_upstream_forward_first_event_seconds",
		Help:    "Time from the arrival of a request to a routed service to its first event.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
	}, []string{"class"})
	m.forwardQueued = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "daisylb_upstream_forward_queued_seconds",
		Help:    "Time from the arrival of a request to a routed service to its last slot.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"class"})
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.attempts, m.preemptions, m.retries, m.hedges, m.ejections, m.migrations, m.leftOut, m.slowUpstreams, m.exchangesSkipped, m.refusedEarly, m.overShare, m.firstToken, m.forwarded, m.forwardFirstEvent, m.forwardQueued} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
