package hosted

import (
	"errors"
	"os"
	"time"

	"go.uber.org/zap"
)

// recordReadError records the error that ended the reading of the connection.
func (c *callerConn) recordReadError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.answered.Store(true)
	}
	return n, err
}

// awaitAnswerLocked records that the first byte of a request has been read.
func (c *callerConn) awaitAnswerLocked() {
	c.requestAt = time.Now()
	c.answered.Store(false)
}

// logCloseLocked logs the end of a connection whose caller may still be waiting for an
// answer or may send a request at this moment.
func (c *callerConn) logCloseLocked() {
	if c.closed {
		return
	}
	c.closed = true
	fields := []zap.Field{zap.Stringer("caller", c.RemoteAddr()), zap.Bool("stopping", c.connections.isDraining())}
	switch {
	case !c.unread && !c.answered.Load():
		c.connections.log.Info("connection closed without an answer", append(fields, zap.Duration("since_request", time.Since(c.requestAt)), zap.Error(c.readErr))...)
	case c.unread && c.readErr == nil:
		c.connections.log.Info("idle connection closed", append(fields, zap.Duration("idle", time.Since(c.idleSince)))...)
	}
}
