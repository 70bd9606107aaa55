package hostile

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisylb/daisylb/platform"
)

// firstIP is the loopback address of the first process of a test; the others follow. No other
// test uses them, since the port of the metrics is fixed.
const firstIP = "127.0.9.1"

// limits are the limits of the processes in one test.
type limits struct {
	memoryMB       int64
	maxDescriptors int
	maxBodyBytes   int
}

// process is a daisylbd process on loopback addresses.
type process struct {
	t      *testing.T
	world  *world
	limits limits
	// ip is the address of the machine. address is that for callers, the others those for
	// endpoint queries and readiness checks.
	ip, address, directory, readiness string
	// settings is the path of the settings file.
	settings string
	cmd      *exec.Cmd
	pid      int
	// exited is closed when the process has ended.
	exited chan struct{}
	// mostDescriptors is the largest number of open descriptors that was seen. It is guarded by
	// mu.
	mu              sync.Mutex
	mostDescriptors int
}

// start builds and runs a process with a store and upstreams of its own, and waits until it
// answers an ordinary request.
func start(t *testing.T, l limits) *process {
	t.Helper()
	return newWorld(t, l.maxBodyBytes).start(firstIP, l)
}

// start runs a process on a machine and waits until it answers an ordinary request.
func (w *world) start(ip string, l limits) *process {
	w.t.Helper()
	p := &process{t: w.t, world: w, limits: l, ip: ip, settings: filepath.Join(w.t.TempDir(), "settings.json")}
	p.address, p.directory, p.readiness = p.freeAddress(), p.freeAddress(), p.freeAddress()
	if err := os.WriteFile(p.settings, p.settingsText(), 0o600); err != nil {
		w.t.Fatal(err)
	}
	p.run()
	w.t.Cleanup(p.kill)
	return p
}

// run starts the process and waits until it answers an ordinary request.
func (p *process) run() {
	p.t.Helper()
	log, err := os.Create(p.settings + ".log")
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.world.program)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.pid, p.exited = cmd, cmd.Process.Pid, exited
	go func() { _ = cmd.Wait(); _ = log.Close(); close(exited) }()
	p.wantOrdinaryAnswer()
}

// kill ends the process without notice.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// settingsText returns the text of the settings file.
func (p *process) settingsText() []byte {
	p.t.Helper()
	_, port, _ := net.SplitHostPort(p.freeAddress())
	first, _ := strconv.Atoi(port)
	text, err := json.Marshal(map[string]any{
		"node_name": "m-" + p.ip, "ip": p.ip, "zone": "z", "zones": map[string]string{"z": "r"},
		"listen":       map[string]string{"front": p.address, "readiness": p.readiness, "directory": p.directory},
		"port_range":   []int{first, first},
		"heartbeat_ms": 500,
		"limits":       map[string]any{"memory_mb": p.limits.memoryMB, "max_fds": p.limits.maxDescriptors},
		"bounds":       map[string]any{"grace_s": 20, "drain_ms": 5000, "ttl_max_s": 5, "status_s": 600},
		"provider":     map[string]any{"address": p.world.store, "writes_per_s": 1500, "reads_per_s": 6000, "row_bytes": 65536, "blob_bytes": 8 << 20},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return text
}

// freeAddress returns an address of the machine whose port is free for TCP.
func (p *process) freeAddress() string {
	p.t.Helper()
	l, err := net.Listen("tcp4", net.JoinHostPort(p.ip, "0"))
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
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
		p.mu.Lock()
		defer p.mu.Unlock()
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
