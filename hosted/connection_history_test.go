package hosted

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/entry"
	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/upstream"
)

// connectionHistory is what happens to the connections of a few callers: what they send,
// how the idle limit changes, and a planned stop.
type connectionHistory struct {
	Callers []callerScript
	// IdleLimits come into force one after another, IdleLimitTime each.
	IdleLimits    []time.Duration
	IdleLimitTime time.Duration
	// StopAfter is the time until a planned stop; 0 means after all callers have left.
	StopAfter time.Duration
	// Linger is the time between the first answers that close their connections and the
	// end of listening.
	Linger time.Duration
}

// drawDuration draws a time of up to limit milliseconds, often none.
func drawDuration(rt *rapid.T, label string, limit int) time.Duration {
	if rapid.Bool().Draw(rt, label+" none") {
		return 0
	}
	return time.Duration(rapid.IntRange(0, limit).Draw(rt, label)) * time.Millisecond
}

func drawUpstream(rt *rapid.T) upstreamScript {
	s := upstreamScript{
		Kind: rapid.SampledFrom([]scriptKind{
			answerWithLength, answerWithLength, answerWithLength, answerChunked, answerChunked, answerUntilClose, answerUntilClose,
			answerEvents, answerEvents, answerEvents, answerEvents, answerBeforeBody, answerBeforeBody, answerBeforeBody,
			refuse, breakBeforeHead, breakInBody, silentAtOnce, silentAfterHead, silentAfterOneByte,
		}).Draw(rt, "upstream"),
		Pause: drawDuration(rt, "upstream pause", 20),
	}
	const longPauseShare = 200
	if rapid.IntRange(1, longPauseShare).Draw(rt, "long pause") == longPauseShare {
		s.Pause = 1100 * time.Millisecond
	}
	return s
}

func drawRequest(rt *rapid.T, first bool) requestScript {
	r := requestScript{
		Pipelined: !first && rapid.IntRange(0, 4).Draw(rt, "pipelined") == 0,
		Idle:      drawDuration(rt, "idle", 90),
		Path:      rapid.SampledFrom([]string{"/once/", "/once/", "/again/", "/resumed/", "/bare/", "/none/"}).Draw(rt, "path"),
		HTTP10:    rapid.IntRange(0, 5).Draw(rt, "version") == 0,
		BodyBytes: rapid.SampledFrom([]int{0, 10, 10, 10, 10, 5000, 5000, 5000, 40_000, 40_000, 40_000, 300_000}).Draw(rt, "body"),
		Parts:     rapid.SliceOfN(rapid.IntRange(1, 400), 0, 4).Draw(rt, "parts"),
		Pause:     drawDuration(rt, "part pause", 10),
		Timeout:   5 * time.Second,
		Upstream:  drawUpstream(rt),
	}
	if !r.HTTP10 {
		r.Chunked = rapid.Bool().Draw(rt, "chunked")
		r.ExpectContinue = rapid.IntRange(0, 3).Draw(rt, "expect") == 0
	}
	if !r.Upstream.isSound() {
		// The answer is due at the deadline.
		r.Timeout = 80 * time.Millisecond
	}
	return r
}

func drawCaller(rt *rapid.T) callerScript {
	c := callerScript{End: rapid.SampledFrom([]callerEnd{endAfterAnswers, endAfterAnswers, endHalfClosed, endLeaves}).Draw(rt, "end")}
	for n := range rapid.IntRange(1, 4).Draw(rt, "requests") {
		c.Requests = append(c.Requests, drawRequest(rt, n == 0))
	}
	for n := range c.Requests[:len(c.Requests)-1] {
		if c.Requests[n+1].Pipelined {
			c.Requests[n].ExpectContinue = false
		}
	}
	c.LeavesAfter = drawDuration(rt, "leaves after", 30)
	return c
}

func drawConnectionHistory(rt *rapid.T) connectionHistory {
	h := connectionHistory{IdleLimitTime: time.Duration(rapid.IntRange(1, 60).Draw(rt, "limit time")) * time.Millisecond}
	for range rapid.IntRange(1, 4).Draw(rt, "callers") {
		h.Callers = append(h.Callers, drawCaller(rt))
	}
	for range rapid.IntRange(1, 4).Draw(rt, "limits") {
		h.IdleLimits = append(h.IdleLimits, time.Duration(rapid.IntRange(10, 120).Draw(rt, "limit"))*time.Millisecond)
	}
	h.StopAfter, h.Linger = drawDuration(rt, "stop", 150), drawDuration(rt, "linger", 40)
	return h
}

