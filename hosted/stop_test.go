package hosted_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// loadCaller sends one request after another on kept-alive connections until the
// instance accepts no more connections.
type loadCaller struct {
	name     string
	address  string
	answered *atomic.Int64
	// received holds the ids of the requests that the worker received.
	received *sync.Map
	errorf   func(format string, args ...any)
}

func (c *loadCaller) run() {
	for n := 0; ; {
		conn, err := net.Dial("tcp4", c.address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for open := true; open; n++ {
			open = c.exchange(conn, reader, fmt.Sprintf("%s-%d", c.name, n))
		}
		_ = conn.Close()
	}
}

// exchange sends one request, checks its answer and reports whether the connection
// stays open.
func (c *loadCaller) exchange(conn net.Conn, reader *bufio.Reader, id string) bool {
	_, err := fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id)
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

// checkNotReceived checks a request whose connection was closed before an answer:
// the worker must not have received it.
func (c *loadCaller) checkNotReceived(id string, err error) {
	if _, ok := c.received.Load(id); ok {
		c.errorf("%s was received by the worker but not answered: %v", id, err)
	}
}

// TestPlannedStopUnderLoadCutsNoRequestThatWasTaken stops an instance while callers
// that know no other instance send requests without a pause, on kept-alive and on
// new connections. Every request that a worker received must be answered.
func TestPlannedStopUnderLoadCutsNoRequestThatWasTaken(t *testing.T) {
	s := newTestPlatform(t)
	a := s.start("127.0.0.4")
	const callers, warmup = 12, 200
	var answered atomic.Int64
	var received sync.Map
	s.worker.onRequest = func(id string) { received.Store(id, true) }
	var wait sync.WaitGroup
	for i := range callers {
		c := &loadCaller{name: fmt.Sprint("c", i), address: a.settings.CallerAddress, answered: &answered, received: &received, errorf: t.Errorf}
		wait.Go(c.run)
	}
	s.waitFor("load", func() bool { return answered.Load() > warmup })
	a.stop()
	atStop := answered.Load()
	if err := <-a.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
	wait.Wait()
	if n := answered.Load() - atStop; n == 0 {
		t.Error("no request was served while the instance was leaving")
	}
}

func TestRequestOpenAtEndOfGracePeriodIsAnswered(t *testing.T) {
	s := newTestPlatform(t)
	r := s.start("127.0.0.4")
	received, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	s.worker.onRequest = func(string) {
		close(received)
		<-release
	}
	answered := make(chan error, 1)
	go func() {
		response, err := s.send(r, http.MethodPost, "/a/x", "r1", "body")
		if err == nil && response.StatusCode != http.StatusBadGateway {
			err = fmt.Errorf("status %d, want 502, since a worker may have run the request", response.StatusCode)
		}
		answered <- err
	}()
	<-received
	next := r.settings
	next.Bounds.GracePeriod = time.Second
	r.Reload(next)
	r.stop()
	if err := <-answered; err != nil {
		t.Error(err)
	}
	if err := <-r.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}

// TestPlannedStopCutsNoRequestThatCameLate has a worker that needs longer for a request
// than is left of the grace period when the last requests come. Callers that can go
// elsewhere get a whole answer or a refusal of a request that did not run.
func TestPlannedStopCutsNoRequestThatCameLate(t *testing.T) {
	const ttl, grace, work, interval = time.Second, 4 * time.Second, 1500 * time.Millisecond, 200 * time.Millisecond
	s := newTestPlatform(t)
	leaving, other := s.startWithTTL("127.0.0.4", ttl), s.startWithTTL("127.0.0.5", ttl)
	s.waitFor("both instances", func() bool {
		return strings.Contains(leaving.endpoints(), other.settings.CallerAddress)
	})
	var received sync.Map
	s.worker.onRequest = func(id string) {
		received.Store(id, true)
		time.Sleep(work)
	}
	next := leaving.settings
	next.Bounds.GracePeriod = grace
	leaving.Reload(next)
	leaving.stop()
	var refused, served atomic.Int64
	var wait sync.WaitGroup
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp4", leaving.settings.CallerAddress)
		if err != nil {
			break
		}
		id := fmt.Sprint("r", n)
		wait.Go(func() {
			defer func() { _ = conn.Close() }()
			switch status := exchangeOnce(conn, id); status {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
				if _, ok := received.Load(id); ok {
					t.Errorf("%s was refused as not run, but the worker has received it", id)
				}
			default:
				t.Errorf("%s got no whole answer, status %d", id, status)
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	if refused.Load() == 0 || served.Load() == 0 {
		t.Errorf("%d requests were refused and %d served, want some of both", refused.Load(), served.Load())
	}
	other.stop()
	for _, r := range []*runningInstance{leaving, other} {
		if err := <-r.done; err != nil {
			t.Errorf("the instance stopped with %v", err)
		}
	}
}

// TestLastInstanceCutsNoRequestThatCameLate covers requests that callers send from the moment
// on at which a planned stop may no longer cut them.
func TestLastInstanceCutsNoRequestThatCameLate(t *testing.T) {
	const ttl, grace, late, interval = time.Second, 7 * time.Second, 3 * time.Second, 50 * time.Millisecond
	s := newTestPlatform(t)
	a := s.startWithTTL("127.0.0.4", ttl)
	s.waitFor("the instance in its own endpoint answers", func() bool { return strings.Contains(a.endpoints(), a.settings.CallerAddress) })
	var received sync.Map
	s.worker.onRequest = func(id string) { received.Store(id, true) }
	gate := make(chan struct{})
	s.worker.gate.Store(&gate)
	go func() {
		for {
			select {
			case <-s.worker.started:
			case <-t.Context().Done():
				return
			}
		}
	}()
	next := a.settings
	next.Bounds.GracePeriod = grace
	a.Reload(next)
	kept, err := net.Dial("tcp4", a.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	a.stop()
	time.AfterFunc(grace, func() { close(gate) })
	time.Sleep(late)
	var wait sync.WaitGroup
	for n, conn := 0, kept; err == nil; n++ {
		id, c := fmt.Sprint("r", n), conn
		wait.Go(func() {
			defer func() { _ = c.Close() }()
			status := exchangeOnce(c, id)
			if _, ran := received.Load(id); status != http.StatusOK && (status != http.StatusServiceUnavailable || ran) {
				t.Errorf("%s got no whole answer, status %d, received by the worker %v", id, status, ran)
			}
		})
		time.Sleep(interval)
		conn, err = net.Dial("tcp4", a.settings.CallerAddress)
	}
	wait.Wait()
	if err := <-a.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}

// exchangeOnce sends a request and returns the status of its answer, or 0 if that is not
// whole.
func exchangeOnce(conn net.Conn, id string) int {
	if _, err := fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && string(text) != wantStream(id) {
		return 0
	}
	return response.StatusCode
}

// TestLastInstanceServesCallersUntilItStops stops the only instance, whose callers can go
// nowhere else. With the short TTL callers are told to move before the instance has read
// of its own stop, in most of the runs.
func TestLastInstanceServesCallersUntilItStops(t *testing.T) {
	const runs = 5
	for n := range runs {
		t.Run(fmt.Sprintf("short TTL, run %d", n), func(t *testing.T) { testLastInstance(t, 20*time.Millisecond) })
	}
	t.Run("long TTL", func(t *testing.T) { testLastInstance(t, 300*time.Millisecond) })
}

func testLastInstance(t *testing.T, ttl time.Duration) {
	s := newTestPlatform(t)
	a := s.startWithTTL("127.0.0.4", ttl)
	s.waitFor("the instance in its own endpoint answers", func() bool { return strings.Contains(a.endpoints(), a.settings.CallerAddress) })
	s.store.SetFaults(memory.RowFaults{FeedsStalled: true})
	a.stop()
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp4", a.settings.CallerAddress)
		if err != nil {
			break
		}
		if status := exchangeOnce(conn, fmt.Sprint("r", n)); status == http.StatusServiceUnavailable {
			t.Errorf("request %d was refused", n)
		}
		_ = conn.Close()
		time.Sleep(ttl / 10)
	}
	if err := <-a.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}

// TestPlannedStopFinishesCallsOfPeers stops an instance while a peer makes a slow call of
// the store through it.
func TestPlannedStopFinishesCallsOfPeers(t *testing.T) {
	s := newTestPlatform(t)
	a := s.start("127.0.0.4")
	peer := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.FirstPort))
	store := relay.New(relay.Options{Direct: unreachableStore{}, Peers: func() []string { return []string{peer} }, Client: http.DefaultClient})
	s.store.SetFaults(memory.RowFaults{ResponseDelay: time.Second})
	result := make(chan error, 1)
	go func() {
		row := storage.TableRow{RowKey: storage.RowKey{Table: "t", Key: "k"}, Value: []byte("v")}
		_, err := store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}})
		result <- err
	}()
	s.waitFor("the call", func() bool {
		page, err := s.store.GetRows(t.Context(), "t", "", "", "")
		return err == nil && len(page.Rows) == 1
	})
	a.stop()
	if err := <-result; err != nil {
		t.Errorf("a call that was under way was cut: %v", err)
	}
	if err := <-a.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}

// unreachableStore is a store that can't be reached.
type unreachableStore struct{ storage.RowStore }

func (unreachableStore) ApplyRows(context.Context, storage.RowTransaction) (storage.RowPage, error) {
	return storage.RowPage{}, code.New(code.StoreUnavailable, "unreachable")
}
