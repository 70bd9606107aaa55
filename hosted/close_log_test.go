package hosted

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestClosedConnectionsAreLogged(t *testing.T) {
	const unanswered, idle = "connection closed before a request was answered", "idle connection closed"
	tests := map[string]struct {
		play func(*callerServer, *pipeCaller)
		want string
	}{
		"request in parts when the server is closed": {func(s *callerServer, c *pipeCaller) {
			c.exchange()
			c.send(testRequest[:5])
			synctest.Wait()
			_ = s.server.Close()
		}, unanswered},
		"caller that leaves its request": {func(s *callerServer, c *pipeCaller) {
			s.answerTime = time.Minute
			c.send(testRequest)
			_ = c.conn.Close()
		}, unanswered},
		"no request on a new connection": {func(*callerServer, *pipeCaller) { time.Sleep(2 * headerTimeout) }, idle},
		"idle for the limit": {func(_ *callerServer, c *pipeCaller) {
			c.exchange()
			time.Sleep(testIdleLimit + 2*lastReadTime)
		}, idle},
		"idle caller that leaves": {func(_ *callerServer, c *pipeCaller) {
			c.exchange()
			_ = c.conn.Close()
		}, ""},
		"closed with its answer": {func(s *callerServer, c *pipeCaller) {
			c.exchange()
			s.connections.closeAfterAnswer.Store(true)
			c.exchange()
		}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, logs := observer.New(zap.InfoLevel)
				s := newCallerServer(t)
				defer s.close()
				s.connections.log = zap.New(core)
				test.play(s, s.connect())
				synctest.Wait()
				got := ""
				for _, entry := range logs.All() {
					got += entry.Message
				}
				if got != test.want {
					t.Errorf("logged %q, want %q", got, test.want)
				}
			})
		})
	}
}
