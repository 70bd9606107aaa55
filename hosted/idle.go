package hosted

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that have been idle for longer than the
// document in force allows. http.Server.IdleTimeout cannot be used for this, since
// it is fixed and the document changes. It is safe for concurrent use.
type idleCloser struct {
	// limit returns the longest idle time; 0 means no limit.
	limit func() time.Duration

	mu sync.Mutex
	// timers holds a timer for each idle connection.
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// connState implements http.Server.ConnState.
func (l *idleCloser) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.timers[c]; ok {
		t.Stop()
		delete(l.timers, c)
	}
	if state != http.StateIdle {
		return
	}
	if limit := l.limit(); limit > 0 {
		l.timers[c] = time.AfterFunc(limit, func() { l.closeIdle(c) })
	}
}

// closeIdle closes a connection unless a request has been received on it meanwhile.
func (l *idleCloser) closeIdle(c net.Conn) {
	l.mu.Lock()
	_, idle := l.timers[c]
	delete(l.timers, c)
	l.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
