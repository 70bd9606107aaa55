package claim_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/claim/claimpb/claimpbconnect"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	platformstandin "github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/standin/service"
	"github.com/daisylb/daisylb/storage/guard"
	"github.com/daisylb/daisylb/storage/httpstore"
	"github.com/daisylb/daisylb/storage/memory"
)

// socketFleet is a fleet on sockets: instances, a store and a plain service.
type socketFleet struct {
	platform  *memory.Store
	service   *service.Service
	url       string
	instances []*claim.Service
	client    *http.Client
}

func newSocketFleet(t *testing.T, instances int) *socketFleet {
	t.Helper()
	f := &socketFleet{platform: memory.New(), service: service.New()}
	transport := &http.Transport{}
	f.client = &http.Client{Transport: transport}
	platformServer := httptest.NewServer(platformstandin.New(f.platform))
	serviceServer := httptest.NewServer(f.service)
	f.url = serviceServer.URL
	all := &view{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	closers := []func(){transport.CloseIdleConnections, platformServer.Close, serviceServer.Close}
	var live []claim.Peer
	for i := range instances {
		store, err := httpstore.New(httpstore.Options{URL: platformServer.URL})
		if err != nil {
			t.Fatal(err)
		}
		guarded, err := guard.New(guard.Options{Store: store, LiveInstances: func() int { return instances }})
		if err != nil {
			t.Fatal(err)
		}
		id := strconv.Itoa(i)
		s, err := claim.New(claim.Options{
			InstanceID: id, View: all, InlineBytes: 16,
			Table: guarded.View(guard.Urgent), Objects: guarded.View(guard.Urgent), OwnerTable: guarded.View(guard.Owner), OwnerObjects: guarded.View(guard.Owner),
			SweepTable: guarded.View(guard.Poll), SweepObjects: guarded.View(guard.Poll),
			Dial: func(address string) claimpbconnect.ClaimsClient {
				return claimpbconnect.NewClaimsClient(f.client, "http://"+address)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		_, handler := s.Handler()
		server := httptest.NewServer(handler)
		closers = append(closers, func() { _ = store.Close() }, server.Close)
		live = append(live, claim.Peer{ID: id, Address: server.Listener.Addr().String()})
		f.instances = append(f.instances, s)
		running.Go(func() { _ = s.Run(ctx) })
	}
	all.set(live)
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, c := range closers {
			c()
		}
	})
	return f
}

// dispatch calls the plain service once.
func (f *socketFleet) dispatch(ctx context.Context, key string) (contract.PlainAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/confirm", nil)
	if err != nil {
		return contract.PlainAnswer{}, code.Wrap(code.Internal, err, "no request").WithOutcome(code.NotRun)
	}
	// net/http retries requests that have this header under its canonical name.
	request.Header["idempotency-key"] = []string{key}
	response, err := f.client.Do(request)
	if err != nil {
		return contract.PlainAnswer{}, code.Wrap(code.UpstreamFailed, err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable {
		return contract.PlainAnswer{}, code.New(code.UpstreamRefused, "refused")
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return contract.PlainAnswer{}, code.Wrap(code.UpstreamFailed, err, "no whole answer")
	}
	return contract.PlainAnswer{Status: response.StatusCode, Body: body}, nil
}

// resendBackoff is the delay between two resends of a call.
var resendBackoff = retry.Backoff{Min: 20 * time.Millisecond, Max: 100 * time.Millisecond}

// callUntilResolved resends a call until its outcome is final.
func (f *socketFleet) callUntilResolved(ctx context.Context, instance int, key string) (contract.PlainAnswer, code.Number) {
	for attempt := 0; ; attempt++ {
		answer, err := f.instances[instance].Do(ctx, params(key), func(ctx context.Context) (contract.PlainAnswer, error) {
			return f.dispatch(ctx, key)
		})
		switch number := code.Of(err); number {
		case 0, code.OutcomeUnknown:
			return answer, number
		}
		if resendBackoff.Sleep(ctx, attempt) != nil {
			return answer, code.Of(err)
		}
	}
}

// TestCallsOverSocketsRunOnce sends every call to all instances at the same time. The
// store loses one response in five, and the service loses responses, refuses calls
// and sends invalid ones. Each call must run once, and all instances must return the
// same result.
func TestCallsOverSocketsRunOnce(t *testing.T) {
	goleak.VerifyNone(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	const instances, keys = 3, 12
	f := newSocketFleet(t, instances)
	f.platform.Faults().Set(memory.FaultSettings{LoseShare: 0.2, Seed: 1})
	modes := []service.Mode{service.ModeNone, service.ModeLost, service.ModeRefuse, service.ModeGarbage}
	for i := range keys {
		key := strconv.Itoa(i)
		f.service.SetFaults(service.Faults{Mode: modes[i%len(modes)], Next: 1})
		var answers [instances]contract.PlainAnswer
		var numbers [instances]code.Number
		var racing sync.WaitGroup
		for instance := range instances {
			racing.Go(func() { answers[instance], numbers[instance] = f.callUntilResolved(t.Context(), instance, key) })
		}
		racing.Wait()
		for instance := range instances {
			if numbers[instance] != numbers[0] || !bytes.Equal(answers[instance].Body, answers[0].Body) {
				t.Errorf("key %s: instance %d says %d %s, instance 0 %d %s", key, instance, numbers[instance], answers[instance].Body, numbers[0], answers[0].Body)
			}
		}
		if runs := f.service.Runs()[key]; runs != 1 {
			t.Errorf("key %s: %d runs, want 1", key, runs)
		}
	}
	if f.platform.Faults().Counts().Lost == 0 {
		t.Error("no answer of the store was lost")
	}
}
