package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/entry"
	"github.com/daisylb/daisylb/job"
)

// stubForwarder calls serve for every request and records the last request.
type stubForwarder struct {
	lastRequest *contract.ForwardRequest
	serve       func(ctx context.Context, s contract.ForwardSink) error
}

func (f *stubForwarder) Forward(ctx context.Context, r *contract.ForwardRequest, s contract.ForwardSink) error {
	f.lastRequest = r
	return f.serve(ctx, s)
}

// stubJobs is a job service that has one result and answers every End with
// code.JobUnknown.
type stubJobs struct{ submitted *job.Submission }

func (j *stubJobs) Submit(_ context.Context, s job.Submission) error { j.submitted = &s; return nil }
func (j *stubJobs) Results(context.Context, string, int, time.Duration) (int, []job.Result, error) {
	return 2, []job.Result{{Item: "a", Succeeded: true, Text: "x\ny"}}, nil
}
func (j *stubJobs) Body(context.Context, string, string) ([]byte, error) { return []byte{0, 255}, nil }
func (j *stubJobs) End(context.Context, string) error {
	return code.New(code.JobUnknown, "no such job")
}

var document = &contract.Routing{
	Version: 1,
	Routes: []contract.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: contract.RouteStream, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 1, Split: []contract.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "batch", Host: "h", Prefix: "/lot/", Kind: contract.RouteBatch, Split: []contract.WeightedService{{Service: "s", Weight: 1}}},
	},
	Limits: contract.RequestLimits{MaxBodyBytes: 100, MaxHeaderBytes: 1000},
}

// testServer serves a Handler with stubs behind it.
type testServer struct {
	*httptest.Server
	forwarder *stubForwarder
	jobs      *stubJobs
}

func newTestServer(t *testing.T, routing *contract.Routing, serve func(context.Context, contract.ForwardSink) error) *testServer {
	s := &testServer{forwarder: &stubForwarder{serve: serve}, jobs: &stubJobs{}}
	s.Server = httptest.NewServer(entry.NewHandler(entry.Options{
		Routing: func() *contract.Routing { return routing }, Forwarder: s.forwarder, Jobs: s.jobs, Log: zap.NewNop(),
	}))
	t.Cleanup(s.Close)
	return s
}

// send sends a request for host h with pairs of header names and values, and
// returns the response with its body.
func (s *testServer) send(t *testing.T, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := s.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// respond returns a stub that answers with a status, headers and parts of a body.
func respond(status int, header http.Header, parts ...string) func(context.Context, contract.ForwardSink) error {
	return func(_ context.Context, s contract.ForwardSink) error {
		if err := s.Begin(status, header); err != nil {
			return err
		}
		for _, p := range parts {
			if err := s.Write([]byte(p)); err != nil {
				return err
			}
		}
		return nil
	}
}

func TestAnswerIsForwardedWithoutAddedHeaders(t *testing.T) {
	s := newTestServer(t, document, respond(500, http.Header{"X-Server-Stamp": {"sig"}}, "whole"))
	response, body, err := s.send(t, http.MethodPost, "/once/x?y=%2F", "q", "X-Request-Id", "r", "X-Deadline-Ms", "4000")
	if err != nil || response.StatusCode != 500 || body != "whole" || response.Header.Get("X-Server-Stamp") != "sig" {
		t.Fatalf("%v, %+v, %q", err, response, body)
	}
	for _, added := range []string{"Date", "Content-Type"} {
		if v := response.Header.Get(added); v != "" {
			t.Errorf("%s %q was added", added, v)
		}
	}
	f := s.forwarder.lastRequest
	remaining := time.Until(f.Deadline)
	if f.Target != "/once/x?y=%2F" || string(f.Body) != "q" || f.RequestID != "r" || f.Repeatable || remaining > 4*time.Second {
		t.Errorf("forwarded %+v, with %v until the deadline", f, remaining)
	}
}

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	s := newTestServer(t, document, func(ctx context.Context, sink contract.ForwardSink) error {
		_ = respond(200, http.Header{"Content-Type": {"text/event-stream"}}, "id: 1\ndata: x\n\n")(ctx, sink)
		return code.New(code.StreamBroken, "broke")
	})
	if _, body, err := s.send(t, http.MethodPost, "/once/x", ""); err == nil {
		t.Errorf("a partial answer was taken for a complete one: %q", body)
	}
}

