package job_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// fleet is a few services that share a store and run items on a fake upstream.
type fleet struct {
	t        *testing.T
	store    *memory.Rows
	route    contract.Route
	services []*member

	mu    sync.Mutex
	alive map[string]bool
	// replaced are processes whose machine runs another one now.
	replaced map[string]bool
	runs     map[string]int
	// from has the events after which runs of an item began.
	from map[string][]string
}

// access is the store as one member reaches it.
type access struct {
	*memory.Rows
	// deaf members hear of no changes; latency is what an object takes to be
	// stored.
	deaf    atomic.Bool
	latency atomic.Int64
}

func (a *access) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	page, err := a.Rows.RowChanges(ctx, table, after, wait)
	if !a.deaf.Load() {
		return page, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return storage.RowPage{Version: after}, nil
}

func (a *access) PutBlob(ctx context.Context, name string, body []byte) error {
	time.Sleep(time.Duration(a.latency.Load()))
	return a.Rows.PutBlob(ctx, name, body)
}

type member struct {
	*job.Service
	fleet  *fleet
	access *access
	// frozen members hear of the end of an item late, of the last one first.
	frozen atomic.Bool
	cancel context.CancelFunc
	done   chan struct{}
}

const (
	itemEvents = 10
	eventTime  = 500 * time.Millisecond
)

// Forward runs an item on the fleet's upstream.
func (m *member) Forward(ctx context.Context, c *contract.Forwarding, sink contract.ForwardSink) error {
	err := m.fleet.Forward(ctx, c, sink)
	if m.frozen.Load() {
		time.Sleep(time.Duration('z'-c.RequestID[len(c.RequestID)-1]) * time.Second)
	}
	return err
}

func newFleet(t *testing.T, n int, change func(*contract.Route)) *fleet {
	f := &fleet{
		t: t, store: memory.NewRows(), alive: map[string]bool{}, replaced: map[string]bool{}, runs: map[string]int{}, from: map[string][]string{},
		route: contract.Route{
			Host: "h", Prefix: "/lot/", Kind: contract.RouteBatch, MaxAttempts: 3,
			Completion: 18 * time.Second, Keep: time.Minute, Split: []contract.Share{{Service: "s", Weight: 1}},
		},
	}
	if change != nil {
		change(&f.route)
	}
	for i := range n {
		f.start("p" + strconv.Itoa(i))
	}
	return f
}

func (f *fleet) start(process string) *member {
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{fleet: f, cancel: cancel, done: make(chan struct{}), access: &access{Rows: f.store}}
	f.mu.Lock()
	f.alive[process] = true
	f.mu.Unlock()
	m.Service = job.New(job.Options{
		Store: m.access, Process: process, Forwarder: m, Retention: time.Hour, Log: zap.NewNop(),
		Fleet: func() job.Fleet {
			f.mu.Lock()
			defer f.mu.Unlock()
			return job.Fleet{Known: true, Alive: copyOf(f.alive), Replaced: func(p string, _ uint64) bool { return f.replaced[p] }}
		},
		Routing:  func() *contract.Routing { return &contract.Routing{Version: 1, Routes: []contract.Route{f.route}} },
		Decode:   func(raw []byte) ([]job.Item, error) { return items(strings.Fields(string(raw))...), nil },
		Describe: func(c *contract.Forwarding, it *job.Item) { c.RequestID = it.ID },
	})
	go func() { defer close(m.done); _ = m.Run(ctx) }()
	f.services = append(f.services, m)
	return m
}

func copyOf(m map[string]bool) map[string]bool {
	c := map[string]bool{}
	for k, v := range m {
		c[k] = v
	}
	return c
}

// kill ends a member without a hand-over: its process is gone.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	delete(f.alive, "p"+strconv.Itoa(i))
	f.mu.Unlock()
	m := f.services[i]
	m.cancel()
	<-m.done
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	m.Stop(ended)
}

func (f *fleet) close() {
	for i := range f.services {
		f.kill(i)
	}
	f.store.Settle()
}

func items(ids ...string) []job.Item {
	var list []job.Item
	for _, id := range ids {
		list = append(list, job.Item{ID: id, Path: "/lot/x", Body: []byte("body of " + id), Tokens: 100, Header: http.Header{}})
	}
	return list
}

