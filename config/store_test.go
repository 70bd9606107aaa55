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

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	for round := range 50 {
		y := started(t, 2)
		presets := []string{"peak", "maintenance"}
		var accepted [2]Accepted
		var errs [2]error
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				accepted[i], errs[i] = y.at(i).Submit(t.Context(), switchTo(presets[i], presets[i], 1))
			})
		}
		both.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		var conflict *Conflict
		if errs[winner] != nil || !errors.As(errs[1-winner], &conflict) {
			t.Fatalf("round %d: %v, %v", round, errs[0], errs[1])
		}
		want := Winner{Version: 2, ChangeID: presets[winner], Author: "author-of-" + presets[winner], Time: conflict.Winner.Time}
		if code.Of(errs[1-winner]) != code.VersionConflict || conflict.Winner != want {
			t.Fatalf("round %d: the conflict names %+v, want %+v", round, conflict.Winner, want)
		}
		y.expect(t, 2)
		for i := range 2 {
			if got := y.at(i).Current().Preset; got != presets[winner] {
				t.Fatalf("round %d: instance %d has preset %q, want %q", round, i, got, presets[winner])
			}
		}
	}
}

func TestLostAnswerOfHeadTransaction(t *testing.T) {
	for name, lost := range map[string]int{"retried within the request": 1, "found done by a resend": commitAttempts} {
		t.Run(name, func(t *testing.T) {
			y := started(t, 3)
			r := switchTo("lost", "peak", 1)
			y.platform.Faults().LoseAnswers(lost)
			a, err := y.at(0).Submit(t.Context(), r)
			if y.platform.Faults().Counts().Injected == 0 {
				t.Fatal("no answer was lost")
			}
			if lost == commitAttempts {
				if code.Of(err) != code.StoreUnknown {
					t.Fatalf("got %v", err)
				}
				a, err = y.at(2).Submit(t.Context(), r)
				if !a.Repeated {
					t.Error("the resend was not found done")
				}
			}
			if err != nil || a.Version != 2 || a.InForce != 3 {
				t.Fatalf("got %+v, %v", a, err)
			}
			y.expect(t, 2)
			r.Edits.Preset = "maintenance"
			if _, err := y.at(1).Submit(t.Context(), r); code.Of(err) != code.ChangeIDConflict {
				t.Errorf("reuse of the id with other edits: %v", err)
			}
		})
	}
}

func TestPeersAloneBringAcceptedChangeEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 10
		y := started(t, instances)
		y.network.setCut(func(from, to string) bool { return from == address(0) && to > address(3) })
		a := y.preset(t, 0, "peaks", "peak")
		y.platform.Faults().SetDown(true)
		if a.InForce != 4 || len(a.Missing) != 6 {
			t.Fatalf("got %+v", a)
		}
		var runs sync.WaitGroup
		for i := range instances {
			runs.Go(func() { _ = y.at(i).Run(t.Context()) })
		}
		// A membership digest of instance 1 reaches the instances left out.
		for i := 4; i < instances; i++ {
			y.at(i).Observe(2, address(1))
			if _, err := y.at(i).Watch(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
		}
		y.expect(t, 2)
	})
}

func TestChangeOfLostInstanceComesIntoForceByPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, bound = 10, 18 * time.Second
		y := started(t, instances)
		var runs sync.WaitGroup
		for i := 1; i < instances; i++ {
			runs.Go(func() { _ = y.at(i).Run(t.Context()) })
		}
		synctest.Wait()
		y.network.setCut(func(from, _ string) bool { return from == address(0) })
		if a := y.preset(t, 0, "peaks", "peak"); a.InForce != 1 {
			t.Fatalf("pushed from a lost instance: %+v", a)
		}
		y.crash(0)
		began := time.Now()
		for i := 1; i < instances; i++ {
			if _, err := y.at(i).Watch(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took > bound {
			t.Errorf("in force everywhere after %s, want %s at most", took, bound)
		}
	})
}