// TestCutAnswerOfAnHTTP10CallerIsReset has a caller whose answers end with their
// connection, so that only a reset tells a part from the whole.
func TestCutAnswerOfAnHTTP10CallerIsReset(t *testing.T) {
	s := newTestServer(t, document, func(ctx context.Context, sink contract.ForwardSink) error {
		_ = respond(200, http.Header{"Content-Type": {"text/event-stream"}}, "id: 1\ndata: x\n\n")(ctx, sink)
		return code.New(code.StreamBroken, "broke")
	})
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("POST /once/x HTTP/1.0\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 1\r\n\r\nq")); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q with error %v, want a reset", answer, err)
	}
}

func TestRefusalsBeforeForwarding(t *testing.T) {
	never := func(context.Context, contract.ForwardSink) error { return errors.New("forwarded") }
	for name, c := range map[string]struct {
		routing *contract.Routing
		path    string
		body    string
		want    int
	}{
		"no document":      {nil, "/once/x", "", 503},
		"no route":         {document, "/none/x", "", 404},
		"body too large":   {document, "/once/x", strings.Repeat("x", 101), 413},
		"header too large": {document, "/once/" + strings.Repeat("x", 2000), "", 431},
		"invalid job":      {document, "/lot/x", "{", 400},
	} {
		s := newTestServer(t, c.routing, never)
		response, _, err := s.send(t, http.MethodPost, c.path, c.body, "X-Request-Id", "r")
		if err != nil || response.StatusCode != c.want || s.forwarder.lastRequest != nil {
			t.Errorf("%s: %v, %+v", name, err, response)
		}
	}
}

func TestJobCalls(t *testing.T) {
	s := newTestServer(t, document, nil)
	submission := `{"requests":[{"id":"a","path":"/lot/x","tokens":9}]}`
	response, _, err := s.send(t, http.MethodPost, "/lot/x", submission, "X-Request-Id", "j")
	if err != nil || response.StatusCode != 202 || s.jobs.submitted.ID != "j" || string(s.jobs.submitted.Raw) != submission {
		t.Errorf("%v, %+v, %+v", err, response, s.jobs.submitted)
	}
	response, body, err := s.send(t, http.MethodGet, "/api/lots/j?after=1", "")
	want := `{"total":2,"next":2,"results":[{"id":"a","state":"succeeded","text":"x\ny"}]}` + "\n"
	if err != nil || response.StatusCode != 200 || body != want {
		t.Errorf("%v, %+v, %s", err, response, body)
	}
	if response, body, err = s.send(t, http.MethodGet, "/api/items/j?id=a", ""); err != nil || response.StatusCode != 200 || body != "\x00\xff" {
		t.Errorf("%v, %+v, %q", err, response, body)
	}
	if response, _, err = s.send(t, http.MethodDelete, "/api/lots/j", ""); err != nil || response.StatusCode != 404 {
		t.Errorf("%v, %+v", err, response)
	}
	if response, _, err = s.send(t, http.MethodGet, "/api/lots/j?after=x", ""); err != nil || response.StatusCode != 400 {
		t.Errorf("%v, %+v", err, response)
	}
}

