package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is how a proxy treats the bytes of a link.
type linkMode int32

const (
	linkPasses linkMode = iota
	linkDelays
	linkSilent
	linkOneWay
	linkThrottles
	// linkResets closes what is open and refuses what comes.
	linkResets
)

const (
	linkDelay    = 80 * time.Millisecond
	throttleStep = 20 * time.Millisecond
	throttleSize = 512
)

// proxy stands in a link and harms it. Bytes that a silent link holds are passed
// on when it passes again.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode; a reset closes all connections.
func (p *proxy) set(m linkMode) {
	p.mode.Store(int32(m))
	if m == linkResets {
		p.closeAll()
	}
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	p.cancel()
	_ = p.listener.Close()
	p.closeAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if linkMode(p.mode.Load()) == linkResets {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go p.join(c)
	}
}

func (p *proxy) join(near net.Conn) {
	far, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, true) })
	both.Go(func() { p.pass(near, far, false) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, near)
	delete(p.conns, far)
}

// pass copies one direction; the end of either closes both.
func (p *proxy) pass(to, from net.Conn, forth bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		size := len(buffer)
		if linkMode(p.mode.Load()) == linkThrottles {
			size = throttleSize
			wait(p.ctx, throttleStep)
		}
		n, err := from.Read(buffer[:size])
		if n > 0 {
			p.hold(forth)
			if p.ctx.Err() != nil {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// hold keeps bytes back for as long as the mode says.
func (p *proxy) hold(forth bool) {
	for p.ctx.Err() == nil {
		switch m := linkMode(p.mode.Load()); {
		case m == linkDelays:
			wait(p.ctx, linkDelay)
			return
		case m == linkSilent, m == linkOneWay && !forth:
			wait(p.ctx, throttleStep)
		default:
			return
		}
	}
}
