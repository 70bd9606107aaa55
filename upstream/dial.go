package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// forwardDialTimeout is many times the latency between two data centres of a region. An
// upstream that accepts no connection within it is down or partitioned.
const forwardDialTimeout = 150 * time.Millisecond

// errDialTimeout ends a dial that the other side has not accepted in time.
var errDialTimeout = errors.New("no connection was accepted in time")

// dialForward opens a connection for one request. Whether the other side has accepted it
// within forwardDialTimeout is the kernel's to say: a goroutine that gets no processor
// learns of the connection later, which is no fault of the upstream.
func dialForward(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pending := &pendingDial{end: func() { cancel(errDialTimeout) }}
	defer pending.stop()
	dialer := net.Dialer{KeepAlive: -1, ControlContext: pending.start}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil && errors.Is(context.Cause(ctx), errDialTimeout) {
		// err is that of a cancelled context, as when the caller has left.
		return nil, &net.OpError{Op: "dial", Net: network, Err: errDialTimeout}
	}
	return c, err
}

// pendingDial ends a dial whose sockets are not connected after forwardDialTimeout.
type pendingDial struct {
	end func()

	mu      sync.Mutex
	sockets []syscall.RawConn
	timer   *time.Timer
}

// start implements net.Dialer.ControlContext. It is called before a socket connects.
func (p *pendingDial) start(_ context.Context, _, _ string, socket syscall.RawConn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sockets = append(p.sockets, socket)
	if p.timer == nil {
		p.timer = time.AfterFunc(forwardDialTimeout, p.check)
	}
	return nil
}

func (p *pendingDial) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sockets {
		if isConnected(s) {
			return
		}
	}
	p.end()
}

func (p *pendingDial) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
	}
}

// isConnected reports whether the other side has accepted the connection of a socket.
func isConnected(socket syscall.RawConn) bool {
	err := error(nil)
	if controlErr := socket.Control(func(fd uintptr) { _, err = syscall.Getpeername(int(fd)) }); controlErr != nil {
		return false
	}
	return err == nil
}
