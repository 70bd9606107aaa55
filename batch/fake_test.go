package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
)

const account = "loomcare"

func testDocument() *contract.Document {
	return &contract.Document{
		Services: map[string]contract.Service{
			"chat":   {Kind: contract.KindModel, Idempotent: true},
			"quote":  {Kind: contract.KindPlain, Idempotent: true},
			"pickup": {Kind: contract.KindPlain},
		},
		Accounts: map[string]contract.Account{account: {}, "small": {MaxJobItems: 3}},
		Limits:   contract.Limits{ItemAttempts: 3, MaxJobItems: 1_000_000, MaxAnswerBytes: 1 << 20},
	}
}

// fakeExecutor counts the runs of each item by request id and does what run
// says.
type fakeExecutor struct {
	run func(ctx context.Context, id string) (string, error)

	mu    sync.Mutex
	runs  map[string]int
	begun int
}

func newExecutor(run func(ctx context.Context, id string) (string, error)) *fakeExecutor {
	if run == nil {
		run = func(context.Context, string) (string, error) { return "done", nil }
	}
	return &fakeExecutor{run: run, runs: map[string]int{}}
}

func (e *fakeExecutor) note(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.begun++
}

func (e *fakeExecutor) started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

func (e *fakeExecutor) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *fakeExecutor) Complete(ctx context.Context, c *contract.Completion, sink contract.ChunkSink) error {
	e.note(c.RequestID)
	text, err := e.run(ctx, c.RequestID)
	if err != nil {
		return err
	}
	return sink(contract.Chunk{Text: text, FinishReason: "stop", Usage: &contract.Usage{CompletionTokens: 1}})
}

func (e *fakeExecutor) Call(ctx context.Context, c *contract.PlainCall) (*contract.PlainAnswer, error) {
	e.note(c.RequestID)
	text, err := e.run(ctx, c.RequestID)
	if err != nil {
		return nil, err
	}
	return &contract.PlainAnswer{Status: 200, Body: []byte(text)}, nil
}

// fakeClaims keeps claims in memory, shared by all runners of a test.
type fakeClaims struct {
	mu      sync.Mutex
	claimed map[string]*contract.PlainAnswer
}

func newClaims() *fakeClaims { return &fakeClaims{claimed: map[string]*contract.PlainAnswer{}} }

func (c *fakeClaims) Claim(_ context.Context, account, service, key string, _ []byte) (ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, ok := c.claimed[account+service+key]
	switch {
	case !ok:
		c.claimed[account+service+key] = nil
		return ClaimResult{Outcome: ClaimGranted}, nil
	case answer == nil:
		return ClaimResult{Outcome: ClaimTaken}, nil
	default:
		return ClaimResult{Outcome: ClaimFinished, Answer: answer}, nil
	}
}

func (c *fakeClaims) Finish(_ context.Context, account, service, key string, answer *contract.PlainAnswer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed[account+service+key] = answer
	return nil
}

func (c *fakeClaims) Release(_ context.Context, account, service, key string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claimed, account+service+key)
	return nil
}

type fakeView struct {
	self string

	mu      sync.Mutex
	members []string
}

func newView(self string, members ...string) *fakeView {
	return &fakeView{self: self, members: append(members, self)}
}

func (v *fakeView) Self() string { return v.self }

func (v *fakeView) Members() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

func (v *fakeView) set(members ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = members
}

func chatLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"chat","messages":[{"role":"user","content":"hello"}]}}`+"\n", i)
	}
	return b.String()
}

func plainLines(service string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/s/%s/do","body":{"n":%d}}`+"\n", i, service, i)
	}
	return b.String()
}

func newTestService(t testing.TB, store Store) *Service {
	t.Helper()
	s, err := NewService(ServiceOptions{Store: store, Document: testDocument})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func submit(t testing.TB, s *Service, key, input string) Job {
	t.Helper()
	job, err := s.Submit(context.Background(), account, key, Request{Input: strings.NewReader(input)})
	if err != nil {
		t.Fatal(err)
	}
	return job
}

// testRunner is a runner that a test starts and stops.
type testRunner struct {
	*Runner
	view *fakeView
	stop func()
}

func startRunner(t testing.TB, o RunnerOptions) *testRunner {
	t.Helper()
	view, ok := o.View.(*fakeView)
	if !ok {
		view = newView("i1")
		o.View = view
	}
	if o.Claims == nil {
		o.Claims = newClaims()
	}
	o.Document = testDocument
	r, err := NewRunner(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := r.Run(ctx); err != nil {
			t.Errorf("Run: %v", err)
		}
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	return &testRunner{Runner: r, view: view, stop: stop}
}

// waitFor polls, ever more rarely, until the condition holds. Under synctest the
// wait is virtual.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for i := range 2000 {
		if holds() {
			return
		}
		time.Sleep(min(time.Second*time.Duration(1+i/60), time.Minute))
	}
	t.Fatalf("never: %s", what)
}

