package hosted

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// kernelInterval is the time between two looks at what the kernel holds for callers. Within it a
// caller can fill the buffers of its socket, which are bounded.
const kernelInterval = 250 * time.Millisecond

// chargeKernelBytes charges what the kernel holds for callers whose requests run, until ctx ends:
// the bytes that were received and are not read while a request runs, and those that the caller
// has not taken.
func (c *connections) chargeKernelBytes(ctx context.Context) error {
	ticker := time.NewTicker(kernelInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		c.mu.Lock()
		open := make([]*callerConn, 0, len(c.open))
		for conn := range c.open {
			open = append(open, conn)
		}
		c.mu.Unlock()
		for _, conn := range open {
			conn.chargeKernelBytes()
		}
		c.budget.Reclaim(time.Now())
	}
}

// chargeKernelBytes charges what the kernel holds for the connection, if a request runs.
func (c *callerConn) chargeKernelBytes() {
	if !c.runs() {
		return
	}
	n := kernelBytes(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled && !c.answered && !c.closing {
		c.holder.SetKernel(int64(n))
	}
}

func (c *callerConn) runs() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handled && !c.answered
}

// kernelBytes returns the number of bytes in the buffers of a socket, 0 if conn is none.
func kernelBytes(conn any) int {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	total := 0
	_ = raw.Control(func(fd uintptr) {
		for _, request := range []uint{unix.TIOCINQ, unix.TIOCOUTQ} {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				total += n
			}
		}
	})
	return total
}
