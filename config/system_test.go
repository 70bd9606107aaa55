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

// network delivers calls between the stores of one process and can partition
// them.
type network struct {
	mu          sync.Mutex
	handlers    map[string]http.Handler
	partitioned func(from, to string) bool
	// frozen addresses accept calls and never respond.
	frozen map[string]bool
	// bodyBytes counts the bytes of the request bodies sent, by address.
	bodyBytes map[string]int64
}

// resetBytes resets the counts of bytes sent.
func (n *network) resetBytes() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bodyBytes = map[string]int64{}
}

// bytesSent returns the bytes of all request bodies, and of those from one
// address.
func (n *network) bytesSent(from string) (total, own int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.bodyBytes {
		total += b
	}
	return total, n.bodyBytes[from]
}

func (n *network) setHandler(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

func (n *network) setPartitioned(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// peerTransport is an HTTP client for calls from one address through the
// network.
type peerTransport struct {
	network *network
	from    string
}

func (p peerTransport) Do(r *http.Request) (*http.Response, error) {
	n := p.network
	n.mu.Lock()
	h := n.handlers[r.URL.Host]
	partitioned := n.partitioned != nil && n.partitioned(p.from, r.URL.Host)
	frozen := n.frozen[r.URL.Host]
	n.bodyBytes[p.from] += r.ContentLength
	n.mu.Unlock()
	if h == nil || partitioned {
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

// peerView implements Peers for one instance of a system.
type peerView struct {
	system *system
	self   string
}

func (v peerView) Addresses() []string {
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

func (v peerView) HTTP() connect.HTTPClient { return peerTransport{v.system.network, v.self} }

// system is a platform and the instances that use it.
type system struct {
	platform *memory.Store
	network  *network

	mu     sync.Mutex
	live   []string
	stores map[string]*Store
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func newSystem(instances int) *system {
	sys := &system{platform: memory.New(), network: &network{handlers: map[string]http.Handler{}, bodyBytes: map[string]int64{}}, stores: map[string]*Store{}}
	for i := range instances {
		sys.boot(i)
	}
	return sys
}

// boot creates instance i, or replaces it, without a configuration.
func (sys *system) boot(i int) *Store {
	a := address(i)
	s, err := New(Options{
		Table: sys.platform, Objects: sys.platform, Peers: peerView{sys, a}, Address: a,
		IsolationLimit: DefaultIsolationLimit,
		Backoff:        retry.Backoff{Min: time.Microsecond, Max: time.Microsecond},
	})
	if err != nil {
		panic(err)
	}
	_, h := s.PeerHandler()
	sys.network.setHandler(a, h)
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.stores[a] = s
	if !slices.Contains(sys.live, a) {
		sys.live = append(sys.live, a)
	}
	return s
}

func (sys *system) crash(i int) { sys.network.setHandler(address(i), nil) }

func (sys *system) store(i int) *Store {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return sys.stores[address(i)]
}

// startSystem returns a system whose instances have the example document in
// force as version 1.
func startSystem(t testing.TB, instances int) *system {
	t.Helper()
	sys := newSystem(instances)
	for i := range instances {
		if err := sys.store(i).start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	r := Request{ID: "first", Author: "ana", Edits: Diff(&contract.Document{}, example(t, "coordinacion"))}
	if a, err := sys.store(0).Submit(t.Context(), r); err != nil || a.InForce != instances {
		t.Fatalf("first change: %+v, %v", a, err)
	}
	return sys
}

func switchRequest(id, preset string, base uint64) Request {
	return Request{ID: id, Author: "author-of-" + id, BaseVersion: base, Edits: Edits{Preset: preset}}
}

// switchPreset submits a change of the preset and fails the test if it is not
// accepted.
func (sys *system) switchPreset(t testing.TB, i int, id, name string) Accepted {
	t.Helper()
	a, err := sys.store(i).Submit(context.Background(), switchRequest(id, name, sys.store(i).inForce()))
	if err != nil {
		t.Fatalf("change %s: %v", id, err)
	}
	return a
}

// inForce returns the version in force at each instance.
func (sys *system) inForce() []uint64 {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	versions := make([]uint64, 0, len(sys.live))
	for _, a := range sys.live {
		versions = append(versions, sys.stores[a].inForce())
	}
	return versions
}

func (sys *system) expectVersion(t testing.TB, version uint64) {
	t.Helper()
	for i, v := range sys.inForce() {
		if v != version {
			t.Errorf("instance %d has version %d, want %d", i, v, version)
		}
	}
}
