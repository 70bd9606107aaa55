// Package pipes connects servers and clients of a test in memory, so that the test may
// run in virtual time.
package pipes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Network has servers by address. It is filled before it is dialled.
type Network map[string]*listener

// Server returns a server with an address of its own, which is not started yet.
func (n Network) Server(h http.Handler) *httptest.Server {
	l := &listener{address: fmt.Sprintf("10.0.0.%d:1", len(n)+1), accepted: make(chan net.Conn), closed: make(chan struct{})}
	n[l.address] = l
	server := httptest.NewUnstartedServer(h)
	_ = server.Listener.Close()
	server.Listener = l
	return server
}

// Serve starts a server at an address of its own.
func (n Network) Serve(h http.Handler) *httptest.Server {
	server := n.Server(h)
	server.Start()
	return server
}

// Transport returns a transport over the network.
func (n Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.dial, DisableCompression: true}
}

func (n Network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	here, there := net.Pipe()
	l, ok := n[address]
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	select {
	case l.accepted <- there:
		return here, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
}

// listener accepts the other ends of dialled pipes.
type listener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