// sendRaw sends bytes on a new connection and returns what it receives until the
// server closes the connection.
func (s *testServer) sendRaw(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// TestBodyThatTricklesIsRefusedInTheRequestsTime sends one byte of a body. At the
// deadline, the caller must get an error that says that nothing has run, and the
// request must not be forwarded.
func TestBodyThatTricklesIsRefusedInTheRequestsTime(t *testing.T) {
	s := newTestServer(t, document, func(context.Context, contract.ForwardSink) error {
		t.Error("a request without its body was forwarded")
		return nil
	})
	answer := s.sendRaw(t, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: 200\r\nContent-Length: 90\r\n\r\nx")
	if !strings.HasPrefix(answer, "HTTP/1.1 408 ") || !strings.Contains(answer, "1011") {
		t.Errorf("got %q", answer)
	}
}

// TestBodyReadDeadlineIsCleared answers after the time for reading the body. A read
// deadline left on the connection would end the request's context.
func TestMalformedBodyIsRefusedWithAnAnswer(t *testing.T) {
	s := newTestServer(t, document, func(context.Context, contract.ForwardSink) error {
		t.Error("a request with a malformed body was forwarded")
		return nil
	})
	answer := s.sendRaw(t, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n")
	if !strings.HasPrefix(answer, "HTTP/1.1 400 ") || !strings.Contains(answer, "1001") {
		t.Errorf("got %q", answer)
	}
}

func TestBodyReadDeadlineIsCleared(t *testing.T) {
	s := newTestServer(t, document, func(ctx context.Context, sink contract.ForwardSink) error {
		select {
		case <-ctx.Done():
			return code.New(code.CallerGone, "the caller's context ended")
		case <-time.After(400 * time.Millisecond):
		}
		return respond(200, http.Header{"X-Server-Stamp": {"sig"}}, "late")(ctx, sink)
	})
	response, body, err := s.send(t, http.MethodPost, "/once/x", "q", "X-Deadline-Ms", "200")
	if err != nil || response.StatusCode != 200 || body != "late" {
		t.Errorf("%v, %q", err, body)
	}
}

// TestPipelinedRequestsGetTheirOwnAnswers sends three requests on one connection
// before it reads an answer; the answers must come in the same order.
func TestPipelinedRequestsGetTheirOwnAnswers(t *testing.T) {
	s := newTestServer(t, document, nil)
	s.forwarder.serve = func(ctx context.Context, sink contract.ForwardSink) error {
		return respond(200, http.Header{"X-Server-Stamp": {"sig"}}, "answer to "+s.forwarder.lastRequest.RequestID+".")(ctx, sink)
	}
	request := func(id, extra string) string {
		return "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n" + extra + "Content-Length: 1\r\n\r\nq"
	}
	answer := s.sendRaw(t, request("a", "")+request("b", "")+request("c", "Connection: close\r\n"))
	a, b, c := strings.Index(answer, "answer to a."), strings.Index(answer, "answer to b."), strings.Index(answer, "answer to c.")
	if a < 0 || b < a || c < b {
		t.Errorf("got %q", answer)
	}
}

// pipeListener accepts one connection.
type pipeListener struct{ conn chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conn
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestRequestWithoutBodyIsNotCancelledByItsReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &stubForwarder{serve: func(ctx context.Context, _ contract.ForwardSink) error {
			time.Sleep(time.Millisecond)
			if ctx.Err() != nil {
				return code.Wrap(code.CallerGone, ctx.Err(), "the caller is gone")
			}
			return code.New(code.DeadlineExceeded, "too late")
		}}
		const timeout, pause = time.Millisecond, 2 * time.Millisecond
		server := &http.Server{Handler: entry.NewHandler(entry.Options{
			Routing: func() *contract.Routing {
				time.Sleep(pause)
				return document
			}, Forwarder: forwarder, Jobs: &stubJobs{}, Log: zap.NewNop(),
		})}
		listener := &pipeListener{conn: make(chan net.Conn, 1)}
		inner, caller := net.Pipe()
		listener.conn <- inner
		go func() { _ = server.Serve(listener) }()
		if _, err := io.WriteString(caller, fmt.Sprintf("GET /once/x HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: %d\r\n\r\n", timeout.Milliseconds())); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			t.Errorf("the caller is connected and got no answer: %v", err)
		} else if response.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("status %d, want 504", response.StatusCode)
		}
		_ = caller.Close()
		close(listener.conn)
		_ = server.Close()
	})
}

func TestPanicIsLoggedAndAnswered(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	tests := map[string]struct {
		serve      func(context.Context, contract.ForwardSink) error
		wantStatus int
	}{
		"before the answer": {serve: func(context.Context, contract.ForwardSink) error { panic("fault") }, wantStatus: http.StatusInternalServerError},
		"within the answer": {serve: func(_ context.Context, s contract.ForwardSink) error {
			_ = s.Begin(http.StatusOK, http.Header{})
			_ = s.Write([]byte("part"))
			panic("fault")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(entry.NewHandler(entry.Options{
				Routing: func() *contract.Routing { return document }, Forwarder: &stubForwarder{serve: test.serve}, Jobs: &stubJobs{}, Log: zap.New(core),
			}))
			s.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
			defer s.Close()
			response, text, err := (&testServer{Server: s}).send(t, http.MethodPost, "/once/x", "q")
			switch {
			case test.wantStatus == 0 && err == nil:
				t.Errorf("the answer %q looks complete", text)
			case test.wantStatus != 0 && err != nil:
				t.Errorf("the request got no answer: %v", err)
			case test.wantStatus != 0 && response.StatusCode != test.wantStatus:
				t.Errorf("status %d, want %d", response.StatusCode, test.wantStatus)
			}
			if n := logs.FilterMessage("panic in a request").Len(); n == 0 {
				t.Error("the panic was not logged")
			}
			logs.TakeAll()
		})
	}
}
