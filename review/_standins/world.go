package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// Figures of the small deployment boleros-gdl, as its sheet gives them.
const (
	heartbeat    = 1200 * time.Millisecond
	finish       = 18 * time.Second
	graceSeconds = 8
	keepSeconds  = 60
	maxAttempts  = 3
	hostName     = "h.example"
	batchPrefix  = "/batch/"
	serviceName  = "asistente-bolero"
)

// world holds everything that a case starts.
type world struct {
	dir       string
	base      string
	started   time.Time
	rows      *memory.Rows
	storeAddr string
	ports     [5]int
	instances []*instance
	workers   []*worker
	client    *http.Client

	// processes has every process that was started, ended or not. Once closed is set, no
	// other one is started.
	processMu sync.Mutex
	processes []*instance
	closed    bool

	mu     sync.Mutex
	record *os.File
	runs   []run
	// downTables holds the tables whose calls the store answers with 503.
	downTables map[string]bool
}

// run is what a worker saw of one run of a request.
type run struct {
	request, worker string
	after           int
	status          int
	startedAt       time.Time
	// whole is set when the last event was written.
	whole bool
}

// newWorld starts the store. Every address is on loopback, in a block of its own.
func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		dir: dir, base: fmt.Sprintf("127.%d.%d.", 20+pid%200, pid/200%250), started: time.Now(), rows: memory.NewRows(),
		downTables: map[string]bool{},
		client:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	if w.record, err = os.Create(path); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", w.ip(250)+":0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, w.store(platform.NewRows(w.rows))) }()
	var held []net.Listener
	for i := range w.ports {
		l, err := net.Listen("tcp4", w.ip(1)+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		w.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	for _, l := range held {
		_ = l.Close()
	}
	return w, nil
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s%d", w.base, n) }

// logf writes a line to the record, with the time since the start.
func (w *world) logf(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%7.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, a...)...)
}

// maxCallBytes is the largest call of the store: 1 MB by PROTOCOL.md.
const maxCallBytes = 1 << 20

// store bounds the calls of next by the limits of the pages, and answers 503 for the
// tables that are down.
func (w *world) store(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		table := r.URL.Query().Get("table")
		if r.Method == http.MethodPost {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if len(body) > maxCallBytes {
				w.logf("store: refused a call of %d bytes, over 1 MB, with 413", len(body))
				rw.WriteHeader(http.StatusRequestEntityTooLarge)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		w.mu.Lock()
		down := w.downTables[table]
		w.mu.Unlock()
		if down {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(delayOf(r))
		next.ServeHTTP(rw, r)
	})
}

// delayOf returns how long the store takes for a call, by the sheet.
func delayOf(r *http.Request) time.Duration {
	const answer, transaction, object = 4 * time.Millisecond, 5 * time.Millisecond, 25 * time.Millisecond
	switch {
	case strings.HasPrefix(r.URL.Path, "/api/blob-"):
		return object
	case r.Method == http.MethodPost:
		return answer + transaction
	}
	return answer
}

// setDown makes the store refuse the reads of a table, or serve them again.
func (w *world) setDown(table string, down bool) {
	w.mu.Lock()
	w.downTables[table] = down
	w.mu.Unlock()
	w.logf("store: table %q down: %v", table, down)
}

func (w *world) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	row := storage.TableRow{RowKey: storage.RowKey{Table: table, Key: key}, Value: data}
	_, err = w.rows.ApplyRows(context.Background(), storage.RowTransaction{Puts: []storage.TableRow{row}})
	return err
}

func (w *world) drop(table, key string) {
	_, _ = w.rows.ApplyRows(context.Background(), storage.RowTransaction{Removes: []storage.RowKey{{Table: table, Key: key}}})
}

