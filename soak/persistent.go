package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	persistentPerInstance = 2
	// One of persistentLongShare of their requests is long.
	persistentLongShare = 3
	// lateCallers send a request each in the lateWindow after the beginning of a stop.
	lateCallers = 4
	lateWindow  = 3500 * time.Millisecond
	// Requests with a pause are sent in two parts. The pause exceeds closeRaceBound,
	// so that a close within it is no race with the first part.
	sendPause = 300 * time.Millisecond
	// minFirstPart is the least that is sent before the pause.
	minFirstPart = 16
	shortIdle    = 120 * time.Millisecond
	// headerReserve is left below the limit of the headers for all others than the
	// padding.
	headerReserve = 512
)

// persistentCaller sends requests to one instance, on one connection for as long as the
// instance keeps it open, whatever the endpoint answers say. It connects without a
// proxy.
type persistentCaller struct {
	*callerPool
	operator *operator
	address  string
	conn     net.Conn
	in       *bufio.Reader
}

// run sends requests until ctx ends.
func (c *persistentCaller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			wait(ctx, probeInterval)
			continue
		}
		if !c.stayIdle() {
			c.disconnect()
			continue
		}
		a, reusable := c.exchange(c.newRequestID())
		c.history.update(func() { c.history.Attempts = append(c.history.Attempts, a) })
		if !reusable {
			c.disconnect()
		}
	}
}

func (c *persistentCaller) connect() bool {
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

func (c *persistentCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// stayIdle waits for a short time, or for up to the longest time for which callers
// reuse a connection by the idle limit before or after the wait. It reports whether the
// connection is still open.
func (c *persistentCaller) stayIdle() bool {
	if rand.IntN(2) == 0 {
		return c.isOpenAfter(time.Duration(rand.Int64N(int64(shortIdle))))
	}
	startedAt := time.Now()
	before := reuseTime(c.operator.currentIdleLimit())
	if !c.isOpenAfter(time.Duration(rand.Int64N(int64(before)))) {
		return false
	}
	after := reuseTime(c.operator.currentIdleLimit())
	if rand.IntN(2) == 0 {
		after = before
	}
	return c.isOpenAfter(time.Until(startedAt.Add(min(after, maxIdle))))
}

// maxIdle keeps callers from spending a whole soak idle.
const maxIdle = 4 * time.Second

// reuseTime returns how long callers reuse an idle connection.
func reuseTime(limit time.Duration) time.Duration { return min(limit*4/5, maxIdle) }

// isOpenAfter waits for d and reports whether the connection is still open and nothing
// was received.
func (c *persistentCaller) isOpenAfter(d time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(max(d, time.Microsecond)))
	_, err := c.in.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// newRequestID returns the id of an ordinary request, of one with a large body or of a
// long one.
func (c *persistentCaller) newRequestID() string {
	prefix := "k"
	switch {
	case rand.IntN(8) == 0:
		prefix = largeBodyPrefix
	case rand.IntN(persistentLongShare) == 0:
		prefix = longPrefix
	}
	return fmt.Sprintf("%s%d", prefix, c.lastRequest.Add(1))
}

// sendLate sends a long request at some time while an instance that is being stopped
// accepts connections.
func (c *persistentCaller) sendLate() {
	time.Sleep(time.Duration(rand.Int64N(int64(lateWindow))))
	if !c.connect() {
		return
	}
	defer c.disconnect()
	a, _ := c.exchange(fmt.Sprintf("%s%d", longPrefix, c.lastRequest.Add(1)))
	c.history.update(func() { c.history.Attempts = append(c.history.Attempts, a) })
}

// exchange sends a request and reads the response. It reports whether the connection
// can be used again.
func (c *persistentCaller) exchange(id string) (a Attempt, reusable bool) {
	a = Attempt{Request: id, Once: rand.IntN(2) == 0, Instance: c.address, SentAt: time.Now()}
	defer func() { a.DoneAt = time.Now() }()
	deadline := a.SentAt.Add(callTimeout)
	_ = c.conn.SetWriteDeadline(deadline)
	if !c.send(&a) {
		return a, false
	}
	_ = c.conn.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.Written = !errors.Is(err, os.ErrDeadlineExceeded)
		return a, false
	}
	a.Status, a.Stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	a.Events, a.Completed = readEvents(response.Body)
	_ = response.Body.Close()
	a.Written = time.Now().Before(deadline)
	return a, a.Completed && !response.Close
}

// send writes a request, at times with a pause in its headers. It reports whether the
// whole request was written and the connection was open until then.
func (c *persistentCaller) send(a *Attempt) bool {
	head, body := persistentHead(a, c.history.Accounts), requestBody(a.Request)
	if rand.IntN(3) == 0 {
		first := minFirstPart + rand.IntN(len(head)-minFirstPart)
		_, err := io.WriteString(c.conn, head[:first])
		a.Written = err == nil
		if err != nil || !c.isOpenAfter(sendPause) {
			return false
		}
		head = head[first:]
	}
	_, err := io.WriteString(c.conn, head+body)
	a.Written = a.Written || err == nil
	return err == nil
}

// persistentHead returns the request line and the headers. In one request of four they
// are near the limit of the document. accounts adds the key of the request's account.
func persistentHead(a *Attempt, accounts bool) string {
	prefix, padding := retryPrefix, ""
	if a.Once {
		prefix = oncePrefix
	}
	if rand.IntN(4) == 0 {
		padding = "X-Padding: " + strings.Repeat("p", maxHeaderBytes-headerReserve) + "\r\n"
	}
	var prompt strings.Builder
	for name, value := range promptHeaders(a.Request) {
		_, _ = fmt.Fprintf(&prompt, "%s: %s\r\n", name, value)
	}
	if accounts {
		_, _ = fmt.Fprintf(&prompt, "Authorization: %s\r\n", authorization(a.Request))
	}
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%sX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		prefix, a.Request, hostName, a.Request, prompt.String(), callTimeout.Milliseconds(), padding, len(requestBody(a.Request)))
}