func TestChangeSentTwiceAtOnceIsMadeOnce(t *testing.T) {
	for range 20 {
		y := started(t, 2)
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				if a, err := y.at(i).Submit(t.Context(), switchTo("twice", "peak", 1)); err != nil || a.Version != 2 {
					t.Errorf("got %+v, %v", a, err)
				}
			})
		}
		both.Wait()
		y.expect(t, 2)
	}
}

// headTable calls before or after at its first read of the head.
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

// TestResendFindsItselfAcceptedAfterItsIDWasLookedUp lets the first sending win
// between two reads of the second one.
func TestResendFindsItselfAcceptedAfterItsIDWasLookedUp(t *testing.T) {
	for name, after := range map[string]bool{"before the head is read": false, "by a push after the head was read": true} {
		t.Run(name, func(t *testing.T) {
			y := started(t, 2)
			r := switchTo("twice", "peak", 1)
			win := func() {
				if a, err := y.at(0).Submit(t.Context(), r); err != nil || a.Repeated {
					t.Errorf("the first sending: %+v, %v", a, err)
				}
			}
			table := &headTable{Table: y.platform}
			if table.before = win; after {
				table.before, table.after = nil, win
			}
			y.at(1).options.Table = table
			if a, err := y.at(1).Submit(t.Context(), r); err != nil || a.Version != 2 || !a.Repeated {
				t.Errorf("the resend: %+v, %v", a, err)
			}
			y.expect(t, 2)
		})
	}
}

// TestFewerMessagesThanInstancesLeaveTheAcceptingOne runs in virtual time, so that no
// push is late because the machine is busy.
func TestFewerMessagesThanInstancesLeaveTheAcceptingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 200
		y := started(t, instances)
		sent := 0
		y.network.setCut(func(from, to string) bool {
			if from == address(0) {
				sent++
			}
			return to == address(7) // A relay that is gone.
		})
		a := y.preset(t, 0, "peaks", "peak")
		if a.InForce != instances-1 || len(a.Missing) != 1 || a.Missing[0] != address(7) {
			t.Errorf("in force at %d of %d, missing %v", a.InForce, a.Instances, a.Missing)
		}
		if sent > fanOut+1 {
			t.Errorf("the accepting instance sent %d pushes, at most %d are allowed", sent, fanOut+1)
		}
	})
}

func TestFrozenRelaysKeepTheChangeFromNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 300
		y := started(t, instances)
		// The first two relays of group 0 and the first of group 5 are frozen, and
		// a leaf of group 6.
		y.network.frozen = map[string]bool{address(1): true, address(1 + fanOut): true, address(6): true, address(7 + 3*fanOut): true}
		a := y.preset(t, 0, "peaks", "peak")
		if a.InForce != instances-4 || len(a.Missing) != 4 {
			t.Errorf("in force at %d of %d, missing %v", a.InForce, a.Instances, a.Missing)
		}
		for i := range instances {
			if address := address(i); !y.network.frozen[address] && y.at(i).inForce() != 2 {
				t.Errorf("instance %d has version %d", i, y.at(i).inForce())
			}
		}
	})
}

