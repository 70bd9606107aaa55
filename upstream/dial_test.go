package upstream

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// keepBusy keeps the only processor busy with goroutines until stop is called, so that
// another goroutine runs again only after many time slices of theirs.
func keepBusy() (stop func()) {
	const goroutines = 20
	before := runtime.GOMAXPROCS(1)
	var stopped atomic.Bool
	var wait sync.WaitGroup
	for range goroutines {
		wait.Go(func() {
			for !stopped.Load() {
			}
		})
	}
	return func() {
		stopped.Store(true)
		wait.Wait()
		runtime.GOMAXPROCS(before)
	}
}

// TestBusyProcessDoesNotTakeASoundUpstreamForUnreachable dials from a goroutine that gets
// a processor less often than once in the time that a dial has.
func TestBusyProcessDoesNotTakeASoundUpstreamForUnreachable(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	d := newForwarder(t)
	stop := keepBusy()
	defer stop()
	slow := 0
	for range 5 {
		begin := time.Now()
		c, err := d.dial(t.Context(), l.Addr().String())
		if err != nil {
			t.Errorf("after %v: %v", time.Since(begin), err)
			continue
		}
		c.close()
		if time.Since(begin) > forwardDialTimeout {
			slow++
		}
	}
	if slow == 0 && !t.Failed() {
		t.Error("no dial was held up")
	}
}

// listenDeaf returns an address that answers no request for a connection.
func listenDeaf(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	// The backlog is full once a connection is not accepted.
	for {
		c, err := net.DialTimeout("tcp4", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

func TestDialOfAnUpstreamThatDoesNotAnswerEndsInTime(t *testing.T) {
	address := listenDeaf(t)
	begin := time.Now()
	c, err := newForwarder(t).dial(t.Context(), address)
	if err == nil {
		c.close()
		t.Fatal("a connection was made")
	}
	if took := time.Since(begin); took < forwardDialTimeout || took > waitTimeout/2 {
		t.Errorf("the dial ended after %v with %v, want %v", took, err, forwardDialTimeout)
	}
	if errors.Is(err, context.Canceled) {
		t.Errorf("%v looks like a caller that has left", err)
	}
}
