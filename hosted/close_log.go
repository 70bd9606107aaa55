package hosted

import (
	"errors"
	"os"
	"time"

	"go.uber.org/zap"
)

// isTimeout reports whether an error of a read is a deadline, not the end of the connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// logCloseLocked logs the end of a connection whose caller may still be waiting for an
// answer of a handler or may send a request at this moment. read_error tells whether the
// caller closed it first.
func (c *callerConn) logCloseLocked() {
	fields := []zap.Field{zap.Stringer("caller", c.RemoteAddr()), zap.Bool("stopping", c.connections.isDraining())}
	switch {
	case !c.unread && (!c.answered || c.writeErr != nil):
		c.connections.log.Info("connection closed before a request was answered", append(fields,
			zap.String("request", c.requestID),
			zap.Bool("head_read", c.handled),
			zap.Duration("since_request", time.Since(c.requestAt)),
			zap.NamedError("read_error", c.readErr),
			zap.NamedError("write_error", c.writeErr),
		)...)
	case c.unread && c.readErr == nil:
		c.connections.log.Info("idle connection closed", append(fields, zap.Duration("idle", time.Since(c.idleSince)))...)
	}
}
