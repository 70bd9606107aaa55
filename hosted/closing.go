package hosted

import (
	"errors"
	"os"

	"go.uber.org/zap"
)

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	if !c.closing {
		c.closing = true
		c.logClose()
	}
	c.mu.Unlock()
	err := c.Conn.Close()
	c.connections.remove(c)
	return err
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
