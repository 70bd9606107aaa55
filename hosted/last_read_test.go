package hosted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// heldUpConn has a goroutine that gets no processor between the last read deadline of a
// woken connection and the read.
type heldUpConn struct {
	*net.TCPConn
	heldUp *atomic.Int64
	// send sends a request while the goroutine is held up.
	send func()
}

func (c *heldUpConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if remaining := time.Until(t); remaining > 0 && remaining <= lastReadTime {
		c.heldUp.Add(1)
		c.send()
		time.Sleep(2 * lastReadTime)
	}
	return err
}

type heldUpListener struct {
	net.Listener
	heldUp atomic.Int64
	send   func()
}

func (l *heldUpListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldUpConn{TCPConn: c.(*net.TCPConn), heldUp: &l.heldUp, send: l.send}, nil
}

// TestRequestReceivedBeforeTheLastReadIsAnswered has a request in the socket's buffer
// when a goroutine that was held up reads after the last deadline.
func TestRequestReceivedBeforeTheLastReadIsAnswered(t *testing.T) {
	for name, idle := range map[string]bool{"idle limit": true, "planned stop": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			limit := time.Hour
			if idle {
				limit = 50 * time.Millisecond
			}
			held := newConnections(func() time.Duration { return limit }, zap.NewNop())
			server := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "answer")
			}))
			held.configure(server)
			conn, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			c := &pipeCaller{t: t, conn: conn, in: bufio.NewReader(conn)}
			slow := &heldUpListener{Listener: l, send: func() { _, _ = io.WriteString(conn, testRequest) }}
			served := make(chan struct{})
			go func() { defer close(served); _ = server.Serve(held.listener(slow)) }()
			defer func() { _ = server.Close(); <-served }()
			c.exchange()
			if !idle {
				ctx, cancel := drainContext()
				defer cancel()
				drained := make(chan error, 1)
				go func() { drained <- held.drain(ctx) }()
				defer func() {
					if err := <-drained; err != nil {
						t.Error(err)
					}
				}()
			}
			c.wantAnswer()
			if slow.heldUp.Load() == 0 {
				t.Error("the last read was not held up")
			}
		})
	}
}
