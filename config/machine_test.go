package config

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
)

// machine drives instances through changes, exchanges, crashes and outages,
// and keeps what must hold of them.
type machine struct {
	*system
	ctx     context.Context
	size    int
	serials int
	links   [][]bool
	down    bool

	// served is the highest version seen in force at each process.
	served []uint64
	// presets has the preset of every version seen in force anywhere.
	presets map[uint64]string
	// accepted has the id of the change that made each accepted version.
	accepted map[uint64]string
	// common is the highest version that was reported in force at more than
	// half of the instances.
	common uint64
	// settled is common before the present step.
	settled uint64
	// made has the version that each accepted id made.
	made map[string]uint64
	// unknown are requests that the operator may send again.
	unknown []Request
	// old are committed changes that may be pushed again late.
	old []*Change
}

func newMachine(t *testing.T, size int) *machine {
	m := &machine{
		system: started(t, size), ctx: context.Background(), size: size, served: make([]uint64, size),
		presets: map[uint64]string{}, accepted: map[uint64]string{1: "first"}, made: map[string]uint64{}, common: 1, settled: 1, links: make([][]bool, size),
	}
	for i := range m.links {
		m.links[i] = make([]bool, size)
	}
	index := map[string]int{}
	for i := range size {
		index[address(i)] = i
	}
	m.network.setCut(func(from, to string) bool { return m.links[index[from]][index[to]] })
	return m
}

func (m *machine) instance(t *rapid.T) int { return rapid.IntRange(0, m.size-1).Draw(t, "instance") }

func (m *machine) request(t *rapid.T, base uint64) Request {
	m.serials++
	preset := rapid.SampledFrom([]string{"ordinary", "peak", "maintenance"}).Draw(t, "preset")
	return switchTo(fmt.Sprintf("c%d", m.serials), preset, base)
}

// note records the answer to a request.
func (m *machine) note(t *rapid.T, r Request, a Accepted, err error) {
	switch code.Of(err) {
	case 0:
	case code.StoreUnknown:
		m.unknown = append(m.unknown, r)
		return
	case code.VersionConflict, code.StoreUnavailable, code.NoConfiguration, code.InvalidSettings:
		return
	default:
		t.Fatalf("change %s: %v", r.ID, err)
	}
	if id, ok := m.accepted[a.Version]; ok && id != r.ID {
		t.Fatalf("version %d was accepted as %s and as %s", a.Version, id, r.ID)
	}
	if v, ok := m.made[r.ID]; ok && v != a.Version {
		t.Fatalf("change %s made versions %d and %d", r.ID, v, a.Version)
	}
	m.accepted[a.Version], m.made[r.ID] = r.ID, a.Version
	if !a.Repeated {
		m.unknown = append(m.unknown, r)
	}
	m.old = append(m.old, &Change{Version: a.Version, ID: r.ID, Author: r.Author, Edits: r.Edits})
	if a.InForce*2 > a.Instances {
		m.common = max(m.common, a.Version)
	}
}

// submit sends a change made from the present or an older version.
func (m *machine) submit(t *rapid.T) {
	i := m.instance(t)
	base := m.at(i).inForce()
	base -= min(base, rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "behind"))
	r := m.request(t, base)
	a, err := m.at(i).Submit(m.ctx, r)
	m.note(t, r, a, err)
}

// race sends two changes made from one version at the same time.
func (m *machine) race(t *rapid.T) {
	i, j := m.instance(t), m.instance(t)
	base := m.at(i).inForce()
	requests := []Request{m.request(t, base), m.request(t, base)}
	answers, errs := make([]Accepted, 2), make([]error, 2)
	var both sync.WaitGroup
	for n, at := range []int{i, j} {
		both.Go(func() { answers[n], errs[n] = m.at(at).Submit(m.ctx, requests[n]) })
	}
	both.Wait()
	if errs[0] == nil && errs[1] == nil {
		t.Fatalf("both changes from version %d were accepted", base)
	}
	for n := range requests {
		m.note(t, requests[n], answers[n], errs[n])
	}
}

