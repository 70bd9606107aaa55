package httpstore_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage/httpstore"
)

// TestObjectWithoutAFrameIsNotTrusted guards against an object that is cut between two of
// its lines by a store that failed, and that is taken for a whole one: only the end of the
// connection ends its body.
func TestObjectWithoutAFrameIsNotTrusted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n1\tresult\n")
		_ = c.Close()
	}))
	defer server.Close()
	store, err := httpstore.New(httpstore.Options{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	if _, err := store.Open(t.Context(), "k", 0, -1); code.Of(err) != code.StoreUnavailable {
		t.Errorf("got %v, want StoreUnavailable", err)
	}
}
