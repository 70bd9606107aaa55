package hosted

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestFirstRequestOnAConnectionHasTheWholeHeaderTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(t)
		defer s.close()
		s.limit.Store(int64(2 * headerTimeout))
		c := s.connect()
		time.Sleep(headerTimeout - time.Second)
		c.send(testRequest[:12])
		time.Sleep(2 * time.Second)
		_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
		c.send(testRequest[12:])
		c.wantAnswer()
	})
}

func TestUnusedConnectionIsClosedAtIdleLimit(t *testing.T) {
	for name, limit := range map[string]time.Duration{"short": headerTimeout / 2, "long": 2 * headerTimeout} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCallerServer(t)
				defer s.close()
				s.limit.Store(int64(limit))
				used, unused := s.connect(), s.connect()
				time.Sleep(limit - time.Second)
				if !used.isOpen() || !unused.isOpen() {
					t.Fatal("a connection was closed before the limit")
				}
				used.exchange()
				time.Sleep(time.Second + 2*lastReadTime)
				if unused.isOpen() {
					t.Error("the unused connection is open after the limit")
				}
				if !used.isOpen() {
					t.Error("the connection was closed although a request came in time")
				}
			})
		})
	}
}

func TestBeginningOfARequestIsNotAwaitedForLongerThanTheHeaderTimeout(t *testing.T) {
	for name, first := range map[string]bool{"first request": true, "later request": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCallerServer(t)
				defer s.close()
				c := s.connect()
				if !first {
					c.exchange()
				}
				time.Sleep(testIdleLimit / 2)
				c.send(testRequest[:2])
				time.Sleep(headerTimeout + time.Second)
				if c.isOpen() {
					t.Error("the connection is open although the head of its request did not arrive in time")
				}
			})
		})
	}
}
