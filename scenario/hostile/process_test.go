package hostile

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/platform"
	standin "github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// instanceIP is the loopback address of the process. No other test uses it, since the port
// of the metrics is fixed.
const instanceIP = "127.0.9.1"

// limits are the limits of the process in one test.
type limits struct {
	memoryMB       int64
	maxDescriptors int
	maxBodyBytes   int
}

// process is a daisylbd process on loopback addresses, with a store and an upstream in the
// process of the test.
type process struct {
	t       *testing.T
	limits  limits
	address string
	pid     int
	// exited is closed when the process has ended.
	exited chan struct{}
	// mostDescriptors is the largest number of open descriptors that was seen.
	mostDescriptors int
}

// document has a route for ordinary requests and for streams, with the limits of
// docs/HARD-LOAD.md but for the bodies.
const document = `{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":60000},"routes":[
 {"name":"r","hostname":"h","path_prefix":"/a/","kind":"safe","timeout_ms":60000,"target_latency_ms":60000,"max_attempts":1,"service":"s"},
 {"name":"e","hostname":"h","path_prefix":"/e/","kind":"streaming","timeout_ms":60000,"target_latency_ms":60000,"max_attempts":1,"service":"s"}]}`

// start builds and runs a process and waits until it answers an ordinary request.
func start(t *testing.T, l limits) *process {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "daisylbd")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/daisylb/daisylb/cmd/daisylbd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v, %s", err, out)
	}
	rows := memory.NewRows()
	store := httptest.NewServer(standin.NewRows(rows))
	upstream := httptest.NewServer(http.HandlerFunc(serveUpstream))
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
		upstream.CloseClientConnections()
		upstream.Close()
	})
	put(t, rows, platform.OperatorTable, platform.DocumentKey, fmt.Sprintf(document, l.maxBodyBytes))
	put(t, rows, platform.WorkerTable, "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":1000,"state":"ready","born":1}`,
		strings.TrimPrefix(upstream.URL, "http://")))
	p := &process{t: t, limits: l, address: freeAddress(t), exited: make(chan struct{})}
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, p.settings(strings.TrimPrefix(store.URL, "http://")), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	go func() { _ = cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		_ = log.Close()
	})
	p.wantOrdinaryAnswer()
	return p
}

// settings returns the text of the settings file.
func (p *process) settings(store string) []byte {
	p.t.Helper()
	_, port, _ := net.SplitHostPort(freeAddress(p.t))
	first, _ := strconv.Atoi(port)
	text, err := json.Marshal(map[string]any{
		"node_name": "m", "ip": instanceIP, "zone": "z", "zones": map[string]string{"z": "r"},
		"listen":       map[string]string{"front": p.address, "readiness": freeAddress(p.t), "directory": freeAddress(p.t)},
		"port_range":   []int{first, first},
		"heartbeat_ms": 500,
		"limits":       map[string]any{"memory_mb": p.limits.memoryMB, "max_fds": p.limits.maxDescriptors},
		"bounds":       map[string]any{"grace_s": 20, "drain_ms": 5000, "ttl_max_s": 5, "status_s": 60},
		"provider":     map[string]any{"address": store, "writes_per_s": 1500, "reads_per_s": 6000, "row_bytes": 65536, "blob_bytes": 8 << 20},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return text
}

func put(t *testing.T, rows *memory.Rows, table, key, value string) {
	t.Helper()
	row := storage.TableRow{RowKey: storage.RowKey{Table: table, Key: key}, Value: []byte(value)}
	if _, err := rows.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
		t.Fatal(err)
	}
}

// freeAddress returns an address whose port is free for TCP.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", net.JoinHostPort(instanceIP, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const (
	// longEventBytes is just below the size up to which an event is passed on.
	longEventBytes = 900 << 10
	longEvents     = 16
)

// serveUpstream answers a request whose path contains "long" with long events, and one
// whose path contains "plain" with a long body. Any other request gets a short answer.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "signed")
	long := strings.Repeat("x", longEventBytes)
	switch {
	case strings.Contains(r.URL.Path, "long"):
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range longEvents {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, long); err != nil {
				return
			}
		}
	case strings.Contains(r.URL.Path, "plain"):
		for range longEvents {
			if _, err := io.WriteString(w, long); err != nil {
				return
			}
		}
	default:
		_, _ = io.WriteString(w, "ordinary")
	}
}

const (
	// answerTime is far longer than an ordinary request takes beside the crowd, and than the
	// timeouts of the process for heads and requests.
	answerTime    = 90 * time.Second
	retryInterval = 50 * time.Millisecond
)

// wantOrdinaryAnswer sends an ordinary request, again after a refusal, until it is answered.
func (p *process) wantOrdinaryAnswer() {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTime}
	var seen string
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(retryInterval) {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/a/x", strings.NewReader("body"))
		if err != nil {
			p.t.Fatal(err)
		}
		request.Host = "h"
		request.Header.Set("X-Request-Id", "ordinary")
		response, err := client.Do(request)
		if err != nil {
			seen = err.Error()
			select {
			case <-p.exited:
				p.t.Fatalf("the process has ended: %v", err)
			default:
			}
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && string(text) == "ordinary" {
			return
		}
		seen = fmt.Sprintf("status %d, %q, %v", response.StatusCode, text, err)
	}
	p.t.Errorf("no ordinary request was answered; last seen: %s", seen)
}

// sample counts the open descriptors.
func (p *process) sample() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err == nil {
		p.mostDescriptors = max(p.mostDescriptors, len(entries))
	}
}

// peakMemory returns the largest resident memory so far and the present one, in bytes.
func (p *process) peakMemory() (peak, present int64) {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmHWM:":
			peak = kilobytes << 10
		case "VmRSS:":
			present = kilobytes << 10
		}
	}
	return peak, present
}

// wantWithinLimits checks that the process lives and kept to its limits.
func (p *process) wantWithinLimits() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatal("the process has ended")
	default:
	}
	peak, present := p.peakMemory()
	p.t.Logf("memory: peak %d MB, present %d MB, limit %d MB; descriptors: most %d, limit %d",
		peak>>20, present>>20, p.limits.memoryMB, p.mostDescriptors, p.limits.maxDescriptors)
	if peak > p.limits.memoryMB<<20 {
		p.t.Errorf("the process held %d MB, want at most %d", peak>>20, p.limits.memoryMB)
	}
	if p.mostDescriptors > p.limits.maxDescriptors {
		p.t.Errorf("the process had %d descriptors open, want at most %d", p.mostDescriptors, p.limits.maxDescriptors)
	}
}
