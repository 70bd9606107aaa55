package soak

import (
	"context"
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

// gracePeriod is the time between SIGTERM and SIGKILL. It is also in the
// settings of the daemons.
const gracePeriod = 8 * time.Second

// instance is a daemon at one address. Its process is restarted whenever it
// ends.
type instance struct {
	name         string
	ip           string
	program      string
	dir          string
	storeAddress string
	ports        ports
	// accounts is set if client accounts have request quotas.
	accounts bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// keepRunning is set while the process is to be restarted when it ends.
	keepRunning bool
}

// ports are the listener ports. They are the same on all instances.
type ports struct{ callers, readiness, directory, rangeStart int }

func (i *instance) callerAddress() string    { return fmt.Sprintf("%s:%d", i.ip, i.ports.callers) }
func (i *instance) directoryAddress() string { return fmt.Sprintf("%s:%d", i.ip, i.ports.directory) }

// freePorts returns ports that are not in use on an IP address.
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

func (i *instance) settingsPath() string { return filepath.Join(i.dir, i.name+".json") }
func (i *instance) logPath() string      { return filepath.Join(i.dir, i.name+".log") }

// writeSettings writes the settings file of the daemon, with a time for which the status
// of jobs is kept.
func (i *instance) writeSettings(status time.Duration) error {
	listen := map[string]string{
		"front":     i.callerAddress(),
		"readiness": fmt.Sprintf("%s:%d", i.ip, i.ports.readiness),
		"directory": i.directoryAddress(),
	}
	bounds := map[string]any{"grace_s": gracePeriod.Seconds(), "drain_ms": drainBound.Milliseconds(), "ttl_max_s": 5, "status_s": status.Seconds()}
	if i.accounts {
		bounds["quota_window_s"], bounds["quota_overage"], bounds["quota_slack"] = quotaWindow.Seconds(), quotaOverage, quotaSlack
	}
	data, err := json.Marshal(map[string]any{
		"node_name": i.name, "ip": i.ip, "zone": "z", "zones": map[string]string{"z": "r"}, "listen": listen,
		"port_range": []int{i.ports.rangeStart, i.ports.rangeStart + 1}, "bootstrap": i.accounts, "heartbeat_ms": 1200, "limits": map[string]any{"memory_mb": 300},
		"bounds": bounds,
		"provider": map[string]any{"address": i.storeAddress, "writes_per_s": maxWritesPerSecond, "reads_per_s": maxReadsPerSecond,
			"row_bytes": 65536, "blob_bytes": 8 << 20},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.settingsPath(), data, 0o600)
}

// start starts the process. It is restarted whenever it ends, until stop is
// called.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.keepRunning = true
	return i.launch()
}

// launch starts one process. The caller must hold i.mu.
func (i *instance) launch() error {
	out, err := os.OpenFile(i.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(i.program)
	command.Env = append(os.Environ(), "DAISYLB_NODE_FILE="+i.settingsPath())
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.command, i.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
		i.restart()
	}()
	return nil
}

// restartDelay is how long the platform waits before it restarts a process.
const restartDelay = 200 * time.Millisecond

const startPollInterval = time.Millisecond

func (i *instance) restart() {
	time.Sleep(restartDelay)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.keepRunning {
		_ = i.launch()
	}
}

// signal sends a signal to the current process, if it is running.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
	default:
		_ = i.command.Process.Signal(s)
	}
}

// awaitStart waits until the process that replaces one that was killed is running.
func (i *instance) awaitStart(ctx context.Context, killed *exec.Cmd) {
	for ctx.Err() == nil && i.current() == killed {
		wait(ctx, startPollInterval)
	}
}

// current returns the last process that was started.
func (i *instance) current() *exec.Cmd {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command
}

// process returns a function that sends a signal to the current process, and to none that
// is started later.
func (i *instance) process() func(syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	command, exited := i.command, i.exited
	return func(s syscall.Signal) {
		select {
		case <-exited:
		default:
			_ = command.Process.Signal(s)
		}
	}
}

// terminate sends SIGTERM and, after gracePeriod, SIGKILL. It waits until the
// process has ended.
func (i *instance) terminate() {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		i.signal(syscall.SIGKILL)
		<-exited
	}
}

// stop ends the process and does not restart it.
func (i *instance) stop() {
	i.mu.Lock()
	i.keepRunning = false
	exited := i.exited
	i.mu.Unlock()
	if exited == nil {
		return
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-exited
}

// logLines returns the log lines of all instances that contain an id.
func logLines(instances []*instance, id string) []string {
	var lines []string
	for _, i := range instances {
		data, err := os.ReadFile(i.logPath())
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
