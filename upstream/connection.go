package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/tcpconn"
)

// connection carries one request and its response, and is then closed. A kept-alive
// connection is not used: the upstream may close it while a request is in transit,
// which leaves the outcome of a request that must not be repeated unknown, and it may
// hold bytes that belong to an earlier request.
type connection struct {
	*countingConn
	reader  *bufio.Reader
	limiter *headLimiter
	stop    func() bool
	// sent is closed when the goroutine that writes a large body has ended; nil without one.
	sent chan struct{}
	// response is the response if it was received before the attempt that reads it.
	response *http.Response
}

const connectionBufferBytes = 4 << 10

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connectionBufferBytes) }}

// dial opens a connection that is closed when ctx ends.
func (d *Dispatcher) dial(ctx context.Context, address string) (*connection, error) {
	dial := dialForward
	if t := d.options.Transport; t != nil && t.DialContext != nil {
		dial = t.DialContext
	}
	nc, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: tcpconn.New(nc)}
	c := &connection{countingConn: counting, reader: readerPool.Get().(*bufio.Reader), limiter: newHeadLimiter(counting)}
	c.reader.Reset(c.limiter)
	c.stop = context.AfterFunc(ctx, func() { _ = nc.Close() })
	return c, nil
}

// close closes the connection, which must not be used afterwards.
func (c *connection) close() {
	c.stop()
	_ = c.Conn.Close()
	if c.sent != nil {
		<-c.sent
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
}

// send writes the request. A large body is written while the response is read, since an
// upstream may respond before it has read all of the body.
func (c *connection) send(f *contract.ForwardRequest, header http.Header) error {
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
	if len(f.Body) <= maxInlineBodyBytes {
		return request.Write(c.Conn)
	}
	c.sent = make(chan struct{})
	go func() {
		defer close(c.sent)
		// The reader gets the error at the end of the connection. An answer with a length
		// or chunks that arrives before the error is complete without the rest of the body.
		_ = request.Write(c.Conn)
	}()
	return nil
}

// maxInlineBodyBytes fits into the buffers of a connection, so that writing a body of
// this size never blocks until the upstream reads.
const maxInlineBodyBytes = 16 << 10
