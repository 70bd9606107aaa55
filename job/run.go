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
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/upstream"
)

// run is a job that this process owns.
type run struct {
	service *Service
	id      string
	host    string
	items   []Item
	cancel  context.CancelFunc
	ctx     context.Context
	// finished has the results that are not committed yet.
	finished chan finished
	// giveUp asks for the job to be handed over; gave is closed when that is done.
	giveUp chan context.Context
	gave   chan struct{}
	// accepted is when the job was accepted, expiry when its items may be given
	// up.
	accepted time.Time
	expiry   time.Time
	// unsaved are rows of progress whose write is not confirmed.
	unsaved []storage.TableRow
	// head is the state that this process wrote last; only commitAll uses it.
	head versioned

	mu      sync.Mutex
	running map[int]*collector
}

// finished is the result of the item with an index.
type finished struct {
	index  int
	result Result
}

// begin runs the items of a job that this process owns and that are not listed.
func (s *Service) begin(id string, v versioned, items []Item, done map[int]saved) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(id, v)
	if _, ok := s.owned[id]; ok || s.heads[id].version != v.version || !v.open() || v.Owner != s.options.Process {
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	r := &run{
		service:  s,
		id:       id,
		host:     v.Host,
		items:    items,
		ctx:      ctx,
		cancel:   cancel,
		finished: make(chan finished, len(items)),
		giveUp:   make(chan context.Context, 1),
		gave:     make(chan struct{}),
		accepted: time.Now().Add(-s.age(&v.head)),
		running:  map[int]*collector{},
		head:     v,
	}
	r.expiry = r.accepted.Add(v.keep())
	s.owned[id] = r
	for i := range items {
		if slices.Contains(v.Done, i) {
			continue
		}
		p := done[i]
		c := newCollector(p)
		r.running[i] = c
	}
	for i, c := range maps.Clone(r.running) {
		s.runs.Go(func() { r.runItem(i, c) })
	}
	s.runs.Go(func() { r.commitAll() })
}

const (
	// itemPause follows a failed run of an item, routeGrace is how long the route
	// of an item may be missing before the item is given up.
	itemPause  = 100 * time.Millisecond
	routeGrace = 3 * time.Second
	// itemAttempts bounds the upstreams of one call; the item goes on afterwards
	// from where it was.
	itemAttempts = 4
	// overlongPause follows an answer without end, which another run may give again.
	overlongPause = 5 * time.Second
	// itemSilence is the longest pause between two events of an item.
	itemSilence = 2 * time.Second
)

// runItem runs an item until it has a result or the job is not ours any more.
func (r *run) runItem(index int, c *collector) {
	item := &r.items[index]
	routeless := time.Time{}
	for r.ctx.Err() == nil {
		route := r.route(item)
		now := time.Now()
		switch {
		case route == nil && routeless.IsZero():
			routeless = now
		case route != nil:
			routeless = time.Time{}
		}
		if now.After(r.expiry) || route == nil && now.Sub(routeless) > routeGrace {
			r.finish(index, Result{Item: item.ID})
			return
		}
		if route != nil && r.service.inTouch() && r.attempt(item, route, c) {
			r.finish(index, c.result(item.ID))
			return
		}
		sleep(r.ctx, itemPause)
	}
}

// sleep waits until ctx ends at the longest.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *run) route(item *Item) *contract.Route {
	document := r.service.options.Routing()
	if document == nil {
		return nil
	}
	return document.Match(r.host, item.Path)
}

// due is when the results are due, the zero time when the route does not say.
func (r *run) due(route *contract.Route) time.Time {
	if route.Completion <= 0 {
		return time.Time{}
	}
	return r.accepted.Add(route.Completion)
}

// attempt runs an item once and reports whether it has a result.
func (r *run) attempt(item *Item, route *contract.Route, c *collector) bool {
	f := &contract.Forwarding{
		Service:     route.Service(),
		Class:       contract.Batch,
		Method:      http.MethodPost,
		Target:      item.Path,
		Host:        r.host,
		Body:        item.Body,
		Repeatable:  true,
		MaxAttempts: itemAttempts,
		Stream:      true,
		Resumable:   true,
		Deadline:    r.expiry,
		Due:         r.due(route),
		Silence:     itemSilence,
	}
	r.service.options.Describe(f, item)
	f.LastEvent = c.last
	c.status = 0
	ctx, cancel := r.service.whileInTouch(r.ctx)
	defer cancel()
	err := r.service.options.Forwarder.Forward(ctx, f, c)
	if errors.Is(err, errItemText) {
		r.service.options.Log.Warn("item begins again, its text went over the limit", zap.String("job", r.id), zap.String("request", item.ID))
		c.restart()
		sleep(r.ctx, overlongPause)
		return false
	}
	if r.ctx.Err() != nil || err != nil && ctx.Err() != nil {
		return false
	}
	var answered *upstream.StatusError
	switch {
	case errors.As(err, &answered):
		c.status = answered.Status
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

func (r *run) finish(index int, result Result) {
	r.mu.Lock()
	delete(r.running, index)
	r.mu.Unlock()
	r.finished <- finished{index, result}
}

// collector gathers the data of an item's events. One goroutine writes it; the
// text and the last event are read under the lock for the progress rows.
type collector struct {
	mu        sync.Mutex
	text      strings.Builder
	last      string
	status    int
	failures  int
	succeeded bool
	// kept is the part of the text that rows of progress have, keptLast its last
	// event, keptFailures their failures, next the number of the next row.
	kept         int
	keptLast     string
	keptFailures int
	next         int
	// restarted is set when the text was thrown away. Rows of progress that were
	// written before would not fit what comes after.
	restarted bool
}

// maxItemText bounds the text of an item. A call for results brings at most that
// much.
const maxItemText = 1 << 20

var errItemText = errors.New("the item's text is over its limit")

// restart throws away what an item has got.
func (c *collector) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.Reset()
	c.last, c.kept, c.restarted = "", 0, true
}

func newCollector(p saved) *collector {
	c := &collector{last: p.last, keptLast: p.last, failures: p.failures, keptFailures: p.failures, next: p.rows}
	c.text.WriteString(p.text)
	c.kept = c.text.Len()
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
	if c.status != http.StatusOK {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idField); ok {
			c.last = string(bytes.TrimSpace(id))
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			if c.text.Len()+len(data) > maxItemText {
				return errItemText
			}
			if c.text.Len() > 0 {
				c.text.WriteByte('\n')
			}
			c.text.Write(bytes.TrimPrefix(data, []byte(" ")))
		}
	}
	return nil
}

// fail counts a failed run and returns the number.
func (c *collector) fail() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	return c.failures
}

func (c *collector) result(item string) Result {
	if !c.succeeded {
		return Result{Item: item}
	}
	return Result{Item: item, Succeeded: true, Text: c.text.String()}
}
