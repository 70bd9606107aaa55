package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// getBatches calls the handler that is mounted for batches.
func getBatches(t *testing.T, server *httptest.Server) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequest("GET", server.URL+"/v1/batches", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+anaKey)
	return server.Client().Do(r)
}

// TestBrokenAnswerOfAMountedHandlerNeverLooksComplete has a handler that fails after the
// beginning of its body.
func TestBrokenAnswerOfAMountedHandlerNeverLooksComplete(t *testing.T) {
	for name, fail := range map[string]any{"aborts": http.ErrAbortHandler, "panics": "boom"} {
		t.Run(name, func(t *testing.T) {
			l := NewListener(Options{Document: document, Batches: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "{\"id\":\"0\"}\n")
				if err := http.NewResponseController(w).Flush(); err != nil {
					t.Error(err)
				}
				panic(fail)
			})})
			server := httptest.NewServer(l)
			defer server.Close()
			response, err := getBatches(t, server)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if body, err := io.ReadAll(response.Body); err == nil || string(body) != "{\"id\":\"0\"}\n" {
				t.Errorf("got %q with error %v, want the beginning of the answer and an error", body, err)
			}
		})
	}
}

// TestHandlerThatAbortsBeforeItsAnswerGivesNone has a handler abort before it has
// written anything.
func TestHandlerThatAbortsBeforeItsAnswerGivesNone(t *testing.T) {
	l := NewListener(Options{Document: document, Batches: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	})})
	server := httptest.NewServer(l)
	defer server.Close()
	if response, err := getBatches(t, server); err == nil {
		response.Body.Close()
		t.Errorf("got status %d, want a closed connection", response.StatusCode)
	}
}
