package hosted

import (
	"errors"
	"io"
	"os"
	"time"

	"go.uber.org/zap"
)

// lingerTime bounds the time for which a connection that was closed after an answer is
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
	lingers := c.answered && c.readErr == nil && c.writeErr == nil && !c.closing
	first := !c.closing
	c.closing = true
	if first {
		c.logClose()
	}
	c.mu.Unlock()
	if w, ok := c.Conn.(closeWriter); ok && lingers && w.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	return c.closeNow()
}

func (c *callerConn) closeNow() error {
	err := c.Conn.Close()
	c.connections.remove(c)
	return err
}

// linger reads until the caller has closed its side. The connection counts as open until
// then, so that a planned stop waits for it.
func (c *callerConn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.closeNow()
}

// logClose logs the end of a connection on which a request may not have been answered. It
// tells whether the caller closed it first.
func (c *callerConn) logClose() {
	if (c.unread || c.answered) && c.writeErr == nil {
		return
	}
	level := zap.InfoLevel
	if c.readErr != nil {
		level = zap.DebugLevel
	}
	entry := c.connections.log.Check(level, "connection closed before a request was answered")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Stringer("caller", c.RemoteAddr()),
		zap.String("request", c.requestID),
		zap.Bool("head_read", c.handled),
		zap.Int("answered_before", c.answers),
		zap.NamedError("read_error", c.readErr),
		zap.NamedError("write_error", c.writeErr),
	)
}

// isTimeout reports whether an error of a read is a deadline, not the end of the connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
