package job

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
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
	// progressAt is the time from the start of the service until an item last received
	// something or the run began, in nanoseconds. started is the number of items that run or
	// wait for an upstream.
	progressAt atomic.Int64
	started    atomic.Int64
	// heldBack is the number of items whose last attempt was refused, since their prompts are
	// quarantined.
	heldBack atomic.Int64
	// head is the state that this process wrote last. Only the goroutine of commitAll
	// uses it.
	head versionedHead

	mu sync.Mutex
	// unfinished has the items without a result by their index. It is guarded by mu.
	unfinished map[int]*collector
	// collectors has all items that the run began with.
	collectors map[int]*collector
}

// itemResult is the result of the item with an index.
type itemResult struct {
	index  int
	result Result
}

// startRun starts the items of a job that are not listed, from the given progress. It
// does nothing when this process runs the job already, or the newest known head says that it does
// not own the job. While the service stops, it leaves the job to other instances instead. The claim
// on Service.loaded is released when the run has ended, or at once if there is none.
func (s *Service) startRun(ctx context.Context, id string, v versionedHead, items []Item, progress storedProgress, claim int64) {
	r, stopping := s.addRun(id, v, items, progress, claim)
	if r != nil {
		return
	}
	s.loaded.release(claim)
	if stopping {
		s.leave(ctx, id)
	}
}

// leave makes a job that this process owns and does not run one of all instances.
func (s *Service) leave(ctx context.Context, id string) {
	err := s.changeHead(ctx, id, func(h *head) bool {
		owned := h.open() && h.Owner == s.options.Process
		h.Owner = ""
		return owned
	})
	s.options.Log.Info("job left to others", zap.String("job", id), zap.Error(err))
}

// addRun is like startRun, but returns nil if there is no run to start. stopping is set if the
// service stops and the job is to be left to other instances.
func (s *Service) addRun(id string, v versionedHead, items []Item, progress storedProgress, claim int64) (r *run, stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateHead(id, v)
	// Another instance may have changed the head since v.
	v = s.heads[id]
	if _, ok := s.owned[id]; ok || !v.open() || v.Owner != s.options.Process {
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
	r.progress()
	s.owned[id] = r
	s.beganAt[r.account] = time.Now()
	for i := range items {
		if slices.Contains(v.Done, i) {
			continue
		}
		r.unfinished[i] = newCollector(progress.of(i))
		r.unfinished[i].onEvent = r.progress
	}
	r.collectors = maps.Clone(r.unfinished)
	r.goroutines.Go(r.runItems)
	s.runGoroutines.Go(func() {
		r.commitAll()
		r.cancel()
		r.goroutines.Wait()
		for _, c := range r.collectors {
			c.release()
		}
		s.loaded.release(r.claim)
	})
	return r, false
}

// progress records that an item has received something.
func (r *run) progress() { r.progressAt.Store(int64(time.Since(r.service.startedAt))) }

// runItems runs the items in the order of their indexes, as many at a time as there is room for.
func (r *run) runItems() {
	for _, i := range slices.Sorted(maps.Keys(r.collectors)) {
		c := r.collectors[i]
		if !r.takeFor(i, max(expectedTextBytes(&r.items[i]), int64(textCopies*c.text.Len()))) {
			return
		}
		r.started.Add(1)
		r.goroutines.Go(func() {
			defer r.started.Add(-1)
			r.runItem(i, c)
			r.setHeldBack(c, false)
		})
	}
}

// takeFor waits until there is room for an item with a text, and reports false if the run ends
// before.
func (r *run) takeFor(index int, textBytes int64) bool {
	running := r.service.running
	claim := running.claim(runningBytes(&r.items[index]) + textBytes)
	if running.take(r.ctx, claim) != nil {
		return false
	}
	r.collectors[index].hold(r.service, claim, textBytes)
	return true
}

// takeWhole waits until there is room for the longest text of an item whose text had none. What
// the item takes is given back before, so that others that wait can go on.
func (r *run) takeWhole(index int, c *collector) bool {
	r.service.options.Log.Info("no memory for the item's text, restarting the item", zap.String("job", r.id),
		zap.String("request", r.items[index].ID), zap.Int64("held_bytes", r.service.running.held()))
	c.release()
	return r.takeFor(index, wholeTextBytes)
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
		if c.hasOutgrown() {
			if !r.takeWhole(index, c) {
				return
			}
			continue
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
	r.setHeldBack(c, false)
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
		r.setHeldBack(c, true)
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

// setHeldBack records whether the last attempt of an item was refused because its prompt is
// quarantined.
func (r *run) setHeldBack(c *collector, heldBack bool) {
	if c.heldBack == heldBack {
		return
	}
	c.heldBack = heldBack
	if heldBack {
		r.heldBack.Add(1)
		return
	}
	r.heldBack.Add(-1)
}

// finish passes the result of an item to commitAll.
func (r *run) finish(index int, result Result) {
	r.mu.Lock()
	delete(r.unfinished, index)
	r.progress()
	r.mu.Unlock()
	r.finished <- itemResult{index, result}
}
