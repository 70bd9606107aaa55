package upstream

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// countingConn counts what its reader has read. Read must be called by one goroutine, the
// other methods are safe for concurrent use.
type countingConn struct {
	net.Conn
	// read counts the bytes that were read, done those that were read before the reader
	// asked for more.
	read atomic.Int64
	done atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	c.done.Store(c.read.Load())
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// isReaderBehind reports whether the reader has not processed, or not even read, what has
// been received.
func (c *countingConn) isReaderBehind() bool {
	return c.done.Load() < c.read.Load() || isReadable(c.Conn)
}

// isReadable reports whether a socket has received bytes, its end or a reset. It leaves
// all of these to the reader. It returns false if c is no socket.
func isReadable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	controlErr := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		readable = err == nil && n > 0
	})
	return controlErr == nil && readable
}

// maxBacklogBytes is more than the buffers of a connection usually hold.
const maxBacklogBytes = 1 << 20

// backlog tells an upstream that is silent from one whose data has not been read yet. It
// is safe for concurrent use.
type backlog struct {
	conn *countingConn
	// end is the number of read bytes from which the upstream counts as silent even if
	// there are more, 0 while it does not seem silent.
	end atomic.Int64
}

// isUnread reports whether the reader, or the caller that it writes to, is behind with
// what the upstream had sent when it seemed silent. Data without progress does not hide
// a silence for long.
func (b *backlog) isUnread() bool {
	b.end.CompareAndSwap(0, b.conn.done.Load()+maxBacklogBytes)
	return b.conn.isReaderBehind() && b.conn.done.Load() < b.end.Load()
}

// reset records that the upstream does not seem silent.
func (b *backlog) reset() { b.end.Store(0) }
