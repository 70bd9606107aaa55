package hosted

import (
	"time"

	"github.com/daisylb/daisylb/budget"
)

// becomeIdle records that the connection has been accepted or that a request has been
// answered.
func (c *callerConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread, c.readAhead = !c.readAhead, false
	c.deadlineSet = false
	c.handled, c.answered, c.requestID = false, false, ""
	c.head, c.refused = budget.Head{}, false
	if !c.unread {
		c.requestAt = time.Now()
		return
	}
	if c.connections.isDraining() {
		c.wakeLocked()
		return
	}
	c.idleSince, c.limitWhenIdle = time.Now(), max(c.connections.limit(), c.announcedLimit)
	if c.timer == nil {
		c.timer = time.AfterFunc(c.limitWhenIdle, c.checkIdle)
		return
	}
	c.timer.Reset(c.limitWhenIdle)
}

// checkIdle wakes the connection if it has been idle for the limit. Callers reuse an
// idle connection by the limit of any document since it became idle, so the larger of
// the limits then and now applies. It may run late, in a later idle time.
func (c *callerConn) checkIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unread {
		return
	}
	if remaining := time.Until(c.idleSince.Add(max(c.limitWhenIdle, c.connections.limit()))); remaining > 0 {
		c.timer.Reset(remaining)
		return
	}
	c.wakeLocked()
}

// wake ends the reading of the connection unless a byte of a request has been read.
func (c *callerConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeLocked()
}

func (c *callerConn) wakeLocked() {
	if !c.unread || c.woken {
		return
	}
	c.woken, c.interrupted = true, true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
