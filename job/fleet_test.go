package job_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// fleet is a few instances of the Service that share a store and run items on a fake
// upstream.
type fleet struct {
	t         *testing.T
	store     *memory.Rows
	route     contract.Route
	instances []*instance

	mu    sync.Mutex
	alive map[string]bool
	// replaced has the processes whose machine runs another one now.
	replaced map[string]bool
	runs     map[string]int
	// accounts has the account that each item last ran for.
	accounts map[string]string
	// slow is an item whose runs begin late.
	slow string
	// resumedAfter has, by item, the last event that each run was given to resume
	// after.
	resumedAfter map[string][]string
	// releasedAt is when items whose id begins with "released" are no longer kept back.
	releasedAt time.Time
	// downUntil is when the upstream can be reached.
	downUntil time.Time
	// maxBytes is the memory for the items of an instance that is started; 0 means without limit.
	maxBytes int64
	// maxKeptBytes is the memory for the heads of all jobs; 0 means the default.
	maxKeptBytes int64
	// maxRunBytes is the largest size of the events that one run of an endless item
	// has written.
	maxRunBytes int
}

// instanceStore is the store as one instance reaches it.
type instanceStore struct {
	*memory.Rows
	// noChanges withholds all changes from the instance. changesLatency is the time that
	// changes take to the instance, blobLatency that of the write of an object, in
	// nanoseconds.
	noChanges                   atomic.Bool
	changesLatency, blobLatency atomic.Int64
	// beforeCall, if set, is called before a reservation is written ("reserve") and
	// before reservations are read ("gate").
	beforeCall func(call string)
	// failBlobs lets the write of objects fail. reservationReadLatency is the time
	// that a read of reservations takes, callLatency the time that each call except
	// those of the feed takes, in nanoseconds.
	failBlobs                           atomic.Bool
	reservationReadLatency, callLatency atomic.Int64
	// afterResults, if set, is called after the first transaction with rows of results.
	// failWrites lets transactions fail, failChanges the reads of changes.
	afterResults            func()
	failWrites, failChanges atomic.Bool
	// full lets the write of objects fail for want of room.
	full atomic.Bool
	// beforeAnswer, if set, is called between the effect of a transaction with rows to put and
	// its answer, which has the newest version after that.
	beforeAnswer func(t storage.RowTransaction)
	// refusedJob is a job whose results are refused for their size.
	refusedJob string
}

func (s *instanceStore) isRefused(t storage.RowTransaction) bool {
	return s.refusedJob != "" && slices.ContainsFunc(t.Puts, func(r storage.TableRow) bool {
		return r.Table == "job_results" && strings.HasPrefix(r.Key, s.refusedJob+"/")
	})
}

func (s *instanceStore) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	if s.failChanges.Load() {
		return storage.RowPage{}, code.New(code.StoreUnavailable, "no changes are read")
	}
	page, err := s.Rows.RowChanges(ctx, table, after, wait)
	time.Sleep(time.Duration(s.changesLatency.Load()))
	if !s.noChanges.Load() {
		return page, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return storage.RowPage{Version: after}, nil
}

func (s *instanceStore) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	time.Sleep(time.Duration(s.callLatency.Load()))
	if table == "job_gates" {
		time.Sleep(time.Duration(s.reservationReadLatency.Load()))
		if s.beforeCall != nil {
			s.beforeCall("gate")
		}
	}
	return s.Rows.GetRows(ctx, table, part, from, to)
}

func (s *instanceStore) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	time.Sleep(time.Duration(s.callLatency.Load()))
	if s.beforeCall != nil && len(t.Puts) == 1 && t.Puts[0].Table == "job_gates" {
		s.beforeCall("reserve")
	}
	if !t.WithinLimits() || s.isRefused(t) {
		return storage.RowPage{}, code.New(code.StoreTooLarge, "the transaction is over a limit")
	}
	if s.failWrites.Load() {
		return storage.RowPage{}, code.New(code.StoreUnavailable, "no rows are written")
	}
	page, err := s.Rows.ApplyRows(ctx, t)
	if s.afterResults != nil && err == nil && t.Puts[0].Table == "job_results" {
		s.afterResults()
	}
	if s.beforeAnswer != nil && err == nil && len(t.Puts) > 0 {
		s.beforeAnswer(t)
		newest, readErr := s.Rows.GetRows(ctx, "jobs", "", "", "")
		if readErr != nil {
			return storage.RowPage{}, readErr
		}
		page.Version = newest.Version
	}
	return page, err
}

