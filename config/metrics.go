package config

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
)

// source is where a version was received from; its values are label values.
type source string

const (
	sourceTable source = "table"
	sourcePush  source = "push"
	sourcePull  source = "pull"
)

type metrics struct {
	submits *prometheus.CounterVec
	applied *prometheus.CounterVec
	pushes  *prometheus.CounterVec
	reads   prometheus.Counter
	writes  prometheus.Counter
}

func newMetrics(s *Store, r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "daisylb", Subsystem: "config", Name: name, Help: help}
	}
	m := &metrics{
		submits: prometheus.NewCounterVec(counter("changes_total", "Requests for a change by result number, 0 for accepted."), []string{"result"}),
		applied: prometheus.NewCounterVec(counter("applied_total", "Versions put in force by source."), []string{"source"}),
		pushes:  prometheus.NewCounterVec(counter("pushes_total", "Pushes to peers by result."), []string{"result"}),
		reads:   prometheus.NewCounter(counter("store_reads_total", "Reads of the platform's store.")),
		writes:  prometheus.NewCounter(counter("store_writes_total", "Transactions of the platform's table.")),
	}
	if r == nil {
		return m
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "daisylb", Subsystem: "config", Name: name, Help: help}, value)
	}
	r.MustRegister(m.submits, m.applied, m.pushes, m.reads, m.writes,
		gauge("version_number", "Version in force, 0 for none.", func() float64 { return float64(s.inForce()) }),
		gauge("confirmed_age_seconds", "Time since the last contact with the table or a peer.", func() float64 { return s.confirmedAge().Seconds() }))
	return m
}

func (m *metrics) countSubmit(err error) {
	m.submits.WithLabelValues(strconv.Itoa(int(code.Of(err)))).Inc()
}

func (m *metrics) countPush(err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.pushes.WithLabelValues(result).Inc()
}

// State is the part of the state dump about the configuration.
type State struct {
	// Started is set once a configuration, or the absence of one, has been
	// read.
	Started    bool      `json:"started"`
	Version    uint64    `json:"version"`
	Preset     string    `json:"preset,omitempty"`
	ChangeID   string    `json:"change_id,omitempty"`
	Author     string    `json:"author,omitempty"`
	AcceptedAt time.Time `json:"accepted,omitzero"`
	// ConfirmedMillis is the time since the last contact with the table or a
	// peer.
	ConfirmedMillis int64 `json:"confirmed_ms"`
	// NotReady is the reason why no new work may be served, or empty.
	NotReady string `json:"not_ready,omitempty"`
	// RecentChanges is the number of changes in memory, which peers can pull.
	RecentChanges int `json:"recent_changes"`
	// Peers are the addresses to which a change would be pushed.
	Peers []string `json:"peers"`
}

// State returns the current state.
func (s *Store) State() State {
	state := State{ConfirmedMillis: s.confirmedAge().Milliseconds(), Peers: s.options.Peers.Addresses()}
	if err := s.Ready(); err != nil {
		state.NotReady = err.Error()
	}
	v := s.version.Load()
	if v == nil {
		return state
	}
	state.Started = true
	state.Version = v.document.Version
	state.Preset = v.document.Preset
	state.RecentChanges = len(v.recent)
	if n := len(v.recent); n > 0 {
		last := v.recent[n-1]
		state.ChangeID, state.Author, state.AcceptedAt = last.ID, last.Author, last.Time
	}
	return state
}
