package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/platform"
)

// connections holds the callers' open connections. It ends idle ones at the limit of
// the document and lets a planned stop wait for the others. It is safe for concurrent
// use.
//
// net/http reports StateActive only when the head of a request has been parsed, so its
// own idle state also covers requests that have been read. A connection is therefore
// never closed from outside while it seems idle. Its reading goroutine is woken by a
// read deadline instead: it either returns bytes, and the request is served, or a
// timeout, upon which net/http closes the connection.
type connections struct {
	// idleLimit returns the longest idle time of the document in force; 0 means that
	// it sets none.
	idleLimit func() time.Duration
	log       *zap.Logger
	// headerTimeout limits the time from the first byte of a request to the end of its
	// head; 0 means without limit.
	headerTimeout time.Duration
	// closeAfterAnswer is set when answers tell callers to close their connections.
	closeAfterAnswer atomic.Bool

	// mu may be acquired while the mutex of a connection is held, never the reverse.
	mu       sync.Mutex
	open     map[*callerConn]struct{}
	draining bool
	// drained is closed when no connection is open while draining.
	drained chan struct{}

	// requests is the context of all requests.
	requests       context.Context
	cancelRequests context.CancelCauseFunc

	// budget bounds what is held for callers; nil does not. headLimit returns the largest
	// head of the document in force, 0 if it sets none.
	budget    *budget.Budget
	headLimit func() int
	// socketBytes bounds what the kernel holds in each direction of a connection, if there is
	// a budget. lingerTime bounds the time for which a connection is read after its answer.
	socketBytes int
	lingerTime  time.Duration
}

const (
	// defaultIdleLimit applies when the document sets no limit. It is much longer than
	// callers usually reuse an idle connection.
	defaultIdleLimit = 75 * time.Second
	// maxIdleTime is the idle timeout of http.Server, which the idle limit replaces.
	maxIdleTime = time.Hour
	// lastReadTime is how long a connection that is about to close is read once more,
	// for a request that is already under way.
	lastReadTime = 50 * time.Millisecond
)

func newConnections(idleLimit func() time.Duration, log *zap.Logger) *connections {
	c := &connections{idleLimit: idleLimit, log: log, open: map[*callerConn]struct{}{}, drained: make(chan struct{}), socketBytes: socketBufferBytes, lingerTime: lingerTime}
	c.requests, c.cancelRequests = context.WithCancelCause(context.Background())
	return c
}

// configure makes a server, which must not be serving yet, use c. Its listener must be
// one that c.listener returned.
func (c *connections) configure(server *http.Server) {
	server.IdleTimeout = maxIdleTime
	c.headerTimeout = server.ReadHeaderTimeout
	server.ConnState = c.connState
	server.BaseContext = func(net.Listener) context.Context { return c.requests }
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, conn)
		if holder := conn.(*callerConn).holder; holder != nil {
			ctx = budget.WithHolder(ctx, holder)
		}
		return ctx
	}
	server.Handler = c.handler(server.Handler)
}

// connKey is the key of a request's callerConn in its context.
type connKey struct{}

// connState implements http.Server.ConnState.
func (c *connections) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn.(*callerConn).becomeIdle()
	}
}

// handler returns h with answers that close their connections during a planned stop, and
// otherwise say for how long these may be used again.
func (c *connections) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request may have been buffered behind an earlier one.
		conn := r.Context().Value(connKey{}).(*callerConn)
		conn.beginRequest(platform.RequestID(r.Header))
		if conn.refused {
			refuseRequest(w, r)
		} else {
			h.ServeHTTP(&closingWriter{ResponseWriter: w, conn: conn}, r)
		}
		conn.endRequest()
	})
}

// limit returns the longest idle time by the document in force.
func (c *connections) limit() time.Duration {
	if d := c.idleLimit(); d > 0 {
		return d
	}
	return defaultIdleLimit
}

// drain ends idle connections and waits until all others have answered and closed.
// It must be called once, after the server has returned from Serve. It returns the
// error of ctx if connections are still open when ctx ends.
func (c *connections) drain(ctx context.Context) error {
	c.closeAfterAnswer.Store(true)
	c.mu.Lock()
	c.draining = true
	open := make([]*callerConn, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		conn.wake()
	}
	if len(open) == 0 {
		return nil
	}
	return c.waitDrained(ctx)
}

// endRequests cancels all requests with a cause, and waits until they have been
// answered or ctx ends. It must be called after drain.
func (c *connections) endRequests(ctx context.Context, cause error) error {
	c.cancelRequests(cause)
	return c.waitDrained(ctx)
}

func (c *connections) waitDrained(ctx context.Context) error {
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *connections) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

