package job

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/upstream"
)

// run executes the items of a job that this process owns.
type run struct {
	service *Service
	id      string
	host    string
	// account is the client account that the job belongs to.
	account string
	items   []Item
	cancel  context.CancelFunc
	ctx     context.Context
	// finished has the results that are not committed yet.
	finished chan itemResult
	// handOverRequest carries the context of a requested hand-over. handOverDone is
	// closed when the hand-over has ended.
	handOverRequest chan context.Context
	handOverDone    chan struct{}
	// acceptedAt is when the job was accepted. Items are no longer run after
	// expiresAt.
	acceptedAt time.Time
	expiresAt  time.Time
	// unconfirmed has rows of progress whose write is not confirmed.
	unconfirmed []storage.TableRow
	// claim is what the job takes of Service.loaded, until its goroutines have ended.
	claim      int64
	goroutines sync.WaitGroup
	// progressAt is when an item last received something, in nanoseconds since 1970, or when
	// the run began. started is the number of items that hold a claim on Service.running.
	progressAt atomic.Int64
	started    atomic.Int64
	// head is the state that this process wrote last. Only the goroutine of commitAll
	// uses it.
	head versionedHead

	mu sync.Mutex
	// unfinished has the items without a result by their index. It is guarded by mu.
	unfinished map[int]*collector
}

// itemResult is the result of the item with an index.
type itemResult struct {
	index  int
	result Result
}

// startRun starts the items of a job that are not listed, from the given progress. It
// does nothing when this process does not own the job, or runs it already, or knows a
// newer head. While the service stops, it leaves the job to other instances instead. The claim
// on Service.loaded is released when the run has ended, or at once if there is none.
func (s *Service) startRun(ctx context.Context, id string, v versionedHead, items []Item, progress map[int]itemProgress, claim int64) {
	r, stopping := s.addRun(id, v, items, progress, claim)
	if r != nil {
		return
	}
	s.loaded.release(claim)
	if stopping {
		s.leave(ctx, id, v)
	}
}

// leave makes a job that this process owns and does not run one of all instances.
func (s *Service) leave(ctx context.Context, id string, v versionedHead) {
	next := v.head
	next.Owner = ""
	_, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: headKey(v.part, id), Version: v.version}},
		Puts:       []storage.TableRow{headRow(v.part, id, &next)},
	})
	s.options.Log.Info("job left to others", zap.String("job", id), zap.Error(err))
}

// addRun is like startRun, but returns nil if there is no run to start. stopping is set if the
// service stops and the job is to be left to other instances.
func (s *Service) addRun(id string, v versionedHead, items []Item, progress map[int]itemProgress, claim int64) (r *run, stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateHead(id, v)
	if _, ok := s.owned[id]; ok || s.heads[id].version != v.version || !v.open() || v.Owner != s.options.Process {
		return nil, false
	}
	if s.stopping {
		return nil, true
	}
	ctx, cancel := context.WithCancel(s.runsCtx)
	r = &run{
		service:         s,
		id:              id,
		host:            v.Host,
		account:         v.Account,
		items:           items,
		ctx:             ctx,
		cancel:          cancel,
		finished:        make(chan itemResult, len(items)),
		handOverRequest: make(chan context.Context, 1),
		handOverDone:    make(chan struct{}),
		acceptedAt:      time.Now().Add(-s.age(&v.head)),
		claim:           claim,
		unfinished:      map[int]*collector{},
		head:            v,
	}
	r.expiresAt = r.acceptedAt.Add(v.giveUpAfter())
	r.progressAt.Store(time.Now().UnixNano())
	s.owned[id] = r
	s.beganAt[r.account] = time.Now()
	for i := range items {
		if slices.Contains(v.Done, i) {
			continue
		}
		r.unfinished[i] = newCollector(progress[i])
		r.unfinished[i].progressAt = &r.progressAt
	}
	unfinished := maps.Clone(r.unfinished)
	r.goroutines.Go(func() { r.runItems(unfinished) })
	s.runGoroutines.Go(func() {
		r.commitAll()
		r.cancel()
		r.goroutines.Wait()
		s.loaded.release(r.claim)
	})
	return r, false
}

