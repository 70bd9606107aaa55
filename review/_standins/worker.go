package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shape is how the workers of a case answer.
type shape struct {
	slots    int
	events   int
	interval time.Duration
	// data returns the data of an event; nil means a short text.
	data func(request string, n int) string
}

// dataOf returns the data of an event.
func (s *shape) dataOf(request string, n int) string {
	if s.data != nil {
		return s.data(request, n)
	}
	return fmt.Sprintf("%s-%d", request, n)
}

// text returns the whole output of a request, as the results of a job give it.
func (s *shape) text(request string) string {
	var all []string
	for n := 1; n <= s.events; n++ {
		all = append(all, s.dataOf(request, n))
	}
	return strings.Join(all, "\n")
}

// worker is a model worker behind a proxy, which can silence its connections.
type worker struct {
	world   *world
	id      string
	shape   shape
	proxy   *proxy
	born    int64
	slots   chan struct{}
	waiting atomic.Int32

	mu   sync.Mutex
	stop chan struct{}
	seq  int
	// crashed is closed when the worker goes dark: its runs end and are lost.
	crashed chan struct{}
}

// dialer makes the connections of clients that only look whether they can be made.
var dialer net.Dialer

// addWorker starts a worker and registers it.
func (w *world) addWorker(s shape) (*worker, error) {
	w.mu.Lock()
	n := len(w.workers)
	w.mu.Unlock()
	k := &worker{world: w, id: fmt.Sprintf("i-%04x", 0x51a0+n), shape: s, born: time.Now().UnixMilli(), slots: make(chan struct{}, s.slots), stop: make(chan struct{}), crashed: make(chan struct{})}
	l, err := net.Listen("tcp4", w.ip(100+n)+":0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, k) }()
	if k.proxy, err = newProxy(w.ip(100+n), l.Addr().String()); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	w.logf("worker %s: started, %d slots", k.id, s.slots)
	go k.beat()
	return k, nil
}

// beat writes the worker's entry at every heartbeat.
func (k *worker) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		k.seq++
		_ = k.world.put("servers", k.id, map[string]any{"service": serviceName, "address": k.proxy.address(), "zone": "occ-centro", "version": "v1", "slots": k.shape.slots,
			"state": "ready", "cold_remaining_ms": 0, "seq": k.seq, "born": k.born})
		select {
		case <-k.stop:
			return
		case <-ticker.C:
		}
	}
}

func (k *worker) stopBeating() {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.stop:
	default:
		close(k.stop)
	}
}

// goDark takes the worker off: its connections and new ones carry nothing any more, and
// its entry goes after three heartbeats without one.
func (k *worker) goDark() {
	k.world.logf("worker %s: goes dark", k.id)
	k.stopBeating()
	k.proxy.silence(1, true)
	close(k.crashed)
	time.AfterFunc(3*heartbeat, func() { k.world.drop("servers", k.id) })
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	h := rw.Header()
	h.Set("X-Request-Id", request)
	h.Set("X-Instance-Id", k.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(k.slots), k.waiting.Load(), k.shape.slots))
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != k.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if k.waiting.Add(1) > int32(3*k.shape.slots) {
		k.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case k.slots <- struct{}{}:
		k.waiting.Add(-1)
	case <-r.Context().Done():
		k.waiting.Add(-1)
		return
	}
	defer func() { <-k.slots }()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	k.world.mu.Lock()
	index := len(k.world.runs)
	k.world.runs = append(k.world.runs, run{request: request, worker: k.id, after: after, status: http.StatusOK, startedAt: time.Now()})
	k.world.mu.Unlock()
	k.world.logf("worker %s: runs %s after event %d", k.id, request, after)
	whole := k.stream(rw, r, request, after)
	k.world.mu.Lock()
	k.world.runs[index].whole = whole
	k.world.mu.Unlock()
	if whole {
		k.world.logf("worker %s: has written all of %s", k.id, request)
	} else {
		k.world.logf("worker %s: the run of %s ended early", k.id, request)
	}
}

// stream writes the events after one. It reports whether all were written.
func (k *worker) stream(rw http.ResponseWriter, r *http.Request, request string, after int) bool {
	rw.Header().Set("X-Server-Stamp", k.id+"."+request)
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	for n := after + 1; n <= k.shape.events; n++ {
		select {
		case <-r.Context().Done():
			return false
		case <-k.crashed:
			return false
		case <-time.After(k.shape.interval):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, k.shape.dataOf(request, n)); err != nil {
			return false
		}
		if controller.Flush() != nil {
			return false
		}
	}
	return true
}

// proxy passes connections on to a worker. Silenced connections stay open and carry
// nothing any more.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	dark  bool
	links []*link
}

// link is one connection through the proxy.
type link struct {
	silent atomic.Bool
	closed atomic.Bool
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence silences a share of the open connections for good, the first of every so many.
// With dark set, new connections are silent as well.
func (p *proxy) silence(share float64, dark bool) (silenced, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = dark
	sum := 0.0
	for _, l := range p.links {
		if l.closed.Load() || l.silent.Load() {
			continue
		}
		open++
		if sum += share; sum >= 1 {
			sum--
			silenced++
			l.silent.Store(true)
		}
	}
	return silenced, open
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		l := &link{}
		l.silent.Store(p.dark)
		p.links = append(p.links, l)
		p.mu.Unlock()
		go p.serve(conn, l)
	}
}

func (p *proxy) serve(conn net.Conn, l *link) {
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if l.silent.Load() {
				// What arrives is lost, and so is the end of the connection.
				if err != nil {
					return
				}
				continue
			}
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(up, conn)
	go pass(conn, up)
	<-done
	l.closed.Store(true)
	_ = conn.Close()
	_ = up.Close()
}

// isDark reports whether the worker was taken off.
func (k *worker) isDark() bool {
	k.proxy.mu.Lock()
	defer k.proxy.mu.Unlock()
	return k.proxy.dark
}
