package instance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// MembershipState is the part of the state dump about the membership.
type MembershipState struct {
	Self Member `json:"self"`
	// Members are all known ones but the own, dead ones included.
	Members []MemberState `json:"members"`
	// Candidates are listed instances that were never heard of.
	Candidates []Identity `json:"candidates,omitempty"`
	// Neighbours are the ids that this instance probes in turn.
	Neighbours []string `json:"neighbours"`
	// Slowness is 0 for an instance in time; its timeouts grow with it.
	Slowness int `json:"slowness"`
	// ListRead is when the platform's list was last read; ListFailures counts
	// the failed reads since.
	ListRead     time.Time `json:"list_read"`
	ListFailures int       `json:"list_failures"`
	Counts       Counts    `json:"counts"`
}

// MemberState is one member in the state dump.
type MemberState struct {
	Member
	// Changed is when the health last changed.
	Changed time.Time `json:"changed"`
	Listed  bool      `json:"listed"`
}

// State returns what the membership holds.
func (m *Membership) State() MembershipState {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := MembershipState{
		Self:         m.table.self.member,
		Slowness:     m.table.slowness,
		ListRead:     m.listRead,
		ListFailures: m.listFails,
		Counts:       m.table.counts,
	}
	for _, r := range m.table.order {
		s.Members = append(s.Members, MemberState{r.member, r.changed, r.listed})
	}
	for _, c := range m.table.candidates {
		s.Candidates = append(s.Candidates, c)
	}
	for _, h := range m.table.ring.neighbours {
		if r, ok := m.table.records[h]; ok {
			s.Neighbours = append(s.Neighbours, r.member.ID)
		}
	}
	return s
}

// register adds the gauges of the membership.
func (m *Membership) register(r prometheus.Registerer) error {
	if r == nil {
		return nil
	}
	gauge := func(h Health) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "daisylb_instance_members_count",
			Help:        "Members of the view by health, the own instance included.",
			ConstLabels: prometheus.Labels{"health": h.String()},
		}, func() float64 { return float64(m.healthy(h)) })
	}
	pauses := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "daisylb_instance_pauses_total",
		Help: "Own pauses that were noticed.",
	}, func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(m.table.counts.Pauses)
	})
	for _, c := range []prometheus.Collector{gauge(Alive), gauge(Suspect), pauses} {
		if err := r.Register(c); err != nil {
			return code.Wrap(code.InvalidSettings, err, "metrics of the membership")
		}
	}
	return nil
}

func (m *Membership) healthy(h Health) int {
	n := 0
	for _, member := range m.View().Live() {
		if member.Health == h {
			n++
		}
	}
	return n
}
