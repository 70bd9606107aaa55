package hosted

import (
	"io"
	"net"
	"time"
)

// lingerTime bounds the time for which a caller's connection that was closed after an answer is
// still read. net/http waits as long after an answer that came before the end of a body.
const lingerTime = 500 * time.Millisecond

// closeWriter is a connection whose sending side can be closed.
type closeWriter interface{ CloseWrite() error }

// Close implements net.Conn. After an answer the connection stays open for reading for up
// to lingerTime, until the caller has closed its side: closing it while there are bytes to
// be read, such as a pipelined request, would reset it before the caller has read the
// answer.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	first := !c.closing
	lingers := first && c.answered && c.readErr == nil && c.writeErr == nil
	c.closing = true
	if first {
		c.holder.End(c.queue.charged)
		c.logCloseLocked()
	}
	waits, done := first && c.queue.running && !c.resets, c.queue.done
	c.mu.Unlock()
	if waits {
		go c.closeAfterQueue(done, func() error { return c.closeWritten(lingers) })
		return nil
	}
	return c.closeWritten(lingers)
}

// closeWritten closes the connection, whose answers have been written.
func (c *callerConn) closeWritten(lingers bool) error {
	if w, ok := c.Conn.(closeWriter); ok && lingers && w.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	return c.closeNow()
}

// SetLinger lets code.AbortHTTP reset the connection.
func (c *callerConn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.resets = seconds == 0
	c.mu.Unlock()
	return setLinger(c.Conn, seconds)
}

func setLinger(conn net.Conn, seconds int) error {
	if l, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

func (c *callerConn) closeNow() error {
	err := c.Conn.Close()
	c.holder.Close()
	c.connections.remove(c)
	return err
}

// linger reads until the caller has closed its side. The connection counts as open until
// then, so that a planned stop waits for it.
func (c *callerConn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.connections.lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.closeNow()
}

// CloseWrite lets net/http end an answer before it discards the rest of a request.
func (c *callerConn) CloseWrite() error {
	c.mu.Lock()
	waits := c.queue.running
	c.mu.Unlock()
	if waits {
		// Close follows, and waits for the queue.
		return nil
	}
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}
