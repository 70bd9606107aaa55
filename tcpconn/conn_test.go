package tcpconn_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/daisylb/daisylb/tcpconn"
)

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (a, b *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// startEndlessWrite writes to c until a write fails. The channel returns the error.
func startEndlessWrite(c io.Writer) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	}()
	return ended
}

// blockedAfter is the time after which an endless write waits for the reader.
const blockedAfter = 20 * time.Millisecond

// TestResetReachesTheReaderAfterAWrite guards against a reset that a write has received and
// that the reader takes for the regular end of the connection.
func TestResetReachesTheReaderAfterAWrite(t *testing.T) {
	for range 20 {
		a, b := pair(t)
		c := tcpconn.New(a)
		writeErr := startEndlessWrite(c)
		if _, err := io.WriteString(b, "part"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(blockedAfter)
		_ = b.SetLinger(0)
		_ = b.Close()
		if err := <-writeErr; !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("a write failed with %v, want a reset: the fault was not injected", err)
		}
		text, err := io.ReadAll(c)
		if string(text) != "part" || !errors.Is(err, io.ErrUnexpectedEOF) || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got %q and %v, want the part, io.ErrUnexpectedEOF and ECONNRESET", text, err)
		}
	}
}

// TestEndOfTheOtherSideEndsTheWrites has another side that closes its sending side and reads
// no more: the reader must get the regular end, and not wait for the write.
func TestEndOfTheOtherSideEndsTheWrites(t *testing.T) {
	a, b := pair(t)
	c := tcpconn.New(a)
	writeErr := startEndlessWrite(c)
	time.Sleep(blockedAfter)
	if _, err := io.WriteString(b, "whole"); err != nil {
		t.Fatal(err)
	}
	_ = b.CloseWrite()
	if text, err := io.ReadAll(c); err != nil || string(text) != "whole" {
		t.Errorf("got %q and %v, want the whole text and no error", text, err)
	}
	if err := <-writeErr; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the write ended with %v, want its deadline", err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the next read returned %v, want io.EOF", err)
	}
}

// TestReadErrorsWithoutWritesAreThoseOfTheConnection guards against other ends of a
// connection that change.
func TestReadErrorsWithoutWritesAreThoseOfTheConnection(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(own *tcpconn.Conn, other *net.TCPConn)
		want error
	}{
		"regular end":     {func(_ *tcpconn.Conn, other *net.TCPConn) { _ = other.Close() }, io.EOF},
		"reset":           {func(_ *tcpconn.Conn, other *net.TCPConn) { _ = other.SetLinger(0); _ = other.Close() }, syscall.ECONNRESET},
		"own side closed": {func(own *tcpconn.Conn, _ *net.TCPConn) { _ = own.Close() }, net.ErrClosed},
		"own deadline":    {func(own *tcpconn.Conn, _ *net.TCPConn) { _ = own.SetReadDeadline(time.Unix(1, 0)) }, os.ErrDeadlineExceeded},
		"written and ended": {func(own *tcpconn.Conn, other *net.TCPConn) {
			_, _ = own.Write([]byte("x"))
			_, _ = other.Read(make([]byte, 1))
			_ = other.Close()
		}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			conn := tcpconn.New(a)
			c.end(conn, b)
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
