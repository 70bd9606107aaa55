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

// fakeExecutor runs items with the function run, and counts the runs of each item
// by request id and in total.
type fakeExecutor struct {
	run func(ctx context.Context, id string) (string, error)

	mu    sync.Mutex
	runs  map[string]int
	total int
}

// newExecutor returns a fakeExecutor; with a nil run, every item is answered at
// once.
func newExecutor(run func(ctx context.Context, id string) (string, error)) *fakeExecutor {
	if run == nil {
		run = func(context.Context, string) (string, error) { return "done", nil }
	}
	return &fakeExecutor{run: run, runs: map[string]int{}}
}

func (e *fakeExecutor) record(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.total++
}

func (e *fakeExecutor) started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

func (e *fakeExecutor) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *fakeExecutor) Complete(ctx context.Context, c *contract.Completion, sink contract.ChunkSink) error {
	e.record(c.RequestID)
	text, err := e.run(ctx, c.RequestID)
	if err != nil {
		return err
	}
	return sink(contract.Chunk{Text: text, FinishReason: "stop", Usage: &contract.Usage{CompletionTokens: 1}})
}

func (e *fakeExecutor) Call(ctx context.Context, c *contract.PlainCall) (*contract.PlainAnswer, error) {
	e.record(c.RequestID)
	text, err := e.run(ctx, c.RequestID)
	if err != nil {
		return nil, err
	}
	return &contract.PlainAnswer{Status: 200, Body: []byte(text)}, nil
}

// fakeClaims stores claims in memory. All runners of a test share it. The answer
// of a claim that is not finished is nil.
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

// fakeView is a View whose members a test sets.
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

// chatLines returns input with n items of the model service.
func chatLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"chat","messages":[{"role":"user","content":"hello"}]}}`+"\n", i)
	}
	return b.String()
}

// plainLines returns input with n items of a plain service.
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
	if o.Document == nil {
		o.Document = testDocument
	}
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

// waitFor polls at growing intervals until the condition holds, and fails the test
// if it never does. Under synctest the time is virtual.
func waitFor(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for i := range 2000 {
		if holds() {
			return
		}
		time.Sleep(min(time.Second*time.Duration(1+i/60), time.Minute))
	}
	t.Fatalf("condition not reached: %s", condition)
}

// waitState waits until the job is in the state, and returns it.
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

// results returns the committed results of a job.
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

// checkEachOnce checks that the results contain each of the n items once, in
// order.
func checkEachOnce(t testing.TB, lines []ResultLine, n int) {
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

// fault is the fault that a faultStore injects into a write.
type fault int

const (
	noFault fault = iota
	// failWithoutEffect makes the write fail without effect.
	failWithoutEffect
	// loseResponse applies the write and loses its response.
	loseResponse
	// loseResponseAndCrash applies the write, loses its response and fails all later
	// operations, as if the instance had crashed.
	loseResponseAndCrash
)

// faultStore is the store as one instance reaches it. A test can delay, fail,
// change or lose the operations of that instance without affecting others.
type faultStore struct {
	Store

	mu       sync.Mutex
	writes   int
	injected int
	onWrite  func(n int, t *storage.Transaction) fault
	down     bool
	frozen   chan struct{}
}

func newFaultStore(store Store) *faultStore { return &faultStore{Store: store} }

// setWriteHook sets a function that is called before each write, may change its
// transaction, and returns the fault to inject. n is the number of the write,
// counted from 1; t is nil for objects.
func (s *faultStore) setWriteHook(onWrite func(n int, t *storage.Transaction) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = onWrite
}

// setDown sets whether every operation fails, as for an instance that crashed or is
// partitioned from the store.
func (s *faultStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// freeze makes waitThawed block until thaw is called. Write hooks call waitThawed.
func (s *faultStore) freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

func (s *faultStore) thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

func (s *faultStore) isFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen != nil
}

func (s *faultStore) waitThawed() {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (s *faultStore) injectedFaults() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.injected
}

// downError returns an error if the store is down for the instance.
func (s *faultStore) downError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return nil
	}
	s.injected++
	return code.New(code.StoreUnavailable, "the instance is partitioned from the store")
}

// write calls the hook, applies a write and injects the fault that the hook
// returned.
func (s *faultStore) write(t *storage.Transaction, apply func() error) error {
	s.mu.Lock()
	s.writes++
	n, onWrite := s.writes, s.onWrite
	s.mu.Unlock()
	f := noFault
	if onWrite != nil {
		f = onWrite(n, t)
	}
	if err := s.downError(); err != nil {
		return err
	}
	if f != noFault {
		s.mu.Lock()
		s.injected++
		s.mu.Unlock()
	}
	if f == failWithoutEffect {
		return code.New(code.StoreUnavailable, "injected failure")
	}
	err := apply()
	if f == loseResponseAndCrash {
		s.setDown(true)
	}
	if f == loseResponse || f == loseResponseAndCrash {
		return code.New(code.StoreUnknown, "response lost")
	}
	return err
}

func (s *faultStore) Apply(ctx context.Context, t storage.Transaction) (applied storage.Applied, err error) {
	err = s.write(&t, func() error {
		applied, err = s.Store.Apply(ctx, t)
		return err
	})
	if code.Of(err) == code.StoreUnknown {
		applied = storage.Applied{}
	}
	return applied, err
}

func (s *faultStore) Put(ctx context.Context, key string, body []byte) error {
	return s.write(nil, func() error { return s.Store.Put(ctx, key, body) })
}

func (s *faultStore) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := s.downError(); err != nil {
		return storage.Row{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultStore) Range(ctx context.Context, start, end string, limit int) ([]storage.Row, error) {
	if err := s.downError(); err != nil {
		return nil, err
	}
	return s.Store.Range(ctx, start, end, limit)
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

// withoutConditions removes the conditions of commits, as if the holder checked
// neither its token nor the job's state.
func withoutConditions(t *storage.Transaction) {
	if commits(t) {
		t.Conditions = nil
	}
}

// missingInput is a store that cannot read an object from its beginning. It counts
// the reads that fail for that reason.
type missingInput struct {
	Store
	object string

	mu    sync.Mutex
	reads int
}

func (m *missingInput) readCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

func (m *missingInput) Open(ctx context.Context, key string, offset, length int64) (io.ReadCloser, error) {
	if key != m.object || offset != 0 {
		return m.Store.Open(ctx, key, offset, length)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	return nil, code.New(code.StoreNotFound, "no object %q", key)
}
