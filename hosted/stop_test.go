package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// loadCaller sends requests on connections that it keeps, as fast as they are
// answered, until the instance takes no connections any more.
type loadCaller struct {
	name     string
	address  string
	answered *atomic.Int64
	// worked has the ids of the requests that the worker was given.
	received *sync.Map
	errorf   func(format string, args ...any)
}

func (c *loadCaller) run() {
	for n := 0; ; {
		nc, err := net.Dial("tcp4", c.address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(nc)
		for open := true; open; n++ {
			open = c.exchange(nc, reader, fmt.Sprintf("%s-%d", c.name, n))
		}
		_ = nc.Close()
	}
}

// exchange makes one request and reports whether the connection is kept.
func (c *loadCaller) exchange(nc net.Conn, reader *bufio.Reader, id string) bool {
	_, err := fmt.Fprintf(nc, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id)
	if err != nil {
		c.checkNotReceived(id, err)
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.checkNotReceived(id, err)
		return false
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK || string(text) != wantStream(id) {
		c.errorf("%s: %v, status %d, %q", id, err, response.StatusCode, text)
	}
	c.answered.Add(1)
	return !response.Close
}

// checkNotReceived checks a request that crossed the close of its connection: no
// worker may have got it.
func (c *loadCaller) checkNotReceived(id string, err error) {
	if _, ok := c.received.Load(id); ok {
		c.errorf("%s was given to a worker and has no answer: %v", id, err)
	}
}

// TestPlannedStopUnderLoadCutsNoRequestThatWasTaken stops an instance while its
// callers, who know of no other, send as fast as they can on kept and on new
// connections.
func TestPlannedStopUnderLoadCutsNoRequestThatWasTaken(t *testing.T) {
	s := newTestPlatform(t)
	a := s.start("127.0.0.4")
	const callers, before = 12, 200
	var answered atomic.Int64
	var worked sync.Map
	s.worker.onRequest = func(id string) { worked.Store(id, true) }
	var wait sync.WaitGroup
	for i := range callers {
		c := &loadCaller{name: fmt.Sprint("c", i), address: a.settings.Callers, answered: &answered, received: &worked, errorf: t.Errorf}
		wait.Go(c.run)
	}
	s.waitFor("load", func() bool { return answered.Load() > before })
	a.stop()
	atStop := answered.Load()
	if err := <-a.done; err != nil {
		t.Errorf("the instance ended with %v", err)
	}
	wait.Wait()
	if n := answered.Load() - atStop; n == 0 {
		t.Error("nothing was served while the instance was leaving")
	}
}
