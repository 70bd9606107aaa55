package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

const (
	daemonProgram = "target/daisylbd"
	hostName      = "review.example"
	serviceName   = "lang"
	heartbeat     = 1200 * time.Millisecond
	// The daemons get a second to start and are given up after startTimeout.
	startTimeout = 15 * time.Second
	timeFormat   = "15:04:05.000"
)

// world is the platform, the workers and the daemons of a case.
type world struct {
	trouble bool
	dir     string
	rows    *memory.Rows
	store   *storeServer
	net     byte
	// memoryMB is the memory of a daemon.
	memoryMB int

	recordMu   sync.Mutex
	recordFile *os.File

	mu      sync.Mutex
	broken  []string
	workers []*workerProcess
	daemons []*daemon
	version int
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, rows: memory.NewRows(), recordFile: f, net: byte(os.Getpid()%200 + 20), memoryMB: 314}
	for !w.hasFreePorts() {
		w.net++
		if w.net == 250 {
			w.net = 20
		}
	}
	w.store = &storeServer{handler: platform.NewRows(w.rows)}
	return w, nil
}

// hasFreePorts reports whether the ports of the daemons are free at their addresses. The port of
// the metrics is that of the deploy file; ports are the same on all machines.
func (w *world) hasFreePorts() bool {
	for n := range 2 {
		for _, port := range []string{"8161", "8164", "8167", "7720", "9464"} {
			l, err := net.Listen("tcp4", net.JoinHostPort(w.ip(10+n), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// record writes a line with the time into the record.
func (w *world) record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.recordFile, "%s %s\n", time.Now().Format(timeFormat), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, p := range w.workers {
		p.kill()
	}
	w.store.close()
	_ = os.RemoveAll(w.dir)
	_ = w.recordFile.Close()
}

// ip returns a loopback address of the case.
func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.0.%d", w.net, n) }

// put writes a row, as the operator and the workers do.
func (w *world) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	row := storage.TableRow{RowKey: storage.RowKey{Table: table, Key: key}, Value: text}
	_, _ = w.rows.ApplyRows(context.Background(), storage.RowTransaction{Puts: []storage.TableRow{row}})
}

// remove removes a row.
func (w *world) remove(table, key string) {
	_, _ = w.rows.ApplyRows(context.Background(), storage.RowTransaction{Removes: []storage.RowKey{{Table: table, Key: key}}})
}

// route is a route of the operator's configuration.
type route map[string]any

// configure writes the next configuration.
func (w *world) configure(routes ...route) {
	w.version += 3
	w.put("op", "config", map[string]any{
		"version":  w.version,
		"routes":   routes,
		"services": []map[string]any{{"name": serviceName, "max_connections": 230, "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	w.record("configuration %d written, %d routes", w.version, len(routes))
}

// streamRoute is a streaming route, batchRoute one for batch jobs, both like those of the
// users' deployments.
func streamRoute(prefix string, resumable bool, attempts int) route {
	return route{"name": prefix, "hostname": hostName, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300,
		"gap_aim_ms": 250, "priority": 0, "max_attempts": attempts, "resumable": resumable, "sticky": true, "service": serviceName}
}

func batchRoute(prefix string) route {
	return route{"name": prefix, "hostname": hostName, "path_prefix": prefix, "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400,
		"gap_aim_ms": 250, "priority": 2, "max_attempts": 3, "resumable": true, "sticky": true, "service": serviceName,
		"completion_target_ms": 18000, "keep_s": 60, "max_count": 2400000}
}

// storeServer serves the platform's store at one listener for each daemon.
type storeServer struct {
	handler http.Handler
	servers []*http.Server
	writes  atomic.Int64
}

// listen opens a listener for a daemon.
func (s *storeServer) listen(ip string) (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s.handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *storeServer) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// daemon is a daemon at an address.
type daemon struct {
	world   *world
	name    string
	ip      string
	path    string
	log     string
	command *exec.Cmd
	exited  chan struct{}
}

func (d *daemon) front() string     { return net.JoinHostPort(d.ip, "8161") }
func (d *daemon) readiness() string { return net.JoinHostPort(d.ip, "8167") }

// startDaemons starts n daemons with the command of the deploy file and waits until they are
// ready.
func (w *world) startDaemons(n int) error {
	if _, err := os.Stat(daemonProgram); err != nil {
		return err
	}
	for i := range n {
		address, err := w.store.listen(w.ip(200 + i))
		if err != nil {
			return err
		}
		if err := w.startDaemon(i, address); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, d := range w.daemons {
		for !isReady(d.readiness()) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The daemons learn of each other.
	time.Sleep(2 * time.Second)
	return nil
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startDaemon starts daemon i with a store at an address.
func (w *world) startDaemon(i int, store string) error {
	d := &daemon{world: w, name: fmt.Sprintf("edge-%d", i+1), ip: w.ip(10 + i)}
	d.path, d.log = filepath.Join(w.dir, d.name+".json"), filepath.Join(w.dir, d.name+".log")
	text, err := json.Marshal(map[string]any{
		"node_name": d.name, "role": "instance", "machine_class": "edge", "serves": []string{"edge", "registry"},
		"ip": d.ip, "zone": "z1", "region": "r", "zones": map[string]string{"z1": "r"},
		"listen":     map[string]string{"front": d.front(), "readiness": d.readiness(), "directory": net.JoinHostPort(d.ip, "8164")},
		"port_range": []int{7720, 7735}, "bootstrap": true, "heartbeat_ms": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": w.memoryMB, "max_fds": 8200},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8,
			"lost_ms": 200, "config_apply_ms": 2000, "back_ms": 250, "outer_ms": 5000, "recover_s": 12, "finish_s": 18, "status_s": 120,
			"cancel_ms": 3000, "settle_ms": 1000, "quota_overage": 0.1, "ttl_max_s": 5},
		"provider": map[string]any{"address": store, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5, "part_writes_s": 200,
			"row_bytes": 65536, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25, "blob_mb_s": 80},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.path, text, 0o600); err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return d.start()
}

func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	d.command = exec.Command(daemonProgram)
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYLB_NODE_FILE=" + d.path}
	d.command.Stdout, d.command.Stderr = out, out
	if err := d.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.exited = exited
	command := d.command
	go func() { _ = command.Wait(); close(exited) }()
	d.world.record("%s started at %s", d.name, d.ip)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.exited
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		text, _ := os.ReadFile(d.log)
		_ = os.WriteFile(filepath.Join(keep, d.name+".log"), text, 0o600)
	}
}

// workerProcess is a worker and its registration.
type workerProcess struct {
	world   *world
	id      string
	address string
	born    int64
	command *exec.Cmd
	exited  chan struct{}
	stop    chan struct{}
	once    sync.Once
	// runs are the runs that the worker has told of.
	mu   sync.Mutex
	runs []workerRun
}

// workerRun is a run, or its end, as the worker tells it.
type workerRun struct {
	Request string `json:"request"`
	After   int    `json:"after"`
	Path    string `json:"path"`
	Sent    int    `json:"sent"`
	Ended   bool   `json:"ended"`
	At      int64  `json:"at"`
}

// startWorker starts a worker and registers it.
func (w *world) startWorker(id string, args ...string) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &workerProcess{world: w, id: id, born: time.Now().UnixMilli(), exited: make(chan struct{}), stop: make(chan struct{})}
	p.command = exec.Command(self, append([]string{"worker", "-id", id, "-ip", w.ip(100 + len(w.workers))}, args...)...)
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	w.workers = append(w.workers, p)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("worker %s did not start", id)
	}
	p.address = lines.Text()
	go func() {
		for lines.Scan() {
			var run workerRun
			if json.Unmarshal(lines.Bytes(), &run) == nil {
				p.mu.Lock()
				p.runs = append(p.runs, run)
				p.mu.Unlock()
				w.record("worker %s: %s", id, lines.Text())
			}
		}
		_ = p.command.Wait()
		close(p.exited)
	}()
	w.record("worker %s started at %s", id, p.address)
	p.register("ready", 1)
	go p.beat()
	return p, nil
}

func (p *workerProcess) register(state string, seq int) {
	p.world.put("servers", p.id, map[string]any{"service": serviceName, "address": p.address, "zone": "z1", "version": "1", "slots": workerSlots,
		"state": state, "cold_remaining_ms": 0, "seq": seq, "born": p.born})
}

// beat writes the entry at intervals until the worker has ended. Three intervals later the
// entry is removed, as the platform does.
func (p *workerProcess) beat() {
	for seq := 2; ; seq++ {
		select {
		case <-p.stop:
			return
		case <-p.exited:
			time.Sleep(3 * heartbeat)
			p.world.remove("servers", p.id)
			return
		case <-time.After(heartbeat):
			p.register("ready", seq)
		}
	}
}

func (p *workerProcess) kill() {
	p.once.Do(func() { close(p.stop) })
	_ = p.command.Process.Kill()
	<-p.exited
}

// crash kills the worker, which says nothing of it.
func (p *workerProcess) crash() {
	_ = p.command.Process.Kill()
	p.world.record("worker %s killed", p.id)
}

// started returns the runs that have begun.
func (p *workerProcess) started() (runs []workerRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if !r.Ended {
			runs = append(runs, r)
		}
	}
	return runs
}
