package hosted_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisylb/daisylb/hosted"
	"github.com/daisylb/daisylb/platform"
	standin "github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// testPlatform is a store with a document and one worker. Its instances listen on
// loopback addresses.
type testPlatform struct {
	t           *testing.T
	store       *memory.Rows
	storeServer *httptest.Server
	worker      *fakeWorker
	// memoryBytes is the memory limit of the instances; 0 means none.
	memoryBytes int64
}

// fakeWorker answers every request with a stream of eventsPerStream events.
type fakeWorker struct {
	*httptest.Server
	// gate pauses each stream after its first event until the channel is closed;
	// nil does not pause.
	gate atomic.Pointer[chan struct{}]
	// started receives the id of each paused request.
	started chan string
	// onRequest is called with the id of each request, unless it is nil.
	onRequest func(id string)
	// deadlyPart is a part of prompts at which the worker closes the connection instead of
	// answering; "" means none. deadlyRuns counts such requests.
	deadlyPart string
	deadlyRuns atomic.Int64
}

const eventsPerStream = 4

func (w *fakeWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if w.onRequest != nil {
		w.onRequest(r.Header.Get("X-Request-Id"))
	}
	if w.deadlyPart != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), w.deadlyPart+":") {
		w.deadlyRuns.Add(1)
		panic(http.ErrAbortHandler)
	}
	h := rw.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Server-Stamp", "signed")
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= eventsPerStream; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, r.Header.Get("X-Request-Id"), n)
		rw.(http.Flusher).Flush()
		if gate := w.gate.Load(); n == 1 && gate != nil {
			w.started <- r.Header.Get("X-Request-Id")
			<-*gate
		}
	}
}

func newTestPlatform(t *testing.T) *testPlatform {
	s := &testPlatform{t: t, store: memory.NewRows(), worker: &fakeWorker{started: make(chan string, 8)}}
	s.store.SetMaxResponseTime(10 * time.Millisecond)
	s.storeServer = httptest.NewServer(standin.NewRows(s.store))
	s.worker.Server = httptest.NewServer(s.worker)
	t.Cleanup(func() { s.storeServer.CloseClientConnections(); s.storeServer.Close(); s.worker.Close() })
	s.put(platform.OperatorTable, platform.DocumentKey, `{"version":3,"routes":[
	 {"name":"r","hostname":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":20000,"target_latency_ms":20000,"max_attempts":1,"service":"s"},
	 {"name":"l","hostname":"h","path_prefix":"/l/","kind":"batch","timeout_ms":20000,"service":"s","max_attempts":3,"completion_target_ms":18000,"keep_s":60,"max_count":1000}]}`)
	s.put(platform.WorkerTable, "i-1", s.workerEntry(1))
	return s
}

// workerEntry returns the entry of the worker after its nth start.
func (s *testPlatform) workerEntry(n int) string {
	s.t.Helper()
	entry, err := json.Marshal(map[string]any{
		"service": "s", "address": strings.TrimPrefix(s.worker.URL, "http://"), "zone": "z", "slots": 8, "state": "ready", "born": n,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return string(entry)
}

// put stores a row.
func (s *testPlatform) put(table, key, value string) {
	s.t.Helper()
	row := storage.TableRow{RowKey: storage.RowKey{Table: table, Key: key}, Value: []byte(value)}
	if _, err := s.store.ApplyRows(s.t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
		s.t.Fatal(err)
	}
}

// runningInstance is an instance whose Run was started.
type runningInstance struct {
	*hosted.Instance
	settings platform.Settings
	stop     context.CancelFunc
	done     chan error
}

// freePort returns a port that is free on ip for both TCP and UDP.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	for range 50 {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

// start runs an instance on ip and waits until it is ready.
func (s *testPlatform) start(ip string) *runningInstance {
	s.t.Helper()
	return s.startWithTTL(ip, 20*time.Millisecond)
}

// startWithTTL is like start, with the time for which callers may keep an endpoint
// answer.
func (s *testPlatform) startWithTTL(ip string, ttl time.Duration) *runningInstance {
	s.t.Helper()
	return s.startWith(ip, ttl, nil)
}

// startWith is like startWithTTL. change changes the settings unless it is nil.
func (s *testPlatform) startWith(ip string, ttl time.Duration, change func(*platform.Settings)) *runningInstance {
	s.t.Helper()
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(s.t, ip)) }
	port := freePort(s.t, ip)
	r := &runningInstance{done: make(chan error, 1), settings: platform.Settings{
		Name: "m-" + ip, IP: ip, DataCentre: "z", CallerAddress: address(), ReadinessAddress: address(), DirectoryAddress: address(),
		FirstPort: port, LastPort: port, MemoryBytes: s.memoryBytes,
		Bounds: platform.Bounds{GracePeriod: 20 * time.Second, MaxTTL: 5 * time.Second, ResultRetention: time.Minute},
		Store:  platform.StoreSettings{Address: strings.TrimPrefix(s.storeServer.URL, "http://")},
	}}
	if change != nil {
		change(&r.settings)
	}
	i, err := hosted.New(hosted.Options{Settings: r.settings, EndpointTTL: ttl})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.Instance, r.stop = i, cancel
	go func() { r.done <- i.Run(ctx) }()
	s.t.Cleanup(cancel)
	s.waitFor("readiness", func() bool {
		select {
		case err := <-r.done:
			s.t.Fatalf("the instance ended before it was ready: %v", err)
		default:
		}
		return r.status("http://"+r.settings.ReadinessAddress+"/api/readyz") == http.StatusOK
	})
	return r
}

