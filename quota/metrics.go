package quota

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the metrics of a Limiter.
type metrics struct {
	admitted    prometheus.Counter
	refused     prometheus.Counter
	unavailable prometheus.Counter
	granted     prometheus.Counter
	denied      prometheus.Counter
	expired     prometheus.Counter
	unanswered  prometheus.Counter
	unsent      prometheus.Counter
	answerTime  prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	requests := f.NewCounterVec(prometheus.CounterOpts{
		Name: "daisylb_quota_requests_total",
		Help: "Requests of accounts with a quota, by outcome.",
	}, []string{"outcome"})
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	return &metrics{
		admitted:    requests.WithLabelValues("admitted"),
		refused:     requests.WithLabelValues("refused"),
		unavailable: requests.WithLabelValues("unavailable"),
		granted:     counter("daisylb_quota_granted_tokens_total", "Tokens that this instance has granted as an owner."),
		denied:      counter("daisylb_quota_denials_total", "Requests for tokens that this instance has denied as an owner."),
		expired:     counter("daisylb_quota_expired_tokens_total", "Tokens that this instance held and did not use."),
		unanswered:  counter("daisylb_quota_unanswered_total", "Requests for tokens that were not answered in time."),
		unsent:      counter("daisylb_quota_unsent_total", "Messages that were dropped since too many waited to be sent."),
		answerTime: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "daisylb_quota_answer_seconds",
			Help:    "Time from a request for tokens to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 10),
		}),
	}
}
