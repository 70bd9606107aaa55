package claim

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// metrics are the metrics of a Service.
type metrics struct {
	results        *prometheus.CounterVec
	duration       prometheus.Histogram
	transactions   prometheus.Counter
	entries        prometheus.Histogram
	objects        prometheus.Counter
	objectFailures *prometheus.CounterVec
	forwards       *prometheus.CounterVec
	direct         prometheus.Counter
	settleRetries  prometheus.Counter
	released       prometheus.Counter
	swept          prometheus.Counter
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		results:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_claim_results_total", Help: "Claims by result: a state or a number."}, []string{"result"}),
		duration:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "daisylb_claim_duration_seconds", Help: "Time to claim.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 13)}),
		transactions:   prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_claim_transactions_total", Help: "Transactions sent to the table."}),
		entries:        prometheus.NewHistogram(prometheus.HistogramOpts{Name: "daisylb_claim_transaction_rows", Help: "Rows of one transaction.", Buckets: prometheus.ExponentialBuckets(1, 2, 9)}),
		objects:        prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_claim_objects_total", Help: "Objects of answers put."}),
		objectFailures: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_claim_object_failures_total", Help: "Objects of answers not put, by number."}, []string{"result"}),
		forwards:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisylb_claim_forwards_total", Help: "Rows forwarded to the owner of their group."}, []string{"result"}),
		direct:         prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_claim_direct_total", Help: "Rows committed in place of an owner that did not."}),
		settleRetries:  prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_claim_settle_retries_total", Help: "Tries to store a result after the first."}),
		released:       prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_claim_ungranted_released_total", Help: "Claims removed that had landed after their caller was refused."}),
		swept:          prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_claim_swept_rows_total", Help: "Old claims removed."}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.results, m.duration, m.transactions, m.entries, m.objects, m.objectFailures, m.forwards, m.direct, m.settleRetries, m.released, m.swept} {
		if err := r.Register(c); err != nil {
			return nil, code.Wrap(code.InvalidSettings, err, "metrics of claims cannot be registered")
		}
	}
	return m, nil
}

// observeClaim records the result and the duration of one Claim.
func (m *metrics) observeClaim(state State, err error, took time.Duration) {
	label := state.String()
	if err != nil {
		label = numberLabel(code.Of(err))
	}
	m.results.WithLabelValues(label).Inc()
	m.duration.Observe(took.Seconds())
}

// numberLabel returns the label value of an error number.
func numberLabel(n code.Number) string { return strconv.Itoa(int(n)) }

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Granted:
		return "granted"
	case Finished:
		return "finished"
	case Pending:
		return "pending"
	}
	return "lost"
}
