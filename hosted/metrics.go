package hosted

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/feed"
)

// registerMetrics registers gauges of this instance's view of the document, the
// workers and the fleet, and of the age of that view. dropped counts the log lines
// that were dropped; it may be nil.
func (i *Instance) registerMetrics(dropped func() uint64) {
	gauge := func(name, help string, value func() float64) {
		i.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "daisylb_instance_" + name, Help: help}, value))
	}
	gauge("document_version", "Version of the operator's document in force; 0 before there is one.", func() float64 {
		if d := i.document.Current(); d != nil {
			return float64(d.Version)
		}
		return 0
	})
	gauge("document_age_seconds", "Time since the store last confirmed the document; -1 before it did.", ageOf(i.documentFeed))
	gauge("workers_age_seconds", "Time since the store last confirmed the workers' entries; -1 before it did.", ageOf(i.workerFeed))
	gauge("workers_used", "Upstreams that this instance uses.", func() float64 {
		if d := i.workers.Current(); d != nil {
			return float64(len(d.Upstreams))
		}
		return 0
	})
	gauge("instances_alive", "Instances that count as alive, this one included.", func() float64 {
		return float64(len(i.roster.View().Alive))
	})
	gauge("peers", "Instances that are told of this one's load.", func() float64 { return float64(i.peerCount()) })
	gauge("jobs_owned", "Jobs whose items this instance runs.", func() float64 { return float64(i.jobs.Owned()) })
	gauge("jobs_waiting", "Jobs that no instance runs, as far as this one knows.", func() float64 { return float64(i.jobs.Waiting()) })
	gauge("job_held_bytes", "Estimated memory for the items of the jobs that this instance runs.", func() float64 { return float64(i.jobs.HeldBytes()) })
	gauge("job_kept_bytes", "Estimated memory for what is known of all jobs that the store keeps.", func() float64 { return float64(i.jobs.KeptBytes()) })
	gauge("prompt_parts_quarantined", "Parts of prompts that are kept from upstreams because they crash them.", func() float64 {
		return float64(i.quarantine.Len())
	})
	gauge("requests_in_flight", "Calls to upstreams that have not ended, waiting ones included.", func() float64 {
		return float64(i.dispatcher.InFlight())
	})
	if dropped != nil {
		i.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "daisylb_log_lines_dropped_total", Help: "Log lines that did not fit into the buffer.",
		}, func() float64 { return float64(dropped()) }))
	}
}

// peerCount returns the number of instances that this one sends load digests to.
func (i *Instance) peerCount() int {
	n := 0
	for _, group := range *i.peerGroups.Load() {
		n += len(group.Addresses)
	}
	return n
}

// ageOf returns a function that returns the seconds since the store last confirmed
// the feed f, or -1 before it did.
func ageOf(f *feed.Follower) func() float64 {
	return func() float64 {
		age, ok := f.Age()
		if !ok {
			return -1
		}
		return age.Seconds()
	}
}

// registerBudgetMetrics registers what is held for the callers of a port.
func (i *Instance) registerBudgetMetrics(port string, b *budget.Budget) {
	labels := prometheus.Labels{"port": port}
	gauge := func(name, help string, value func() int64) {
		i.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "daisylb_budget_" + name, Help: help, ConstLabels: labels},
			func() float64 { return float64(value()) }))
	}
	counter := func(name, help string, value func() int64) {
		i.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "daisylb_budget_" + name, Help: help, ConstLabels: labels},
			func() float64 { return float64(value()) }))
	}
	gauge("held_bytes", "Estimated memory that is held for callers.", b.Used)
	gauge("limit_bytes", "Largest estimated memory that may be held for callers.", func() int64 { return b.Limits().Bytes })
	gauge("connections", "Open connections of callers.", func() int64 { return int64(b.Connections()) })
	gauge("limit_connections", "Largest number of callers' connections; 0 if there is no limit.", func() int64 { return int64(b.Limits().Connections) })
	counter("refused_total", "Charges of requests and answers that were refused.", b.Refused)
	counter("given_up_total", "Slow or idle callers whose connections were ended.", b.GivenUp)
}
