package instance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// MembershipState is the membership's part of the state dump.
type MembershipState struct {
	Self Member `json:"self"`
	// Members are all known members except this instance, including dead ones.
	Members []MemberState `json:"members"`
	// Candidates are listed instances that are not among Members.
	Candidates []Identity `json:"candidates,omitempty"`
	// Neighbours are the ids of the members that this instance probes in turn.
	Neighbours []string `json:"neighbours"`
	// Slowness is the score by which this instance widens its timeouts; 0 means
	// that it is not slow itself.
	Slowness int `json:"slowness"`
	// ListReadAt is when the platform's list was last read successfully;
	// ListFailures counts the failed reads since then.
	ListReadAt   time.Time `json:"list_read"`
	ListFailures int       `json:"list_failures"`
	Counts       Counts    `json:"counts"`
}

// MemberState is one member in the state dump.
type MemberState struct {
	Member
	// ChangedAt is when the health last changed.
	ChangedAt time.Time `json:"changed"`
	// Listed is set when the platform's last list names the member.
	Listed bool `json:"listed"`
}

// State returns the membership's state for the state dump.
func (m *Membership) State() MembershipState {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := MembershipState{
		Self:         m.table.self.member,
		Slowness:     m.table.slowness,
		ListReadAt:   m.listReadAt,
		ListFailures: m.listFailures,
		Counts:       m.table.counts,
	}
	for _, r := range m.table.order {
		s.Members = append(s.Members, MemberState{r.member, r.changedAt, r.listed})
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

// registerMetrics adds the gauges of members by health and the counter of
// pauses.
func (m *Membership) registerMetrics(r prometheus.Registerer) error {
	if r == nil {
		return nil
	}
	gauge := func(h Health) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "daisylb_instance_members_count",
			Help:        "Members of the view by health, the own instance included.",
			ConstLabels: prometheus.Labels{"health": h.String()},
		}, func() float64 { return float64(m.countHealth(h)) })
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

func (m *Membership) countHealth(h Health) int {
	n := 0
	for _, member := range m.View().Live() {
		if member.Health == h {
			n++
		}
	}
	return n
}
