package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/link"
)

// listener is an open socket with its server and its certificates, which are nil for
// cleartext.
type listener struct {
	name         string
	socket       net.Listener
	advertised   string
	certificates *link.Certificates
	server       *http.Server
}

// newListener loads the certificates and opens the socket, so that faults of the
// settings are found before anything is started. Errors: code.InvalidSettings.
func newListener(name string, s ListenerSettings, log *zap.Logger) (*listener, error) {
	l := &listener{name: name}
	if s.TLS != nil {
		certificates, err := link.NewCertificates(link.CertificateOptions{
			CertificateFile: s.TLS.CertificateFile,
			KeyFile:         s.TLS.KeyFile,
			AuthorityFile:   s.TLS.AuthorityFile,
			Logger:          log,
		})
		if err != nil {
			return nil, err
		}
		l.certificates = certificates
	}
	socket, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, code.Wrap(code.InvalidSettings, err, "the %s listener cannot use %s: %v", name, s.Address, err)
	}
	l.socket = socket
	l.advertised = s.Advertise
	if l.advertised == "" {
		l.advertised = socket.Addr().String()
	}
	return l, nil
}

// serve runs the server until it is shut down.
func (l *listener) serve() error {
	socket := l.socket
	if l.certificates != nil {
		config := l.certificates.Server()
		config.NextProtos = nextProtocols(l.server)
		l.server.TLSConfig = config
		socket = tls.NewListener(socket, config)
	}
	err := l.server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// nextProtocols returns the protocols for ALPN: HTTP/2 only if the server supports it.
func nextProtocols(s *http.Server) []string {
	if s.Protocols != nil && s.Protocols.HTTP2() {
		return []string{"h2", "http/1.1"}
	}
	return []string{"http/1.1"}
}

// start runs the server in g, and reloads certificates until ctx ends.
func (l *listener) start(ctx context.Context, g *errgroup.Group) {
	g.Go(l.serve)
	if l.certificates != nil {
		g.Go(func() error { return ignoreCancel(l.certificates.Run(ctx)) })
	}
}

// ignoreCancel returns nil for the error of a task whose context was cancelled.
func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
