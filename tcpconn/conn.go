// Package tcpconn reports the reset of a connection to its reader also if a write has
// received the error first. Clients that read while they write a request body use it. It
// does not retry and decides nothing about a response.
package tcpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads return io.EOF only if no write has failed. The kernel
// reports a reset once, to the write or the read that comes first; a read after that
// returns io.EOF, as if the other side had closed the connection in the regular way. It
// is safe for concurrent use. Its writes end when a read has returned io.EOF.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writing counts the writes that have not returned; idle is signalled when there is
	// none left.
	writing int
	idle    sync.Cond
	// writeErr is the error of the first write that failed for another reason than a
	// deadline.
	writeErr error
}

// New returns a Conn that reads from and writes to c.
func New(c net.Conn) *Conn {
	n := &Conn{Conn: c}
	n.idle.L = &n.mu
	return n
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc whose connections are those of dial as Conns.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	if c.writing--; c.writing == 0 {
		c.idle.Broadcast()
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, with larger writes than those of a bufio.Writer.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements net.Conn. At the end of the connection it ends the writes. If one has
// failed, it returns an error that wraps io.ErrUnexpectedEOF and the error of the write.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.endWrites(); writeErr != nil {
		return n, fmt.Errorf("%w after a failed write: %w", io.ErrUnexpectedEOF, writeErr)
	}
	return n, err
}

// endWrites ends the writes and returns the error of the first that has failed. A write
// that has received a reset has ended already, so that the deadline does not hide it.
func (c *Conn) endWrites() error {
	// An error means that the own side is closed, which ends the writes as well.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 && c.writeErr == nil {
		c.idle.Wait()
	}
	return c.writeErr
}

// SyscallConn implements syscall.Conn. It returns an error if the connection is no socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}
