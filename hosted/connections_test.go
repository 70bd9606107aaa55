package hosted

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"

	"go.uber.org/zap"
)

// pipeListener accepts the server ends of pipes.
type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pausingConn pauses after it has read, as a goroutine does that gets no processor.
type pausingConn struct {
	net.Conn
	pause *atomic.Int64
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 {
		time.Sleep(time.Duration(c.pause.Load()))
	}
	return n, err
}

// callerServer serves callers over pipes in a synctest bubble.
type callerServer struct {
	t           *testing.T
	connections *connections
	listener    *pipeListener
	server      *http.Server
	served      chan struct{}
	limit       atomic.Int64
	// readPause is how long the server pauses after it has read bytes of a request.
	readPause atomic.Int64
	// answerTime is how long the handler takes.
	answerTime time.Duration
	// onAnswer is called when the answer has begun, if set.
	onAnswer func()
}

const testIdleLimit = 10 * time.Second

func newCallerServer(t *testing.T) *callerServer {
	s := &callerServer{t: t, listener: newPipeListener(), served: make(chan struct{})}
	s.limit.Store(int64(testIdleLimit))
	s.connections = newConnections(func() time.Duration { return time.Duration(s.limit.Load()) }, zap.NewNop())
	s.server = newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(s.answerTime):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "answer")
		if s.onAnswer != nil {
			s.onAnswer()
		}
	}))
	s.server.ReadTimeout = 0
	s.connections.configure(s.server)
	go func() {
		defer close(s.served)
		_ = serve(s.server, s.connections.listener(s.listener))
	}()
	return s
}

func (s *callerServer) stopListening() {
	_ = s.listener.Close()
	<-s.served
}

func (s *callerServer) close() {
	s.stopListening()
	_ = s.server.Close()
	synctest.Wait()
}

// pipeCaller is a caller with one connection.
type pipeCaller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (s *callerServer) connect() *pipeCaller {
	server, conn := net.Pipe()
	s.listener.accept <- &pausingConn{Conn: server, pause: &s.readPause}
	return &pipeCaller{t: s.t, conn: conn, in: bufio.NewReader(conn)}
}

const (
	testRequestHead = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	testRequest     = testRequestHead + "body"
)

// send writes bytes of a request and fails the test if the server does not read them.
func (c *pipeCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatalf("the server did not read %q: %v", text, err)
	}
}

// wantAnswer reads an answer and reports whether it closes the connection.
func (c *pipeCaller) wantAnswer() (closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("a request that the server has read got no answer: %v", err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || string(text) != "answer" {
		c.t.Fatalf("%v, status %d, %q", err, response.StatusCode, text)
	}
	return response.Close
}

// exchange sends a request and reads its answer.
func (c *pipeCaller) exchange() (closes bool) {
	c.t.Helper()
	c.send(testRequest)
	return c.wantAnswer()
}

// isOpen reports whether the server has left the connection open.
func (c *pipeCaller) isOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	_, err := c.in.Peek(1)
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func TestIdleConnectionsAreClosedAtCurrentLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(t)
		defer s.close()
		c := s.connect()
		s.answerTime = time.Hour
		c.exchange()
		s.answerTime = 0
		const limit = 4 * time.Second
		s.limit.Store(int64(limit))
		c.exchange()
		time.Sleep(limit - time.Second)
		if !c.isOpen() {
			t.Error("the connection was closed before the limit")
		}
		time.Sleep(time.Second + 2*lastReadTime)
		if c.isOpen() {
			t.Error("the connection is open after the limit")
		}
		synctest.Wait()
		if n := s.connections.count(); n != 0 {
			t.Errorf("%d connections are held, want none", n)
		}
	})
}

