package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/code"
)

// Defaults of Options.
const (
	DefaultDialTimeout    = 2 * time.Second
	DefaultRequestTimeout = 10 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
	DefaultIdlePerPeer    = 2
)

const (
	// maxIdlePeers is the largest number of idle connections of one client to all peers.
	maxIdlePeers = 128
	// tcpKeepAlive is the interval of TCP keep-alive probes on idle connections.
	tcpKeepAlive = 30 * time.Second
	// pingIdleTime and pingTimeout detect an HTTP/2 connection whose peer failed
	// without closing it: after pingIdleTime without data, a ping is sent, which must
	// be answered within pingTimeout.
	pingIdleTime = 15 * time.Second
	pingTimeout  = 5 * time.Second
	// maxResponseHeaderBytes is the largest response header that is accepted.
	maxResponseHeaderBytes = 16 << 10
)

// Options configures a client for peers.
type Options struct {
	// Key is the bearer key of every request; an empty key is not sent.
	Key string
	// TLS returns the TLS configuration of a new connection, for example
	// Certificates.Client. Nil means cleartext.
	TLS func() *tls.Config
	// DialTimeout limits the time to connect, RequestTimeout the time of a request
	// including its response body. 0 means the default; a negative RequestTimeout
	// means that only the context limits the time.
	DialTimeout    time.Duration
	RequestTimeout time.Duration
	// IdleTimeout is the time after which idle connections are closed; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// IdlePerPeer is the largest number of idle HTTP/1.1 connections to one peer; 0
	// means DefaultIdlePerPeer. HTTP/2 uses one connection for each peer.
	IdlePerPeer int
	// HTTP1 makes the client use HTTP/1.1 instead of HTTP/2. When TLS is nil, HTTP/2
	// is used in cleartext with prior knowledge, that is without an upgrade.
	HTTP1 bool
	// Dial opens connections; nil means a TCP dialler with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// setDefaults fills in the defaults. Errors: code.InvalidSettings.
func (o *Options) setDefaults() error {
	if o.DialTimeout < 0 || o.IdleTimeout < 0 || o.IdlePerPeer < 0 {
		return code.New(code.InvalidSettings, "a time or bound of the peer connections is negative")
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdlePerPeer == 0 {
		o.IdlePerPeer = DefaultIdlePerPeer
	}
	if o.Dial == nil {
		dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: tcpKeepAlive}
		o.Dial = dialer.DialContext
	}
	return nil
}

// NewClient returns an HTTP client for requests to peers. It is safe for concurrent
// use. CloseIdleConnections closes its idle connections. It follows no redirects and
// uses no proxy. Errors: code.InvalidSettings.
func NewClient(o Options) (*http.Client, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	client := &http.Client{
		Transport:     &keyTransport{key: o.Key, secure: o.TLS != nil, base: newBase(o)},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	if o.RequestTimeout > 0 {
		client.Timeout = o.RequestTimeout
	}
	return client, nil
}

// newBase returns the transport below keyTransport.
func newBase(o Options) *http.Transport {
	t := &http.Transport{
		DialContext:            o.Dial,
		IdleConnTimeout:        o.IdleTimeout,
		MaxIdleConns:           maxIdlePeers,
		MaxIdleConnsPerHost:    o.IdlePerPeer,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		Protocols:              clientProtocols(o.HTTP1),
	}
	if o.TLS != nil {
		t.DialTLSContext = dialTLS(o)
	}
	return t
}

// clientProtocols returns HTTP/1.1 or HTTP/2, the latter also in cleartext.
func clientProtocols(http1 bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(http1)
	p.SetHTTP2(!http1)
	p.SetUnencryptedHTTP2(!http1)
	return p
}

// ServerProtocols returns the protocols of a listener for peers: HTTP/1.1 and HTTP/2,
// the latter also in cleartext.
func ServerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// dialTLS returns a dial function that gets the TLS configuration anew for every
// connection, so that reloaded certificates apply to new connections.
func dialTLS(o Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
		defer cancel()
		raw, err := o.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, connectionConfig(o.TLS(), address, o.HTTP1))
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// connectionConfig returns the TLS configuration of one connection to address.
func connectionConfig(base *tls.Config, address string, http1 bool) *tls.Config {
	config := base.Clone()
	if config.ServerName == "" {
		if host, _, err := net.SplitHostPort(address); err == nil {
			config.ServerName = host
		}
	}
	config.NextProtos = []string{"h2"}
	if http1 {
		config.NextProtos = []string{"http/1.1"}
	}
	return config
}

// URL returns the base URL of the peer at address, which is IP:port. Its scheme is
// always http; a client of NewClient changes it to https when it uses TLS.
func URL(address string) string { return "http://" + address }

// keyTransport adds the peer key to requests and sets their scheme.
type keyTransport struct {
	key    string
	secure bool
	base   *http.Transport
}

// RoundTrip implements http.RoundTripper. It returns an error for a response whose body
// only the end of its connection ends.
func (k *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if k.key != "" {
		r.Header.Set(keyHeader, keyScheme+k.key)
	}
	if k.secure {
		r.URL.Scheme = "https"
	}
	response, err := k.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return checkFraming(response)
}

// CloseIdleConnections closes connections that carry no request.
func (k *keyTransport) CloseIdleConnections() { k.base.CloseIdleConnections() }
