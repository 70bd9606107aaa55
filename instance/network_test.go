package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/instance/instancepb"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

const latency = 1500 * time.Microsecond

var errRefused = errors.New("connection refused")

// network carries messages between the members of one test in virtual time.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// cut has the directed pairs of addresses whose messages are lost.
	cut map[[2]string]bool
	// slow has the extra time that an instance takes for every message.
	slow map[string]time.Duration
}

// host is one instance of a test.
type host struct {
	*Membership
	lifecycle *Lifecycle
	id        string
	address   string
	stop      context.CancelFunc
	done      chan struct{}

	mu     sync.Mutex
	frozen chan struct{}
}

// gate blocks while the host is frozen.
func (h *host) gate() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = make(chan struct{})
}

func (h *host) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.frozen)
	h.frozen = nil
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// leg carries a message one way; a lost message lets the caller wait.
func (n *network) leg(ctx context.Context, from, to string) error {
	n.mu.Lock()
	lost := n.cut[[2]string{from, to}]
	delay := latency + n.slow[from] + n.slow[to]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	wait(ctx, delay)
	return ctx.Err()
}

// fakeProber is the Prober of one host.
type fakeProber struct {
	network *network
	from    string
}

func carry[Q, A any](ctx context.Context, p *fakeProber, to string, r Q, call func(Responder, context.Context, Q) (A, error)) (A, error) {
	var none A
	if err := p.network.leg(ctx, p.from, to); err != nil {
		return none, err
	}
	p.network.mu.Lock()
	h := p.network.hosts[to]
	p.network.mu.Unlock()
	if h == nil {
		return none, errRefused
	}
	type result struct {
		answer A
		err    error
	}
	done := make(chan result, 1)
	go func() {
		h.gate()
		if ctx.Err() != nil {
			return
		}
		answer, err := call(h.Membership, ctx, r)
		done <- result{answer, err}
	}()
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case r := <-done:
		if err := p.network.leg(ctx, to, p.from); err != nil {
			return none, err
		}
		return r.answer, r.err
	}
}

func (p *fakeProber) Probe(ctx context.Context, address string, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error) {
	return carry(ctx, p, address, r, Responder.Probe)
}

func (p *fakeProber) Relay(ctx context.Context, address string, r *instancepb.RelayRequest) (*instancepb.RelayResponse, error) {
	return carry(ctx, p, address, r, Responder.Relay)
}

func (p *fakeProber) Sync(ctx context.Context, address string, r *instancepb.SyncRequest) (*instancepb.SyncResponse, error) {
	return carry(ctx, p, address, r, Responder.Sync)
}

// cluster is the members of one test with the platform's list.
type cluster struct {
	t       testing.TB
	network *network
	store   *memory.Store
	hosts   []*host
	tune    func(*Options)
}

// run calls test in virtual time with n joined serving members in three data
// centres, and stops them afterwards.
func run(t *testing.T, n int, tune func(*Options), test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, tune)
		defer c.close()
		c.within(30*time.Second, "all members know each other", func() bool { return c.agree(c.hosts...) })
		test(c)
	})
}

func newCluster(t testing.TB, n int, tune func(*Options)) *cluster {
	c := &cluster{
		t:       t,
		network: &network{hosts: map[string]*host{}, cut: map[[2]string]bool{}, slow: map[string]time.Duration{}},
		store:   memory.New(),
		tune:    tune,
	}
	c.list(n)
	for i := range n {
		c.start(fmt.Sprintf("i%03d", i), addressOf(i))
	}
	return c
}

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func dataCentreOf(i int) string { return []string{"centro", "tlaque", "zapo"}[i%3] }

// list makes the platform's list name the first n instances.
func (c *cluster) list(n int) {
	var list []storage.ListedInstance
	for i := range n {
		list = append(list, storage.ListedInstance{ID: fmt.Sprintf("i%03d", i), DataCentre: dataCentreOf(i), CallerAddress: addressOf(i), PeerAddress: addressOf(i)})
	}
	c.store.SetInstances(list)
}

func (c *cluster) start(id, address string) *host {
	h := &host{id: id, address: address, lifecycle: NewLifecycle(nil), done: make(chan struct{})}
	i := len(c.hosts)
	o := Options{
		Self:      Identity{ID: id, DataCentre: dataCentreOf(i), CallerAddress: address, PeerAddress: address},
		Lifecycle: h.lifecycle,
		List:      c.store,
		Prober:    &fakeProber{c.network, address},
		Seed:      uint64(i + 1),
		gate:      h.gate,
	}
	if c.tune != nil {
		c.tune(&o)
	}
	var err error
	if h.Membership, err = New(o); err != nil {
		c.t.Fatal(err)
	}
	if err := h.lifecycle.Serve(); err != nil {
		c.t.Fatal(err)
	}
	c.network.mu.Lock()
	c.network.hosts[address] = h
	c.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.done)
		h.Run(ctx)
	}()
	c.hosts = append(c.hosts, h)
	return h
}

// crash ends a host without a word.
func (c *cluster) crash(h *host) {
	c.network.mu.Lock()
	if c.network.hosts[h.address] == h {
		delete(c.network.hosts, h.address)
	}
	c.network.mu.Unlock()
	h.stop()
	<-h.done
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		c.crash(h)
	}
}

// separate cuts or joins all pairs of the two sides, both ways.
func (c *cluster) separate(a, b []*host, cut bool) {
	for _, x := range a {
		for _, y := range b {
			c.network.setCut(x.address, y.address, cut)
			c.network.setCut(y.address, x.address, cut)
		}
	}
}

// agree reports whether each of the hosts holds exactly these alive.
func (c *cluster) agree(hosts ...*host) bool {
	for _, h := range hosts {
		if len(h.View().Live()) != len(hosts) || h.healthy(Alive) != len(hosts) {
			return false
		}
		for _, o := range hosts {
			if _, ok := h.View().Find(o.id); !ok {
				return false
			}
		}
	}
	return true
}

// within waits in virtual time for a condition and returns how long it took.
func (c *cluster) within(bound time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	const poll = 100 * time.Millisecond
	for start := time.Now(); ; time.Sleep(poll) {
		if condition() {
			return time.Since(start)
		}
		if time.Since(start) > bound {
			c.t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

// totals sums the counts of the hosts.
func totals(hosts ...*host) (sum Counts) {
	for _, h := range hosts {
		s := h.State().Counts
		sum.Suspicions += s.Suspicions
		sum.Deaths += s.Deaths
		sum.Refutations += s.Refutations
		sum.Pauses += s.Pauses
	}
	return sum
}

func without(hosts []*host, gone *host) (rest []*host) {
	for _, h := range hosts {
		if h != gone {
			rest = append(rest, h)
		}
	}
	return rest
}