func TestRequestReadFromIdleConnectionIsAnsweredAtIdleLimit(t *testing.T) {
	tests := map[string]func(*callerServer, *pipeCaller){
		"read whole, not parsed": func(s *callerServer, c *pipeCaller) {
			s.readPause.Store(int64(2 * time.Second))
			c.send(testRequest)
		},
		"head read in part": func(s *callerServer, c *pipeCaller) {
			c.send(testRequest[:12])
			time.Sleep(2 * time.Second)
			c.send(testRequest[12:])
		},
		"body read in part": func(s *callerServer, c *pipeCaller) {
			c.send(testRequestHead)
			time.Sleep(2 * time.Second)
			c.send("body")
		},
		"sent just before the last read ends": func(s *callerServer, c *pipeCaller) {
			time.Sleep(time.Second + lastReadTime/2)
			c.send(testRequest)
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCallerServer(t)
				defer s.close()
				c := s.connect()
				c.exchange()
				time.Sleep(testIdleLimit - time.Second)
				send(s, c)
				c.wantAnswer()
				s.readPause.Store(0)
				time.Sleep(testIdleLimit - time.Second)
				if !c.isOpen() {
					t.Error("the limit of the earlier idle time ended a later one")
				}
			})
		})
	}
}

func TestRequestSentBeforeEarlierOneIsFinishedIsAnsweredAtIdleLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(t)
		defer s.close()
		c := s.connect()
		s.answerTime = time.Second
		c.send(testRequest)
		c.send(testRequest[:1])
		c.wantAnswer()
		time.Sleep(2 * testIdleLimit)
		c.send(testRequest[1:])
		c.wantAnswer()
	})
}

// TestRequestWhoseBeginningIsBufferedIsAnswered has callers that send the beginning of a
// request together with the request before.
func TestRequestWhoseBeginningIsBufferedIsAnswered(t *testing.T) {
	for name, stops := range map[string]bool{"idle limit": false, "planned stop": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCallerServer(t)
				defer s.close()
				const limit = time.Second
				s.limit.Store(int64(limit))
				c := s.connect()
				defer func() { _ = c.conn.Close() }()
				c.send(testRequest + testRequest[:12])
				c.wantAnswer()
				synctest.Wait()
				if stops {
					s.stopListening()
					ctx, cancel := drainContext()
					defer cancel()
					go func() { _ = s.connections.drain(ctx) }()
				}
				time.Sleep(2 * limit)
				if !c.isOpen() {
					t.Fatal("the connection was ended within a head")
				}
				c.send(testRequest[12:])
				c.wantAnswer()
			})
		})
	}
}

// drainContext bounds a planned stop.
func drainContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Minute)
}

func TestRequestReadFromIdleConnectionIsAnsweredInPlannedStop(t *testing.T) {
	tests := map[string]func(s *callerServer, c *pipeCaller, stop func()){
		"read whole, not parsed": func(s *callerServer, c *pipeCaller, stop func()) {
			s.readPause.Store(int64(2 * time.Second))
			c.send(testRequest)
			stop()
		},
		"head read in part": func(s *callerServer, c *pipeCaller, stop func()) {
			c.send(testRequest[:12])
			synctest.Wait()
			stop()
			time.Sleep(time.Second)
			c.send(testRequest[12:])
		},
		"body read in part": func(s *callerServer, c *pipeCaller, stop func()) {
			c.send(testRequestHead)
			synctest.Wait()
			stop()
			time.Sleep(time.Second)
			c.send("body")
		},
		"under way to the instance": func(s *callerServer, c *pipeCaller, stop func()) {
			stop()
			synctest.Wait()
			c.send(testRequest)
		},
	}
	for name, send := range tests {
		for _, kept := range []bool{true, false} {
			t.Run(map[bool]string{true: "kept/", false: "new/"}[kept]+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newCallerServer(t)
					defer s.close()
					c := s.connect()
					if kept {
						c.exchange()
					}
					drained := make(chan error, 1)
					send(s, c, func() {
						go func() {
							s.stopListening()
							ctx, cancel := drainContext()
							defer cancel()
							drained <- s.connections.drain(ctx)
						}()
					})
					if !c.wantAnswer() {
						t.Error("the answer leaves the connection open")
					}
					if err := <-drained; err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
}

func TestDrainEndsIdleConnectionsAndWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(t)
		defer s.close()
		idle, fresh, busy := s.connect(), s.connect(), s.connect()
		idle.exchange()
		const answerTime = 5 * time.Second
		s.answerTime = answerTime
		busy.send(testRequest)
		synctest.Wait()
		s.stopListening()
		startedAt := time.Now()
		drained := make(chan error, 1)
		go func() {
			ctx, cancel := drainContext()
			defer cancel()
			drained <- s.connections.drain(ctx)
		}()
		time.Sleep(2 * lastReadTime)
		if idle.isOpen() || fresh.isOpen() {
			t.Error("a connection without a request is open")
		}
		if !busy.wantAnswer() {
			t.Error("the answer leaves the connection open")
		}
		if err := <-drained; err != nil || time.Since(startedAt) > answerTime+time.Second {
			t.Errorf("%v after %v", err, time.Since(startedAt))
		}
	})
}

func TestDrainReportsRequestsThatStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(t)
		defer s.close()
		s.answerTime = time.Hour
		s.connect().send(testRequest)
		synctest.Wait()
		s.stopListening()
		ctx, cancel := drainContext()
		defer cancel()
		if err := s.connections.drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v", err)
		}
	})
}

func TestIdleConnectionStaysOpenUntilLargerOfOldAndNewLimit(t *testing.T) {
	for name, next := range map[string]time.Duration{"raised": 4 * testIdleLimit, "lowered": testIdleLimit / 4} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCallerServer(t)
				defer s.close()
				c := s.connect()
				c.exchange()
				time.Sleep(time.Second)
				s.limit.Store(int64(next))
				time.Sleep(max(testIdleLimit, next) - 2*time.Second)
				if !c.isOpen() {
					t.Fatal("the connection was closed before a limit that its caller may know")
				}
				time.Sleep(time.Second + 2*lastReadTime)
				if c.isOpen() {
					t.Error("the connection is open after both limits")
				}
			})
		})
	}
}

func TestIdleLimitOfDocumentMayExceedDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(t)
		defer s.close()
		const limit = 2 * defaultIdleLimit
		s.limit.Store(int64(limit))
		c := s.connect()
		c.exchange()
		time.Sleep(limit - time.Second)
		if !c.isOpen() {
			t.Error("the connection was closed before the limit")
		}
	})
}

// TestCutAnswerOfAnHTTP10CallerIsResetBehindTheListener checks that a connection that
// connections holds can be reset, not only closed.
func TestCutAnswerOfAnHTTP10CallerIsResetBehindTheListener(t *testing.T) {
	held := newConnections(func() time.Duration { return 0 }, zap.NewNop())
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		code.AbortHTTP(w, r)
	}))
	held.configure(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(held.listener(l)) }()
	defer func() { _ = server.Close(); <-served }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("GET / HTTP/1.0\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q with error %v, want a reset", answer, err)
	}
}

// interruptedConn times out in its first read, after a request has begun meanwhile.
type interruptedConn struct {
	net.Conn
	afterTimeout func()
	reads        int
}

func (c *interruptedConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		c.afterTimeout()
		return 0, os.ErrDeadlineExceeded
	}
	p[0] = 'x'
	return 1, nil
}

func (c *interruptedConn) SetReadDeadline(time.Time) error { return nil }

func TestWakeOfABufferedRequestDoesNotEndItsRead(t *testing.T) {
	conn := &interruptedConn{}
	c := &callerConn{Conn: conn, connections: newConnections(func() time.Duration { return 0 }, zap.NewNop()), unread: true}
	conn.afterTimeout = func() { c.beginRequest("") }
	c.wake()
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("got %d, %v; want the byte after the wake", n, err)
	}
}
