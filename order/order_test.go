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

// engine is an upstream that takes orders. It witnesses orders that take effect
// after a later holder has acted.
type engine struct {
	checks bool

	mu    sync.Mutex
	role  string
	token uint64
	// acted is the newest token whose holder read the state or gave an order.
	acted   uint64
	orders  int
	fenced  int
	overrun []string
}

func (e *engine) read(token uint64) order.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acted = max(e.acted, token)
	return order.EngineState{Role: e.role}
}

func (e *engine) order(o order.Order, token uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && token < e.token {
		e.fenced++
		return code.New(code.OrderFenced, "token %d after %d", token, e.token)
	}
	if token < e.acted && !e.checks {
		e.overrun = append(e.overrun, fmt.Sprintf("token %d takes effect after the holder of %d has acted", token, e.acted))
	}
	e.orders++
	e.role, e.token, e.acted = o.Subject, max(e.token, token), max(e.acted, token)
	return nil
}

// port is the engine as one holder reaches it.
type port struct {
	*engine
	lease *order.Lease
	// trusted says that the engine checks tokens, rightly or not.
	trusted bool
	// delay is the time until an order takes effect, whatever the holder does.
	delay time.Duration
	// lost is set when the order's answer is lost.
	lost bool
}

func (p port) ID() string          { return "engine" }
func (p port) ChecksFencing() bool { return p.trusted }

func (p port) EngineState(context.Context) (order.EngineState, error) {
	return p.read(p.lease.State().Token), nil
}

func (p port) Order(ctx context.Context, o order.Order, token uint64) error {
	time.Sleep(p.delay)
	err := p.order(o, token)
	if p.lost || ctx.Err() != nil {
		return code.New(code.UpstreamFailed, "no answer")
	}
	return err
}

// holder is one instance.
type holder struct {
	lease  *order.Lease
	cut    *cutTable
	cancel context.CancelFunc
	done   chan struct{}
}

// cutTable is a table that an instance can be cut off from.
type cutTable struct {
	storage.Table

	mu  sync.Mutex
	cut bool
}

func (c *cutTable) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cutTable) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return code.New(code.StoreUnavailable, "cut off")
	}
	return nil
}

func (c *cutTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := c.err(); err != nil {
		return storage.Row{}, err
	}
	return c.Table.Get(ctx, key)
}

func (c *cutTable) Apply(ctx context.Context, t storage.Transaction) (storage.Applied, error) {
	if err := c.err(); err != nil {
		return storage.Applied{}, err
	}
	return c.Table.Apply(ctx, t)
}

// longestOrder is so long that an order at the end of a lease is under way when
// the next holder comes.
const longestOrder = 9 * time.Second

func start(table storage.Table, id string) *holder {
	h := &holder{cut: &cutTable{Table: table}, done: make(chan struct{})}
	lease, err := order.New(order.Options{InstanceID: id, Group: "g", Table: h.cut, LongestOrder: longestOrder})
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

func (h *holder) stop() {
	h.cancel()
	<-h.done
}

func (h *holder) isHeld() bool { return h.lease.State().State == "held" }

// TestNextHolderWaitsOutOrders lets a holder that is cut off from the table
// give a slow order near the end of its lease. An engine that ignores tokens is
// safe when it is known for that, and not when it is taken to check them.
func TestNextHolderWaitsOutOrders(t *testing.T) {
	run := func(t *testing.T, trusted bool) (overrun []string, orders int) {
		synctest.Test(t, func(t *testing.T) {
			store, e := memory.New(), &engine{}
			first := start(store, "first")
			synctest.Wait()
			if !first.isHeld() {
				t.Fatal("the first instance does not hold the lease")
			}
			second := start(store, "second")
			first.cut.set(true)
			var giving sync.WaitGroup
			for _, h := range []*holder{first, second} {
				giving.Go(func() {
					for n := range 120 {
						p := port{engine: e, lease: h.lease, trusted: trusted, delay: longestOrder - time.Millisecond}
						_ = h.lease.Do(t.Context(), p, order.Order{Kind: order.SetRole, Subject: strconv.Itoa(n)})
						time.Sleep(500 * time.Millisecond)
					}
				})
			}
			giving.Wait()
			if !second.isHeld() || first.isHeld() {
				t.Error("the lease did not change hands")
			}
			first.stop()
			second.stop()
			overrun, orders = e.overrun, e.orders
		})
		return overrun, orders
	}
	naive, _ := run(t, true)
	if len(naive) == 0 {
		t.Error("the naive way shows no late order")
	}
	overrun, orders := run(t, false)
	t.Logf("late orders: %d the naive way, %d with the wait; %d orders given", len(naive), len(overrun), orders)
	if len(overrun) != 0 || orders == 0 {
		t.Errorf("%d orders, late: %v", orders, overrun)
	}
}

func TestCheckingEngineRefusesOldHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, e := memory.New(), &engine{checks: true}
		first := start(store, "first")
		synctest.Wait()
		second := start(store, "second")
		first.cut.set(true)
		slow := make(chan error, 1)
		go func() {
			time.Sleep(28 * time.Second)
			p := port{engine: e, lease: first.lease, trusted: true, delay: 20 * time.Second}
			slow <- first.lease.Do(t.Context(), p, order.Order{Kind: order.SetRole, Subject: "old"})
		}()
		for !second.isHeld() {
			time.Sleep(time.Second)
		}
		p := port{engine: e, lease: second.lease, trusted: true}
		if err := second.lease.Do(t.Context(), p, order.Order{Kind: order.SetRole, Subject: "new"}); err != nil {
			t.Errorf("order of the new holder: %v", err)
		}
		if err := <-slow; err == nil {
			t.Error("the order of the old holder was accepted")
		}
		if e.fenced != 1 || e.role != "new" {
			t.Errorf("%d orders refused, role %q", e.fenced, e.role)
		}
		first.stop()
		second.stop()
	})
}

func TestReleasedLeasePassesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, e := memory.New(), &engine{}
		first := start(store, "first")
		synctest.Wait()
		second := start(store, "second")
		first.stop()
		released := time.Now()
		for !second.isHeld() {
			time.Sleep(100 * time.Millisecond)
		}
		p := port{engine: e, lease: second.lease}
		if err := second.lease.Do(t.Context(), p, order.Order{Kind: order.SetRole, Subject: "x"}); err != nil {
			t.Errorf("order after a release: %v", err)
		}
		if took := time.Since(released); took > 6*time.Second {
			t.Errorf("the next holder acted after %s", took)
		}
		if got := second.lease.State().Token; got != 2 {
			t.Errorf("token %d, want 2", got)
		}
		second.stop()
	})
}

// drawnRun is the faults of a run and the delays of the orders in it.
type drawnRun struct {
	faults []fault
	// delays and lost are those of the orders of each holder, in turn.
	delays []time.Duration
	lost   []bool
}

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

var drawnRuns = rapid.Custom(func(r *rapid.T) drawnRun {
	delay := rapid.Map(rapid.IntRange(0, 3), func(n int) time.Duration { return time.Duration(n) * 2999 * time.Millisecond })
	one := rapid.Custom(func(r *rapid.T) fault {
		return fault{
			at:     time.Duration(rapid.IntRange(0, int(runLength/time.Second)).Draw(r, "at")) * time.Second,
			holder: rapid.IntRange(0, runHolders-1).Draw(r, "holder"),
			kind:   rapid.SampledFrom([]string{"cut", "cut holder", "cut holder", "join all", "lose", "hold", "release", "stop"}).Draw(r, "kind"),
			n:      rapid.IntRange(1, 6).Draw(r, "n"),
		}
	})
	return drawnRun{
		faults: rapid.SliceOfN(one, 1, 15).Draw(r, "faults"),
		delays: rapid.SliceOfN(delay, 1, 8).Draw(r, "delays"),
		lost:   rapid.SliceOfN(rapid.Bool(), 1, 5).Draw(r, "lost"),
	}
})

// TestOrdersFollowTokens draws faults of the store and slow or lost orders: on
// an engine that ignores tokens no order takes effect after a later holder has
// acted, and no token is held twice. The same runs are made with the engine taken
// to check tokens, and their late orders counted; TestNextHolderWaitsOutOrders
// requires that this way fails.
func TestOrdersFollowTokens(t *testing.T) {
	late := 0
	rapid.Check(t, func(r *rapid.T) {
		drawn := drawnRuns.Draw(r, "run")
		var naive, overrun []string
		synctest.Test(t, func(*testing.T) { naive = drawn.run(true) })
		synctest.Test(t, func(*testing.T) { overrun = drawn.run(false) })
		if len(naive) > 0 {
			late++
		}
		if len(overrun) > 0 {
			r.Fatal(overrun)
		}
	})
	t.Logf("runs with late orders: %d the naive way, 0 with the wait", late)
}

func (d drawnRun) run(trusted bool) []string {
	store, e := memory.New(), &engine{}
	var holders []*holder
	var running sync.WaitGroup
	for i := range runHolders {
		h := start(store, strconv.Itoa(i))
		holders = append(holders, h)
		running.Go(func() { d.giveOrders(h, e, i, trusted) })
	}
	for _, f := range d.faults {
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
		e.overrun = append(e.overrun, fmt.Sprintf("tokens held twice: %v", tokens))
	}
	return e.overrun
}

// giveOrders gives orders without pause.
func (d drawnRun) giveOrders(h *holder, e *engine, holder int, trusted bool) {
	end := time.Now().Add(runLength)
	for n := holder; time.Now().Before(end); n += runHolders {
		p := port{
			engine: e, lease: h.lease, trusted: trusted,
			delay: d.delays[n%len(d.delays)], lost: d.lost[n%len(d.lost)],
		}
		_ = h.lease.Do(context.Background(), p, order.Order{Kind: order.SetRole, Subject: strconv.Itoa(n)})
		time.Sleep(300 * time.Millisecond)
	}
}

func (f fault) apply(holders []*holder, store *memory.Store) {
	switch f.kind {
	case "cut":
		holders[f.holder].cut.set(true)
	case "cut holder", "join all":
		for _, h := range holders {
			if f.kind == "join all" || h.isHeld() {
				h.cut.set(f.kind == "cut holder")
			}
		}
	case "lose":
		store.Faults().LoseAnswers(f.n)
	case "hold":
		store.Faults().HoldWrites(f.n)
	case "release":
		store.ReleaseHeld()
	case "stop":
		holders[f.holder].cancel()
	}
}