// runItems runs items in the order of their indexes, as many at a time as there is room for.
func (r *run) runItems(items map[int]*collector) {
	running := r.service.running
	for _, i := range slices.Sorted(maps.Keys(items)) {
		claim := running.claim(runningBytes(&r.items[i]))
		if running.take(r.ctx, claim) != nil {
			return
		}
		r.started.Add(1)
		r.goroutines.Go(func() {
			defer running.release(claim)
			defer r.started.Add(-1)
			r.runItem(i, items[i])
		})
	}
}

const (
	// itemRetryInterval is the time between two attempts of an item.
	// missingRouteGrace is how long the route of an item must have been missing from
	// confirmed documents before the item is listed as failed.
	itemRetryInterval = 100 * time.Millisecond
	missingRouteGrace = 3 * time.Second
	// maxForwardAttempts bounds the upstreams that one call of the Forwarder tries.
	// The item is resumed by the next call.
	maxForwardAttempts = 4
	// oversizedRetryInterval is the time after an answer over maxItemTextBytes, which
	// the next attempt may produce again.
	oversizedRetryInterval = 5 * time.Second
	// maxQuarantinePause is the longest time between two attempts of an item whose
	// prompt is quarantined. An answer at any instance may end the quarantine before
	// the next trial.
	maxQuarantinePause = 2 * time.Second
)

