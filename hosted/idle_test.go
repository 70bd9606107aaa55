package hosted

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// open reports whether the other end of a pipe is open.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func TestIdleConnectionsAreClosedByTheLimitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 15 * time.Second
		l := newIdleCloser(func() time.Duration { return limit })
		server, caller := net.Pipe()
		l.connState(server, http.StateIdle)
		time.Sleep(12 * time.Second)
		l.connState(server, http.StateActive)
		time.Sleep(time.Hour)
		if !isOpen(caller) {
			t.Fatal("a connection with a request was closed")
		}
		limit = 4 * time.Second
		l.connState(server, http.StateIdle)
		time.Sleep(limit - time.Second)
		if !isOpen(caller) {
			t.Error("closed before the limit")
		}
		time.Sleep(2 * time.Second)
		if isOpen(caller) {
			t.Error("open after the limit")
		}
		if len(l.timers) != 0 {
			t.Errorf("%d timers are left", len(l.timers))
		}
	})
}
