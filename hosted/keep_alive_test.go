package hosted

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// keepAlive sends a request and returns the Keep-Alive header of its answer.
func (c *pipeCaller) keepAlive() string {
	c.t.Helper()
	c.send(testRequest)
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Fatal(err)
	}
	return response.Header.Get("Keep-Alive")
}

func TestRequestInTheAnnouncedTimeNeverCrossesTheCloseOfItsConnection(t *testing.T) {
	for name, lowered := range map[string]time.Duration{"same limit": testIdleLimit, "limit lowered within the answer": testIdleLimit / 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCallerServer(t)
				defer s.close()
				// The handler has read the limit when it begins its answer.
				s.onAnswer = func() { s.limit.Store(int64(lowered)) }
				c := s.connect()
				var seconds int
				if _, err := fmt.Sscanf(c.keepAlive(), "timeout=%d", &seconds); err != nil || seconds == 0 {
					t.Fatalf("the answer does not say for how long its connection may be used: %v", err)
				}
				time.Sleep(time.Duration(seconds) * time.Second)
				c.exchange()
			})
		})
	}
}

func TestKeepAliveIsNotAnnouncedWhenTheConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(t)
		defer s.close()
		s.connections.closeAfterAnswer.Store(true)
		if got := s.connect().keepAlive(); got != "" {
			t.Errorf("Keep-Alive: %s", got)
		}
	})
}
