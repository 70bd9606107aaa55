package hosted

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// isOpen reports whether the other end of a pipe is open.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func TestIdleConnectionsAreClosedAtCurrentLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 15 * time.Second
		l := newIdleCloser(func() time.Duration { return limit })
		server, caller := net.Pipe()
		l.connState(server, http.StateIdle)
		time.Sleep(12 * time.Second)
		l.connState(server, http.StateActive)
		time.Sleep(time.Hour)
		if !isOpen(caller) {
			t.Fatal("a connection with a request in flight was closed")
		}
		limit = 4 * time.Second
		l.connState(server, http.StateIdle)
		time.Sleep(limit - time.Second)
		if !isOpen(caller) {
			t.Error("the connection was closed before the limit")
		}
		time.Sleep(2 * time.Second)
		if isOpen(caller) {
			t.Error("the connection is open after the limit")
		}
		if len(l.timers) != 0 {
			t.Errorf("%d timers are left, want none", len(l.timers))
		}
	})
}
