package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is how a proxy treats the bytes of a link.
type linkMode int32

const (
	linkForwards linkMode = iota
	linkDelays
	linkBlocks
	linkBlocksReplies
	linkThrottles
	// linkResets resets open connections and rejects new ones.
	linkResets
)

const (
	linkDelay = 80 * time.Millisecond
	// A throttled link copies at most throttleSize bytes per throttleStep.
	throttleStep = 20 * time.Millisecond
	throttleSize = 512
)

// proxy forwards the connections of a link and disturbs them according to its
// mode. Bytes that are held back while a link is blocked are forwarded when it
// forwards again.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silent has, for each relayed connection, whether it has gone silent for good.
	silent map[*atomic.Bool]bool
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}, silent: map[*atomic.Bool]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. linkResets closes all connections.
func (p *proxy) setMode(m linkMode) {
	p.mode.Store(int32(m))
	if m == linkResets {
		p.closeAll()
	}
}

// closeAll resets all connections.
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

// silence lets all or about half of the open connections go silent for good. New ones
// work.
func (p *proxy) silence(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for silent := range p.silent {
		if all || rand.IntN(2) == 0 {
			silent.Store(true)
		}
	}
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
		go p.relay(c)
	}
}

// relay connects to the target and copies both directions until the connections
// are closed.
func (p *proxy) relay(client net.Conn) {
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	silent := &atomic.Bool{}
	p.conns[client], p.conns[server], p.silent[silent] = true, true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(server, client, true, silent) })
	copies.Go(func() { p.copy(client, server, false, silent) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silent, silent)
	delete(p.conns, client)
	delete(p.conns, server)
}

// copy copies one direction. When it ends it closes both connections.
func (p *proxy) copy(to, from net.Conn, toTarget bool, silent *atomic.Bool) {
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
			p.delay(toTarget)
			for silent.Load() && p.ctx.Err() == nil {
				wait(p.ctx, throttleStep)
			}
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

// delay holds bytes back for as long as the mode requires. toTarget is false
// for bytes from the target.
func (p *proxy) delay(toTarget bool) {
	for p.ctx.Err() == nil {
		switch m := linkMode(p.mode.Load()); {
		case m == linkDelays:
			wait(p.ctx, linkDelay)
			return
		case m == linkBlocks, m == linkBlocksReplies && !toTarget:
			wait(p.ctx, throttleStep)
		default:
			return
		}
	}
}