func (f *fleet) submission(id string, names ...string) job.Submission {
	route := f.route
	return job.Submission{ID: id, Route: &route, Host: "h", Items: items(names...), Raw: []byte(strings.Join(names, " "))}
}

// Forward plays an upstream: an item is a stream of events; an item whose id
// begins with "poison" or "broken" fails.
func (f *fleet) Forward(ctx context.Context, c *contract.Forwarding, sink contract.ForwardSink) error {
	f.mu.Lock()
	f.runs[c.RequestID]++
	f.from[c.RequestID] = append(f.from[c.RequestID], c.LastEvent)
	f.mu.Unlock()
	switch {
	case strings.HasPrefix(c.RequestID, "poison"):
		return sink.Begin(http.StatusUnprocessableEntity, nil)
	case strings.HasPrefix(c.RequestID, "broken"):
		return sink.Begin(http.StatusInternalServerError, nil)
	}
	if err := sink.Begin(http.StatusOK, nil); err != nil {
		return err
	}
	first, _ := strconv.Atoi(c.LastEvent)
	for n := first + 1; n <= itemEvents; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(eventTime):
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(c.RequestID, n))
		if err := sink.Write([]byte(event)); err != nil {
			return err
		}
	}
	return nil
}

// eventData is long enough for progress to be written, unless the id begins with
// "short".
func eventData(id string, n int) string {
	if strings.HasPrefix(id, "short") {
		return fmt.Sprintf("%s-%d", id, n)
	}
	return fmt.Sprintf("%s-%d%s", id, n, strings.Repeat(".", 600))
}

func textOf(id string) string {
	var data []string
	for n := 1; n <= itemEvents; n++ {
		data = append(data, eventData(id, n))
	}
	return strings.Join(data, "\n")
}

// read reads a job to its end at a member, as a caller does.
func (f *fleet) read(m *member, id string) []job.Result {
	f.t.Helper()
	var all []job.Result
	for range 400 {
		total, results, err := m.Results(f.t.Context(), id, len(all), time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		all = append(all, results...)
		if len(all) == total {
			return all
		}
	}
	f.t.Fatalf("job %s: %d results only", id, len(all))
	return nil
}

func wantAll(t *testing.T, results []job.Result, names ...string) {
	t.Helper()
	got := map[string]job.Result{}
	for _, r := range results {
		if _, ok := got[r.Item]; ok {
			t.Errorf("item %s is listed twice", r.Item)
		}
		got[r.Item] = r
	}
	want := map[string]job.Result{}
	for _, n := range names {
		want[n] = job.Result{Item: n, Succeeded: true, Text: textOf(n)}
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestJobIsReadWholeAtEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b", "c")); err != nil {
			t.Fatal(err)
		}
		first := f.read(f.services[0], "j")
		wantAll(t, first, "a", "b", "c")
		for _, m := range f.services[1:] {
			if d := cmp.Diff(first, f.read(m, "j")); d != "" {
				t.Errorf("instances list other results:\n%s", d)
			}
		}
	})
}

func TestJobSentAgainIsOneJobAlsoAfterLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
			f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 1000 })
			f.store.SetFaults(memory.RowFaults{LoseAnswers: 1, Delay: delay})
			err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b"))
			if e := code.From(err); err != nil && e.Outcome == code.NotRun {
				t.Errorf("delay %v: %v says that the job is not kept", delay, err)
			}
			if f.store.Counts().Lost != 1 {
				t.Fatal("no answer was lost")
			}
			if err := f.services[1].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
				t.Errorf("delay %v: %v", delay, err)
			}
			wantAll(t, f.read(f.services[1], "j"), "a", "b")
			f.close()
		}
	})
}

func TestResultsSurviveLostCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b", "c", "d")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{LoseAnswers: 6, Delay: 700 * time.Millisecond})
		wantAll(t, f.read(f.services[1], "j"), "a", "b", "c", "d")
		if f.store.Counts().Lost == 0 {
			t.Error("no answer was lost")
		}
	})
}

func TestKilledOwnersJobGoesOnWhereItsProgressWasKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3300 * time.Millisecond)
		f.kill(0)
		wantAll(t, f.read(f.services[1], "j"), "a", "b")
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, id := range []string{"a", "b"} {
			if from := f.from[id]; len(from) != 2 || from[1] == "" {
				t.Errorf("item %s ran after events %q; the second run must go on", id, from)
			}
		}
	})
}

