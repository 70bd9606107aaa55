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

// bench is a dispatcher before a few stand-in engines on loopback.
type bench struct {
	*Dispatcher
	document atomic.Pointer[contract.Document]
	registry *prometheus.Registry
	options  Options
	engines  []*engine.Engine
	servers  []*httptest.Server
	close    func()
}

// publish brings a document in force.
func (b *bench) publish(d *contract.Document) { b.document.Store(d) }

// attempts returns the number of attempts that have ended.
func (b *bench) attempts() float64 { return b.counter("attempts") }

// counter returns the sum of a counter over its labels.
func (b *bench) counter(name string) float64 {
	families, err := b.registry.Gather()
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

// fastEngine has steps as short as the timers allow.
var fastEngine = engine.Options{MaxRunning: 8, StepBase: time.Millisecond, ReportLag: 10 * time.Millisecond}

func newBench(t testing.TB, n int, eo engine.Options, change func(*Options, *contract.Document)) *bench {
	t.Helper()
	return newBenchOn(t, fabric{serve: httptest.NewServer}, n, eo, change)
}

// fabric is what connects the servers of a test and their clients; the zero transport
// means that of the library.
type fabric struct {
	serve     func(http.Handler) *httptest.Server
	transport *http.Transport
}

// virtualFabric connects over pipes, for a test in virtual time.
func virtualFabric() fabric {
	network := pipes.Network{}
	return fabric{network.Serve, network.Transport()}
}

func newBenchOn(t testing.TB, f fabric, n int, eo engine.Options, change func(*Options, *contract.Document)) *bench {
	t.Helper()
	b := &bench{registry: prometheus.NewRegistry()}
	document := testDocument()
	for i := range n {
		e, err := engine.New(eo)
		if err != nil {
			t.Fatal(err)
		}
		server := f.serve(e)
		b.servers = append(b.servers, server)
		b.engines = append(b.engines, e)
		document.Upstreams[fmt.Sprintf("u%02d", i)] = contract.Upstream{
			Address: server.Listener.Addr().String(), DataCentre: "a", Services: []string{"chat"}, Slots: eo.MaxRunning,
		}
	}
	o := Options{Document: b.document.Load, DataCentre: "a", Seed: 1, PollInterval: 20 * time.Millisecond, Registerer: b.registry, Transport: f.transport}
	if change != nil {
		change(&o, document)
	}
	b.publish(document)
	d, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	b.Dispatcher, b.options = d, o
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	b.close = sync.OnceFunc(func() {
		cancel()
		<-done
		for i, e := range b.engines {
			e.Close()
			b.servers[i].CloseClientConnections()
			b.servers[i].Close()
		}
	})
	t.Cleanup(b.close)
	return b
}

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

func call(class contract.Class, prompt string, tokens int) *contract.Completion {
	content, _ := json.Marshal(prompt)
	return &contract.Completion{
		RequestID: prompt, Account: "acme", Service: "chat", Class: class,
		Deadline: time.Now().Add(callTime),
		Chat: contract.ChatRequest{
			Model: "chat", MaxTokens: tokens,
			Messages: []contract.Message{{Role: "user", Content: content}},
			Extra:    map[string]json.RawMessage{"ignore_eos": json.RawMessage("true")},
		},
	}
}

// collect returns a sink that gathers the answer.
func collect(text *strings.Builder) contract.ChunkSink {
	return func(c contract.Chunk) error {
		text.WriteString(c.Text)
		return nil
	}
}

// complete runs a call and checks its answer byte by byte.
func (b *bench) complete(t testing.TB, c *contract.Completion) {
	t.Helper()
	var text strings.Builder
	if err := b.Complete(context.Background(), c, collect(&text)); err != nil {
		t.Errorf("%s: %v", c.RequestID, err)
		return
	}
	if want := engine.Answer(c.Chat.Messages, c.Chat.MaxTokens); text.String() != want {
		t.Errorf("%s: got %q, want %q", c.RequestID, text.String(), want)
	}
}

func TestKilledStreamIsResumedElsewhereWithTheSameAnswer(t *testing.T) {
	b := newBench(t, 3, fastEngine, nil)
	for _, e := range b.engines {
		e.SetFaults(engine.Faults{KillAfter: 5, KillTimes: 1})
	}
	b.complete(t, call(contract.Online, "killed", 30))
	resumed := int64(0)
	for _, e := range b.engines {
		resumed += e.Counts().Resumed
	}
	if resumed == 0 {
		t.Error("no stream was killed and resumed")
	}
}

// A kept connection that breaks makes net/http repeat a request which has an
// idempotency key, so the first call here leaves one behind.
func TestCallThatIsNotIdempotentIsDispatchedOnce(t *testing.T) {
	received := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received <- r.URL.Path
		if r.URL.Path == "/break" {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	b := newBench(t, 0, fastEngine, func(_ *Options, d *contract.Document) {
		d.Services["pickup"] = contract.Service{Kind: contract.KindPlain}
		d.Upstreams["p1"] = contract.Upstream{Address: server.Listener.Addr().String(), Services: []string{"pickup"}, Slots: 4}
	})
	ask := func(path string) error {
		_, err := b.Call(context.Background(), &contract.PlainCall{Service: "pickup", Method: http.MethodPost, Path: path, IdempotencyKey: "k"})
		return err
	}
	if err := ask("/fine"); err != nil {
		t.Fatal(err)
	}
	if err := ask("/break"); code.Of(err) != code.OutcomeUnknown {
		t.Errorf("got %v, want %d", err, code.OutcomeUnknown)
	}
	if n := len(received); n != 2 {
		t.Errorf("dispatched %d requests, want 2", n)
	}
}
