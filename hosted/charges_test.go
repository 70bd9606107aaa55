package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/platform"
)

// stoppedTime is the time without any bytes after which a sender comes before one that needs the
// whole time of a usual request (see package budget).
const stoppedTime = 500 * time.Millisecond

// scarceMemoryBytes is so little memory that a few bodies use up the part for callers, 3 MiB.
const scarceMemoryBytes = 8 << 20

// dialAndSend opens a connection to r and sends a text.
func (s *testPlatform) dialAndSend(r *runningInstance, text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp4", r.settings.CallerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// wantRefusal reads an answer and checks that it is 503, not run, with a time to retry after.
func wantRefusal(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	text, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !strings.Contains(string(text), "2011") {
		t.Errorf("status %d, Retry-After %q, %q, %v, want 503 with the number 2011", response.StatusCode, response.Header.Get("Retry-After"), text, err)
	}
}

// TestStoppedSenderIsRefusedForAnother guards against ordinary callers that are refused while
// others hold memory and send nothing more, and against a closed connection whose whole request
// has been forwarded.
func TestStoppedSenderIsRefusedForAnother(t *testing.T) {
	s := newTestPlatform(t)
	s.memoryBytes = scarceMemoryBytes
	r := s.start("127.0.0.61")
	gate := make(chan struct{})
	s.worker.gate.Store(&gate)
	due, err := s.send(r, http.MethodPost, "/a/x", "due", "body")
	if err != nil {
		t.Fatal(err)
	}
	<-s.worker.started
	s.worker.gate.Store(nil)

	const size = 1 << 20
	part := fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size-1)
	stopped := s.dialAndSend(r, part)
	time.Sleep(time.Second)
	for n := range 8 {
		id := fmt.Sprint("ordinary", n)
		response, err := s.send(r, http.MethodPost, "/a/x", id, strings.Repeat("x", size))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(text) != wantStream(id) {
			t.Errorf("an ordinary request was answered with status %d, %q, %v", response.StatusCode, text, err)
		}
		if n == 0 {
			continue
		}
		// More of these make room necessary. Each has stopped before the next request comes:
		// one that sent its last byte a millisecond ago may as well be the quicker one.
		s.dialAndSend(r, part)
		time.Sleep(stoppedTime)
	}
	wantRefusal(t, stopped)
	close(gate)
	if text, err := io.ReadAll(due.Body); err != nil || string(text) != wantStream("due") {
		t.Errorf("the answer that was due is incomplete: %v, %q", err, text)
	}
	_ = due.Body.Close()
}

// TestHeadOverLimitEndsBeforeItIsWhole guards against heads that are read on and on.
func TestHeadOverLimitEndsBeforeItIsWhole(t *testing.T) {
	s := newTestPlatform(t)
	s.memoryBytes = 256 << 20
	s.put(platform.OperatorTable, platform.DocumentKey, `{"version":4,"limits":{"max_header_bytes":2048},"routes":[]}`)
	r := s.start("127.0.0.62")
	conn := s.dialAndSend(r, "GET /a/x HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 2000))
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %v, %v, want status 431", response, err)
	}
}

// TestWholeHeadWithoutMemoryIsAnswered guards against a request that is closed without an answer
// although all of it has been read.
func TestWholeHeadWithoutMemoryIsAnswered(t *testing.T) {
	s := newTestPlatform(t)
	// The part for callers, 24 KiB, holds a connection and hardly more.
	s.memoryBytes = 64 << 10
	r := s.start("127.0.0.65")
	lines := strings.Repeat("A: b\r\n", 20)
	wantRefusal(t, s.dialAndSend(r, "GET /a/x HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n"))
	wantRefusal(t, s.dialAndSend(r, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n"+lines+"\r\nbody"))
}
