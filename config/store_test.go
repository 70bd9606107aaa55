package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/settings"
	"github.com/daisylb/daisylb/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestOneOfTwoRacingOperatorsWins submits two changes made from the same version
// at the same time. One must be accepted, and the error of the other must name
// it.
func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	for round := range 50 {
		sys := startSystem(t, 2)
		presets := []string{"peak", "maintenance"}
		var accepted [2]Accepted
		var errs [2]error
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				accepted[i], errs[i] = sys.store(i).Submit(t.Context(), switchRequest(presets[i], presets[i], 1))
			})
		}
		both.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		var conflict *Conflict
		if errs[winner] != nil || !errors.As(errs[1-winner], &conflict) {
			t.Fatalf("round %d: got errors %v and %v, want one conflict", round, errs[0], errs[1])
		}
		want := Winner{Version: 2, ChangeID: presets[winner], Author: "author-of-" + presets[winner], Time: conflict.Winner.Time}
		if code.Of(errs[1-winner]) != code.VersionConflict || conflict.Winner != want {
			t.Fatalf("round %d: the conflict names %+v, want %+v", round, conflict.Winner, want)
		}
		sys.expectVersion(t, 2)
		for i := range 2 {
			if got := sys.store(i).Current().Preset; got != presets[winner] {
				t.Fatalf("round %d: instance %d has preset %q, want %q", round, i, got, presets[winner])
			}
		}
	}
}

// TestLostAnswerOfHeadTransaction loses the responses of one or all attempts to
// commit a change: it must be committed once, and be found when the request is
// sent again.
func TestLostAnswerOfHeadTransaction(t *testing.T) {
	for name, lost := range map[string]int{"retried within the request": 1, "found committed when sent again": commitAttempts} {
		t.Run(name, func(t *testing.T) {
			sys := startSystem(t, 3)
			r := switchRequest("lost", "peak", 1)
			sys.platform.Faults().LoseResponses(lost)
			a, err := sys.store(0).Submit(t.Context(), r)
			if sys.platform.Faults().Counts().Injected == 0 {
				t.Fatal("no response was lost")
			}
			if lost == commitAttempts {
				if code.Of(err) != code.StoreUnknown {
					t.Fatalf("got %v, want StoreUnknown", err)
				}
				a, err = sys.store(2).Submit(t.Context(), r)
				if !a.Repeated {
					t.Error("the request that was sent again is not reported as repeated")
				}
			}
			if err != nil || a.Version != 2 || a.InForce != 3 {
				t.Fatalf("got %+v, %v", a, err)
			}
			sys.expectVersion(t, 2)
			r.Edits.Preset = "maintenance"
			if _, err := sys.store(1).Submit(t.Context(), r); code.Of(err) != code.ChangeIDConflict {
				t.Errorf("reuse of the id with other edits: got %v, want ChangeIDConflict", err)
			}
		})
	}
}

// TestPeersAloneBringAcceptedChangeEverywhere pushes a change to some of the
// instances before the store goes down. The others must pull it from a peer.
func TestPeersAloneBringAcceptedChangeEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 10
		sys := startSystem(t, instances)
		sys.network.setPartitioned(func(from, to string) bool { return from == address(0) && to > address(3) })
		a := sys.switchPreset(t, 0, "peaks", "peak")
		sys.platform.Faults().SetDown(true)
		if a.InForce != 4 || len(a.Missing) != 6 {
			t.Fatalf("got %+v, want 4 in force and 6 missing", a)
		}
		var runs sync.WaitGroup
		for i := range instances {
			runs.Go(func() { _ = sys.store(i).Run(t.Context()) })
		}
		// Gossip of instance 1 reaches the instances without the change.
		for i := 4; i < instances; i++ {
			sys.store(i).Observe(2, address(1))
			if _, err := sys.store(i).Watch(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
		}
		sys.expectVersion(t, 2)
	})
}

// TestChangeOfLostInstanceComesIntoForceByPolling commits a change on an
// isolated instance that then crashes without having pushed it. The others must
// read it from the table.
func TestChangeOfLostInstanceComesIntoForceByPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, bound = 10, 18 * time.Second
		sys := startSystem(t, instances)
		var runs sync.WaitGroup
		for i := 1; i < instances; i++ {
			runs.Go(func() { _ = sys.store(i).Run(t.Context()) })
		}
		synctest.Wait()
		sys.network.setPartitioned(func(from, _ string) bool { return from == address(0) })
		if a := sys.switchPreset(t, 0, "peaks", "peak"); a.InForce != 1 {
			t.Fatalf("pushed from an isolated instance: %+v", a)
		}
		sys.crash(0)
		startedAt := time.Now()
		for i := 1; i < instances; i++ {
			if _, err := sys.store(i).Watch(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(startedAt); took > bound {
			t.Errorf("in force everywhere after %s, want at most %s", took, bound)
		}
	})
}

