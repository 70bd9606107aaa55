package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

const (
	anaKey = "ana-key"
	boKey  = "bo-key"
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func document() *contract.Document {
	return &contract.Document{
		Version: 1,
		Preset:  "ordinary",
		Presets: map[string]contract.Preset{"ordinary": {AdmitOnline: true}},
		Services: map[string]contract.Service{
			"chat":   {Kind: contract.KindModel, Model: "m", Idempotent: true},
			"anas":   {Kind: contract.KindModel, Model: "m", Idempotent: true, Accounts: []string{"ana"}},
			"pickup": {Kind: contract.KindPlain, Idempotent: false},
		},
		Accounts: map[string]contract.Account{
			"ana": {KeyHashes: []string{keyHash(anaKey)}, Weight: 1},
			"bo":  {KeyHashes: []string{keyHash(boKey)}, Weight: 1, MaxInFlight: 1},
		},
		Limits: contract.Limits{MaxBodyBytes: 4096, DefaultDeadlineMillis: 5000, MaxDeadlineMillis: 60_000},
	}
}

// stubDispatcher is a Dispatcher whose methods the test supplies.
type stubDispatcher struct {
	complete func(ctx context.Context, call *contract.Completion, sink contract.ChunkSink) error
	call     func(ctx context.Context, call *contract.PlainCall) (*contract.PlainAnswer, error)
}

func (s stubDispatcher) Complete(ctx context.Context, call *contract.Completion, sink contract.ChunkSink) error {
	return s.complete(ctx, call, sink)
}

func (s stubDispatcher) Call(ctx context.Context, call *contract.PlainCall) (*contract.PlainAnswer, error) {
	return s.call(ctx, call)
}

// sendHello answers a call with "hello there" in two chunks.
func sendHello(_ context.Context, _ *contract.Completion, sink contract.ChunkSink) error {
	for _, text := range []string{"hello", " there"} {
		if err := sink(contract.Chunk{Text: text}); err != nil {
			return err
		}
	}
	return sink(contract.Chunk{FinishReason: "stop", Usage: &contract.Usage{CompletionTokens: 2}})
}

// startServer serves a Listener without claims.
func startServer(t *testing.T, d Dispatcher) *httptest.Server {
	t.Helper()
	l := NewListener(Options{Document: document, Dispatcher: d})
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewHTTPServer(l)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// send sends a request with pairs of header names and values, and returns the
// response with its body.
func send(t *testing.T, server *httptest.Server, method, path, key, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

// errorNumber returns the number in an error response.
func errorNumber(t *testing.T, body string) code.Number {
	t.Helper()
	var b code.Body
	if err := json.Unmarshal([]byte(body), &b); err != nil {
		t.Fatalf("not an error body: %q: %v", body, err)
	}
	return b.Error.Number
}

const chatPath = "/v1/chat/completions"

func chatBody(model string) string {
	return `{"model":"` + model + `","messages":[{"role":"user","content":"hi"}]}`
}

func TestBadInputGetsNumberedErrorAndIsNotDispatched(t *testing.T) {
	server := startServer(t, stubDispatcher{complete: func(context.Context, *contract.Completion, contract.ChunkSink) error {
		t.Error("dispatched")
		return nil
	}})
	tests := []struct {
		name, method, path, key, body string
		header                        []string
		want                          code.Number
	}{
		{"no key", "POST", chatPath, "", chatBody("chat"), nil, code.Unauthenticated},
		{"wrong key", "POST", chatPath, "guess", chatBody("chat"), nil, code.Unauthenticated},
		{"broken JSON", "POST", chatPath, anaKey, `{"model":`, nil, code.MalformedBody},
		{"array", "POST", chatPath, anaKey, `[]`, nil, code.MalformedBody},
		{"wrong type", "POST", chatPath, anaKey, `{"model":1}`, nil, code.InvalidField},
		{"no messages", "POST", chatPath, anaKey, `{"model":"chat"}`, nil, code.InvalidField},
		{"unknown service", "POST", chatPath, anaKey, chatBody("none"), nil, code.UnknownService},
		{"another account's service", "POST", chatPath, boKey, chatBody("anas"), nil, code.UnknownService},
		{"plain service as model", "POST", chatPath, anaKey, chatBody("pickup"), nil, code.UnknownService},
		{"large body", "POST", chatPath, anaKey, strings.Repeat("x", 5000), nil, code.BodyTooLarge},
		{"large header", "POST", chatPath, anaKey, chatBody("chat"), []string{"X-Pad", strings.Repeat("x", 40<<10)}, code.HeaderTooLarge},
		{"negative deadline", "POST", chatPath, anaKey, chatBody("chat"), []string{HeaderDeadline, "-5"}, code.InvalidDeadline},
		{"deadline over 64 bits", "POST", chatPath, anaKey, chatBody("chat"), []string{HeaderDeadline, "999999999999999999999"}, code.InvalidDeadline},
		{"non-idempotent service without a key", "POST", "/s/pickup/confirm", anaKey, `{}`, nil, code.KeyRequired},
		{"key on an instance without claims", "POST", "/s/pickup/confirm", anaKey, `{}`, []string{HeaderIdempotencyKey, "k"}, code.ClaimUnavailable},
		{"unknown path", "GET", "/debug/state", anaKey, "", nil, code.NotFound},
		{"method", "GET", chatPath, anaKey, "", nil, code.MethodNotAllowed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, body := send(t, server, test.method, test.path, test.key, test.body, test.header...)
			if n := errorNumber(t, body); n != test.want {
				t.Errorf("error number %d, want %d: %s", n, test.want, body)
			}
			if !strings.Contains(body, `"outcome":"not_run"`) {
				t.Errorf("outcome is not \"not_run\": %s", body)
			}
			if response.Header.Get(HeaderRequestID) == "" {
				t.Error("the response has no X-Request-ID header")
			}
		})
	}
}

func TestChatAnswer(t *testing.T) {
	server := startServer(t, stubDispatcher{complete: sendHello})
	_, body := send(t, server, "POST", chatPath, anaKey, chatBody("chat"))
	if !strings.Contains(body, `"content":"hello there"`) || !strings.Contains(body, `"finish_reason":"stop"`) {
		t.Errorf("got body %s, want content \"hello there\" and finish reason \"stop\"", body)
	}
}

func TestDoneEventIsSentOnlyAfterCompleteAnswer(t *testing.T) {
	streaming := `{"model":"chat","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	complete := startServer(t, stubDispatcher{complete: sendHello})
	if _, body := send(t, complete, "POST", chatPath, anaKey, streaming); !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("got stream %q, want [DONE] at its end", body)
	}
	partial := startServer(t, stubDispatcher{complete: func(_ context.Context, _ *contract.Completion, sink contract.ChunkSink) error {
		_ = sink(contract.Chunk{Text: "hel"})
		return code.New(code.StreamBroken, "the stream broke")
	}})
	_, body := send(t, partial, "POST", chatPath, anaKey, streaming)
	if strings.Contains(body, "[DONE]") || !strings.Contains(body, `"number":3003`) {
		t.Errorf("got stream %q, want error 3003 and no [DONE]", body)
	}
}

func TestInFlightLimitIsPerAccount(t *testing.T) {
	entered := make(chan struct{}, 4)
	release := make(chan struct{})
	server := startServer(t, stubDispatcher{complete: func(ctx context.Context, c *contract.Completion, sink contract.ChunkSink) error {
		entered <- struct{}{}
		<-release
		return sendHello(ctx, c, sink)
	}})
	first := make(chan string, 1)
	go func() {
		_, body := send(t, server, "POST", chatPath, boKey, chatBody("chat"))
		first <- body
	}()
	<-entered
	_, second := send(t, server, "POST", chatPath, boKey, chatBody("chat"))
	if n := errorNumber(t, second); n != code.AccountLimit {
		t.Errorf("second request of the account: error number %d, want 2002", n)
	}
	close(release)
	if _, body := send(t, server, "POST", chatPath, anaKey, chatBody("chat")); !strings.Contains(body, "hello there") {
		t.Errorf("request of another account: %s", body)
	}
	if body := <-first; !strings.Contains(body, "hello there") {
		t.Errorf("first request: %s", body)
	}
}

func TestCallerDisconnectCancelsCall(t *testing.T) {
	entered := make(chan struct{})
	cancelled := make(chan struct{})
	server := startServer(t, stubDispatcher{complete: func(ctx context.Context, _ *contract.Completion, _ contract.ChunkSink) error {
		close(entered)
		<-ctx.Done()
		close(cancelled)
		return ctx.Err()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		r, _ := http.NewRequestWithContext(ctx, "POST", server.URL+chatPath, strings.NewReader(chatBody("chat")))
		r.Header.Set("Authorization", "Bearer "+anaKey)
		if response, err := server.Client().Do(r); err == nil {
			response.Body.Close()
		}
	}()
	<-entered
	cancel()
	<-cancelled
}

func TestExceededDeadlineGetsNumberedError(t *testing.T) {
	server := startServer(t, stubDispatcher{complete: func(ctx context.Context, _ *contract.Completion, _ contract.ChunkSink) error {
		<-ctx.Done()
		return ctx.Err()
	}})
	_, body := send(t, server, "POST", chatPath, anaKey, chatBody("chat"), HeaderDeadline, "20")
	if n := errorNumber(t, body); n != code.DeadlineExceeded {
		t.Errorf("error number %d, want 3004: %s", n, body)
	}
}

func TestPanicIsContained(t *testing.T) {
	server := startServer(t, stubDispatcher{complete: func(context.Context, *contract.Completion, contract.ChunkSink) error {
		panic("boom")
	}})
	_, body := send(t, server, "POST", chatPath, anaKey, chatBody("chat"))
	if n := errorNumber(t, body); n != code.Internal {
		t.Errorf("error number %d, want 1000: %s", n, body)
	}
	if strings.Contains(body, "boom") {
		t.Errorf("the caller is shown the cause of the panic: %s", body)
	}
}

// timeoutReader is a body whose connection's read deadline has passed.
type timeoutReader struct{}

func (timeoutReader) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Err: timeoutError{}}
}
func (timeoutReader) Close() error { return nil }

type timeoutError struct{}

func (timeoutError) Error() string     { return "i/o timeout" }
func (timeoutError) Is(err error) bool { return err.Error() == "i/o timeout" }
func (timeoutError) Timeout() bool     { return true }

func TestSlowSenderGetsNumberedError(t *testing.T) {
	r := httptest.NewRequest("POST", chatPath, timeoutReader{})
	_, err := readBody(httptest.NewRecorder(), r, 100)
	if n := code.Of(err); n != code.SlowSender {
		t.Errorf("error number %d, want 1011: %v", n, err)
	}
}

func TestAnswerWithKeyIsStoredAndReturnedAgain(t *testing.T) {
	claims := &mapClaims{stored: map[string]contract.PlainAnswer{}}
	runs := 0
	l := NewListener(Options{Document: document, Claims: claims, Dispatcher: stubDispatcher{complete: func(ctx context.Context, c *contract.Completion, sink contract.ChunkSink) error {
		runs++
		return sendHello(ctx, c, sink)
	}}})
	server := httptest.NewServer(l)
	defer server.Close()
	_, first := send(t, server, "POST", chatPath, anaKey, chatBody("chat"), HeaderIdempotencyKey, "k1")
	_, second := send(t, server, "POST", chatPath, anaKey, chatBody("chat"), HeaderIdempotencyKey, "k1")
	if strings.TrimSpace(first) != strings.TrimSpace(second) || runs != 1 {
		t.Errorf("%d runs, want 1; first answer %s, second answer %s", runs, first, second)
	}
	_, stored := send(t, server, "GET", "/v1/results/chat/k1", anaKey, "")
	if strings.TrimSpace(stored) != strings.TrimSpace(first) {
		t.Errorf("stored answer differs from the first one: %s", stored)
	}
	if _, other := send(t, server, "GET", "/v1/results/chat/k1", boKey, ""); errorNumber(t, other) != code.NotFound {
		t.Errorf("another account reads the stored answer: %s", other)
	}
}

// mapClaims stores answers in a map. It is not safe for concurrent use.
type mapClaims struct {
	stored map[string]contract.PlainAnswer
}

func (m *mapClaims) Do(ctx context.Context, c Claim, run func(context.Context) (contract.PlainAnswer, error)) (contract.PlainAnswer, error) {
	id := c.Account + "/" + c.Service + "/" + c.Key
	if a, ok := m.stored[id]; ok {
		return a, nil
	}
	a, err := run(ctx)
	if err == nil {
		m.stored[id] = a
	}
	return a, err
}

func (m *mapClaims) Lookup(_ context.Context, account, service, key string) (contract.PlainAnswer, error) {
	a, ok := m.stored[account+"/"+service+"/"+key]
	if !ok {
		return a, code.New(code.NotFound, "no stored answer")
	}
	return a, nil
}

func TestSlowHeadersAreCutOff(t *testing.T) {
	s := NewHTTPServer(http.NotFoundHandler())
	if s.ReadHeaderTimeout <= 0 || s.ReadHeaderTimeout > 30*time.Second || s.IdleTimeout <= 0 {
		t.Errorf("header timeout %v, want at most 30 s; idle timeout %v, want a limit", s.ReadHeaderTimeout, s.IdleTimeout)
	}
}

func TestPipelinedRequestsGetTheirOwnAnswers(t *testing.T) {
	server := startServer(t, stubDispatcher{complete: func(_ context.Context, c *contract.Completion, sink contract.ChunkSink) error {
		return sink(contract.Chunk{Text: c.RequestID, FinishReason: "stop"})
	}})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := chatBody("chat")
	for _, id := range []string{"one", "two", "three"} {
		_, err := io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+anaKey+"\r\nX-Request-ID: "+id+"\r\nContent-Length: "+lengthOf(body)+"\r\n\r\n"+body)
		if err != nil {
			t.Fatal(err)
		}
	}
	reader := bufio.NewReader(conn)
	for _, id := range []string{"one", "two", "three"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		if response.Header.Get(HeaderRequestID) != id || !strings.Contains(string(text), `"content":"`+id+`"`) {
			t.Errorf("answer to request %s: %s", id, text)
		}
	}
}

func lengthOf(s string) string {
	data, _ := json.Marshal(len(s))
	return string(data)
}
