package claim_test

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/claim/claimpb/claimpbconnect"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage/memory"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// fleet is a number of instances in one process that share a store and call each
// other without sockets.
type fleet struct {
	store     *memory.Store
	instances []*instance

	mu           sync.Mutex
	disconnected map[string]bool
	// frozen instances accept calls and never reply.
	frozen map[string]bool
	// forwardsToLose is the number of replies between instances still to lose,
	// lostForwards the number lost so far.
	forwardsToLose int
	lostForwards   int
	runs           map[string]int
}

// instance is one Service of the fleet.
type instance struct {
	*claim.Service
	id      string
	handler http.Handler
	view    *view
	cancel  context.CancelFunc
	done    chan struct{}
}

// view is a view of live instances that a test sets.
type view struct {
	mu   sync.Mutex
	live []claim.Peer
}

func (v *view) Live() []claim.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.live
}

func (v *view) set(live []claim.Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.live = live
}

func newFleet(size int, adjust func(*claim.Options)) *fleet {
	f := &fleet{store: memory.New(), disconnected: map[string]bool{}, frozen: map[string]bool{}, runs: map[string]int{}}
	var live []claim.Peer
	for i := range size {
		id := "i" + strconv.Itoa(i)
		live = append(live, claim.Peer{ID: id, Address: id})
	}
	for _, p := range live {
		f.instances = append(f.instances, f.start(p.ID, live, adjust))
	}
	return f
}

func (f *fleet) start(id string, live []claim.Peer, adjust func(*claim.Options)) *instance {
	m := &instance{id: id, view: &view{live: live}, done: make(chan struct{})}
	o := claim.Options{
		InstanceID: id,
		Table:      f.store,
		Objects:    f.store,
		View:       m.view,
		Dial: func(address string) claimpbconnect.ClaimsClient {
			return claimpbconnect.NewClaimsClient(&http.Client{Transport: transport{f, address}}, "http://"+address)
		},
	}
	if adjust != nil {
		adjust(&o)
	}
	service, err := claim.New(o)
	if err != nil {
		panic(err)
	}
	m.Service = service
	_, m.handler = service.Handler()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		_ = service.Run(ctx)
	}()
	return m
}

// kill stops an instance without a drain: answers that are not stored are lost.
func (f *fleet) kill(i int) {
	f.disconnect(f.instances[i].id, true)
	f.instances[i].cancel()
}

func (f *fleet) stop() {
	for _, m := range f.instances {
		m.cancel()
		<-m.done
	}
}

func (f *fleet) disconnect(id string, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected[id] = disconnected
}

func (f *fleet) freeze(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[id] = true
}

// lostAnswers returns the number of lost responses so far, of the store and between
// instances.
func (f *fleet) lostAnswers() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Faults().Counts().Lost + int64(f.lostForwards)
}

// loseForwards loses the next n replies between instances.
func (f *fleet) loseForwards(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forwardsToLose = n
}

// transport carries the calls to one instance.
type transport struct {
	fleet *fleet
	id    string
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.fleet.mu.Lock()
	disconnected, frozen := t.fleet.disconnected[t.id], t.fleet.frozen[t.id]
	lost := !disconnected && t.fleet.forwardsToLose > 0
	if lost {
		t.fleet.forwardsToLose--
		t.fleet.lostForwards++
	}
	t.fleet.mu.Unlock()
	if disconnected {
		return nil, errors.New("connection refused")
	}
	if frozen {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	recorder := httptest.NewRecorder()
	for _, m := range t.fleet.instances {
		if m.id == t.id {
			m.handler.ServeHTTP(recorder, r)
		}
	}
	if lost {
		return nil, errors.New("connection reset")
	}
	return recorder.Result(), nil
}

// run counts a run of the key and returns an answer that contains the key and the
// count.
func (f *fleet) run(key string) contract.PlainAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	return contract.PlainAnswer{Status: http.StatusOK, Body: []byte(key + " run " + strconv.Itoa(f.runs[key]))}
}

func (f *fleet) runsOf(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

func params(key string) claim.Params {
	return claim.Params{Account: "a", Service: "s", Key: key, Content: []byte("content of " + key)}
}

// do sends a call that succeeds to an instance.
func (f *fleet) do(ctx context.Context, i int, key string) (contract.PlainAnswer, error) {
	return f.instances[i].Do(ctx, params(key), func(context.Context) (contract.PlainAnswer, error) {
		return f.run(key), nil
	})
}

// runFleet calls f with a new fleet in virtual time.
func runFleet(t *testing.T, size int, adjust func(*claim.Options), f func(t *testing.T, fleet *fleet)) {
	t.Helper()
	runSynctest(t, func(t *testing.T) {
		fleet := newFleet(size, adjust)
		defer fleet.stop()
		f(t, fleet)
	})
}
