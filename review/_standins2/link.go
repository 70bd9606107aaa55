package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link forwards connections to an address. Open ones can go silent for good: nothing more
// passes in either direction, and neither end is told. New ones work.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	open  map[*atomic.Bool]bool
	conns map[net.Conn]bool
	// dead is set while new connections are accepted and carry nothing either.
	dead atomic.Bool
}

func newLink(ip, target string) (*link, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, open: map[*atomic.Bool]bool{}, conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// silence lets a share of the open connections go silent for good, rounded down, and returns
// their number.
func (k *link) silence(share float64) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for silent := range k.open {
		if float64(n+1) <= share*float64(len(k.open)) {
			silent.Store(true)
			n++
		}
	}
	return n
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.relay(c)
	}
}

func (k *link) relay(near net.Conn) {
	far, err := net.DialTimeout("tcp4", k.target, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	silent := &atomic.Bool{}
	silent.Store(k.dead.Load())
	k.mu.Lock()
	k.open[silent] = true
	k.conns[near], k.conns[far] = true, true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { pass(far, near, silent) })
	both.Go(func() { pass(near, far, silent) })
	both.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, silent)
	delete(k.conns, near)
	delete(k.conns, far)
}

// pass copies one direction until it ends. What comes after the connection went silent is
// lost, its end too.
func pass(to, from net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			if err != nil {
				// This end is closed; the other is told nothing.
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err.Error() == "EOF" {
				_ = t.CloseWrite()
				return
			}
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
