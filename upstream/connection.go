package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// connection carries one exchange with an upstream and is then closed. A kept
// connection may be closed by the upstream while a request is on its way, which
// leaves the outcome of a request that may run once unknown, and may hold bytes
// that belong to an earlier request.
type connection struct {
	net.Conn
	reader *bufio.Reader
	guard  *headGuard
	stop   func() bool
}

// forwardDialTimeout is many times the distance between two data centres of a
// region. An upstream that does not accept within it is down or cut off.
const forwardDialTimeout = 150 * time.Millisecond

var forwardDialer = net.Dialer{Timeout: forwardDialTimeout, KeepAlive: -1}

const connectionBuffer = 4 << 10

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connectionBuffer) }}

// dialOnce opens a connection that closes when ctx ends.
func (d *Dispatcher) dialOnce(ctx context.Context, address string) (*connection, error) {
	dial := forwardDialer.DialContext
	if t := d.options.Transport; t != nil && t.DialContext != nil {
		dial = t.DialContext
	}
	nc, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: nc, reader: readers.Get().(*bufio.Reader), guard: newHeadGuard(nc)}
	c.reader.Reset(c.guard)
	c.stop = context.AfterFunc(ctx, func() { _ = nc.Close() })
	return c, nil
}

// close ends the connection. Nothing of it may be used afterwards.
func (c *connection) close() {
	c.stop()
	_ = c.Conn.Close()
	c.reader.Reset(nil)
	readers.Put(c.reader)
}

// send writes the whole request. A body is written beside the reading of the
// answer, since an upstream may answer before it has read all of it.
func (c *connection) send(f *contract.Forwarding, header http.Header) error {
	request := &http.Request{
		Method:        f.Method,
		URL:           &url.URL{Opaque: f.Target},
		Host:          f.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		ContentLength: int64(len(f.Body)),
	}
	if len(f.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(f.Body))
	}
	if len(f.Body) <= inlineBody {
		return request.Write(c.Conn)
	}
	go func() { _ = request.Write(c.Conn) }()
	return nil
}

// inlineBody fits into the buffers of a connection, so that writing it never
// waits for the upstream to read.
const inlineBody = 16 << 10