func TestPlannedStopHandsTheJobOverWithAllProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2600 * time.Millisecond)
		f.services[0].Stop(t.Context())
		wantAll(t, f.read(f.services[1], "j"), "a")
		f.mu.Lock()
		defer f.mu.Unlock()
		if d := cmp.Diff([]string{"", "5"}, f.from["a"]); d != "" {
			t.Errorf("runs began after other events:\n%s", d)
		}
	})
}

// TestFrozenOwnerCannotListAfterATakeover lets two owners run a job at once, as
// after a pause of the first, which hears nothing of the second: only one of
// them lists each item, and what is listed stays.
func TestFrozenOwnerCannotListAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		// No progress is written, so that only the listing can tell the first owner.
		names := []string{"short-a", "short-b", "short-c"}
		if err := f.services[0].Submit(t.Context(), f.submission("j", names...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.services[0].access.deaf.Store(true)
		f.services[0].frozen.Store(true)
		f.mu.Lock()
		delete(f.alive, "p0")
		f.mu.Unlock()
		first := f.read(f.services[1], "j")
		wantAll(t, first, names...)
		time.Sleep(time.Minute)
		f.wantRuns(map[string]int{"short-a": 2, "short-b": 2, "short-c": 2})
		fresh := f.start("p-fresh")
		if d := cmp.Diff(first, f.read(fresh, "j")); d != "" {
			t.Errorf("what was listed has changed:\n%s", d)
		}
	})
}

func TestJobSentToTwoInstancesAtOnceIsOneJob(t *testing.T) {
	for name, quota := range map[string]int64{"with a quota": 1000, "without": 0} {
		t.Run(name, func(t *testing.T) { testJobSentToTwoInstances(t, quota) })
	}
}

func testJobSentToTwoInstances(t *testing.T, quota int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = quota })
		defer f.close()
		var wait sync.WaitGroup
		for _, m := range f.services {
			m.access.latency.Store(int64(25 * time.Millisecond))
			wait.Go(func() {
				if err := m.Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		wantAll(t, f.read(f.services[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

func TestJobWhoseAcceptanceIsNotKnownIsNotSaidToBeRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.store.SetFaults(memory.RowFaults{LoseAnswers: 100, Delay: 5 * time.Second})
		err := f.services[0].Submit(t.Context(), f.submission("j", "a"))
		if err == nil || code.From(err).Outcome == code.NotRun {
			t.Errorf("got %v, outcome %q", err, code.From(err).Outcome)
		}
		f.store.SetFaults(memory.RowFaults{})
		f.store.Settle()
		wantAll(t, f.read(f.services[0], "j"), "a")
	})
}

func TestEndedJobStopsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for range 2 {
			if err := f.services[1].End(t.Context(), "j"); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		if total, results, err := f.services[1].Results(t.Context(), "j", 0, 0); err != nil || total != 2 || len(results) != 0 {
			t.Errorf("%d, %v, %v", total, results, err)
		}
		if n := f.services[0].Owned(); n != 0 {
			t.Errorf("%d jobs still run", n)
		}
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Errorf("the job sent again: %v", err)
		}
	})
}

func TestQuotaIsNeverExceededAndFreedTokensCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, func(r *contract.Route) { r.MaxWaitingTokens = 450 })
		defer f.close()
		for _, m := range f.services {
			m.access.latency.Store(int64(25 * time.Millisecond))
		}
		var wait sync.WaitGroup
		var mu sync.Mutex
		accepted := 0
		for i := range 8 {
			wait.Go(func() {
				err := f.services[i%4].Submit(t.Context(), f.submission("j"+strconv.Itoa(i), "a"+strconv.Itoa(i), "b"+strconv.Itoa(i)))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					accepted++
				case code.Of(err) != code.QuotaExceeded || code.From(err).Outcome != code.NotRun || code.From(err).RetryAfter == 0:
					t.Errorf("got %v", err)
				}
			})
		}
		wait.Wait()
		if accepted != 2 {
			t.Errorf("%d jobs of 200 tokens accepted under 450", accepted)
		}
		time.Sleep(itemEvents*eventTime + time.Second)
		if err := f.services[0].Submit(t.Context(), f.submission("later", "x", "y")); err != nil {
			t.Errorf("after the others were done: %v", err)
		}
	})
}

func TestImpossibleAndFailingItemsAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "poison", "broken", "fine")); err != nil {
			t.Fatal(err)
		}
		got := map[string]bool{}
		for _, r := range f.read(f.services[0], "j") {
			got[r.Item] = r.Succeeded
		}
		if d := cmp.Diff(map[string]bool{"poison": false, "broken": false, "fine": true}, got); d != "" {
			t.Error(d)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if d := cmp.Diff(map[string]int{"poison": 1, "broken": 3, "fine": 1}, f.runs); d != "" {
			t.Errorf("runs:\n%s", d)
		}
	})
}

func TestUnknownJobIsNotFoundOnlyWhenTheStoreSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if _, _, err := f.services[0].Results(t.Context(), "none", 0, 0); code.Of(err) != code.JobUnknown {
			t.Errorf("got %v", err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		_, _, err := f.services[0].Results(t.Context(), "none", 0, 0)
		if code.Of(err) != code.StoreUnavailable {
			t.Errorf("got %v", err)
		}
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a")); code.From(err).Outcome != code.NotRun {
			t.Errorf("got %v", err)
		}
	})
}

func TestOutageHoldsResultsAndSettledOnesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("early", "a")); err != nil {
			t.Fatal(err)
		}
		wantAll(t, f.read(f.services[0], "early"), "a")
		if err := f.services[0].Submit(t.Context(), f.submission("j", "b", "c")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(20 * time.Second)
		if _, results, err := f.services[0].Results(t.Context(), "early", 0, 0); err != nil || len(results) != 1 {
			t.Errorf("a settled result in an outage: %v, %v", results, err)
		}
		f.store.SetFaults(memory.RowFaults{})
		wantAll(t, f.read(f.services[0], "j"), "b", "c")
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.runs["b"] != 1 {
			t.Errorf("item b ran %d times", f.runs["b"])
		}
	})
}

// TestJobThatTheFeedTellsOfFirstIsNotTakenOver lets the store answer an
// acceptance long after the feed has told of it.
func TestJobThatTheFeedTellsOfFirstIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		f.store.SetFaults(memory.RowFaults{AnswerDelay: 600 * time.Millisecond})
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{})
		wantAll(t, f.read(f.services[1], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

func (f *fleet) wantRuns(want map[string]int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := cmp.Diff(want, f.runs); d != "" {
		f.t.Errorf("runs:\n%s", d)
	}
}

// TestOwnerThatIsNotKnownYetKeepsItsJob starts an owner whose row the others
// have not read yet, as after a rolling restart.
func TestOwnerThatIsNotKnownYetKeepsItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		f.start("new")
		f.mu.Lock()
		delete(f.alive, "new")
		f.mu.Unlock()
		if err := f.services[1].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		f.mu.Lock()
		f.alive["new"] = true
		f.mu.Unlock()
		wantAll(t, f.read(f.services[0], "j"), "a", "b")
		f.wantRuns(map[string]int{"a": 1, "b": 1})
	})
}

// TestJobOfAReplacedProcessIsTakenOverAtOnce is the restart after a loss of all.
func TestJobOfAReplacedProcessIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		f.kill(0)
		f.mu.Lock()
		f.replaced["p0"] = true
		f.mu.Unlock()
		second := f.start("p0-again")
		time.Sleep(time.Second)
		if second.Owned() != 1 {
			t.Error("the job was not taken over within a second")
		}
		wantAll(t, f.read(second, "j"), "a")
	})
}

func TestFailuresOfAnItemCountAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "broken", "fine")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(150 * time.Millisecond)
		f.services[0].Stop(t.Context())
		f.read(f.services[1], "j")
		f.mu.Lock()
		defer f.mu.Unlock()
		if n := f.runs["broken"]; n != 3 {
			t.Errorf("the item failed %d times, want 3", n)
		}
	})
}

func TestFinishedItemsAreListedBeforeAHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.services[0].Submit(t.Context(), f.submission("j", "poison", "a")); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.RowFaults{Down: true})
		time.Sleep(2 * time.Second)
		done := make(chan struct{})
		go func() { defer close(done); f.services[0].Stop(t.Context()) }()
		time.Sleep(time.Second)
		f.store.SetFaults(memory.RowFaults{})
		<-done
		f.read(f.services[1], "j")
		f.mu.Lock()
		defer f.mu.Unlock()
		if n := f.runs["poison"]; n != 1 {
			t.Errorf("the impossible item ran %d times", n)
		}
	})
}