func waitState(t testing.TB, s *Service, id string, want State) Job {
	t.Helper()
	var job Job
	waitFor(t, fmt.Sprintf("job %s", want), func() bool {
		var err error
		job, err = s.Status(context.Background(), account, id)
		return err == nil && job.State == want
	})
	return job
}

func results(t testing.TB, s *Service, id string) []ResultLine {
	t.Helper()
	var b bytes.Buffer
	if _, err := s.Results(context.Background(), account, id, 0, &b); err != nil && code.Of(err) != code.ResultsNotReady {
		t.Fatal(err)
	}
	var lines []ResultLine
	d := json.NewDecoder(&b)
	for d.More() {
		var l ResultLine
		if err := d.Decode(&l); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l)
	}
	return lines
}

// checkOnce checks that the results have each of the n items once, in order.
func checkOnce(t testing.TB, lines []ResultLine, n int) {
	t.Helper()
	if len(lines) != n {
		t.Fatalf("%d results, want %d", len(lines), n)
	}
	for i, l := range lines {
		if want := fmt.Sprintf("item-%d", i); l.CustomID != want {
			t.Fatalf("result %d is of %s, want %s", i, l.CustomID, want)
		}
	}
}

// fault is what a gate does to an operation.
type fault int

const (
	none fault = iota
	// fails makes the operation fail without effect.
	fails
	// loses makes the operation take effect and its answer be lost.
	loses
	// dies makes the operation take effect and the instance die.
	dies
)

// gate is one instance's way to the store. A test can hold back, fail, change
// or lose its operations without touching those of other instances.
type gate struct {
	Store

	mu       sync.Mutex
	writes   int
	injected int
	onWrite  func(n int, t *storage.Transaction) fault
	dead     bool
	frozen   chan struct{}
}

func newGate(store Store) *gate { return &gate{Store: store} }

// hook sets what happens to writes. n counts them from 1; t is nil for objects.
func (g *gate) hook(onWrite func(n int, t *storage.Transaction) fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onWrite = onWrite
}

// kill makes every operation fail from now on, as for an instance that died.
func (g *gate) kill(dead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = dead
}

// freeze holds back the commits of the instance until thaw.
func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) isFrozen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen != nil
}

func (g *gate) stall() {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (g *gate) faults() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.injected
}

func (g *gate) isDead() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.dead {
		return nil
	}
	g.injected++
	return code.New(code.StoreUnavailable, "cut off")
}

func (g *gate) write(t *storage.Transaction, apply func() error) error {
	g.mu.Lock()
	g.writes++
	n, onWrite := g.writes, g.onWrite
	g.mu.Unlock()
	f := none
	if onWrite != nil {
		f = onWrite(n, t)
	}
	if err := g.isDead(); err != nil {
		return err
	}
	if f != none {
		g.mu.Lock()
		g.injected++
		g.mu.Unlock()
	}
	if f == fails {
		return code.New(code.StoreUnavailable, "made to fail")
	}
	err := apply()
	if f == dies {
		g.kill(true)
	}
	if f == loses || f == dies {
		return code.New(code.StoreUnknown, "answer lost")
	}
	return err
}

func (g *gate) Apply(ctx context.Context, t storage.Transaction) (applied storage.Applied, err error) {
	err = g.write(&t, func() error {
		applied, err = g.Store.Apply(ctx, t)
		return err
	})
	if code.Of(err) == code.StoreUnknown {
		applied = storage.Applied{}
	}
	return applied, err
}

func (g *gate) Put(ctx context.Context, key string, body []byte) error {
	return g.write(nil, func() error { return g.Store.Put(ctx, key, body) })
}

func (g *gate) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := g.isDead(); err != nil {
		return storage.Row{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gate) Range(ctx context.Context, start, end string, limit int) ([]storage.Row, error) {
	if err := g.isDead(); err != nil {
		return nil, err
	}
	return g.Store.Range(ctx, start, end, limit)
}

// commits reports whether the transaction commits results of a segment.
func commits(t *storage.Transaction) bool {
	if t == nil {
		return false
	}
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, segmentPrefix) && bytes.Contains(w.Value, []byte(`"parts"`)) {
			return true
		}
	}
	return false
}

// withoutConditions makes a gate's commits those of a naive holder that checks
// neither token nor job.
func withoutConditions(t *storage.Transaction) {
	if commits(t) {
		t.Conditions = nil
	}
}

// missingInput is a store that lacks the first bytes of an object.
type missingInput struct {
	Store
	object string

	mu   sync.Mutex
	asks int
}

func (m *missingInput) asked() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asks
}

func (m *missingInput) Open(ctx context.Context, key string, offset, length int64) (io.ReadCloser, error) {
	if key != m.object || offset != 0 {
		return m.Store.Open(ctx, key, offset, length)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asks++
	return nil, code.New(code.StoreNotFound, "no object %q", key)
}