// status returns the status of a GET of url, 0 when there is no response.
func (r *runningInstance) status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// waitFor waits up to a minute for a condition.
func (s *testPlatform) waitFor(description string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// send sends a request of a caller to r.
func (s *testPlatform) send(r *runningInstance, method, path, id, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+r.settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	return http.DefaultClient.Do(request)
}

// sendPrompt sends a request with the parts of a prompt and returns its status and body.
func (s *testPlatform) sendPrompt(r *runningInstance, id, prefix string) (int, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+r.settings.CallerAddress+"/a/x", strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Prompt-Prefix", prefix)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// endpoints returns the body of an endpoint answer of r.
func (r *runningInstance) endpoints() string {
	response, err := http.Get("http://" + r.settings.DirectoryAddress + "/api/resolve?name=h&zone=z")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

// wantStream returns the stream that fakeWorker answers a request with.
func wantStream(id string) string {
	var b strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

// TestCallersAndJobsAreServedAndAPlannedStopCutsNothing stops one of two instances
// while a stream is open and a job runs: the stream must be complete, and the other
// instance must finish the job.
func TestCallersAndJobsAreServedAndAPlannedStopCutsNothing(t *testing.T) {
	s := newTestPlatform(t)
	a, b := s.start("127.0.0.2"), s.start("127.0.0.3")
	s.waitFor("both instances in the directory", func() bool {
		answer := b.endpoints()
		return strings.Contains(answer, a.settings.CallerAddress) && strings.Contains(answer, b.settings.CallerAddress)
	})
	response, err := s.send(a, http.MethodPost, "/a/x", "r1", "body")
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != wantStream("r1") || response.Header.Get("X-Server-Stamp") != "signed" {
		t.Errorf("%v, %q", err, text)
	}

	gate := make(chan struct{})
	s.worker.gate.Store(&gate)
	job := `{"requests":[{"id":"item-1","path":"/l/x","tokens":5},{"id":"item-2","path":"/l/x","tokens":5}]}`
	if response, err := s.send(a, http.MethodPost, "/l/x", "job-1", job); err != nil || response.StatusCode != http.StatusAccepted {
		t.Fatalf("%v, %v", err, response)
	}
	open, err := s.send(a, http.MethodPost, "/a/x", "r2", "body")
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(open.Body)
	if line, err := reader.ReadString('\n'); err != nil || line != "id: 1\n" {
		t.Fatalf("%v, %q", err, line)
	}
	a.stop()
	s.waitFor("the instance to leave the directory", func() bool {
		answer := b.endpoints()
		return answer != "" && !strings.Contains(answer, a.settings.CallerAddress)
	})
	if status := a.status("http://" + a.settings.ReadinessAddress + "/api/readyz"); status != http.StatusServiceUnavailable && status != 0 {
		t.Errorf("the readiness check of a stopping instance answered with status %d, want 503 or no answer", status)
	}
	s.worker.gate.Store(nil)
	close(gate)
	rest, err := io.ReadAll(reader)
	if err != nil || "id: 1\n"+string(rest) != wantStream("r2") {
		t.Errorf("the open stream is incomplete: %v, %q", err, rest)
	}
	if err := <-a.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
	s.waitFor("the job at the other instance", func() bool {
		response, err := s.send(b, http.MethodGet, "/api/lots/job-1?after=0", "", "")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var answer struct {
			Total   int
			Results []struct{ ID, State, Text string }
		}
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Results) < 2 {
			return false
		}
		for _, r := range answer.Results {
			if r.State != "succeeded" || r.Text != r.ID+"-1\n"+r.ID+"-2\n"+r.ID+"-3\n"+r.ID+"-4" {
				t.Errorf("%+v", r)
			}
		}
		return answer.Total == 2
	})
	b.stop()
	if err := <-b.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}

// TestReloadChangesStoreAddress moves the store to another address while a stream is
// open. The stream must be complete, and the instance must read the document from
// the new address.
func TestReloadChangesStoreAddress(t *testing.T) {
	s := newTestPlatform(t)
	r := s.start("127.0.0.5")
	gate := make(chan struct{})
	s.worker.gate.Store(&gate)
	open, err := s.send(r, http.MethodPost, "/a/x", "r1", "body")
	if err != nil {
		t.Fatal(err)
	}
	<-s.worker.started
	moved := httptest.NewServer(standin.NewRows(s.store))
	t.Cleanup(func() { moved.CloseClientConnections(); moved.Close() })
	next := r.settings
	next.Store.Address = strings.TrimPrefix(moved.URL, "http://")
	r.Reload(next)
	s.storeServer.CloseClientConnections()
	s.storeServer.Close()
	s.put(platform.OperatorTable, platform.DocumentKey, `{"version":9,"routes":[
	 {"name":"r","hostname":"h","path_prefix":"/new/","kind":"streaming","timeout_ms":20000,"target_latency_ms":20000,"max_attempts":1,"service":"s"}]}`)
	s.worker.gate.Store(nil)
	close(gate)
	if text, err := io.ReadAll(open.Body); err != nil || string(text) != wantStream("r1") {
		t.Errorf("the open stream is incomplete: %v, %q", err, text)
	}
	s.waitFor("the document of the moved store", func() bool {
		response, err := s.send(r, http.MethodPost, "/new/x", "r2", "body")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return err == nil && string(text) == wantStream("r2")
	})
	r.stop()
	if err := <-r.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}

// TestInstanceWithoutDocumentRejectsWithRetryAfter starts an instance while the store
// is down.
func TestInstanceWithoutDocumentRejectsWithRetryAfter(t *testing.T) {
	s := newTestPlatform(t)
	s.store.SetFaults(memory.RowFaults{Down: true})
	ip := "127.0.0.4"
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(t, ip)) }
	port := freePort(t, ip)
	r := &runningInstance{settings: platform.Settings{
		Name: "m", IP: ip, DataCentre: "z", CallerAddress: address(), ReadinessAddress: address(), DirectoryAddress: address(), FirstPort: port, LastPort: port,
		Bounds: platform.Bounds{GracePeriod: time.Second, MaxTTL: time.Second},
		Store:  platform.StoreSettings{Address: strings.TrimPrefix(s.storeServer.URL, "http://")},
	}}
	i, err := hosted.New(hosted.Options{Settings: r.settings, EndpointTTL: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	s.waitFor("a rejection", func() bool {
		response, err := s.send(r, http.MethodPost, "/a/x", "r1", "")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Fatalf("answered with status %d", response.StatusCode)
		}
		return true
	})
	if status := r.status("http://" + r.settings.ReadinessAddress + "/api/readyz"); status != http.StatusServiceUnavailable {
		t.Errorf("readiness check answered with status %d, want 503", status)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestDeadlyPartStopsReachingWorkersOfAnyInstance has workers that crash on a part of
// prompts; one of three instances is started after the others have found that out.
func TestDeadlyPartStopsReachingWorkersOfAnyInstance(t *testing.T) {
	s := newTestPlatform(t)
	s.worker.deadlyPart = "bad"
	s.put(platform.WorkerTable, "i-2", s.workerEntry(1))
	a, b := s.start("127.0.0.8"), s.start("127.0.0.9")
	rejected := func(r *runningInstance) func() bool {
		return func() bool {
			status, text := s.sendPrompt(r, "bad", "common:100,bad:50,own:9")
			return status == http.StatusServiceUnavailable && strings.Contains(text, "2009")
		}
	}
	for n := 0; !rejected(a)(); n++ {
		if n == 20 {
			t.Fatalf("the part is not kept back after 20 requests with it, %d runs", s.worker.deadlyRuns.Load())
		}
		if status, text := s.sendPrompt(a, fmt.Sprint("good", n), fmt.Sprintf("common:100,good:50,own%d:9", n)); status != http.StatusOK {
			t.Errorf("sound request %d: status %d, %q", n, status, text)
		}
		for _, id := range []string{"i-1", "i-2"} {
			s.put(platform.WorkerTable, id, s.workerEntry(n+2))
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.waitFor("the other instance to keep the part back", rejected(b))
	c := s.start("127.0.0.10")
	for _, r := range []*runningInstance{a, b, c} {
		before := s.worker.deadlyRuns.Load()
		if !rejected(r)() || s.worker.deadlyRuns.Load() != before {
			t.Errorf("instance %s lets the part through", r.settings.Name)
		}
		if status, _ := s.sendPrompt(r, "good", "common:100,other:50,own:9"); status != http.StatusOK {
			t.Errorf("instance %s: status %d for a sound request with the same first part", r.settings.Name, status)
		}
	}
	for _, r := range []*runningInstance{a, b, c} {
		r.stop()
		if err := <-r.done; err != nil {
			t.Errorf("instance %s stopped with %v", r.settings.Name, err)
		}
	}
}
