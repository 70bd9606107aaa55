package hosted

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// closingServer serves callers on a real socket, whose state a pipe does not have.
type closingServer struct {
	t           *testing.T
	connections *connections
	address     string
}

func startClosingServer(t *testing.T, log *zap.Logger, headerTimeout time.Duration, h http.HandlerFunc) *closingServer {
	t.Helper()
	s := &closingServer{t: t, connections: newConnections(func() time.Duration { return 0 }, log)}
	server := newServer(h)
	server.ReadTimeout, server.ReadHeaderTimeout = 0, headerTimeout
	s.connections.configure(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(s.connections.listener(l)) }()
	t.Cleanup(func() { _ = server.Close(); <-served })
	return s
}

// send connects and sends a text.
func (s *closingServer) send(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

func (s *closingServer) waitUntilNoneIsOpen() {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); s.connections.count() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("a connection stays open")
		}
	}
}

// TestBytesBehindARequestDoNotResetItsAnswer has callers whose last bytes are not read when
// the connection is closed.
func TestBytesBehindARequestDoNotResetItsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		request, behind string
		stopping        bool
	}{
		"line end after a body":             {"POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nq", "\r\n", false},
		"pipelined request in planned stop": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nq", testRequest, true},
	} {
		t.Run(name, func(t *testing.T) {
			begun, answer := make(chan struct{}), make(chan struct{})
			s := startClosingServer(t, zap.NewNop(), time.Minute, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(begun)
				<-answer
				_, _ = io.WriteString(w, "answer")
			})
			s.connections.closeAfterAnswer.Store(c.stopping)
			conn := s.send(c.request)
			<-begun
			if _, err := io.WriteString(conn, c.behind); err != nil {
				t.Fatal(err)
			}
			close(answer)
			if text, err := io.ReadAll(conn); err != nil {
				t.Errorf("got %q with error %v, want the end of the connection", text, err)
			}
			_ = conn.Close()
			s.waitUntilNoneIsOpen()
		})
	}
}

// TestAnsweredConnectionIsClosedThoughItsCallerStays bounds the time in which a connection
// is read after its last answer.
func TestAnsweredConnectionIsClosedThoughItsCallerStays(t *testing.T) {
	s := startClosingServer(t, zap.NewNop(), time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	})
	if _, err := io.ReadAll(s.send("GET / HTTP/1.0\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	s.waitUntilNoneIsOpen()
}

func TestConnectionClosedBeforeAnAnswerIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		text     string
		headRead bool
	}{
		"aborted by the handler": {"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n", true},
		"head in part":           {"GET / HTTP/1.1\r\nHost", false},
	} {
		t.Run(name, func(t *testing.T) {
			core, logs := observer.New(zapcore.InfoLevel)
			s := startClosingServer(t, zap.New(core), 50*time.Millisecond, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			if _, err := io.ReadAll(s.send(c.text)); err != nil && !errors.Is(err, net.ErrClosed) {
				t.Fatal(err)
			}
			s.waitUntilNoneIsOpen()
			lines := logs.FilterMessage("connection closed before a request was answered").All()
			if len(lines) != 1 {
				t.Fatalf("%d lines, want 1: %v", len(lines), logs.All())
			}
			if got := lines[0].ContextMap()["head_read"]; got != c.headRead {
				t.Errorf("head_read is %v", got)
			}
		})
	}
}
