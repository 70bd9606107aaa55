package hosted

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// readReceived returns bytes that a connection has received already, or err if there are
// none. A read after its deadline times out without a look at the socket: a goroutine that
// gets no processor until then would take a request that has arrived for none.
func readReceived(conn net.Conn, p []byte, err error) (int, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0, err
	}
	raw, rawErr := c.SyscallConn()
	if rawErr != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	if raw.Control(func(fd uintptr) { n, readErr = receiveNow(int(fd), p) }) != nil {
		return 0, err
	}
	switch {
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// receiveNow reads from a socket without waiting.
func receiveNow(fd int, p []byte) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}
