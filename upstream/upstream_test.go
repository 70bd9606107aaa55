package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/standin/engine"
	"github.com/daisylb/daisylb/standin/pipes"
)

// harness is a dispatcher with a few stand-in engines.
type harness struct {
	*Dispatcher
	document atomic.Pointer[contract.Document]
	registry *prometheus.Registry
	options  Options
	engines  []*engine.Engine
	servers  []*httptest.Server
	close    func()
}

// publish puts a document in force.
func (h *harness) publish(d *contract.Document) { h.document.Store(d) }

// attempts returns the number of attempts that have ended.
func (h *harness) attempts() float64 { return h.counter("attempts") }

// counter returns the sum of a counter over its labels.
func (h *harness) counter(name string) float64 {
	families, err := h.registry.Gather()
	if err != nil {
		panic(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "daisylb_upstream_"+name+"_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}

// fastEngine has steps as short as timers allow.
var fastEngine = engine.Options{MaxRunning: 8, StepBase: time.Millisecond, ReportLag: 10 * time.Millisecond}

// newHarness starts n engines and a dispatcher on loopback. change may adjust the
// options and the document before.
func newHarness(t testing.TB, n int, eo engine.Options, change func(*Options, *contract.Document)) *harness {
	t.Helper()
	return newHarnessOn(t, testNetwork{serve: httptest.NewServer}, n, eo, change)
}

// testNetwork connects the servers and clients of a test. A nil transport means a
// default one.
type testNetwork struct {
	serve     func(http.Handler) *httptest.Server
	transport *http.Transport
}

// pipeNetwork returns a network of pipes, for tests in virtual time.
func pipeNetwork() testNetwork {
	network := pipes.Network{}
	return testNetwork{network.NewServer, network.Transport()}
}

// newHarnessOn is like newHarness on a given network.
func newHarnessOn(t testing.TB, network testNetwork, n int, eo engine.Options, change func(*Options, *contract.Document)) *harness {
	t.Helper()
	h := &harness{registry: prometheus.NewRegistry()}
	document := testDocument()
	for i := range n {
		e, err := engine.New(eo)
		if err != nil {
			t.Fatal(err)
		}
		server := network.serve(e)
		h.servers = append(h.servers, server)
		h.engines = append(h.engines, e)
		document.Upstreams[fmt.Sprintf("u%02d", i)] = contract.Upstream{
			Address: server.Listener.Addr().String(), DataCentre: "a", Services: []string{"chat"}, Slots: eo.MaxRunning,
		}
	}
	o := Options{Document: h.document.Load, DataCentre: "a", Seed: 1, PollInterval: 20 * time.Millisecond, Registerer: h.registry, Transport: network.transport}
	if change != nil {
		change(&o, document)
	}
	h.publish(document)
	d, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	h.Dispatcher, h.options = d, o
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	h.close = sync.OnceFunc(func() {
		cancel()
		<-done
		for i, e := range h.engines {
			e.Close()
			h.servers[i].CloseClientConnections()
			h.servers[i].Close()
		}
	})
	t.Cleanup(h.close)
	return h
}

// testDocument returns a document with one model service and no upstreams.
func testDocument() *contract.Document {
	return &contract.Document{
		Version:     1,
		Preset:      "normal",
		Presets:     map[string]contract.Preset{"normal": {BatchShare: 1, HeadroomSlots: 1, AdmitOnline: true, HedgeShare: 0.05}},
		DataCentres: map[string]contract.DataCentre{"a": {}},
		Services:    map[string]contract.Service{"chat": {Kind: contract.KindModel, Model: "m", Idempotent: true}},
		Upstreams:   map[string]contract.Upstream{},
		Accounts:    map[string]contract.Account{"acme": {Weight: 1}},
		Limits:      contract.Limits{MaxAnswerBytes: 1 << 20, RetryShare: 0.1},
	}
}

// call returns a call of the model service for an answer of exactly tokens tokens.
func call(class contract.Class, prompt string, tokens int) *contract.Completion {
	content, _ := json.Marshal(prompt)
	return &contract.Completion{
		RequestID: prompt, Account: "acme", Service: "chat", Class: class,
		Deadline: time.Now().Add(callTimeout),
		Chat: contract.ChatRequest{
			Model: "chat", MaxTokens: tokens,
			Messages: []contract.Message{{Role: "user", Content: content}},
			Extra:    map[string]json.RawMessage{"ignore_eos": json.RawMessage("true")},
		},
	}
}

// collect returns a sink that appends the answer to text.
func collect(text *strings.Builder) contract.ChunkSink {
	return func(c contract.Chunk) error {
		text.WriteString(c.Text)
		return nil
	}
}

// complete runs a call and checks its answer byte by byte.
func (h *harness) complete(t testing.TB, c *contract.Completion) {
	t.Helper()
	var text strings.Builder
	if err := h.Complete(context.Background(), c, collect(&text)); err != nil {
		t.Errorf("%s: %v", c.RequestID, err)
		return
	}
	if want := engine.Answer(c.Chat.Messages, c.Chat.MaxTokens); text.String() != want {
		t.Errorf("%s: got %q, want %q", c.RequestID, text.String(), want)
	}
}

func TestKilledStreamIsResumedElsewhereWithTheSameAnswer(t *testing.T) {
	h := newHarness(t, 3, fastEngine, nil)
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{KillAfter: 5, KillTimes: 1})
	}
	h.complete(t, call(contract.Online, "killed", 30))
	resumed := int64(0)
	for _, e := range h.engines {
		resumed += e.Counts().Resumed
	}
	if resumed == 0 {
		t.Error("no stream was killed and resumed")
	}
}

// TestCallThatIsNotIdempotentIsDispatchedOnce breaks the connection of a call with an
// idempotency key. On a kept-alive connection net/http would send such a request again,
// so that the test makes one call before that could leave a connection behind.
func TestCallThatIsNotIdempotentIsDispatchedOnce(t *testing.T) {
	received := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received <- r.URL.Path
		if r.URL.Path == "/break" {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	h := newHarness(t, 0, fastEngine, func(_ *Options, d *contract.Document) {
		d.Services["pickup"] = contract.Service{Kind: contract.KindPlain}
		d.Upstreams["p1"] = contract.Upstream{Address: server.Listener.Addr().String(), Services: []string{"pickup"}, Slots: 4}
	})
	post := func(path string) error {
		_, err := h.Call(context.Background(), &contract.PlainCall{Service: "pickup", Method: http.MethodPost, Path: path, IdempotencyKey: "k"})
		return err
	}
	if err := post("/fine"); err != nil {
		t.Fatal(err)
	}
	if err := post("/break"); code.Of(err) != code.OutcomeUnknown {
		t.Errorf("got %v, want %d", err, code.OutcomeUnknown)
	}
	if n := len(received); n != 2 {
		t.Errorf("dispatched %d requests, want 2", n)
	}
}
