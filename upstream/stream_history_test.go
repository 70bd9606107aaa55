package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// streamHistory draws what upstreams and the operator do beside streams. It is safe for
// concurrent use.
type streamHistory struct {
	mu     sync.Mutex
	random *rand.Rand
}

const (
	historyWorkers = 4
	historyCallers = 4
	historyStreams = 12
	historyEvents  = 8
	historyMaxGap  = 2 * time.Second
)

// chance reports true in one of n cases.
func (h *streamHistory) chance(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n) == 0
}

// pause sleeps for up to longest.
func (h *streamHistory) pause(longest time.Duration) {
	h.mu.Lock()
	d := time.Duration(h.random.Int64N(int64(longest)))
	h.mu.Unlock()
	time.Sleep(d)
}

// work is the script of a sound upstream: it refuses requests now and then, pauses for a
// second within some streams, and never breaks one off.
func (h *streamHistory) work(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
	h.pause(60 * time.Millisecond)
	if h.chance(10) {
		rawScript(refusalOfTest)(nil, nil, c, r)
		return
	}
	first := 0
	_, _ = fmt.Sscanf(r.Header.Get("After"), "%d", &first)
	_, err := c.Write([]byte(streamHead(r, "")))
	for n := first + 1; n <= historyEvents && err == nil; n++ {
		h.pause(60 * time.Millisecond)
		if n > first+1 && h.chance(20) {
			time.Sleep(1200 * time.Millisecond)
		}
		_, err = c.Write([]byte(chunk(event(n))))
	}
	_, _ = c.Write([]byte(endOfChunks))
}

// changeFleet registers, drains, replaces and removes upstreams until ctx ends. All of a
// service are gone for a moment at most.
func (h *streamHistory) changeFleet(ctx context.Context, f *changingForwarder) {
	all := f.document.Load()
	for ctx.Err() == nil {
		if h.chance(6) {
			f.replace(&contract.Document{Version: f.document.Load().Version + 1})
			h.pause(300 * time.Millisecond)
		}
		next := *all
		next.Version = f.document.Load().Version + 1
		next.Upstreams = map[string]contract.Upstream{}
		for id, u := range all.Upstreams {
			if id != "w0" && h.chance(2) {
				continue
			}
			u.Draining = id != "w0" && h.chance(4)
			if h.chance(4) {
				u.StartedMillis = int64(next.Version)
			}
			next.Upstreams[id] = u
		}
		f.replace(&next)
		h.pause(400 * time.Millisecond)
	}
}

// replace puts another document into force.
func (f *changingForwarder) replace(next *contract.Document) {
	f.document.Store(next)
	f.current()
}

// historyCaller sends streams. It leaves one that pauses for longer than historyMaxGap.
type historyCaller struct {
	t         *testing.T
	forwarder *changingForwarder
	resumable bool
}

var errCallerLeft = errors.New("the caller left")

// send sends one stream. The caller must get the whole of it, or a refusal before it begins.
func (c *historyCaller) send(ctx context.Context, id string) {
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	timer := time.AfterFunc(historyMaxGap, func() { leave(errCallerLeft) })
	defer timer.Stop()
	call, sink := streamCall(id, c.resumable), &answerSink{}
	call.MaxGap, call.MaxAttempts, call.Deadline = historyMaxGap, 2, time.Now().Add(time.Minute)
	sink.wrote = func() { timer.Reset(historyMaxGap) }
	err := c.forwarder.Forward(ctx, call, sink)
	switch {
	case err == nil:
		if diff := cmp.Diff(eventsUpTo(historyEvents), sink.body.String()); diff != "" {
			c.t.Errorf("%s: %s", id, diff)
		}
	case ctx.Err() != nil:
		c.t.Errorf("%s got nothing for %v after %d bytes: %v", id, historyMaxGap, sink.body.Len(), err)
	case sink.status != 0:
		c.t.Errorf("%s was cut after %d bytes: %v", id, sink.body.Len(), err)
	case code.From(err).Outcome != code.NotRun:
		c.t.Errorf("%s failed although no upstream broke off: %v", id, err)
	}
}

// TestStreamsAreWholeBesideChangesOfTheFleet plays drawn histories of sound upstreams.
func TestStreamsAreWholeBesideChangesOfTheFleet(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &streamHistory{random: rand.New(rand.NewPCG(seed, 40))}
				scripts := make([]script, historyWorkers)
				for i := range scripts {
					scripts[i] = h.work
				}
				dial, workers, wait := pipeWorkers(scripts...)
				f := newChangingForwarder(t, dial, workers...)
				ctx, stop := context.WithCancel(t.Context())
				wait.Go(func() { _ = f.Run(ctx) })
				wait.Go(func() { h.changeFleet(ctx, f) })
				var callers sync.WaitGroup
				for i := range historyCallers {
					caller := &historyCaller{t: t, forwarder: f, resumable: i > 0}
					callers.Go(func() {
						for n := range historyStreams {
							caller.send(t.Context(), fmt.Sprintf("c%d-%d", i, n))
							h.pause(100 * time.Millisecond)
						}
					})
				}
				callers.Wait()
				stop()
				wait.Wait()
			})
		})
	}
}