func TestChangeSentTwiceAtOnceIsMadeOnce(t *testing.T) {
	for range 20 {
		sys := startSystem(t, 2)
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				if a, err := sys.store(i).Submit(t.Context(), switchRequest("twice", "peak", 1)); err != nil || a.Version != 2 {
					t.Errorf("got %+v, %v", a, err)
				}
			})
		}
		both.Wait()
		sys.expectVersion(t, 2)
	}
}

// headTable calls before and after around its first read of the head row.
type headTable struct {
	storage.Table
	before, after func()
}

func (h *headTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if key != headKey {
		return h.Table.Get(ctx, key)
	}
	before, after := h.before, h.after
	h.before, h.after = nil, nil
	if before != nil {
		before()
	}
	row, err := h.Table.Get(ctx, key)
	if after != nil {
		after()
	}
	return row, err
}

// TestResendFindsChangeAcceptedAfterIDLookup sends a request twice and has the
// first one accepted between two reads of the second. The second must report
// the change as repeated and not as a conflict.
func TestResendFindsChangeAcceptedAfterIDLookup(t *testing.T) {
	for name, after := range map[string]bool{"before the head is read": false, "by a push after the head was read": true} {
		t.Run(name, func(t *testing.T) {
			sys := startSystem(t, 2)
			r := switchRequest("twice", "peak", 1)
			submitFirst := func() {
				if a, err := sys.store(0).Submit(t.Context(), r); err != nil || a.Repeated {
					t.Errorf("the first request: %+v, %v", a, err)
				}
			}
			table := &headTable{Table: sys.platform}
			if table.before = submitFirst; after {
				table.before, table.after = nil, submitFirst
			}
			sys.store(1).options.Table = table
			if a, err := sys.store(1).Submit(t.Context(), r); err != nil || a.Version != 2 || !a.Repeated {
				t.Errorf("the second request: %+v, %v", a, err)
			}
			sys.expectVersion(t, 2)
		})
	}
}

// TestFewerMessagesThanInstancesLeaveTheAcceptingOne checks that the accepting
// instance sends at most fanOut pushes, and one more for a relay that fails. It
// runs in virtual time, so that no push is late because the machine is busy.
func TestFewerMessagesThanInstancesLeaveTheAcceptingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 200
		sys := startSystem(t, instances)
		sent := 0
		sys.network.setPartitioned(func(from, to string) bool {
			if from == address(0) {
				sent++
			}
			return to == address(7) // An unreachable relay.
		})
		a := sys.switchPreset(t, 0, "peaks", "peak")
		if a.InForce != instances-1 || len(a.Missing) != 1 || a.Missing[0] != address(7) {
			t.Errorf("in force at %d of %d, missing %v", a.InForce, a.Instances, a.Missing)
		}
		if sent > fanOut+1 {
			t.Errorf("the accepting instance sent %d pushes, at most %d are allowed", sent, fanOut+1)
		}
	})
}

// TestFrozenRelaysKeepTheChangeFromNobody freezes instances that relay a push.
// Every other instance must still get the change.
func TestFrozenRelaysKeepTheChangeFromNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 300
		sys := startSystem(t, instances)
		// The first two relays of group 0, the first relay of group 5 and an
		// instance of group 6 that is not a relay are frozen.
		sys.network.frozen = map[string]bool{address(1): true, address(1 + fanOut): true, address(6): true, address(7 + 3*fanOut): true}
		a := sys.switchPreset(t, 0, "peaks", "peak")
		if a.InForce != instances-4 || len(a.Missing) != 4 {
			t.Errorf("in force at %d of %d, missing %v", a.InForce, a.Instances, a.Missing)
		}
		for i := range instances {
			if address := address(i); !sys.network.frozen[address] && sys.store(i).inForce() != 2 {
				t.Errorf("instance %d has version %d", i, sys.store(i).inForce())
			}
		}
	})
}

