package hosted

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes the connections of callers that have been idle for as long
// as the document in force allows. net/http has a fixed time for that, and the
// document changes. It is safe for concurrent use.
type idleCloser struct {
	// limit returns the longest idle time, 0 for none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// note is a hook of http.Server.
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

// expire closes a connection unless a request has come meanwhile.
func (l *idleCloser) closeIdle(c net.Conn) {
	l.mu.Lock()
	_, idle := l.timers[c]
	delete(l.timers, c)
	l.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
