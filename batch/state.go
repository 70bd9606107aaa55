package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// runnerMetrics are the metrics of a Runner.
type runnerMetrics struct {
	leases         prometheus.Gauge
	leasesLost     prometheus.Counter
	commitFailures prometheus.Counter
	commits        prometheus.Counter
	completed      prometheus.Counter
	failed         prometheus.Counter
}

func newRunnerMetrics(reg prometheus.Registerer) (*runnerMetrics, error) {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "daisylb_batch_items_total", Help: "Items that ended on this instance, before their commit.",
	}, []string{"result"})
	m := &runnerMetrics{
		leases:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "daisylb_batch_leases", Help: "Segments that are leased."}),
		leasesLost:     prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_batch_leases_ended_early_total", Help: "Leases that were lost, lapsed or cancelled."}),
		commitFailures: prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_batch_commits_failed_total", Help: "Tries of a commit or renewal that failed for reasons of the store."}),
		commits:        prometheus.NewCounter(prometheus.CounterOpts{Name: "daisylb_batch_commits_total", Help: "Commits of results."}),
		completed:      ended.WithLabelValues("completed"),
		failed:         ended.WithLabelValues("failed"),
	}
	return m, register(reg, m.leases, m.leasesLost, m.commitFailures, m.commits, ended)
}

// countItem counts an item that ended.
func (m *runnerMetrics) countItem(failed bool) {
	if failed {
		m.failed.Inc()
		return
	}
	m.completed.Inc()
}

// RunnerState is the state of a Runner for the state dump. Stragglers counts
// the items in the straggler lane, FreeSlots the segments that may be leased in
// addition.
type RunnerState struct {
	Holder     string       `json:"holder"`
	Leases     []LeaseState `json:"leases"`
	Stragglers int          `json:"stragglers"`
	FreeSlots  int          `json:"free_slots"`
}

// LeaseState is the state of one leased segment for the state dump.
type LeaseState struct {
	Job      string    `json:"job"`
	Segment  int       `json:"segment"`
	Items    int       `json:"items"`
	Until    time.Time `json:"until"`
	Progress bool      `json:"progress"`
}

// State returns the leases and the number of free slots.
func (r *Runner) State() RunnerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RunnerState{
		Holder:     r.holder,
		Leases:     make([]LeaseState, 0, len(r.leases)),
		Stragglers: len(r.stragglerLane),
		FreeSlots:  cap(r.slots) - len(r.slots),
	}
	for l := range r.leases {
		s.Leases = append(s.Leases, LeaseState{
			Job:      l.job.row.ID,
			Segment:  l.number,
			Items:    int(l.entry.Items),
			Until:    *l.validUntil.Load(),
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
	// Uploads is the number of submissions being read.
	Uploads    int `json:"uploads"`
	MaxUploads int `json:"max_uploads"`
}

// State returns the number of submissions being read and its limit.
func (s *Service) State() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceState{Uploads: s.uploadCount, MaxUploads: s.opts.MaxUploads}
}
