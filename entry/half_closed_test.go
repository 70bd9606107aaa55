package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// TestCallerThatClosesItsSendingSideGetsAnAnswer has callers that still read: their requests
// end, since they can't be told from callers that have left, but not without an answer.
func TestCallerThatClosesItsSendingSideGetsAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		outcome code.Outcome
		status  int
	}{
		"request not sent to an upstream": {code.NotRun, http.StatusServiceUnavailable},
		"request sent to an upstream":     {code.Unknown, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, document, func(ctx context.Context, _ contract.ForwardSink) error {
				<-ctx.Done()
				return code.Wrap(code.CallerGone, ctx.Err(), "the call was cancelled").WithOutcome(c.outcome)
			})
			conn, err := net.Dial("tcp4", strings.TrimPrefix(s.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
				t.Fatal(err)
			}
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("a whole request was not answered: %v", err)
			}
			if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != c.status {
				t.Errorf("%v, status %d, want %d", err, response.StatusCode, c.status)
			}
		})
	}
}
