package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// connections ends callers' connections that have been idle for longer than the
// document in force allows. It is safe for concurrent use.
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
}

// lastReadTime is how long a connection that is about to close is read once more, for
// a request that is already under way.
const lastReadTime = 50 * time.Millisecond

func newConnections(idleLimit func() time.Duration) *connections {
	return &connections{idleLimit: idleLimit}
}

// configure makes a server, which must not be serving yet, use c. Its listener must be
// one that c.listener returned.
func (c *connections) configure(server *http.Server) {
	server.ConnState = c.connState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
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

// handler returns h with a record of the start of each request.
func (c *connections) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request may have been buffered behind an earlier one.
		r.Context().Value(connKey{}).(*callerConn).begin()
		h.ServeHTTP(w, r)
	})
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
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, connections: l.connections, unread: true}, nil
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
	// idleUntil is the end of the current idle time; zero means that it has none.
	idleUntil time.Time
	timer     *time.Timer
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendOnce() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// While a handler runs, net/http reads a single byte to notice when the caller
	// closes the connection.
	c.readAhead = c.readAhead || !c.unread && len(p) == 1
	c.beginLocked()
	return n, err
}

// extendOnce moves the read deadline of a woken connection by lastReadTime and reports
// whether it has done so.
func (c *callerConn) extendOnce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.woken || !c.unread {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
}

// begin records that a byte of the next request has been read.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginLocked()
}

func (c *callerConn) beginLocked() {
	if !c.unread {
		return
	}
	c.unread = false
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.woken {
		c.woken = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn. A deadline that wakes the connection stays.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.woken {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http end an answer before it discards the rest of a request.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// becomeIdle records that a request has been answered.
func (c *callerConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread, c.readAhead = !c.readAhead, false
	if !c.unread {
		return
	}
	limit := c.connections.idleLimit()
	if limit <= 0 {
		c.idleUntil = time.Time{}
		return
	}
	c.idleUntil = time.Now().Add(limit)
	if c.timer == nil {
		c.timer = time.AfterFunc(limit, c.checkIdle)
		return
	}
	c.timer.Reset(limit)
}

// checkIdle wakes the connection if its idle time has ended. It may run late, in a
// later idle time.
func (c *callerConn) checkIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unread || c.woken || c.idleUntil.IsZero() || time.Now().Before(c.idleUntil) {
		return
	}
	c.woken = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