// resend sends a change again at any instance, as made from the same version
// or from the present one.
func (m *machine) resend(t *rapid.T) {
	if len(m.unknown) == 0 {
		t.Skip("nothing to send again")
	}
	r := m.unknown[0]
	m.unknown = m.unknown[1:]
	s := m.at(m.instance(t))
	if rapid.Bool().Draw(t, "rebased") {
		r.BaseVersion = s.inForce()
	}
	a, err := s.Submit(m.ctx, r)
	if code.Of(err) == code.StoreUnavailable || code.Of(err) == code.NoConfiguration {
		m.unknown = append(m.unknown, r)
		return
	}
	m.note(t, r, a, err)
}

func (m *machine) loseAnswers(t *rapid.T) {
	m.platform.Faults().LoseAnswers(rapid.IntRange(0, commitAttempts+1).Draw(t, "answers"))
}

func (m *machine) outage(*rapid.T) {
	m.down = !m.down
	m.platform.Faults().SetDown(m.down)
}

func (m *machine) cutLink(t *rapid.T) {
	i, j := m.instance(t), m.instance(t)
	m.links[i][j] = !m.links[i][j]
}

// restart replaces the process of an instance; it may have to wait for start.
func (m *machine) restart(t *rapid.T) {
	i := m.instance(t)
	m.boot(i)
	m.served[i] = 0
	m.startOne(t, i)
}

func (m *machine) startOne(t *rapid.T, i int) {
	if s := m.at(i); !s.started() {
		_ = s.start(m.ctx)
	}
}

func (m *machine) startLate(t *rapid.T) { m.startOne(t, m.instance(t)) }

func (m *machine) refresh(t *rapid.T) {
	if s := m.at(m.instance(t)); s.started() {
		_ = s.refresh(m.ctx)
	}
}

func (m *machine) pull(t *rapid.T) {
	if s := m.at(m.instance(t)); s.started() {
		_ = s.pull(m.ctx, address(m.instance(t)), 0)
	}
}

// pushLate delivers a change of the past.
func (m *machine) pushLate(t *rapid.T) {
	if len(m.old) == 0 {
		t.Skip("no change")
	}
	c := rapid.SampledFrom(m.old).Draw(t, "change")
	from := m.instance(t)
	m.at(from).distribute(m.ctx, c, address(from), []string{address(m.instance(t)), address(m.instance(t))})
}

// check holds after every step.
func (m *machine) check(t *rapid.T) {
	for i := range m.size {
		d := m.at(i).Current()
		if d == nil {
			continue
		}
		if d.Version < m.served[i] {
			t.Fatalf("instance %d went from version %d to %d", i, m.served[i], d.Version)
		}
		if m.served[i] == 0 && d.Version < m.settled {
			t.Fatalf("instance %d started with version %d after %d was in force at most instances", i, d.Version, m.settled)
		}
		m.served[i] = d.Version
		if p, ok := m.presets[d.Version]; ok && p != d.Preset {
			t.Fatalf("version %d has preset %q and %q", d.Version, p, d.Preset)
		}
		m.presets[d.Version] = d.Preset
	}
	m.settled = m.common
}

// finish ends all faults and compares the history with what was answered.
func (m *machine) finish(t *rapid.T) {
	m.platform.Faults().SetDown(false)
	m.platform.Faults().LoseAnswers(0)
	for i := range m.size {
		m.startOne(t, i)
		if err := m.at(i).refresh(m.ctx); err != nil {
			t.Fatal(err)
		}
	}
	m.check(t)
	last := m.at(0).inForce()
	for i, v := range m.inForce() {
		if v != last {
			t.Fatalf("instance %d has version %d, instance 0 has %d", i, v, last)
		}
	}
	changes, err := m.at(0).readChanges(m.ctx, 1, last)
	if err != nil {
		t.Fatal(err)
	}
	for version, id := range m.accepted {
		if version > last || changes[version-1].ID != id {
			t.Fatalf("accepted change %s of version %d is lost", id, version)
		}
	}
}

func TestConfigurationMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newMachine(t, 5)
		r.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit2": m.submit, "race": m.race, "resend": m.resend,
			"loseAnswers": m.loseAnswers, "outage": m.outage, "cutLink": m.cutLink,
			"restart": m.restart, "startLate": m.startLate,
			"refresh": m.refresh, "pull": m.pull, "pushLate": m.pushLate,
			"": m.check,
		})
		m.finish(r)
	})
}
