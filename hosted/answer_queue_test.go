package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/platform"
)

const (
	// longEventBytes and the numbers of events make an answer that fits into the queue of a slow
	// reader, and one that does not fit beside the buffers of all sockets.
	longEventBytes   = 90 << 10
	queuedEvents     = 8
	overflowedEvents = 200
)

// startLongWorker replaces the worker by one that answers with long events, whose number is the
// end of the path. Each finished answer is sent to the channel: whether all of it was written.
func (s *testPlatform) startLongWorker() <-chan bool {
	s.t.Helper()
	finished := make(chan bool, 4)
	worker := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		var events int
		_, _ = fmt.Sscanf(r.URL.Path, "/a/%d", &events)
		var err error
		for n := 0; n < events && err == nil; n++ {
			_, err = io.WriteString(w, longEvent(n))
			w.(http.Flusher).Flush()
		}
		finished <- err == nil
	}))
	worker.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			// The buffers of the sockets hold less than the answer.
			_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
		}
	}
	worker.Start()
	s.t.Cleanup(func() { worker.CloseClientConnections(); worker.Close() })
	s.put(platform.WorkerTable, "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":8,"state":"ready","born":2}`, strings.TrimPrefix(worker.URL, "http://")))
	return finished
}

func longEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", longEventBytes))
}

// requestLong requests an answer of so many events on a connection with a small buffer.
func (s *testPlatform) requestLong(r *runningInstance, events int) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp4", r.settings.CallerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	if _, err := fmt.Fprintf(conn, "POST /a/%d HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", events); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// TestSlowReaderDoesNotHoldUpItsUpstream guards against an upstream that is not read because the
// caller does not read, and against the loss of the end of an answer that waits for its caller
// when its connection is closed.
func TestSlowReaderDoesNotHoldUpItsUpstream(t *testing.T) {
	s := newTestPlatform(t)
	s.memoryBytes = 256 << 20
	finished := s.startLongWorker()
	r := s.start("127.0.0.63")
	conn := s.requestLong(r, queuedEvents)
	if !<-finished {
		t.Error("the upstream could not write all of its answer")
	}
	// The instance closes the connection while the answer waits.
	time.Sleep(time.Second)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	var want strings.Builder
	for n := range queuedEvents {
		want.WriteString(longEvent(n))
	}
	if err != nil || string(text) != want.String() {
		t.Errorf("read %d bytes, %v, want %d", len(text), err, want.Len())
	}
}

// TestReaderWithFullQueueIsGivenUp guards against an upstream that is not read for as long as a
// request may take, and against a part of an answer that a caller takes for all of it.
func TestReaderWithFullQueueIsGivenUp(t *testing.T) {
	s := newTestPlatform(t)
	s.memoryBytes = 256 << 20
	finished := s.startLongWorker()
	r := s.start("127.0.0.64")
	conn := s.requestLong(r, overflowedEvents)
	if <-finished {
		t.Error("the upstream wrote all of an answer that nobody reads")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		t.Error("the caller got a part as a complete answer")
	}
}
