package order_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/order"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// fakeEngine is an upstream that accepts orders. It records violations: late orders,
// which take effect after a later holder has acted.
type fakeEngine struct {
	checksFencing bool

	mu    sync.Mutex
	role  string
	token uint64
	// newestActive is the newest token whose holder has read the state or sent an
	// order.
	newestActive uint64
	orders       int
	rejected     int
	violations   []string
}

func (e *fakeEngine) read(token uint64) order.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newestActive = max(e.newestActive, token)
	return order.EngineState{Role: e.role}
}

func (e *fakeEngine) order(o order.Order, token uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && token < e.token {
		e.rejected++
		return code.New(code.OrderFenced, "token %d after %d", token, e.token)
	}
	if token < e.newestActive && !e.checksFencing {
		e.violations = append(e.violations, fmt.Sprintf("token %d takes effect after the holder of %d has acted", token, e.newestActive))
	}
	e.orders++
	e.role, e.token, e.newestActive = o.Subject, max(e.token, token), max(e.newestActive, token)
	return nil
}

// engineConn is a connection of one holder to the engine.
type engineConn struct {
	*fakeEngine
	lease *order.Lease
	// claimsFencing is what ChecksFencing returns, true or not.
	claimsFencing bool
	// delay is the time until an order takes effect, even if its context ends earlier.
	delay time.Duration
	// loseResponse makes Order fail after the order has taken effect, as if its
	// response were lost.
	loseResponse bool
}

func (conn engineConn) ID() string          { return "engine" }
func (conn engineConn) ChecksFencing() bool { return conn.claimsFencing }

func (conn engineConn) EngineState(context.Context) (order.EngineState, error) {
	return conn.read(conn.lease.State().Token), nil
}

func (conn engineConn) Order(ctx context.Context, o order.Order, token uint64) error {
	time.Sleep(conn.delay)
	err := conn.order(o, token)
	if conn.loseResponse || ctx.Err() != nil {
		return code.New(code.UpstreamFailed, "no answer")
	}
	return err
}

// testHolder is an instance that holds or tries to acquire the lease.
type testHolder struct {
	lease  *order.Lease
	table  *partitionedTable
	cancel context.CancelFunc
	done   chan struct{}
}

// partitionedTable is a table from which an instance can be partitioned.
type partitionedTable struct {
	storage.Table

	mu          sync.Mutex
	partitioned bool
}

func (p *partitionedTable) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
}

func (p *partitionedTable) err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitioned {
		return code.New(code.StoreUnavailable, "the instance is partitioned from the table")
	}
	return nil
}

func (p *partitionedTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := p.err(); err != nil {
		return storage.Row{}, err
	}
	return p.Table.Get(ctx, key)
}

func (p *partitionedTable) Apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	if err := p.err(); err != nil {
		return storage.Applied{}, err
	}
	return p.Table.Apply(ctx, t)
}

// longestOrder is so long that an order sent near the end of a lease is still in
// flight when the next holder acquires it.
const longestOrder = 9 * time.Second

// start starts an instance that runs a lease whose row is in table.
func start(table storage.Table, id string) *testHolder {
	h := &testHolder{table: &partitionedTable{Table: table}, done: make(chan struct{})}
	lease, err := order.New(order.Options{InstanceID: id, Group: "g", Table: h.table, LongestOrder: longestOrder})
	if err != nil {
		panic(err)
	}
	h.lease = lease
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		_ = lease.Run(ctx)
	}()
	return h
}

func (h *testHolder) stop() {
	h.cancel()
	<-h.done
}

func (h *testHolder) holdsLease() bool { return h.lease.State().State == "held" }

