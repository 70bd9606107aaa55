package config

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
)

// machine is a random test of a system. It runs changes, calls between peers,
// crashes and outages, and checks invariants after each step.
type machine struct {
	*system
	ctx         context.Context
	size        int
	requests    int
	partitioned [][]bool
	storeDown   bool

	// served is the highest version observed in force at each instance since
	// its last restart.
	served []uint64
	// presets has the preset of every version that was observed in force.
	presets map[uint64]string
	// accepted has the change id of each accepted version.
	accepted map[uint64]string
	// majorityVersion is the highest version that was reported in force at more
	// than half of the instances.
	majorityVersion uint64
	// previousMajority is majorityVersion before the current step.
	previousMajority uint64
	// versionByID has the version that each accepted change made, by change id.
	versionByID map[string]uint64
	// resendable are requests that the operator may send again.
	resendable []Request
	// committed are changes that may be pushed again later.
	committed []*Change
}

func newMachine(t *testing.T, size int) *machine {
	m := &machine{
		system: startSystem(t, size), ctx: context.Background(), size: size, served: make([]uint64, size),
		presets: map[uint64]string{}, accepted: map[uint64]string{1: "first"}, versionByID: map[string]uint64{}, majorityVersion: 1, previousMajority: 1, partitioned: make([][]bool, size),
	}
	for i := range m.partitioned {
		m.partitioned[i] = make([]bool, size)
	}
	index := map[string]int{}
	for i := range size {
		index[address(i)] = i
	}
	m.network.setPartitioned(func(from, to string) bool { return m.partitioned[index[from]][index[to]] })
	return m
}

func (m *machine) randomInstance(t *rapid.T) int {
	return rapid.IntRange(0, m.size-1).Draw(t, "instance")
}

func (m *machine) request(t *rapid.T, base uint64) Request {
	m.requests++
	preset := rapid.SampledFrom([]string{"ordinary", "peak", "maintenance"}).Draw(t, "preset")
	return switchRequest(fmt.Sprintf("c%d", m.requests), preset, base)
}

// record records the result of a request and checks that it agrees with the
// earlier ones.
func (m *machine) record(t *rapid.T, r Request, a Accepted, err error) {
	switch code.Of(err) {
	case 0:
	case code.StoreUnknown:
		m.resendable = append(m.resendable, r)
		return
	case code.VersionConflict, code.StoreUnavailable, code.NoConfiguration, code.InvalidSettings:
		return
	default:
		t.Fatalf("change %s: %v", r.ID, err)
	}
	if id, ok := m.accepted[a.Version]; ok && id != r.ID {
		t.Fatalf("version %d was accepted as %s and as %s", a.Version, id, r.ID)
	}
	if v, ok := m.versionByID[r.ID]; ok && v != a.Version {
		t.Fatalf("change %s made versions %d and %d", r.ID, v, a.Version)
	}
	m.accepted[a.Version], m.versionByID[r.ID] = r.ID, a.Version
	if !a.Repeated {
		m.resendable = append(m.resendable, r)
	}
	m.committed = append(m.committed, &Change{Version: a.Version, ID: r.ID, Author: r.Author, Edits: r.Edits})
	if a.InForce*2 > a.Instances {
		m.majorityVersion = max(m.majorityVersion, a.Version)
	}
}

// submit sends a change that was made from the current or the previous version.
func (m *machine) submit(t *rapid.T) {
	i := m.randomInstance(t)
	base := m.store(i).inForce()
	base -= min(base, rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "behind"))
	r := m.request(t, base)
	a, err := m.store(i).Submit(m.ctx, r)
	m.record(t, r, a, err)
}

// race sends two changes that were made from the same version at the same time.
func (m *machine) race(t *rapid.T) {
	i, j := m.randomInstance(t), m.randomInstance(t)
	base := m.store(i).inForce()
	requests := []Request{m.request(t, base), m.request(t, base)}
	results, errs := make([]Accepted, 2), make([]error, 2)
	var both sync.WaitGroup
	for n, index := range []int{i, j} {
		both.Go(func() { results[n], errs[n] = m.store(index).Submit(m.ctx, requests[n]) })
	}
	both.Wait()
	if errs[0] == nil && errs[1] == nil {
		t.Fatalf("both changes from version %d were accepted", base)
	}
	for n := range requests {
		m.record(t, requests[n], results[n], errs[n])
	}
}