func (c *connections) add(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
}

func (c *connections) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.open[conn]; !ok {
		return
	}
	delete(c.open, conn)
	if c.draining && len(c.open) == 0 {
		close(c.drained)
	}
}

// listener returns l with connections that c holds.
func (c *connections) listener(l net.Listener) net.Listener {
	return &callerListener{Listener: l, connections: c}
}

type callerListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.acceptWithRoom()
	if err != nil {
		return nil, err
	}
	accepted := &callerConn{Conn: conn, connections: l.connections}
	accepted.openHolder()
	l.connections.add(accepted)
	accepted.becomeIdle()
	return accepted, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	connections *connections

	mu sync.Mutex
	// unread is set while no byte of the next request has been read.
	unread bool
	// readAhead is set when the first byte of the next request was read before the
	// current one was finished.
	readAhead bool
	// woken is set when the read deadline of an unread connection has been moved to
	// the past. readDeadline is the one to restore.
	woken        bool
	readDeadline time.Time
	// deadlineSet is set once net/http has set a read deadline for the bytes of the next
	// request. It sets another one, for the head, when it has the first of them.
	deadlineSet bool
	// interrupted is set from a wake until a read has timed out because of it.
	interrupted bool
	// idleSince and limitWhenIdle belong to the current idle time.
	idleSince     time.Time
	limitWhenIdle time.Duration
	timer         *time.Timer
	// announcedLimit is the idle limit by which the last answer said for how long the
	// connection may be used again.
	announcedLimit time.Duration
	// requestAt is when the first byte of the last request was read. handled is set while a
	// handler has the request with the id requestID, and answered after it has returned.
	requestAt time.Time
	handled   bool
	requestID string
	answered  bool
	// readErr is the error by which the caller ended the connection, writeErr that of a
	// write.
	readErr  error
	writeErr error
	// closing is set by the first Close.
	closing bool

	// holder accounts for what is held for the connection; nil if there is no budget.
	holder *budget.Holder
	// head measures the head that is being read. Only the reading goroutine uses it.
	// refused is set if the head did not fit into the budget; used by the same goroutine.
	head    budget.Head
	refused bool
	// reading is set while the rest of a request is waited for, writing while a part of an
	// answer is. givenUp and readerGivenUp are set once these have been ended for want of
	// memory.
	reading       bool
	writing       bool
	givenUp       bool
	readerGivenUp bool
	// queue is the part of an answer that the caller has not taken.
	queue answerQueue
	// resets is set when the next Close is to reset the connection.
	resets bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.holder == nil {
		return c.read(p)
	}
	return c.readCharged(p)
}

// read reads, and records the beginning of a request and the end of the connection.
func (c *callerConn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.wasWoken() {
		n, err = c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isWoken() {
			n, err = readReceived(c.Conn, p, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !isTimeout(err) && c.readErr == nil {
		c.readErr = err
	}
	if n == 0 {
		return n, err
	}
	// While a handler runs, net/http reads a single byte to notice when the caller
	// closes the connection.
	c.readAhead = c.readAhead || !c.unread && len(p) == 1
	c.beginLocked()
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.writeCharged(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeErr = err
	}
	return n, err
}

// wasWoken reports whether a read that timed out was woken, and must be repeated. The
// deadline of an unread connection is then moved by lastReadTime. A request that was
// buffered may have begun since; its own deadline is in force again.
func (c *callerConn) wasWoken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	return !c.woken || c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
}

// isWoken reports whether the connection is about to close.
func (c *callerConn) isWoken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.woken
}

// beginRequest records that the head of a request has been read.
func (c *callerConn) beginRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginLocked()
	c.handled, c.requestID = true, id
}

// endRequest records that a handler has returned.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	c.holder.End(c.queue.charged)
}

func (c *callerConn) beginLocked() {
	if !c.unread {
		return
	}
	c.unread = false
	c.requestAt = time.Now()
	c.holder.Begin(c.requestAt)
	if c.timer != nil {
		c.timer.Stop()
	}
	c.woken = false
	if timeout := c.connections.headerTimeout; timeout > 0 && !c.readDeadline.IsZero() {
		c.readDeadline = time.Now().Add(timeout)
	}
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline implements net.Conn. A deadline that wakes the connection stays. Another
// one applies once a byte of the next request has been read: until then, the idle limit
// does. The beginning of a request that was read together with the request before shows
// only in the deadlines.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.deadlineSet {
		c.beginLocked()
	}
	c.deadlineSet = true
	if c.woken || c.givenUp {
		return nil
	}
	if c.unread && t.After(time.Now()) {
		t = time.Time{}
	}
	return c.Conn.SetReadDeadline(t)
}