// TestNextHolderWaitsOutOrders partitions a holder from the table while it sends
// slow orders until the end of its lease, to an engine that ignores tokens. No
// order may take effect after the next holder has acted. If the engine claims to
// check tokens, the lease does not wait, and the test must detect late orders.
func TestNextHolderWaitsOutOrders(t *testing.T) {
	run := func(t *testing.T, claimsFencing bool) (late []string, orders int) {
		synctest.Test(t, func(t *testing.T) {
			store, e := memory.New(), &fakeEngine{}
			first := start(store, "first")
			synctest.Wait()
			if !first.holdsLease() {
				t.Fatal("the first instance does not hold the lease")
			}
			second := start(store, "second")
			first.table.setPartitioned(true)
			var senders sync.WaitGroup
			for _, h := range []*testHolder{first, second} {
				senders.Go(func() {
					for n := range 120 {
						conn := engineConn{fakeEngine: e, lease: h.lease, claimsFencing: claimsFencing, delay: longestOrder - time.Millisecond}
						_ = h.lease.Do(t.Context(), conn, order.Order{Kind: order.SetRole, Subject: strconv.Itoa(n)})
						time.Sleep(500 * time.Millisecond)
					}
				})
			}
			senders.Wait()
			if !second.holdsLease() || first.holdsLease() {
				t.Error("the second instance has not taken over the lease")
			}
			first.stop()
			second.stop()
			late, orders = e.violations, e.orders
		})
		return late, orders
	}
	lateWithoutWait, _ := run(t, true)
	if len(lateWithoutWait) == 0 {
		t.Error("no late order without the wait: the test detects nothing")
	}
	late, orders := run(t, false)
	t.Logf("late orders: %d without the wait, %d with it; %d orders sent", len(lateWithoutWait), len(late), orders)
	if len(late) != 0 || orders == 0 {
		t.Errorf("%d orders, late: %v", orders, late)
	}
}

// TestCheckingEngineRefusesOldHolder delays an order until the next holder has
// acted: an engine that checks tokens rejects it.
func TestCheckingEngineRefusesOldHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, e := memory.New(), &fakeEngine{checksFencing: true}
		first := start(store, "first")
		synctest.Wait()
		second := start(store, "second")
		first.table.setPartitioned(true)
		oldResult := make(chan error, 1)
		go func() {
			time.Sleep(28 * time.Second)
			conn := engineConn{fakeEngine: e, lease: first.lease, claimsFencing: true, delay: 20 * time.Second}
			oldResult <- first.lease.Do(t.Context(), conn, order.Order{Kind: order.SetRole, Subject: "old"})
		}()
		for !second.holdsLease() {
			time.Sleep(time.Second)
		}
		conn := engineConn{fakeEngine: e, lease: second.lease, claimsFencing: true}
		if err := second.lease.Do(t.Context(), conn, order.Order{Kind: order.SetRole, Subject: "new"}); err != nil {
			t.Errorf("order of the new holder: %v", err)
		}
		if err := <-oldResult; err == nil {
			t.Error("the order of the old holder was accepted")
		}
		if e.rejected != 1 || e.role != "new" {
			t.Errorf("%d orders rejected, role %q", e.rejected, e.role)
		}
		first.stop()
		second.stop()
	})
}

// TestReleasedLeasePassesAtOnce checks that the holder after a release waits neither
// for the expiry of the lease nor for orders of its predecessor.
func TestReleasedLeasePassesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, e := memory.New(), &fakeEngine{}
		first := start(store, "first")
		synctest.Wait()
		second := start(store, "second")
		first.stop()
		releasedAt := time.Now()
		for !second.holdsLease() {
			time.Sleep(100 * time.Millisecond)
		}
		conn := engineConn{fakeEngine: e, lease: second.lease}
		if err := second.lease.Do(t.Context(), conn, order.Order{Kind: order.SetRole, Subject: "x"}); err != nil {
			t.Errorf("order after a release: %v", err)
		}
		if elapsed := time.Since(releasedAt); elapsed > 6*time.Second {
			t.Errorf("the next holder acted after %s", elapsed)
		}
		if got := second.lease.State().Token; got != 2 {
			t.Errorf("token %d, want 2", got)
		}
		second.stop()
	})
}

// simulation has the faults of a random run and the delays of its orders.
type simulation struct {
	faults []fault
	// delays and lost apply to the orders of each holder in turn: the time until an
	// order takes effect, and whether its response is lost.
	delays []time.Duration
	lost   []bool
}

// fault is a fault at a time after the start of a run, of one of these kinds:
// "cut" partitions an instance from the table, "cut holder" the one that holds the
// lease, "join all" ends all partitions, "lose" loses the next n responses, "hold"
// holds the next n writes back, "release" releases held writes, and "stop" stops an
// instance.
type fault struct {
	at     time.Duration
	holder int
	kind   string
	n      int
}

const (
	runHolders = 3
	runLength  = 2 * time.Minute
)

