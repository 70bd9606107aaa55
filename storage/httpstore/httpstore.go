// Package httpstore implements storage.Store over HTTP for package daemon. It is the
// only client of this protocol. It never retries; package guard does.
package httpstore

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/tcpconn"
)

// Timeouts and limits of the connections to the platform.
const (
	dialTimeout             = 2 * time.Second
	idleConnectionTimeout   = 90 * time.Second
	maxConnectionsPerHost   = 64
	maxIdleConnections      = 16
	defaultOperationTimeout = 10 * time.Second
	maxResponseBytes        = 512 << 20
	// maxErrorResponseBytes has space for the conflicts of the largest transaction,
	// with values in base64 and 4 KiB for each key and the JSON.
	maxErrorResponseBytes = storage.MaxTransactionWrites * (storage.MaxValueBytes*4/3 + 4096)
	headerContentType     = "Content-Type"
)

// Options configure a Store.
type Options struct {
	// URL is the base URL of the platform, such as http://10.0.0.1:7000.
	URL string
	// Timeout bounds each operation when its context has no earlier deadline;
	// 0 means 10 s. For Open it bounds the time to the first byte only.
	Timeout time.Duration
	// Transport sends the requests; nil means a new transport.
	Transport http.RoundTripper
}

// Store is a client of the platform over HTTP. It is safe for concurrent use. Keys
// must be valid UTF-8; the bounds of a range may have any bytes.
type Store struct {
	base         string
	timeout      time.Duration
	client       *http.Client
	ownTransport *http.Transport
}

var _ storage.Store = (*Store)(nil)

// New returns a Store. Errors: code.InvalidSettings for a negative timeout and for
// a URL that is not http or https with a host.
func New(o Options) (*Store, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, code.New(code.InvalidSettings, "platform url %q is not an http address", o.URL)
	}
	if o.Timeout < 0 {
		return nil, code.New(code.InvalidSettings, "platform timeout %s is negative", o.Timeout)
	}
	s := &Store{base: u.Scheme + "://" + u.Host + u.Path, timeout: o.Timeout}
	if s.timeout == 0 {
		s.timeout = defaultOperationTimeout
	}
	transport := o.Transport
	if transport == nil {
		s.ownTransport = newTransport()
		transport = tcpconn.Transport{Transport: s.ownTransport}
	}
	s.client = &http.Client{Transport: transport}
	return s, nil
}

// Close closes the idle connections, unless Options.Transport was given. It must be
// called after all operations have ended.
func (s *Store) Close() error {
	if s.ownTransport != nil {
		s.ownTransport.CloseIdleConnections()
	}
	return nil
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnectionsPerHost,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// maxResponseHeaderBytes bounds the status line and the headers of a response; the
// default of net/http is 10 MB.
const maxResponseHeaderBytes = 64 << 10