func TestReceiverWithGapCatchesUp(t *testing.T) {
	for name, storeDown := range map[string]bool{"from the sender": true, "from the table": false} {
		t.Run(name, func(t *testing.T) {
			y := started(t, 2)
			y.network.setCut(func(_, to string) bool { return to == address(1) })
			for i := range recentChanges + 10 {
				y.preset(t, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
			}
			c, err := y.at(0).readChange(t.Context(), y.at(0).inForce())
			if err != nil {
				t.Fatal(err)
			}
			y.network.setCut(func(from, to string) bool { return !storeDown && from == address(1) })
			y.platform.Faults().SetDown(storeDown)
			if missing := y.at(0).distribute(t.Context(), c, address(0), []string{address(1)}); len(missing) != 0 {
				t.Errorf("not in force at %v", missing)
			}
			y.expect(t, c.Version)
		})
	}
}

func TestDelayedPushNeverReverts(t *testing.T) {
	y := started(t, 2)
	y.preset(t, 0, "second", "peak")
	old, err := y.at(0).readChange(t.Context(), 2)
	if err != nil {
		t.Fatal(err)
	}
	y.preset(t, 0, "third", "maintenance")
	y.at(0).distribute(t.Context(), old, address(0), []string{address(1)})
	y.expect(t, 3)
	if got := y.at(1).Current().Preset; got != "maintenance" {
		t.Errorf("preset %q is in force again", got)
	}
}

func TestRestartedInstanceServesNoLowerVersion(t *testing.T) {
	y := started(t, 4)
	y.network.setCut(func(_, to string) bool { return to == address(3) })
	y.preset(t, 0, "second", "peak") // In force at 0, 1 and 2.
	old, err := y.at(0).readChange(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	y.network.setCut(nil)
	y.platform.Faults().SetDown(true)
	y.crash(0)
	y.crash(1)
	s := y.boot(1)
	if s.Current() != nil || code.Of(s.Ready()) != code.NoConfiguration {
		t.Error("a configuration is served before any was read")
	}
	// Only instance 2, with version 2, and instance 3, with version 1, answer.
	y.at(3).distribute(t.Context(), old, address(3), []string{address(1)})
	if got := s.inForce(); got != 0 {
		t.Fatalf("a delayed push put version %d in force at a starting instance", got)
	}
	y.network.setCut(func(_, to string) bool { return to == address(2) })
	if err := s.start(t.Context()); code.Of(err) != code.NoConfiguration {
		t.Fatalf("started on one of three peers, version %d: %v", s.inForce(), err)
	}
	y.network.setCut(nil)
	if err := s.start(t.Context()); err != nil || s.inForce() != 2 {
		t.Errorf("started with version %d, want 2: %v", s.inForce(), err)
	}
}

// partial is the view of an instance that has heard of few peers.
type partial struct {
	view
	known []string
}

func (p partial) Addresses() []string { return p.known }

func TestStartCountsPeersThatOthersKnow(t *testing.T) {
	y := started(t, 4)
	y.network.setCut(func(_, to string) bool { return to == address(3) })
	y.preset(t, 0, "second", "peak") // In force at 0, 1 and 2.
	y.network.setCut(nil)
	y.platform.Faults().SetDown(true)
	s := y.boot(0)
	s.options.Peers = partial{view{y, address(0)}, []string{address(3)}}
	if err := s.start(t.Context()); err == nil {
		t.Errorf("started with version %d on the only peer known, though that knows four instances", s.inForce())
	}
	s.options.Peers = partial{view{y, address(0)}, []string{address(3), address(2)}}
	if err := s.start(t.Context()); err != nil || s.inForce() != 2 {
		t.Errorf("started with version %d, want 2: %v", s.inForce(), err)
	}
}

func TestFreshInstanceReadsSnapshotAndTail(t *testing.T) {
	y := started(t, 1)
	const changes = 5*snapshotInterval + 5
	for i := range changes {
		y.preset(t, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
	}
	before := y.platform.Faults().Counts().Reads
	s := y.boot(1)
	if err := s.start(t.Context()); err != nil || s.inForce() != changes+1 {
		t.Fatalf("version %d: %v", s.inForce(), err)
	}
	if reads := y.platform.Faults().Counts().Reads - before; reads > 3 {
		t.Errorf("%d reads, want head, snapshot and one page", reads)
	}
	snapshots, err := y.platform.List(t.Context(), snapshotPrefix, "", 0)
	if err != nil || len(snapshots) != keptSnapshots {
		t.Errorf("%d snapshots are kept, want %d: %v", len(snapshots), keptSnapshots, err)
	}
	if n := len(s.version.Load().recent); n >= snapshotInterval {
		t.Errorf("%d changes after the snapshot, want fewer than %d", n, snapshotInterval)
	}
}

func TestOldChangesAreDeletedAndTheRestIsRead(t *testing.T) {
	y := started(t, 1)
	s := y.at(0)
	s.options.KeptChanges = minKeptChanges
	const changes = 2 * minKeptChanges
	for i := range changes {
		y.preset(t, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
	}
	for _, prefix := range []string{changePrefix, idPrefix} {
		rows, err := y.platform.Range(t.Context(), prefix, storage.PrefixEnd(prefix), 0)
		if n := len(rows); err != nil || n < minKeptChanges || n > minKeptChanges+2*snapshotInterval {
			t.Errorf("%d rows under %s for %d kept changes: %v", n, prefix, minKeptChanges, err)
		}
	}
	fresh := y.boot(1)
	if err := fresh.start(t.Context()); err != nil || fresh.inForce() != changes+1 {
		t.Errorf("a fresh instance has version %d: %v", fresh.inForce(), err)
	}
	if page, err := fresh.History(t.Context(), 500, MaxHistory); err != nil || len(page) == 0 || len(page) == MaxHistory {
		t.Errorf("a page over the end of the history has %d changes: %v", len(page), err)
	}
}

func TestLargeChangeFitsTheTable(t *testing.T) {
	y := started(t, 2)
	edits := Edits{Accounts: map[string]*contract.Account{}}
	for i := range 1800 {
		edits.Accounts[fmt.Sprintf("account-%04d", i)] = &contract.Account{Weight: 1, KeyHashes: []string{fmt.Sprintf("%064x", i)}}
	}
	a, err := y.at(0).Submit(t.Context(), Request{ID: "large", Author: "ana", BaseVersion: 1, Edits: edits})
	if err != nil || a.InForce != 2 {
		t.Fatalf("got %+v, %v", a, err)
	}
	s := y.boot(2)
	if err := s.start(t.Context()); err != nil || len(s.Current().Accounts) != 1803 {
		t.Errorf("a fresh instance has not all accounts: %v", err)
	}
}

func TestInvalidEditsAreRefusedWhole(t *testing.T) {
	y := started(t, 1)
	r := Request{ID: "bad", BaseVersion: 1, Edits: Edits{Preset: "nap", Upstreams: map[string]*contract.Upstream{"gone": nil, "u": {Slots: 1}}}}
	_, err := y.at(0).Submit(t.Context(), r)
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) != 5 {
		t.Fatalf("want 5 faults: %v", err)
	}
	y.expect(t, 1)
}

func TestIsolatedInstanceStopsTakingWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := started(t, 2)
		s := y.at(0)
		var run sync.WaitGroup
		run.Go(func() { _ = s.Run(t.Context()) })
		y.platform.Faults().SetDown(true)
		time.Sleep(10 * DefaultIsolationLimit)
		if err := s.Ready(); err != nil {
			t.Fatalf("a peer answers, yet: %v", err)
		}
		y.network.setCut(func(string, string) bool { return true })
		time.Sleep(3 * DefaultIsolationLimit)
		if err := s.Ready(); code.Of(err) != code.NoConfiguration || s.Current() == nil {
			t.Fatalf("isolated instance: %v", err)
		}
		y.network.setCut(nil)
		time.Sleep(DefaultIsolationLimit)
		if err := s.Ready(); err != nil {
			t.Errorf("contact is back, yet: %v", err)
		}
	})
}

func TestPollsOfTheWholeSystemStayBounded(t *testing.T) {
	for _, instances := range []int{1, 10, 60, 550} {
		y := &system{network: &network{}}
		for i := range instances {
			y.live = append(y.live, address(i))
		}
		s := &Store{options: Options{Peers: view{y, address(0)}}, began: time.Now()}
		const draws = 2000
		var sum time.Duration
		for range draws {
			sum += s.pollDelay()
		}
		perSecond := float64(instances) * draws / sum.Seconds()
		if perSecond > readsPerSecond*1.1 {
			t.Errorf("%d instances read %.1f times a second", instances, perSecond)
		}
	}
}