func (s *instanceStore) PutBlob(ctx context.Context, name string, body []byte) error {
	time.Sleep(time.Duration(s.blobLatency.Load() + s.callLatency.Load()))
	if s.full.Load() {
		return code.New(code.StoreFull, "there is no room")
	}
	if s.failBlobs.Load() {
		return code.New(code.StoreUnavailable, "no objects are stored")
	}
	return s.Rows.PutBlob(ctx, name, body)
}

// instance is one Service of the fleet.
type instance struct {
	*job.Service
	fleet *fleet
	store *instanceStore
	// A frozen instance learns late that an item has finished, of the last item first.
	// An isolated one reaches neither the store nor other instances.
	frozen   atomic.Bool
	isolated atomic.Bool
	// document is the routing document of the instance. The store confirms it while
	// confirmed is set; confirmedAt is the time of the last confirmation after
	// startedAt.
	document    atomic.Pointer[contract.Routing]
	confirmed   atomic.Bool
	confirmedAt atomic.Int64
	startedAt   time.Time
	cancel      context.CancelFunc
	done        chan struct{}
}

const (
	itemEvents = 10
	eventTime  = 500 * time.Millisecond
)

// Forward runs an item on the fleet's upstream.
func (m *instance) Forward(ctx context.Context, c *contract.ForwardRequest, sink contract.ForwardSink) error {
	err := m.fleet.Forward(ctx, c, sink)
	if m.frozen.Load() {
		time.Sleep(time.Duration('z'-c.RequestID[len(c.RequestID)-1]) * time.Second)
	}
	return err
}

func newFleet(t *testing.T, n int, change func(*contract.Route)) *fleet {
	f := &fleet{
		t: t, store: memory.NewRows(), alive: map[string]bool{}, replaced: map[string]bool{}, runs: map[string]int{}, accounts: map[string]string{}, resumedAfter: map[string][]string{},
		route: contract.Route{
			Host: "h", Prefix: "/lot/", Kind: contract.RouteBatch, MaxAttempts: 3,
			CompletionWindow: 18 * time.Second, GiveUpAfter: time.Minute, Split: []contract.WeightedService{{Service: "s", Weight: 1}},
		},
	}
	f.store.SetMaxResponseTime(10 * time.Millisecond)
	if change != nil {
		change(&f.route)
	}
	for i := range n {
		f.start("p" + strconv.Itoa(i))
	}
	return f
}

func (f *fleet) start(process string) *instance {
	return f.startWith(process, &contract.Routing{Version: 1, Routes: []contract.Route{f.route}})
}

// startWith starts an instance with a document that the store confirms.
func (f *fleet) startWith(process string, document *contract.Routing) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	m := &instance{fleet: f, cancel: cancel, done: make(chan struct{}), store: &instanceStore{Rows: f.store}, startedAt: time.Now()}
	m.document.Store(document)
	m.confirmed.Store(true)
	f.mu.Lock()
	f.alive[process] = true
	f.mu.Unlock()
	m.Service = job.New(job.Options{
		Store: m.store, Process: process, Forwarder: m, Retention: time.Hour, Log: zap.NewNop(), MaxBytes: f.maxBytes, MaxKeptBytes: f.maxKeptBytes,
		Fleet: func() job.Fleet {
			f.mu.Lock()
			defer f.mu.Unlock()
			return job.Fleet{LivenessKnown: true, Alive: copyOf(f.alive), Isolated: m.isolated.Load(), Replaced: func(p string, _ uint64) bool { return f.replaced[p] }}
		},
		Routing: m.document.Load,
		RoutingAge: func() (time.Duration, bool) {
			if m.confirmed.Load() {
				m.confirmedAt.Store(int64(time.Since(m.startedAt)))
			}
			return time.Since(m.startedAt) - time.Duration(m.confirmedAt.Load()), m.document.Load() != nil
		},
		Decode: func(raw []byte) ([]job.Item, error) { return items(strings.Fields(string(raw))...), nil },
		Describe: func(c *contract.ForwardRequest, it *job.Item, account string) {
			c.RequestID, c.Account = it.ID, account
		},
	})
	go func() { defer close(m.done); _ = m.Run(ctx) }()
	f.instances = append(f.instances, m)
	return m
}

