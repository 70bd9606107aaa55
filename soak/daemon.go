package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// grace is the time between SIGTERM and the kill, as the daemons are told.
const grace = 8 * time.Second

// instance is one daemon process after another on one address.
type instance struct {
	name    string
	ip      string
	program string
	dir     string
	store   string
	ports   ports

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// wanted is set while the process is to be started again when it ends.
	wanted bool
}

// ports are the same on all instances.
type ports struct{ callers, readiness, directory, first int }

func (i *instance) callers() string   { return fmt.Sprintf("%s:%d", i.ip, i.ports.callers) }
func (i *instance) directory() string { return fmt.Sprintf("%s:%d", i.ip, i.ports.directory) }

// freePorts draws ports that nobody uses on an address.
func freePorts(ip string) (ports, error) {
	var free [4]int
	for i := range free {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = l.Close() }()
		free[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{free[0], free[1], free[2], free[3]}, nil
}

func (i *instance) settings() string { return filepath.Join(i.dir, i.name+".json") }
func (i *instance) log() string      { return filepath.Join(i.dir, i.name+".log") }

// writeSettings writes the platform's settings file.
func (i *instance) writeSettings() error {
	listen := map[string]string{
		"front":     i.callers(),
		"readiness": fmt.Sprintf("%s:%d", i.ip, i.ports.readiness),
		"directory": i.directory(),
	}
	data, err := json.Marshal(map[string]any{
		"node_name": i.name, "ip": i.ip, "zone": "z", "zones": map[string]string{"z": "r"}, "listen": listen,
		"port_range": []int{i.ports.first, i.ports.first}, "heartbeat_ms": 1200, "limits": map[string]any{"memory_mb": 300},
		"bounds": map[string]any{"grace_s": grace.Seconds(), "drain_ms": drainBound.Milliseconds(), "ttl_max_s": 5, "status_s": 120},
		"provider": map[string]any{"address": i.store, "writes_per_s": writesBound, "reads_per_s": readsBound,
			"row_bytes": 65536, "blob_bytes": 8 << 20},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings(), data, 0o600)
}

// start starts the process and starts it again whenever it ends, until stop.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.wanted = true
	return i.launch()
}

// launch starts one process. The lock is held.
func (i *instance) launch() error {
	out, err := os.OpenFile(i.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(i.program)
	command.Env = append(os.Environ(), "DAISYLB_NODE_FILE="+i.settings())
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.command, i.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
		i.restart()
	}()
	return nil
}

// restartPause is the platform's delay before it starts a process again.
const restartPause = 200 * time.Millisecond

func (i *instance) restart() {
	time.Sleep(restartPause)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.wanted {
		_ = i.launch()
	}
}

// signal sends a signal to the present process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.ended:
	default:
		_ = i.command.Process.Signal(s)
	}
}

// terminate sends SIGTERM and, after the grace, SIGKILL, and waits for the end.
func (i *instance) terminate() {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-ended
	}
}

// stop ends the process for good.
func (i *instance) stop() {
	i.mu.Lock()
	i.wanted = false
	ended := i.ended
	i.mu.Unlock()
	if ended == nil {
		return
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-ended
}

// linesOf returns the log lines of all instances that name an id.
func linesOf(instances []*instance, id string) []string {
	var lines []string
	for _, i := range instances {
		data, err := os.ReadFile(i.log())
		if err != nil || id == "" {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, id) {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}