// countedConn counts the bytes that an instance has read from a caller.
type countedConn struct {
	*net.TCPConn
	read atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// countedListener holds the connections that were accepted, by their callers' addresses.
type countedListener struct {
	net.Listener
	mu       sync.Mutex
	accepted map[string]*countedConn
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{TCPConn: c.(*net.TCPConn)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted[c.RemoteAddr().String()] = counted
	return counted, nil
}

// historyInstance is the part of an instance between its callers and upstreams.
type historyInstance struct {
	connections *connections
	limit       atomic.Int64
	server      *http.Server
	listener    *countedListener
	served      chan struct{}
	// begun holds the ids of the requests that reached the handler.
	begun sync.Map
	// stoppedAt is when the planned stop began.
	stoppedAt time.Time
	upstreams []*scriptedUpstream
	endRun    func()
}

func startHistoryInstance(log *zap.Logger, limit time.Duration) (*historyInstance, error) {
	i := &historyInstance{served: make(chan struct{})}
	i.limit.Store(int64(limit))
	document := &contract.Document{
		Services:  map[string]contract.Service{"s": {Kind: contract.KindRouted}},
		Upstreams: map[string]contract.Upstream{}, DataCentres: map[string]contract.DataCentre{"a": {}},
	}
	for n := range 2 {
		u, err := startScriptedUpstream()
		if err != nil {
			return nil, err
		}
		i.upstreams = append(i.upstreams, u)
		document.Upstreams[fmt.Sprint("u", n)] = contract.Upstream{Address: u.listener.Addr().String(), DataCentre: "a", Services: []string{"s"}, Slots: 64}
	}
	dispatcher, err := upstream.New(upstream.Options{Document: func() *contract.Document { return document }, DataCentre: "a", Seed: 1, Wire: platform.WorkerWire{}, Logger: log})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = dispatcher.Run(ctx) }()
	i.endRun = func() { cancel(); <-ended }
	split := []contract.WeightedService{{Service: "s", Weight: 1}}
	routing := &contract.Routing{Routes: []contract.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: contract.RouteStream, MaxAttempts: 1, Split: split},
		{Name: "again", Host: "h", Prefix: "/again/", Kind: contract.RouteSafe, MaxAttempts: 2, Split: split},
		{Name: "resumed", Host: "h", Prefix: "/resumed/", Kind: contract.RouteStream, Resumable: true, MaxAttempts: 3, Split: split},
		{Name: "bare", Host: "h", Prefix: "/bare/", Kind: contract.RouteSafe, MaxAttempts: 1},
	}}
	handler := entry.NewHandler(entry.Options{Routing: func() *contract.Routing { return routing }, Forwarder: dispatcher, Log: log})
	i.server = newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.begun.Store(platform.RequestID(r.Header), true)
		handler.ServeHTTP(w, r)
	}))
	i.server.ReadTimeout = 0
	i.connections = newConnections(func() time.Duration { return time.Duration(i.limit.Load()) }, zap.NewNop())
	i.connections.configure(i.server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i.listener = &countedListener{Listener: l, accepted: map[string]*countedConn{}}
	go func() { defer close(i.served); _ = serve(i.server, i.connections.listener(i.listener)) }()
	return i, nil
}

// stop is the part of Instance.shutdown that concerns callers.
func (i *historyInstance) stop(linger time.Duration) error {
	i.stoppedAt = time.Now()
	i.connections.closeAfterAnswer.Store(true)
	time.Sleep(linger)
	_ = i.listener.Close()
	<-i.served
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return i.connections.drain(ctx)
}

func (i *historyInstance) close() {
	_ = i.server.Close()
	i.endRun()
	for _, u := range i.upstreams {
		u.close()
	}
}

