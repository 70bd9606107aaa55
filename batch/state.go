package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// runnerMetrics are the metrics of a Runner.
type runnerMetrics struct {
	leases  prometheus.Gauge
	lost    prometheus.Counter
	held    prometheus.Counter
	commits prometheus.Counter
	done    prometheus.Counter
	failed  prometheus.Counter
}

func newRunnerMetrics(reg prometheus.Registerer) (*runnerMetrics, error) {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "daisylb_batch_items_total", Help: "Items that ended on this instance, before their commit.",
	}, []string{"result"})
	m := &runnerMetrics{
		leases:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "daisylb_batch_leases", Help: "Segments that are leased."}),
		lost:    prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_batch_leases_ended_early_total", Help: "Leases that were lost, lapsed or cancelled."}),
		held:    prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_batch_commits_failed_total", Help: "Tries of a commit or renewal that failed for reasons of the store."}),
		commits: prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_batch_commits_total", Help: "Commits of results."}),
		done:    ended.WithLabelValues("completed"),
		failed:  ended.WithLabelValues("failed"),
	}
	return m, register(reg, m.leases, m.lost, m.held, m.commits, ended)
}

func (m *runnerMetrics) items(failed bool) {
	if failed {
		m.failed.Inc()
		return
	}
	m.done.Inc()
}

// RunnerState is the state of a Runner for the state dump.
type RunnerState struct {
	Holder     string       `json:"holder"`
	Leases     []LeaseState `json:"leases"`
	Stragglers int          `json:"stragglers"`
	FreeSlots  int          `json:"free_slots"`
}

// LeaseState is one leased segment.
type LeaseState struct {
	Job      string    `json:"job"`
	Segment  int       `json:"segment"`
	Items    int       `json:"items"`
	Until    time.Time `json:"until"`
	Progress bool      `json:"progress"`
}

// State returns the leases and free places at present.
func (r *Runner) State() RunnerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RunnerState{
		Holder:     r.holder,
		Leases:     make([]LeaseState, 0, len(r.leases)),
		Stragglers: len(r.stragglers),
		FreeSlots:  cap(r.slots) - len(r.slots),
	}
	for l := range r.leases {
		s.Leases = append(s.Leases, LeaseState{
			Job:      l.job.row.ID,
			Segment:  l.number,
			Items:    int(l.entry.Items),
			Until:    *l.until.Load(),
			Progress: l.progress.Load(),
		})
	}
	slices.SortFunc(s.Leases, func(a, b LeaseState) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Segment, b.Segment))
	})
	return s
}

// ServiceState is the state of a Service for the state dump.
type ServiceState struct {
	// Uploads are the submissions that are being read.
	Uploads    int `json:"uploads"`
	MaxUploads int `json:"max_uploads"`
}

// State returns the submissions under way.
func (s *Service) State() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceState{Uploads: s.reading, MaxUploads: s.opts.MaxUploads}
}
