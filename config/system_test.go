package config

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage/memory"
)

// network carries calls between the stores of one process and cuts links on
// request.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      func(from, to string) bool
	// frozen addresses take calls and never answer.
	frozen map[string]bool
	bodies map[string]int64
}

// reset forgets the bytes sent so far.
func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bodies = map[string]int64{}
}

// sent returns the bytes of all request bodies, and of those from one address.
func (n *network) sent(from string) (total, own int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.bodies {
		total += b
	}
	return total, n.bodies[from]
}

func (n *network) set(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// port is the network as seen from one address.
type port struct {
	network *network
	from    string
}

func (p port) Do(r *http.Request) (*http.Response, error) {
	n := p.network
	n.mu.Lock()
	h := n.handlers[r.URL.Host]
	cut := n.cut != nil && n.cut(p.from, r.URL.Host)
	frozen := n.frozen[r.URL.Host]
	n.bodies[p.from] += r.ContentLength
	n.mu.Unlock()
	if h == nil || cut {
		return nil, errors.New("connection refused")
	}
	if frozen {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// view is the peers of one instance.
type view struct {
	system *system
	self   string
}

func (v view) Addresses() []string {
	v.system.mu.Lock()
	defer v.system.mu.Unlock()
	var others []string
	for _, a := range v.system.live {
		if a != v.self {
			others = append(others, a)
		}
	}
	return others
}

func (v view) HTTP() connect.HTTPClient { return port{v.system.network, v.self} }

// system is a platform and the instances on it.
type system struct {
	platform *memory.Store
	network  *network

	mu     sync.Mutex
	live   []string
	stores map[string]*Store
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func newSystem(instances int) *system {
	y := &system{platform: memory.New(), network: &network{handlers: map[string]http.Handler{}, bodies: map[string]int64{}}, stores: map[string]*Store{}}
	for i := range instances {
		y.boot(i)
	}
	return y
}

// boot starts instance i with empty memory; it has not read anything yet.
func (y *system) boot(i int) *Store {
	a := address(i)
	s, err := New(Options{
		Table: y.platform, Objects: y.platform, Peers: view{y, a}, Address: a,
		IsolationLimit: DefaultIsolationLimit,
		Backoff:        retry.Backoff{Min: time.Microsecond, Max: time.Microsecond},
	})
	if err != nil {
		panic(err)
	}
	_, h := s.PeerHandler()
	y.network.set(a, h)
	y.mu.Lock()
	defer y.mu.Unlock()
	y.stores[a] = s
	if !slices.Contains(y.live, a) {
		y.live = append(y.live, a)
	}
	return s
}

func (y *system) crash(i int) { y.network.set(address(i), nil) }

func (y *system) at(i int) *Store {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.stores[address(i)]
}

// started returns a system whose instances have the document in force.
func started(t testing.TB, instances int) *system {
	t.Helper()
	y := newSystem(instances)
	for i := range instances {
		if err := y.at(i).start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	r := Request{ID: "first", Author: "ana", Edits: Diff(&contract.Document{}, example(t, "coordinacion"))}
	if a, err := y.at(0).Submit(t.Context(), r); err != nil || a.InForce != instances {
		t.Fatalf("first change: %+v, %v", a, err)
	}
	return y
}

func switchTo(id, preset string, base uint64) Request {
	return Request{ID: id, Author: "author-of-" + id, BaseVersion: base, Edits: Edits{Preset: preset}}
}

// preset submits a switch and fails the test when it is not accepted.
func (y *system) preset(t testing.TB, i int, id, name string) Accepted {
	t.Helper()
	a, err := y.at(i).Submit(context.Background(), switchTo(id, name, y.at(i).inForce()))
	if err != nil {
		t.Fatalf("change %s: %v", id, err)
	}
	return a
}

// inForce returns the version of every instance.
func (y *system) inForce() []uint64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	versions := make([]uint64, 0, len(y.live))
	for _, a := range y.live {
		versions = append(versions, y.stores[a].inForce())
	}
	return versions
}

func (y *system) expect(t testing.TB, version uint64) {
	t.Helper()
	for i, v := range y.inForce() {
		if v != version {
			t.Errorf("instance %d has version %d, want %d", i, v, version)
		}
	}
}