// configure writes the operator's configuration: a batch route, and an online one.
func (w *world) configure() error {
	w.logf("operator: writes the configuration, version 3")
	return w.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "lote", "hostname": hostName, "path_prefix": batchPrefix, "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2,
				"service": serviceName, "max_attempts": maxAttempts, "sticky": true, "resumable": true, "gap_aim_ms": 200,
				"completion_target_ms": 18000, "keep_s": keepSeconds, "max_count": 2_100_000},
			{"name": "permiso", "hostname": hostName, "path_prefix": "/permiso/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300, "priority": 0,
				"service": serviceName, "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 200},
		},
		"services": []map[string]any{{"name": serviceName, "health_path": "/healthz", "max_connections": 290}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// instance is one process of the system.
type instance struct {
	world *world
	name  string
	ip    string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ended   bool
}

// addInstance starts an instance with a settings file like that of the platform.
func (w *world) addInstance() (*instance, error) {
	n := len(w.instances) + 1
	i, err := w.newInstance(fmt.Sprintf("edge-%d", n), w.ip(n))
	if err != nil {
		return nil, err
	}
	w.instances = append(w.instances, i)
	return i, i.start()
}

// newInstance writes the settings file of an instance.
func (w *world) newInstance(name, ip string) (*instance, error) {
	i := &instance{world: w, name: name, ip: ip}
	address := func(port int) string { return fmt.Sprintf("%s:%d", i.ip, w.ports[port]) }
	settings := map[string]any{
		"node_name": i.name, "role": "instance", "machine_class": "edge", "serves": []string{"edge", "registry"},
		"ip": i.ip, "zone": "occ-centro", "region": "occidente", "zones": map[string]string{"occ-centro": "occidente"},
		"listen":     map[string]string{"front": address(0), "readiness": address(1), "control": address(2), "directory": address(3)},
		"port_range": []int{w.ports[4], w.ports[4] + 15}, "seeds": []string{}, "bootstrap": true, "discovery": "platform", "entry": "registry",
		"limits":       map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 334, "max_fds": 8200, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeat.Milliseconds(),
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 5, "drain_ms": 2000,
			"grace_s": graceSeconds, "lost_ms": 200, "config_apply_ms": 2000, "back_ms": 250, "outer_ms": 5000, "recover_s": 12, "pass_ms": 120, "again_s": 0,
			"finish_s": finish.Seconds(), "status_s": 120, "cancel_ms": 3000, "settle_ms": 1000, "quota_overage": 0.1, "ttl_max_s": 5},
		"provider": map[string]any{"address": w.storeAddr, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return i, os.WriteFile(i.path("json"), data, 0o600)
}

func (i *instance) path(kind string) string { return filepath.Join(i.world.dir, i.name+"."+kind) }
func (i *instance) front() string           { return fmt.Sprintf("%s:%d", i.ip, i.world.ports[0]) }

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	out, err := os.OpenFile(i.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command("target/daisylbd")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYLB_NODE_FILE=" + i.path("json")}
	command.Stdout, command.Stderr = out, out
	i.world.processMu.Lock()
	defer i.world.processMu.Unlock()
	if i.world.closed {
		return errors.New("the case has ended")
	}
	if err := command.Start(); err != nil {
		return err
	}
	i.world.processes = append(i.world.processes, i)
	exited := make(chan struct{})
	i.mu.Lock()
	i.command, i.exited = command, exited
	i.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	i.world.logf("%s: started", i.name)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	select {
	case <-i.exited:
		return
	default:
	}
	_ = i.command.Process.Signal(syscall.SIGKILL)
	<-i.exited
	i.world.logf("%s: killed", i.name)
}

// ready waits until the instance is ready.
func (i *instance) ready(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := i.world.client.Get(fmt.Sprintf("http://%s:%d/api/readyz", i.ip, i.world.ports[1]))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			i.world.logf("%s: ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", i.name, limit)
}

// startAll starts instances and workers, and waits until all instances are ready and
// the fleet knows itself.
func (w *world) startAll(instances, workers int, shape shape) error {
	if err := w.configure(); err != nil {
		return err
	}
	for range workers {
		if _, err := w.addWorker(shape); err != nil {
			return err
		}
	}
	for range instances {
		if _, err := w.addInstance(); err != nil {
			return err
		}
		time.Sleep(60 * time.Millisecond)
	}
	for _, i := range w.instances {
		if err := i.ready(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// close ends all that was started.
func (w *world) close() {
	w.processMu.Lock()
	w.closed = true
	all := w.processes
	w.processMu.Unlock()
	for _, i := range all {
		i.kill()
	}
	for _, k := range w.workers {
		k.stopBeating()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, i := range w.instances {
			data, _ := os.ReadFile(i.path("log"))
			_ = os.WriteFile(filepath.Join(keep, i.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// item is one item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItems returns the items of a job, with ids that begin with its id.
func newItems(job string, count int) []item {
	var items []item
	for n := range count {
		id := fmt.Sprintf("%s%02x", job, n)
		items = append(items, item{ID: id, Path: batchPrefix + job + "/" + id, Body: []byte("body of " + id), Tokens: 563,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": "350,213", "X-Prompt-Prefix": fmt.Sprintf("9c2e41:100,%s:250", id)}})
	}
	return items
}

// submit sends a job to an instance, once, and returns the status; 0 means no answer.
func (w *world) submit(i *instance, job string, items []item) int {
	body, err := json.Marshal(map[string]any{"requests": items})
	if err != nil {
		return 0
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+i.front()+batchPrefix+job, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", job)
	request.Header.Set("X-Deadline-Ms", "4000")
	status := 0
	if response, err := w.client.Do(request); err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	w.logf("client: job %s of %d items sent to %s, answered %d", job, len(items), i.name, status)
	return status
}

// result is one result of a job.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// read reads the results of a job from a position on, at any instance that answers.
func (w *world) read(job string, after int) (total int, results []result, status int) {
	for _, i := range w.instances {
		request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/api/lots/%s?after=%d", i.front(), job, after), nil)
		if err != nil {
			return 0, nil, 0
		}
		request.Host = hostName
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		response, err := w.client.Do(request.WithContext(ctx))
		if err != nil {
			cancel()
			continue
		}
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		err = json.NewDecoder(response.Body).Decode(&page)
		_ = response.Body.Close()
		cancel()
		status = response.StatusCode
		if status == http.StatusOK && err == nil {
			return page.Total, page.Results, status
		}
	}
	return 0, nil, status
}

// follow reads the results of a job after those that are known, until all are listed or
// until the end, and records each when it is first read.
func (w *world) follow(job string, all []result, until time.Time) (int, []result) {
	for total := 0; ; {
		n, page, _ := w.read(job, len(all))
		if n > 0 {
			total = n
		}
		for _, r := range page {
			w.logf("client: job %s position %d: item %s %s, text of %d bytes", job, len(all), r.ID, r.State, len(r.Text))
			all = append(all, r)
		}
		if total > 0 && len(all) >= total || !time.Now().Before(until) {
			return total, all
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// runsOf returns what the workers saw of a request.
func (w *world) runsOf(request string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if r.request == request {
			out = append(out, r)
		}
	}
	return out
}

// describe tells the runs of a request in words.
func describe(runs []run, started time.Time) string {
	var parts []string
	for _, r := range runs {
		parts = append(parts, fmt.Sprintf("%s at %.3f after event %d, status %d, whole %v", r.worker, r.startedAt.Sub(started).Seconds(), r.after, r.status, r.whole))
	}
	if len(parts) == 0 {
		return "no run"
	}
	return strings.Join(parts, "; ")
}
