// Package pipes connects the servers and clients of a test by in-memory pipes, so
// that the test can run in virtual time.
package pipes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Network maps addresses to the listeners of servers. All servers must be added
// before the first connection is dialled: it is not safe for concurrent changes.
type Network map[string]*listener

// NewUnstartedServer adds a server with a new address. The caller starts it.
func (n Network) NewUnstartedServer(h http.Handler) *httptest.Server {
	l := &listener{address: fmt.Sprintf("10.0.0.%d:1", len(n)+1), accepted: make(chan net.Conn), closed: make(chan struct{})}
	n[l.address] = l
	server := httptest.NewUnstartedServer(h)
	_ = server.Listener.Close()
	server.Listener = l
	return server
}

// NewServer adds a server with a new address and starts it.
func (n Network) NewServer(h http.Handler) *httptest.Server {
	server := n.NewUnstartedServer(h)
	server.Start()
	return server
}

// Transport returns a transport that dials the servers of the network.
func (n Network) Transport() *http.Transport {
	return &http.Transport{DialContext: n.dial, DisableCompression: true}
}

func (n Network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	l, ok := n[address]
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	select {
	case l.accepted <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
}

// listener accepts the server ends of dialled pipes.
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
