package hosted

import (
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/platform"
)

const (
	// socketBufferBytes bounds what the kernel holds in each direction of a caller's
	// connection. Linux doubles it. By default it would hold up to 6 MB of a caller whose
	// request is not read yet.
	socketBufferBytes = 64 << 10
	// writeStepBytes is the part of an answer that is written at a time, so that the progress
	// of a reader is known.
	writeStepBytes = 32 << 10
	// slowReaderTime is the time after which a caller that reads nothing of its answer may be
	// given up for want of memory. A caller that reads makes room within milliseconds.
	slowReaderTime = 100 * time.Millisecond
	// headSlackBytes is beyond the limit of the document, so that package entry answers heads
	// slightly over it.
	headSlackBytes = 4 << 10
	// roomTime is how long a new connection waits in the kernel for another to end.
	roomTime     = 250 * time.Millisecond
	roomInterval = 5 * time.Millisecond
	// exhaustedRetryAfter is short, since another instance can take the request at once.
	exhaustedRetryAfter = 100 * time.Millisecond
)

// acceptWithRoom returns the next connection. One for which there is no room within roomTime is
// closed.
func (l *callerListener) acceptWithRoom() (net.Conn, error) {
	b := l.connections.budget
	for {
		for end := time.Now().Add(roomTime); b != nil && !b.HasRoom(time.Now()) && time.Now().Before(end); {
			time.Sleep(roomInterval)
		}
		conn, err := l.Listener.Accept()
		if err != nil || b == nil || b.HasRoom(time.Now()) {
			return conn, err
		}
		l.connections.log.Warn("connection refused, too many are open", zap.Stringer("caller", conn.RemoteAddr()), zap.Int("limit", b.Limits().Connections))
		_ = conn.Close()
	}
}

// openHolder charges the connection to the budget, if there is one.
func (c *callerConn) openHolder() {
	if c.connections.budget == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without the bounds the connection works all the same.
		_ = tcp.SetReadBuffer(c.connections.socketBytes)
		_ = tcp.SetWriteBuffer(c.connections.socketBytes)
	}
	c.holder = c.connections.budget.Open(c, time.Now())
}

// GiveUp implements budget.Caller. A connection is ended only while it is idle, while the rest
// of a request is waited for, or while its caller does not read.
func (c *callerConn) GiveUp(f budget.Facts) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := ""
	switch {
	case c.readerGivenUp:
		return false
	case c.writing && f.Inactive >= slowReaderTime:
		reason = "slow reader"
		c.readerGivenUp = true
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	case c.closing || c.givenUp || c.woken:
		return false
	case c.unread:
		c.wakeLocked()
		return true
	case c.reading:
		reason = "slow sender"
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	default:
		return false
	}
	c.givenUp = true
	c.connections.log.Info("caller given up", zap.String("reason", reason), zap.Stringer("caller", c.RemoteAddr()), zap.String("request", c.requestID),
		zap.Int64("held_bytes", f.Held), zap.Int64("moved_bytes", f.Moved), zap.Duration("elapsed", f.Elapsed), zap.Duration("inactive", f.Inactive))
	return true
}

// SetWriteDeadline implements net.Conn. The deadline by which a slow reader is given up stays.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readerGivenUp {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// readCharged reads a part of a request. The bytes of a head are charged before net/http
// parses them. It returns budget.ErrGivenUp if the caller has been given up, and ends the
// connection at a head that is over the limit or does not fit into the budget.
func (c *callerConn) readCharged(p []byte) (int, error) {
	c.mu.Lock()
	if c.givenUp {
		c.mu.Unlock()
		return 0, budget.ErrGivenUp
	}
	// While a handler runs, net/http reads a single byte to notice when the caller closes the
	// connection. That is no wait for a request.
	c.reading = !c.handled || len(p) > 1
	inHead := !c.handled
	c.mu.Unlock()
	n, err := c.read(p)
	if c.endReading(n) {
		return 0, budget.ErrGivenUp
	}
	c.holder.Moved(n, time.Now())
	if !inHead || n == 0 {
		return n, err
	}
	cost := c.head.Add(p[:n])
	if limit := c.connections.headLimit(); limit > 0 && c.head.Bytes > limit+headSlackBytes {
		c.refuseHead(limit)
		return 0, io.EOF
	}
	if c.holder.Take(cost) == nil {
		return n, err
	}
	c.connections.log.Info("head refused, the memory for callers is used up", zap.Stringer("caller", c.RemoteAddr()), zap.Int("lines", c.head.Lines), zap.Bool("whole", c.head.Done))
	if !c.head.Done {
		return 0, io.EOF
	}
	// A request whose head is whole gets an answer.
	c.holder.Add(cost)
	c.refused = true
	return n, err
}

// endReading records that a read has returned n bytes, and reports whether the caller has been
// given up. One whose bytes have arrived at the same time is not: its request may be whole.
func (c *callerConn) endReading(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if !c.givenUp || n == 0 {
		return c.givenUp
	}
	c.givenUp = false
	c.holder.Stay()
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	return false
}

// refuseRequest answers a request whose head did not fit into the budget.
func refuseRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if r.Body != http.NoBody {
		// net/http would wait for the rest of the body.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
	platform.WriteError(w, code.New(code.MemoryExhausted, "the memory for callers is used up").WithRetryAfter(exhaustedRetryAfter))
}

// headTooLarge is the answer to a head that is over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// headAnswerTime is longer than it takes to write headTooLarge to a caller that has read its
// earlier answers.
const headAnswerTime = 10 * time.Millisecond

// refuseHead answers a head that is over the limit before its end. net/http then closes the
// connection.
func (c *callerConn) refuseHead(limit int) {
	c.connections.log.Info("head over the limit", zap.Stringer("caller", c.RemoteAddr()), zap.Int("bytes", c.head.Bytes), zap.Int("limit", limit))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(headAnswerTime))
	_, _ = c.Conn.Write([]byte(headTooLarge))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}