func TestReceiverWithGapCatchesUp(t *testing.T) {
	for name, storeDown := range map[string]bool{"from the sender": true, "from the table": false} {
		t.Run(name, func(t *testing.T) {
			sys := startSystem(t, 2)
			sys.network.setPartitioned(func(_, to string) bool { return to == address(1) })
			for i := range maxRecentChanges + 10 {
				sys.switchPreset(t, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
			}
			c, err := sys.store(0).readChange(t.Context(), sys.store(0).inForce())
			if err != nil {
				t.Fatal(err)
			}
			sys.network.setPartitioned(func(from, to string) bool { return !storeDown && from == address(1) })
			sys.platform.Faults().SetDown(storeDown)
			if missing := sys.store(0).distribute(t.Context(), c, address(0), []string{address(1)}); len(missing) != 0 {
				t.Errorf("not in force at %v", missing)
			}
			sys.expectVersion(t, c.Version)
		})
	}
}

// TestDelayedPushNeverReverts pushes an earlier change after a later one: the
// version in force must not decrease.
func TestDelayedPushNeverReverts(t *testing.T) {
	sys := startSystem(t, 2)
	sys.switchPreset(t, 0, "second", "peak")
	old, err := sys.store(0).readChange(t.Context(), 2)
	if err != nil {
		t.Fatal(err)
	}
	sys.switchPreset(t, 0, "third", "maintenance")
	sys.store(0).distribute(t.Context(), old, address(0), []string{address(1)})
	sys.expectVersion(t, 3)
	if got := sys.store(1).Current().Preset; got != "maintenance" {
		t.Errorf("preset %q is in force again", got)
	}
}

// TestRestartedInstanceServesNoLowerVersion restarts an instance while the store
// is down and another instance with the change has crashed. It must serve
// nothing until enough peers respond, and then the highest version.
func TestRestartedInstanceServesNoLowerVersion(t *testing.T) {
	sys := startSystem(t, 4)
	sys.network.setPartitioned(func(_, to string) bool { return to == address(3) })
	sys.switchPreset(t, 0, "second", "peak") // In force at 0, 1 and 2.
	old, err := sys.store(0).readChange(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	sys.network.setPartitioned(nil)
	sys.platform.Faults().SetDown(true)
	sys.crash(0)
	sys.crash(1)
	s := sys.boot(1)
	if s.Current() != nil || code.Of(s.Ready()) != code.NoConfiguration {
		t.Error("a starting instance serves a configuration")
	}
	// Only instance 2, with version 2, and instance 3, with version 1, respond.
	sys.store(3).distribute(t.Context(), old, address(3), []string{address(1)})
	if got := s.inForce(); got != 0 {
		t.Fatalf("a delayed push put version %d in force at a starting instance", got)
	}
	sys.network.setPartitioned(func(_, to string) bool { return to == address(2) })
	if err := s.start(t.Context()); code.Of(err) != code.NoConfiguration {
		t.Fatalf("started on one of three peers, version %d: %v", s.inForce(), err)
	}
	sys.network.setPartitioned(nil)
	if err := s.start(t.Context()); err != nil || s.inForce() != 2 {
		t.Errorf("started with version %d, want 2: %v", s.inForce(), err)
	}
}

// partialView implements Peers for an instance that knows only some of its
// peers.
type partialView struct {
	peerView
	known []string
}

func (p partialView) Addresses() []string { return p.known }

// TestStartCountsPeersThatOthersKnow starts an instance that knows fewer peers
// than there are. A majority of these few must not be enough, since it may lack
// a version that was in force at more than half of the instances.
func TestStartCountsPeersThatOthersKnow(t *testing.T) {
	sys := startSystem(t, 4)
	sys.network.setPartitioned(func(_, to string) bool { return to == address(3) })
	sys.switchPreset(t, 0, "second", "peak") // In force at 0, 1 and 2.
	sys.network.setPartitioned(nil)
	sys.platform.Faults().SetDown(true)
	s := sys.boot(0)
	s.options.Peers = partialView{peerView{sys, address(0)}, []string{address(3)}}
	if err := s.start(t.Context()); err == nil {
		t.Errorf("started with version %d from the only known peer, although that peer knows four instances", s.inForce())
	}
	s.options.Peers = partialView{peerView{sys, address(0)}, []string{address(3), address(2)}}
	if err := s.start(t.Context()); err != nil || s.inForce() != 2 {
		t.Errorf("started with version %d, want 2: %v", s.inForce(), err)
	}
}

func TestFreshInstanceReadsSnapshotAndTail(t *testing.T) {
	sys := startSystem(t, 1)
	const changes = 5*snapshotInterval + 5
	for i := range changes {
		sys.switchPreset(t, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
	}
	before := sys.platform.Faults().Counts().Reads
	s := sys.boot(1)
	if err := s.start(t.Context()); err != nil || s.inForce() != changes+1 {
		t.Fatalf("version %d: %v", s.inForce(), err)
	}
	if reads := sys.platform.Faults().Counts().Reads - before; reads > 3 {
		t.Errorf("got %d reads, want at most 3: head, snapshot and one page of changes", reads)
	}
	snapshots, err := sys.platform.List(t.Context(), snapshotPrefix, "", 0)
	if err != nil || len(snapshots) != keptSnapshots {
		t.Errorf("%d snapshots are kept, want %d: %v", len(snapshots), keptSnapshots, err)
	}
	if n := len(s.version.Load().recent); n >= snapshotInterval {
		t.Errorf("%d changes after the snapshot, want fewer than %d", n, snapshotInterval)
	}
}

func TestOldChangesAreDeletedAndTheRestIsRead(t *testing.T) {
	sys := startSystem(t, 1)
	s := sys.store(0)
	s.options.KeptChanges = minKeptChanges
	const changes = 2 * minKeptChanges
	for i := range changes {
		sys.switchPreset(t, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
	}
	for _, prefix := range []string{changePrefix, idPrefix} {
		rows, err := sys.platform.Range(t.Context(), prefix, storage.PrefixEnd(prefix), 0)
		if n := len(rows); err != nil || n < minKeptChanges || n > minKeptChanges+2*snapshotInterval {
			t.Errorf("%d rows under %s for %d kept changes: %v", n, prefix, minKeptChanges, err)
		}
	}
	newInstance := sys.boot(1)
	if err := newInstance.start(t.Context()); err != nil || newInstance.inForce() != changes+1 {
		t.Errorf("a new instance has version %d: %v", newInstance.inForce(), err)
	}
	if page, err := newInstance.History(t.Context(), 500, MaxHistory); err != nil || len(page) == 0 || len(page) == MaxHistory {
		t.Errorf("a page at the end of the history has %d changes: %v", len(page), err)
	}
}

func TestLargeChangeFitsTheTable(t *testing.T) {
	sys := startSystem(t, 2)
	edits := Edits{Accounts: map[string]*contract.Account{}}
	for i := range 1800 {
		edits.Accounts[fmt.Sprintf("account-%04d", i)] = &contract.Account{Weight: 1, KeyHashes: []string{fmt.Sprintf("%064x", i)}}
	}
	a, err := sys.store(0).Submit(t.Context(), Request{ID: "large", Author: "ana", BaseVersion: 1, Edits: edits})
	if err != nil || a.InForce != 2 {
		t.Fatalf("got %+v, %v", a, err)
	}
	s := sys.boot(2)
	if err := s.start(t.Context()); err != nil || len(s.Current().Accounts) != 1803 {
		t.Errorf("a new instance does not have all accounts: %v", err)
	}
}

func TestInvalidEditsAreRejectedWithAllFaults(t *testing.T) {
	sys := startSystem(t, 1)
	r := Request{ID: "bad", BaseVersion: 1, Edits: Edits{Preset: "nap", Upstreams: map[string]*contract.Upstream{"gone": nil, "u": {Slots: 1}}}}
	_, err := sys.store(0).Submit(t.Context(), r)
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) != 5 {
		t.Fatalf("got %v, want 5 faults", err)
	}
	sys.expectVersion(t, 1)
}

func TestIsolatedInstanceIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sys := startSystem(t, 2)
		s := sys.store(0)
		var run sync.WaitGroup
		run.Go(func() { _ = s.Run(t.Context()) })
		sys.platform.Faults().SetDown(true)
		time.Sleep(10 * DefaultIsolationLimit)
		if err := s.Ready(); err != nil {
			t.Fatalf("not ready although a peer responds: %v", err)
		}
		sys.network.setPartitioned(func(string, string) bool { return true })
		time.Sleep(3 * DefaultIsolationLimit)
		if err := s.Ready(); code.Of(err) != code.NoConfiguration || s.Current() == nil {
			t.Fatalf("isolated instance: got %v, want NoConfiguration", err)
		}
		sys.network.setPartitioned(nil)
		time.Sleep(DefaultIsolationLimit)
		if err := s.Ready(); err != nil {
			t.Errorf("not ready although peers respond again: %v", err)
		}
	})
}

func TestPollsOfTheWholeSystemStayBounded(t *testing.T) {
	for _, instances := range []int{1, 10, 60, 550} {
		sys := &system{network: &network{}}
		for i := range instances {
			sys.live = append(sys.live, address(i))
		}
		s := &Store{options: Options{Peers: peerView{sys, address(0)}}, createdAt: time.Now()}
		const samples = 2000
		var sum time.Duration
		for range samples {
			sum += s.pollDelay()
		}
		perSecond := float64(instances) * samples / sum.Seconds()
		if perSecond > maxReadsPerSecond*1.1 {
			t.Errorf("%d instances read %.1f times per second", instances, perSecond)
		}
	}
}
