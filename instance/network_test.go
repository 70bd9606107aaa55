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

// network delivers messages between the members of one test in virtual time.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// partitioned has the directed pairs of addresses between which messages
	// are lost.
	partitioned map[[2]string]bool
	// extraDelay is added to every message to and from an address.
	extraDelay map[string]time.Duration
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

// pausePoint blocks while the host is frozen.
func (h *host) pausePoint() {
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

func (h *host) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.frozen)
	h.frozen = nil
}

func (n *network) setPartitioned(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{from, to}] = partitioned
}

// transmit delays a message as on its way from one address to the other. A lost
// message blocks until ctx ends.
func (n *network) transmit(ctx context.Context, from, to string) error {
	n.mu.Lock()
	lost := n.partitioned[[2]string{from, to}]
	delay := latency + n.extraDelay[from] + n.extraDelay[to]
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

// deliver sends request r to the host at an address and returns its response,
// or an error when ctx ends first or no host has the address.
func deliver[Q, A any](ctx context.Context, p *fakeProber, to string, r Q, call func(Responder, context.Context, Q) (A, error)) (A, error) {
	var none A
	if err := p.network.transmit(ctx, p.from, to); err != nil {
		return none, err
	}
	p.network.mu.Lock()
	h := p.network.hosts[to]
	p.network.mu.Unlock()
	if h == nil {
		return none, errRefused
	}
	type result struct {
		response A
		err      error
	}
	done := make(chan result, 1)
	go func() {
		h.pausePoint()
		if ctx.Err() != nil {
			return
		}
		response, err := call(h.Membership, ctx, r)
		done <- result{response, err}
	}()
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case r := <-done:
		if err := p.network.transmit(ctx, to, p.from); err != nil {
			return none, err
		}
		return r.response, r.err
	}
}

func (p *fakeProber) Probe(ctx context.Context, address string, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error) {
	return deliver(ctx, p, address, r, Responder.Probe)
}

func (p *fakeProber) Relay(ctx context.Context, address string, r *instancepb.RelayRequest) (*instancepb.RelayResponse, error) {
	return deliver(ctx, p, address, r, Responder.Relay)
}

func (p *fakeProber) Sync(ctx context.Context, address string, r *instancepb.SyncRequest) (*instancepb.SyncResponse, error) {
	return deliver(ctx, p, address, r, Responder.Sync)
}

// cluster holds the members of one test and the platform's list.
type cluster struct {
	t         testing.TB
	network   *network
	store     *memory.Store
	hosts     []*host
	configure func(*Options)
}

// run calls test in virtual time with n joined serving members in three data
// centres, and stops them afterwards.
func run(t *testing.T, n int, configure func(*Options), test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, configure)
		defer c.close()
		c.waitFor(30*time.Second, "all members know each other", func() bool { return c.agree(c.hosts...) })
		test(c)
	})
}

func newCluster(t testing.TB, n int, configure func(*Options)) *cluster {
	c := &cluster{
		t:         t,
		network:   &network{hosts: map[string]*host{}, partitioned: map[[2]string]bool{}, extraDelay: map[string]time.Duration{}},
		store:     memory.New(),
		configure: configure,
	}
	c.setList(n)
	for i := range n {
		c.start(fmt.Sprintf("i%03d", i), addressOf(i))
	}
	return c
}

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func dataCentreOf(i int) string { return []string{"centro", "tlaque", "zapo"}[i%3] }

// setList sets the platform's list to the first n instances.
func (c *cluster) setList(n int) {
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
		Self:       Identity{ID: id, DataCentre: dataCentreOf(i), CallerAddress: address, PeerAddress: address},
		Lifecycle:  h.lifecycle,
		List:       c.store,
		Prober:     &fakeProber{c.network, address},
		Seed:       uint64(i + 1),
		pausePoint: h.pausePoint,
	}
	if c.configure != nil {
		c.configure(&o)
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

// crash stops a host without a planned stop and without notice to the others.
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

// setPartitioned partitions or reconnects all pairs of the two sides, in both
// directions.
func (c *cluster) setPartitioned(a, b []*host, partitioned bool) {
	for _, x := range a {
		for _, y := range b {
			c.network.setPartitioned(x.address, y.address, partitioned)
			c.network.setPartitioned(y.address, x.address, partitioned)
		}
	}
}

// agree reports whether the view of each of the hosts holds exactly these
// hosts, all alive.
func (c *cluster) agree(hosts ...*host) bool {
	for _, h := range hosts {
		if len(h.View().Live()) != len(hosts) || h.countHealth(Alive) != len(hosts) {
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

// waitFor waits in virtual time for a condition and returns how long it took.
// It fails the test after bound.
func (c *cluster) waitFor(bound time.Duration, description string, condition func() bool) time.Duration {
	c.t.Helper()
	const poll = 100 * time.Millisecond
	for start := time.Now(); ; time.Sleep(poll) {
		if condition() {
			return time.Since(start)
		}
		if time.Since(start) > bound {
			c.t.Fatalf("condition not met within %v: %s", bound, description)
		}
	}
}

// totals returns the sums of the counts of the hosts.
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

func without(hosts []*host, excluded *host) (rest []*host) {
	for _, h := range hosts {
		if h != excluded {
			rest = append(rest, h)
		}
	}
	return rest
}
