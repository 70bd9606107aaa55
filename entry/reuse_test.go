package entry_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/entry"
	"github.com/daisylb/daisylb/standin/pipes"
)

// TestRefusalOnReusedConnectionReachesCaller reuses a connection after the deadline of
// the request before.
func TestRefusalOnReusedConnectionReachesCaller(t *testing.T) {
	withoutService := *document
	withoutService.Routes = append([]contract.Route{{Name: "bare", Host: "h", Prefix: "/bare/", Kind: contract.RouteStream, MaxAttempts: 1}}, document.Routes...)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"no route":   {"POST /none/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nq", http.StatusNotFound},
		"no service": {"POST /bare/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nq", http.StatusServiceUnavailable},
		"large body": {"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("q", 101), http.StatusRequestEntityTooLarge},
		"results":    {"GET /api/lots/j HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipes.Network{}
				server := network.NewServer(entry.NewHandler(entry.Options{
					Routing:   func() *contract.Routing { return &withoutService },
					Forwarder: &stubForwarder{serve: respond(200, http.Header{"X-Server-Stamp": {"sig"}}, "whole")},
					Jobs:      &stubJobs{}, Log: zap.NewNop(),
				}))
				defer server.Close()
				conn, err := network.Transport().DialContext(context.Background(), "tcp", strings.TrimPrefix(server.URL, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				exchange := func(request string) (*http.Response, error) {
					if _, err := conn.Write([]byte(request)); err != nil {
						return nil, err
					}
					return http.ReadResponse(reader, nil)
				}
				first, err := exchange("POST /once/x HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 200\r\nContent-Length: 1\r\n\r\nq")
				if err != nil || first.StatusCode != http.StatusOK {
					t.Fatalf("first request: %v, %+v", err, first)
				}
				if _, err := reader.Discard(int(max(first.ContentLength, 0))); err != nil {
					t.Fatal(err)
				}
				_ = first.Body.Close()
				time.Sleep(3 * time.Second)
				second, err := exchange(c.request)
				if err != nil {
					t.Fatalf("a whole request was not answered: %v", err)
				}
				defer func() { _ = second.Body.Close() }()
				if second.StatusCode != c.status {
					t.Errorf("status %d, want %d", second.StatusCode, c.status)
				}
			})
		})
	}
}
