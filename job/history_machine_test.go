package job_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/storage"
)

// machine runs one process after another. Its fields except cancel and done are guarded by
// the lock of the history.
type machine struct {
	history *history
	name    string
	// process is the present process, or one that has ended. endedAt is when it ended, the
	// zero time while it runs.
	process string
	starts  int
	endedAt time.Time
	// cut is set, since cutAt, while the machine reaches neither the store nor others. A
	// frozen machine is also cut, and its calls of the store wait.
	cut, frozen bool
	cutAt       time.Time
	// refused is set while the store refuses the machine, which can use that of others.
	refused bool
	// hidden has the machines that this one takes for ended.
	hidden map[*machine]bool
	// disturbed is set while the machine is ended or cut, until disturbedAt.
	disturbed   bool
	disturbedAt time.Time
	service     *job.Service
	cancel      context.CancelFunc
	done        chan struct{}
}

const (
	// failureTime is the time after which the others see that a machine has ended.
	failureTime = 3 * time.Second
	// isolationTime is the time after which a machine sees that it is cut.
	isolationTime = 2 * time.Second
	handOverTime  = 2 * time.Second
)

// fleet returns the fleet as the machine knows it.
func (m *machine) fleet() job.Fleet {
	h := m.history
	h.mu.Lock()
	defer h.mu.Unlock()
	f := job.Fleet{LivenessKnown: !m.cut && !h.storeDown, Alive: map[string]bool{}}
	f.Isolated = m.cut && time.Since(m.cutAt) > isolationTime
	for _, other := range h.machines {
		gone := !other.endedAt.IsZero() && time.Since(other.endedAt) > failureTime ||
			other.cut && time.Since(other.cutAt) > failureTime || m.hidden[other]
		if other == m || !gone {
			f.Alive[other.process] = true
		}
	}
	return f
}

// start starts a process.
func (m *machine) start() {
	h := m.history
	ctx, cancel := context.WithCancel(context.Background())
	done, startedAt := make(chan struct{}), time.Now()
	routing := &contract.Routing{Version: 1, Routes: []contract.Route{h.route}}
	h.mu.Lock()
	defer h.mu.Unlock()
	m.starts++
	m.process, m.endedAt = fmt.Sprintf("%s/%d", m.name, m.starts), time.Time{}
	m.service = job.New(job.Options{
		Store: m.relayedStore(), Process: m.process, Forwarder: m, Retention: time.Hour, Log: zap.NewNop(),
		MaxBytes:   h.maxBytes,
		Fleet:      m.fleet,
		Routing:    func() *contract.Routing { return routing },
		RoutingAge: func() (time.Duration, bool) { return time.Since(startedAt), true },
		Decode:     decodeItems,
		Describe:   func(c *contract.ForwardRequest, it *job.Item, _ string) { c.RequestID = it.ID },
	})
	m.cancel, m.done = cancel, done
	go func(s *job.Service) { defer close(done); _ = s.Run(ctx) }(m.service)
}

// relayedStore returns the store as the present process reaches it, if need be through the
// machines that run. The lock is held.
func (m *machine) relayedStore() storage.RowStore {
	h := m.history
	return relay.New(relay.Options{
		Direct: machineStore{h.store, m, m.process},
		Peers: func() (names []string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, other := range h.machines {
				if other != m && other.endedAt.IsZero() && !m.cut {
					names = append(names, other.name)
				}
			}
			return names
		},
		Client: peerClient{h, m.name},
	})
}

// peerClient makes calls to the machines of a history.
type peerClient struct {
	history *history
	self    string
}

// Do implements connect.HTTPClient. The call fails, with or without effect, if one of the
// machines ends or is cut off.
func (c peerClient) Do(r *http.Request) (*http.Response, error) {
	h := c.history
	h.mu.Lock()
	self, peer := h.machine(c.self), h.machine(r.URL.Host)
	before := self.process + peer.process
	path, handler := relay.NewHandler(machineStore{h.store, peer, peer.process}, nil)
	reached := peer.endedAt.IsZero() && !peer.cut && !self.cut
	h.mu.Unlock()
	if !reached {
		return nil, errors.New("the peer is not reached")
	}
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() { defer close(done); mux.ServeHTTP(recorder, r) }()
	select {
	case <-done:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if h.locked(func() bool {
		return self.process+peer.process != before || !peer.endedAt.IsZero() || peer.cut || self.cut || h.random.Float64() < h.lossShare/4
	}) {
		return nil, errors.New("the peer's answer was lost")
	}
	return answerOf(recorder), nil
}

// answerOf returns a recorded answer with its length, without which package link takes it for
// one that was cut off.
func answerOf(r *httptest.ResponseRecorder) *http.Response {
	answer := r.Result()
	answer.ContentLength = int64(r.Body.Len())
	return answer
}

// end ends the process, after a hand-over if that is planned.
func (m *machine) end(planned bool) {
	h := m.history
	if planned {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
		m.service.Stop(ctx)
		cancel()
	}
	h.mu.Lock()
	m.endedAt = time.Now()
	h.mu.Unlock()
	m.cancel()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	m.service.Stop(ended)
	<-m.done
}

const (
	minEventPause = 20 * time.Millisecond
	maxEventPause = 400 * time.Millisecond
	// failedRuns and brokenEvents are the shares of runs that fail at once and of events
	// after which a run breaks.
	failedRuns   = 0.05
	brokenEvents = 0.01
)

// Forward acts as the upstream.
func (m *machine) Forward(ctx context.Context, c *contract.ForwardRequest, sink contract.ForwardSink) error {
	h := m.history
	if h.locked(func() bool { return h.upstreamsDown || h.random.Float64() < failedRuns }) {
		h.pause(0, time.Second)
		return code.New(code.UpstreamFailed, "the upstream failed")
	}
	if err := sink.Begin(http.StatusOK, nil); err != nil {
		return err
	}
	first, _ := strconv.Atoi(c.LastEventID)
	for n := first + 1; n <= itemEvents; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(h.between(minEventPause, maxEventPause)):
		}
		if h.locked(func() bool { return h.random.Float64() < brokenEvents }) {
			return code.New(code.StreamBroken, "the stream broke")
		}
		if err := sink.Write(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, eventData(c.RequestID, n))); err != nil {
			return err
		}
	}
	return nil
}
