package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/standin/service"
)

// TestFaultModes makes one call with each fault and checks its status and the number
// of runs. The next call must succeed.
func TestFaultModes(t *testing.T) {
	for _, c := range []struct {
		mode   service.Mode
		status int
		runs   int
	}{
		{service.ModeNone, http.StatusOK, 1},
		{service.ModeRefuse, http.StatusServiceUnavailable, 0},
		{service.ModeLost, 0, 1},
		{service.ModeGarbage, 0, 1},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			s := service.New()
			server := httptest.NewServer(s)
			defer server.Close()
			s.SetFaults(service.Faults{Mode: c.mode, Next: 1})
			if status := call(t, server.URL); status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			if d := cmp.Diff(c.runs, s.Runs()["k"]); d != "" {
				t.Errorf("runs differ:\n%s", d)
			}
			if status := call(t, server.URL); status != http.StatusOK {
				t.Errorf("status %d after the fault", status)
			}
		})
	}
}

// call returns the HTTP status of a call, or 0 when there was no response.
func call(t *testing.T, url string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "k")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestTransportRepeatsCallsWithCanonicalKeyHeader records a behaviour of net/http
// that can run a call twice: its transport treats a request with the canonical
// header name Idempotency-Key as replayable and sends it again when a reused
// connection closes without a response. A call that may run at most once must
// therefore use a header name that is not canonical; HTTP ignores the case.
func TestTransportRepeatsCallsWithCanonicalKeyHeader(t *testing.T) {
	for _, c := range []struct {
		name string
		runs int
	}{
		{"Idempotency-Key", 2},
		{"idempotency-key", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := service.New()
			server := httptest.NewServer(s)
			defer server.Close()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for _, key := range []string{"first", "second"} {
				request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				request.Header[c.name] = []string{key}
				response, err := (&http.Client{Transport: transport}).Do(request)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				s.SetFaults(service.Faults{Mode: service.ModeLost, Next: 1})
			}
			if runs := s.Runs()["second"]; runs != c.runs {
				t.Errorf("%d runs of one call, want %d", runs, c.runs)
			}
		})
	}
}