func copyOf(m map[string]bool) map[string]bool {
	c := map[string]bool{}
	for k, v := range m {
		c[k] = v
	}
	return c
}

// kill ends an instance without a hand-over, as when its process is killed.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	delete(f.alive, "p"+strconv.Itoa(i))
	f.mu.Unlock()
	m := f.instances[i]
	m.cancel()
	<-m.done
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	m.Stop(ended)
}

func (f *fleet) close() {
	for i := range f.instances {
		f.kill(i)
	}
	f.store.WaitDelayed()
}

func items(ids ...string) []job.Item {
	var list []job.Item
	for _, id := range ids {
		list = append(list, job.Item{ID: id, Path: "/lot/x", Body: []byte("body of " + id), Tokens: 100})
	}
	return list
}

func (f *fleet) submission(id string, names ...string) job.Submission {
	route := f.route
	return job.Submission{ID: id, Route: &route, Items: items(names...), Raw: []byte(strings.Join(names, " "))}
}

// Forward acts as the upstream: an item is a stream of events. An item whose id
// begins with "poison" or "broken" fails, one with "endless" has events without end,
// one with "quarantined" is kept back, and one with "breaking" breaks after 3 events and
// is kept back until these are reported.
func (f *fleet) Forward(ctx context.Context, c *contract.ForwardRequest, sink contract.ForwardSink) error {
	f.mu.Lock()
	f.runs[c.RequestID]++
	f.accounts[c.RequestID] = c.Account
	f.resumedAfter[c.RequestID] = append(f.resumedAfter[c.RequestID], c.LastEventID)
	slow := f.slow == c.RequestID
	f.mu.Unlock()
	if slow {
		select {
		case <-ctx.Done():
		case <-time.After(2 * itemEvents * eventTime):
		}
	}
	switch {
	case time.Now().Before(f.downUntil):
		return code.New(code.NoUpstream, "the upstream is down")
	case strings.HasPrefix(c.RequestID, "poison"):
		return sink.Begin(http.StatusUnprocessableEntity, nil)
	case strings.HasPrefix(c.RequestID, "broken"):
		return sink.Begin(http.StatusInternalServerError, nil)
	case strings.HasPrefix(c.RequestID, "quarantined"):
		return code.New(code.PromptQuarantined, "kept back").WithRetryAfter(time.Second)
	case strings.HasPrefix(c.RequestID, "released") && time.Now().Before(f.releasedAt):
		return code.New(code.PromptQuarantined, "kept back").WithRetryAfter(time.Minute)
	}
	if err := sink.Begin(http.StatusOK, nil); err != nil {
		return err
	}
	if strings.HasPrefix(c.RequestID, "endless") {
		return f.endless(ctx, sink)
	}
	first, _ := strconv.Atoi(c.LastEventID)
	if strings.HasPrefix(c.RequestID, "breaking") && first > 0 && c.ReceivedEvents != first {
		return code.New(code.PromptQuarantined, "kept back, events received: %d", c.ReceivedEvents).WithRetryAfter(time.Second)
	}
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
		if strings.HasPrefix(c.RequestID, "breaking") && first == 0 && n == 3 {
			return code.New(code.StreamBroken, "the upstream is gone")
		}
	}
	return nil
}

// endless writes events until the sink returns an error.
func (f *fleet) endless(ctx context.Context, sink contract.ForwardSink) error {
	data := strings.Repeat("x", 64<<10)
	for n, sent := 1, 0; ctx.Err() == nil; n++ {
		if err := sink.Write(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, data)); err != nil {
			return code.Wrap(code.CallerGone, err, "the caller is gone")
		}
		sent += len(data)
		f.mu.Lock()
		f.maxRunBytes = max(f.maxRunBytes, sent)
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(eventTime):
		}
	}
	return ctx.Err()
}

// eventData returns the data of an event. It is long enough for progress to be
// written, unless the id begins with "short".
func eventData(id string, n int) string {
	if strings.HasPrefix(id, "large") {
		return largeData(id, n)
	}
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

// read reads all results of a job at an instance, as a caller does.
func (f *fleet) read(m *instance, id string) []job.Result {
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

// wantAll checks that each of the named items is listed once, with its whole text.
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

// wantRuns checks how often each item ran.
func (f *fleet) wantRuns(want map[string]int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := cmp.Diff(want, f.runs); d != "" {
		f.t.Errorf("runs:\n%s", d)
	}
}
