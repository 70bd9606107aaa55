// Package httpstore implements the platform's interfaces over plain HTTP. The
// daemon uses it; no other package knows the wire. It never retries: package
// guard decides that.
package httpstore

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Timeouts and limits of the connection to the platform.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	maxConnections    = 64
	maxIdle           = 16
	defaultOpTimeout  = 10 * time.Second
	maxAnswerBytes    = 512 << 20
	maxFailureBytes   = storage.MaxTransactionWrites * (storage.MaxValueBytes*4/3 + 4096)
	headerContentType = "Content-Type"
)

// Options configure a Store.
type Options struct {
	// URL is the address of the platform, such as http://10.0.0.1:7000.
	URL string
	// Timeout bounds each operation when its context has no earlier deadline;
	// 0 means 10 s. For Open it bounds the time to the first byte only.
	Timeout time.Duration
	// Transport is used instead of a new one; nil means a new one.
	Transport http.RoundTripper
}

// Store is a platform over HTTP. It is safe for concurrent use. Keys must be
// valid UTF-8; the ends of ranges may be any bytes.
type Store struct {
	base    string
	timeout time.Duration
	calls   *http.Client
	own     *http.Transport
}

var _ storage.Store = (*Store)(nil)

// New returns a Store. It fails with code.InvalidSettings for a URL that is
// not http or https with a host.
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
		s.timeout = defaultOpTimeout
	}
	transport := o.Transport
	if transport == nil {
		s.own = newTransport()
		transport = s.own
	}
	s.calls = &http.Client{Transport: transport}
	return s, nil
}

// Close drops idle connections. Operations must have ended.
func (s *Store) Close() error {
	if s.own != nil {
		s.own.CloseIdleConnections()
	}
	return nil
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxAnswerHead,
	}
}

// maxAnswerHead bounds the status line and the headers of an answer. Without it
// net/http takes 10 MB.
const maxAnswerHead = 64 << 10