// resend sends an earlier request again to any instance, with the same base
// version or the current one.
func (m *machine) resend(t *rapid.T) {
	if len(m.resendable) == 0 {
		t.Skip("nothing to send again")
	}
	r := m.resendable[0]
	m.resendable = m.resendable[1:]
	s := m.store(m.randomInstance(t))
	if rapid.Bool().Draw(t, "rebased") {
		r.BaseVersion = s.inForce()
	}
	a, err := s.Submit(m.ctx, r)
	if code.Of(err) == code.StoreUnavailable || code.Of(err) == code.NoConfiguration {
		m.resendable = append(m.resendable, r)
		return
	}
	m.record(t, r, a, err)
}

// loseAnswers loses the responses of the next transactions of the table.
func (m *machine) loseAnswers(t *rapid.T) {
	m.platform.Faults().LoseResponses(rapid.IntRange(0, commitAttempts+1).Draw(t, "answers"))
}

// outage starts or ends an outage of the store.
func (m *machine) outage(*rapid.T) {
	m.storeDown = !m.storeDown
	m.platform.Faults().SetDown(m.storeDown)
}

// cutLink partitions or reconnects one direction between two instances.
func (m *machine) cutLink(t *rapid.T) {
	i, j := m.randomInstance(t), m.randomInstance(t)
	m.partitioned[i][j] = !m.partitioned[i][j]
}

// restart replaces an instance by a new one, which may fail to start until a
// later step.
func (m *machine) restart(t *rapid.T) {
	i := m.randomInstance(t)
	m.boot(i)
	m.served[i] = 0
	m.startOne(t, i)
}

// startOne makes one attempt to start instance i unless it has started.
func (m *machine) startOne(t *rapid.T, i int) {
	if s := m.store(i); !s.started() {
		_ = s.start(m.ctx)
	}
}

// startLate makes an attempt to start an instance that may have failed to start
// before.
func (m *machine) startLate(t *rapid.T) { m.startOne(t, m.randomInstance(t)) }

func (m *machine) refresh(t *rapid.T) {
	if s := m.store(m.randomInstance(t)); s.started() {
		_ = s.refresh(m.ctx)
	}
}

func (m *machine) pull(t *rapid.T) {
	if s := m.store(m.randomInstance(t)); s.started() {
		_ = s.pull(m.ctx, address(m.randomInstance(t)), 0)
	}
}

// pushLate pushes an earlier change to two instances.
func (m *machine) pushLate(t *rapid.T) {
	if len(m.committed) == 0 {
		t.Skip("no change")
	}
	c := rapid.SampledFrom(m.committed).Draw(t, "change")
	from := m.randomInstance(t)
	m.store(from).distribute(m.ctx, c, address(from), []string{address(m.randomInstance(t)), address(m.randomInstance(t))})
}

// check checks after every step that no instance went to a lower version, that
// no restarted instance serves a version below one that was in force at more
// than half of the instances, and that each version has the same preset
// everywhere.
func (m *machine) check(t *rapid.T) {
	for i := range m.size {
		d := m.store(i).Current()
		if d == nil {
			continue
		}
		if d.Version < m.served[i] {
			t.Fatalf("instance %d went from version %d to %d", i, m.served[i], d.Version)
		}
		if m.served[i] == 0 && d.Version < m.previousMajority {
			t.Fatalf("instance %d started with version %d after %d was in force at more than half of the instances", i, d.Version, m.previousMajority)
		}
		m.served[i] = d.Version
		if p, ok := m.presets[d.Version]; ok && p != d.Preset {
			t.Fatalf("version %d has preset %q and %q", d.Version, p, d.Preset)
		}
		m.presets[d.Version] = d.Preset
	}
	m.previousMajority = m.majorityVersion
}

// finish ends all faults and checks that all instances agree and that every
// accepted change is in the table.
func (m *machine) finish(t *rapid.T) {
	m.platform.Faults().SetDown(false)
	m.platform.Faults().LoseResponses(0)
	for i := range m.size {
		m.startOne(t, i)
		if err := m.store(i).refresh(m.ctx); err != nil {
			t.Fatal(err)
		}
	}
	m.check(t)
	last := m.store(0).inForce()
	for i, v := range m.inForce() {
		if v != last {
			t.Fatalf("instance %d has version %d, instance 0 has %d", i, v, last)
		}
	}
	changes, err := m.store(0).readChanges(m.ctx, 1, last)
	if err != nil {
		t.Fatal(err)
	}
	for version, id := range m.accepted {
		if version > last || changes[version-1].ID != id {
			t.Fatalf("accepted change %s of version %d is lost", id, version)
		}
	}
}

// TestConfigurationMachine runs random sequences of the steps of machine.
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