// play plays a history and returns what was violated.
func (h connectionHistory) play(log *zap.Logger) (violations []string, err error) {
	i, err := startHistoryInstance(log, h.IdleLimits[0])
	if err != nil {
		return nil, err
	}
	defer i.close()
	var callers []*scriptedCaller
	var wait, others sync.WaitGroup
	for n, script := range h.Callers {
		c, err := dialScriptedCaller(fmt.Sprint("c", n), i.listener.Addr().String(), script)
		if err != nil {
			return nil, err
		}
		callers = append(callers, c)
	}
	ended := make(chan struct{})
	others.Go(func() {
		for _, limit := range h.IdleLimits {
			i.limit.Store(int64(limit))
			select {
			case <-time.After(h.IdleLimitTime):
			case <-ended:
			}
		}
	})
	var stopErr error
	others.Go(func() {
		select {
		case <-ended:
		case <-time.After(h.StopAfter):
			if h.StopAfter == 0 {
				<-ended
			}
		}
		stopErr = i.stop(h.Linger)
	})
	for _, c := range callers {
		wait.Go(c.run)
	}
	wait.Wait()
	close(ended)
	others.Wait()
	if stopErr != nil {
		violations = append(violations, "the planned stop did not end although all callers had left: "+stopErr.Error())
	}
	for _, c := range callers {
		violations = append(violations, h.judge(i, c)...)
	}
	return violations, nil
}

// judge returns what was violated on the connection of a caller.
func (h connectionHistory) judge(i *historyInstance, c *scriptedCaller) (violations []string) {
	i.listener.mu.Lock()
	accepted := i.listener.accepted[c.conn.LocalAddr().String()]
	i.listener.mu.Unlock()
	sent := int64(0)
	var before *exchange
	idleSince := c.connectedAt
	for _, e := range c.exchanges {
		if before != nil && (!before.whole || before.closes) || e.firstByteAt.IsZero() {
			return violations
		}
		sent += int64(len(e.script.head(e.id)) + len(e.script.body(e.id)))
		wasRead := accepted != nil && accepted.read.Load() >= sent
		if _, ok := i.begun.Load(e.id); ok {
			wasRead = true
		}
		if fault := h.fault(i, e, idleSince, accepted != nil, wasRead); fault != "" {
			violations = append(violations, fmt.Sprintf("request %s: %s (status %d, error %v, whole %v, read %v)", e.id, fault, e.status, e.err, e.whole, wasRead))
		}
		before, idleSince = e, e.firstByteAt
	}
	return violations
}

// fault returns what is wrong with the answer to a request, "" if nothing is.
func (h connectionHistory) fault(i *historyInstance, e *exchange, idleSince time.Time, accepted, wasRead bool) string {
	script := e.script.Upstream
	for _, u := range i.upstreams {
		switch {
		case u.has(u.changed, e.id):
			return "its body was changed on the way"
		case u.has(u.dropped, e.id) && !e.left && !e.halfClosed && e.script.Path == "/once/":
			return "it was dropped while a sound upstream worked on it"
		}
	}
	switch {
	case e.left:
		return ""
	case e.whole && e.status == http.StatusOK && e.text != answerText(e.id, script.Kind):
		return fmt.Sprintf("its answer is %.80q", e.text)
	case e.whole && e.status != http.StatusOK && !e.halfClosed && script.isSound() && e.script.Path == "/once/":
		return "it failed at a sound upstream"
	case e.whole:
		return ""
	case e.status != 0 && !e.halfClosed && script.isSound():
		return "its answer was cut"
	case e.status != 0:
		return ""
	case wasRead:
		return "it was read and got neither an answer nor a refusal"
	case accepted && !h.mayCross(i, e, idleSince):
		return "its connection was closed while it was in use"
	}
	return ""
}

// mayCross reports whether a request may have been sent when its connection was closed. The
// connection is idle since a time, or since later.
func (h connectionHistory) mayCross(i *historyInstance, e *exchange, idleSince time.Time) bool {
	if !e.firstByteAt.Before(i.stoppedAt) {
		return true
	}
	shortest := h.IdleLimits[0]
	for _, limit := range h.IdleLimits {
		shortest = min(shortest, limit)
	}
	return !e.script.Pipelined && e.firstByteAt.Sub(idleSince) >= shortest
}

// TestEachWholeRequestIsAnsweredInDrawnHistories holds drawn histories to this: each whole
// request gets a whole answer or a refusal unless its caller left first, and what a sound
// upstream has received is not dropped. A caller that has closed its sending side looks like
// one that has left: its request may end early, but with an answer unless one has begun.
func TestEachWholeRequestIsAnsweredInDrawnHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := rapid.Custom(drawConnectionHistory).Draw(rt, "history")
		violations, err := h.play(zap.NewNop())
		if err != nil {
			rt.Fatal(err)
		}
		for _, v := range violations {
			rt.Error(v)
		}
	})
}
