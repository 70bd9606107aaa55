package hosted_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/daisylb/daisylb/platform"
)

// countConnections returns the address of a listener that closes every connection,
// and the number of connections that it has accepted.
func countConnections(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); <-done })
	return listener.Addr().String(), &accepted
}

// workerEntry returns the entry of a worker. Each pair of replace is replaced in it.
func workerEntry(t *testing.T, address string, replace ...string) string {
	t.Helper()
	entry, err := json.Marshal(map[string]any{
		"service": "s", "address": address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": 4, "born": 17,
	})
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(replace...).Replace(string(entry))
	if len(replace) > 0 && text == string(entry) {
		t.Fatalf("nothing replaced in %s", entry)
	}
	return text
}

// TestWorkersAreFollowedAfterEachOddEntry writes odd entries, one of them over the
// entry of a sound worker, and moves another worker after each of them.
func TestWorkersAreFollowedAfterEachOddEntry(t *testing.T) {
	s := newTestPlatform(t)
	workers := []*fakeWorker{s.worker, {}, {}}
	var answeredBy atomic.Int64
	addresses := make([]string, len(workers))
	for i, w := range workers {
		w.onRequest = func(string) { answeredBy.Store(int64(i)) }
		if w.Server == nil {
			w.Server = httptest.NewServer(w)
			t.Cleanup(w.Close)
		}
		addresses[i] = strings.TrimPrefix(w.URL, "http://")
	}
	r := s.start("127.0.28.1")
	unused, accepted := countConnections(t)
	requests, name := 0, ""
	// send sends a request and returns the index of the worker that answered it, or -1.
	send := func() int64 {
		requests++
		id := fmt.Sprintf("r%d", requests)
		response, err := s.send(r, http.MethodPost, "/a/x", id, "body")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if text, err := io.ReadAll(response.Body); err != nil || string(text) != wantStream(id) {
			t.Errorf("%s: status %d, %v, %q", name, response.StatusCode, err, text)
			return -1
		}
		return answeredBy.Load()
	}
	const replaced = 2
	current := int64(0)
	for _, odd := range oddEntries(t, unused) {
		name = odd.name
		s.put(platform.WorkerTable, "i-2", workerEntry(t, addresses[replaced]))
		s.put(platform.WorkerTable, "odd", odd.value)
		s.put(platform.WorkerTable, "i-2", odd.value)
		current = 1 - current
		s.put(platform.WorkerTable, "i-1", workerEntry(t, addresses[current]))
		s.waitFor("a worker to move after an entry with "+odd.name, func() bool { return send() == current })
		for range 5 {
			if by := send(); by != current {
				t.Errorf("%s: worker %d answered, want %d", odd.name, by, current)
			}
		}
		if n := accepted.Swap(0); n != 0 {
			t.Errorf("%s: %d connections to the address of the entry", odd.name, n)
		}
	}
	r.stop()
	if err := <-r.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}

// oddEntry is an entry that names no worker.
type oddEntry struct{ name, value string }

// oddEntries returns entries that name no worker. Those that have an address in full
// have the given one.
func oddEntries(t *testing.T, address string) []oddEntry {
	t.Helper()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	entry := func(replace ...string) string { return workerEntry(t, address, replace...) }
	return []oddEntry{
		{"bytes that are no JSON", "\x00\xff"},
		{"no bytes", ""},
		{"null", "null"},
		{"brackets without end", strings.Repeat("[", 60_000)},
		{"a deep field", entry(`"seq":4`, `"seq":`+nested(9_000))},
		{"a field that is too deep", entry(`"seq":4`, `"seq":`+nested(30_000))},
		{"a field name in capitals", entry(`"address"`, `"ADDRESS"`)},
		{"text that is not UTF-8", entry(`"v1"`, "\"\xff\"")},
		{"slots out of range", entry(`"slots":8`, `"slots":1e400`)},
		{"slots with 60,000 digits", entry(`"slots":8`, `"slots":`+strings.Repeat("9", 60_000))},
		{"slots that are not whole", entry(`"slots":8`, `"slots":8.5`)},
		{"a start out of range", entry(`"born":17`, `"born":1e300`)},
		{"a start of another type", entry(`"born":17`, `"born":"17"`)},
		{"a sequence of another type", entry(`"seq":4`, `"seq":{}`)},
		{"no data centre", entry(`"zone":"z"`, `"a":"z"`)},
		{"an unnamed state", entry(`"ready"`, `"asleep"`)},
		{"an unnamed service", entry(`"s"`, `"another"`)},
		{"port 0", workerEntry(t, host+":0")},
		{"port 65536", workerEntry(t, host+":65536")},
		{"port -1", workerEntry(t, host+":-1")},
		{"no port", workerEntry(t, host)},
		{"a host name", workerEntry(t, "localhost:80")},
		{"an unspecified address", entry(host, "0.0.0.0")},
	}
}