// runItem runs an item until it has a result or this process no longer owns the job.
// An item without success by the expiry of the job is listed as failed, and so is one
// whose route the store has confirmed to be missing for missingRouteGrace.
func (r *run) runItem(index int, c *collector) {
	item := &r.items[index]
	routeMissingSince := time.Time{}
	for r.ctx.Err() == nil {
		// The age is read before the document, so that it is never that of a newer one.
		confirmedAt, confirmed := r.routingConfirmedAt()
		route := r.route(item)
		now := time.Now()
		switch {
		case route == nil && routeMissingSince.IsZero():
			routeMissingSince = now
		case route != nil:
			routeMissingSince = time.Time{}
		}
		routeGone := route == nil && confirmed && confirmedAt.Sub(routeMissingSince) > missingRouteGrace
		if now.After(r.expiresAt) || routeGone {
			r.finish(index, Result{Item: item.ID})
			return
		}
		if route != nil && r.service.connected() && r.attempt(item, route, c) {
			r.finish(index, c.result(item.ID))
			return
		}
		sleep(r.ctx, itemRetryInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// routingConfirmedAt returns when the store last confirmed that the routing document is
// the one in force. It reports false before the first document.
func (r *run) routingConfirmedAt() (time.Time, bool) {
	age, ok := r.service.options.RoutingAge()
	return time.Now().Add(-age), ok && r.service.options.Routing() != nil
}

// route returns the route of an item in the document in force, or nil.
func (r *run) route(item *Item) *contract.Route {
	document := r.service.options.Routing()
	if document == nil {
		return nil
	}
	return document.Match(r.host, item.Path)
}

// dueAt returns when the results of the job are due, or the zero time when the route
// sets no completion time.
func (r *run) dueAt(route *contract.Route) time.Time {
	if route.CompletionWindow <= 0 {
		return time.Time{}
	}
	return r.acceptedAt.Add(route.CompletionWindow)
}

// attempt runs an item once, from its last event, and reports whether it has a
// result.
func (r *run) attempt(item *Item, route *contract.Route, c *collector) bool {
	f := &contract.ForwardRequest{
		Service:     route.Service(),
		Class:       contract.Batch,
		Method:      http.MethodPost,
		Target:      item.Path,
		Host:        r.host,
		Body:        item.Body,
		Repeatable:  true,
		MaxAttempts: maxForwardAttempts,
		Stream:      true,
		Resumable:   true,
		Deadline:    r.expiresAt,
		Due:         r.dueAt(route),
	}
	r.service.options.Describe(f, item, r.account)
	f.LastEventID, f.ReceivedEvents = c.lastEvent, c.events
	c.status = 0
	ctx, cancel := r.service.whileConnected(r.ctx)
	defer cancel()
	err := r.service.options.Forwarder.Forward(ctx, f, c)
	if errors.Is(err, errItemTextTooLarge) {
		r.service.options.Log.Warn("item text over its limit, restarting the item", zap.String("job", r.id), zap.String("request", item.ID))
		c.restart()
		sleep(r.ctx, oversizedRetryInterval)
		return false
	}
	if r.ctx.Err() != nil || err != nil && ctx.Err() != nil {
		return false
	}
	var statusErr *upstream.StatusError
	switch {
	case errors.As(err, &statusErr):
		c.status = statusErr.Status
	case code.Of(err) == code.PromptQuarantined:
		sleep(r.ctx, min(code.From(err).RetryAfter, maxQuarantinePause))
		return false
	case err != nil:
		return false
	}
	switch c.status {
	case http.StatusOK:
		c.succeeded = true
		return true
	case http.StatusUnprocessableEntity:
		return true
	case http.StatusInternalServerError:
		failures := c.fail()
		r.service.options.Log.Info("item failed", zap.String("job", r.id), zap.String("request", item.ID), zap.Int("failures", failures))
		return failures >= route.MaxAttempts
	}
	return false
}

// finish passes the result of an item to commitAll.
func (r *run) finish(index int, result Result) {
	r.mu.Lock()
	delete(r.unfinished, index)
	r.progressAt.Store(time.Now().UnixNano())
	r.mu.Unlock()
	r.finished <- itemResult{index, result}
}

// collector gathers the data of an item's events. One goroutine writes it; the text
// and the last event are read under the lock for the rows of progress.
type collector struct {
	mu        sync.Mutex
	text      strings.Builder
	lastEvent string
	// events is the number of events that this process has received.
	events    int
	status    int
	failures  int
	succeeded bool
	// savedBytes is the length of the text that rows of progress hold, savedEvent its
	// last event, savedFailures the failures they hold, and nextRow the number of the
	// next row. unsaved has the ends of the events after savedEvent.
	savedBytes    int
	savedEvent    string
	unsaved       []eventEnd
	savedFailures int
	nextRow       int
	// progressAt is that of the run; it may be nil.
	progressAt *atomic.Int64
	// restarted is set when the text was discarded. No more progress is written then,
	// since it would not follow the rows that exist.
	restarted bool
}

// maxItemTextBytes bounds the text of an item. A call for results returns at most
// that much for one item.
const maxItemTextBytes = 1 << 20

// errItemTextTooLarge ends an attempt whose text exceeds maxItemTextBytes.
var errItemTextTooLarge = errors.New("the item's text is over its limit")

// restart discards the text of an item, so that its next attempt starts from the
// beginning.
func (c *collector) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.Reset()
	c.lastEvent, c.events, c.savedBytes, c.unsaved, c.restarted = "", 0, 0, nil, true
}

// newCollector returns a collector that continues from stored progress.
func newCollector(p itemProgress) *collector {
	c := &collector{lastEvent: p.lastEvent, savedEvent: p.lastEvent, failures: p.failures, savedFailures: p.failures, nextRow: p.nextRow}
	c.text.WriteString(p.text)
	c.savedBytes = c.text.Len()
	return c
}

var _ contract.ForwardSink = (*collector)(nil)

// Begin implements contract.ForwardSink.
func (c *collector) Begin(status int, _ http.Header) error {
	c.status = status
	return nil
}

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// Write implements contract.ForwardSink.
func (c *collector) Write(event []byte) error {
	if c.progressAt != nil {
		c.progressAt.Store(time.Now().UnixNano())
	}
	if c.status != http.StatusOK {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.lastEvent
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idField); ok {
			c.lastEvent = string(bytes.TrimSpace(id))
			c.events++
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			if c.text.Len()+len(data) > maxItemTextBytes {
				return errItemTextTooLarge
			}
			if c.text.Len() > 0 {
				c.text.WriteByte('\n')
			}
			c.text.Write(bytes.TrimPrefix(data, []byte(" ")))
		}
	}
	if c.lastEvent != before {
		c.unsaved = append(c.unsaved, eventEnd{c.lastEvent, c.text.Len()})
	}
	return nil
}

// fail counts a failed attempt and returns their number.
func (c *collector) fail() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	return c.failures
}

// result returns the result of the item: its text, or a failure.
func (c *collector) result(item string) Result {
	if !c.succeeded {
		return Result{Item: item}
	}
	return Result{Item: item, Succeeded: true, Text: c.text.String()}
}