var simulations = rapid.Custom(func(r *rapid.T) simulation {
	delay := rapid.Map(rapid.IntRange(0, 3), func(n int) time.Duration { return time.Duration(n) * 2999 * time.Millisecond })
	drawFault := rapid.Custom(func(r *rapid.T) fault {
		return fault{
			at:     time.Duration(rapid.IntRange(0, int(runLength/time.Second)).Draw(r, "at")) * time.Second,
			holder: rapid.IntRange(0, runHolders-1).Draw(r, "holder"),
			kind:   rapid.SampledFrom([]string{"cut", "cut holder", "cut holder", "join all", "lose", "hold", "release", "stop"}).Draw(r, "kind"),
			n:      rapid.IntRange(1, 6).Draw(r, "n"),
		}
	})
	return simulation{
		faults: rapid.SliceOfN(drawFault, 1, 15).Draw(r, "faults"),
		delays: rapid.SliceOfN(delay, 1, 8).Draw(r, "delays"),
		lost:   rapid.SliceOfN(rapid.Bool(), 1, 5).Draw(r, "lost"),
	}
})

// TestOrdersFollowTokens draws faults of the store, slow orders and lost responses:
// on an engine that ignores tokens no order may take effect after a later holder
// has acted, and no token may be held twice. For comparison, the same runs are made
// with an engine that wrongly claims to check tokens, and those with late orders
// are counted; TestNextHolderWaitsOutOrders requires that there are late orders.
func TestOrdersFollowTokens(t *testing.T) {
	runsWithLate := 0
	rapid.Check(t, func(r *rapid.T) {
		sim := simulations.Draw(r, "run")
		var lateWithoutWait, late []string
		synctest.Test(t, func(*testing.T) { lateWithoutWait = sim.run(true) })
		synctest.Test(t, func(*testing.T) { late = sim.run(false) })
		if len(lateWithoutWait) > 0 {
			runsWithLate++
		}
		if len(late) > 0 {
			r.Fatal(late)
		}
	})
	t.Logf("runs with late orders: %d without the wait, 0 with it", runsWithLate)
}

// run runs the simulation and returns the violations.
func (sim simulation) run(claimsFencing bool) []string {
	store, e := memory.New(), &fakeEngine{}
	var holders []*testHolder
	var running sync.WaitGroup
	for i := range runHolders {
		h := start(store, strconv.Itoa(i))
		holders = append(holders, h)
		running.Go(func() { sim.giveOrders(h, e, i, claimsFencing) })
	}
	for _, f := range sim.faults {
		running.Go(func() {
			time.Sleep(f.at)
			f.apply(holders, store)
		})
	}
	running.Wait()
	var tokens []uint64
	for _, h := range holders {
		h.stop()
		if s := h.lease.State(); s.Token != 0 {
			tokens = append(tokens, s.Token)
		}
	}
	slices.Sort(tokens)
	if len(slices.Compact(slices.Clone(tokens))) != len(tokens) {
		e.violations = append(e.violations, fmt.Sprintf("tokens held twice: %v", tokens))
	}
	return e.violations
}

// giveOrders sends orders one after another until the run ends.
func (sim simulation) giveOrders(h *testHolder, e *fakeEngine, holder int, claimsFencing bool) {
	end := time.Now().Add(runLength)
	for n := holder; time.Now().Before(end); n += runHolders {
		conn := engineConn{
			fakeEngine: e, lease: h.lease, claimsFencing: claimsFencing,
			delay: sim.delays[n%len(sim.delays)], loseResponse: sim.lost[n%len(sim.lost)],
		}
		_ = h.lease.Do(context.Background(), conn, order.Order{Kind: order.SetRole, Subject: strconv.Itoa(n)})
		time.Sleep(300 * time.Millisecond)
	}
}

func (f fault) apply(holders []*testHolder, store *memory.Store) {
	switch f.kind {
	case "cut":
		holders[f.holder].table.setPartitioned(true)
	case "cut holder", "join all":
		for _, h := range holders {
			if f.kind == "join all" || h.holdsLease() {
				h.table.setPartitioned(f.kind == "cut holder")
			}
		}
	case "lose":
		store.Faults().LoseResponses(f.n)
	case "hold":
		store.Faults().HoldWrites(f.n)
	case "release":
		store.ReleaseHeld()
	case "stop":
		holders[f.holder].cancel()
	}
}
