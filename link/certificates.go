package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// DefaultReloadInterval is the time between two reads of the certificate files.
const DefaultReloadInterval = 30 * time.Second

// CertificateOptions configures Certificates. The files are in PEM format.
type CertificateOptions struct {
	// CertificateFile and KeyFile hold the certificate chain and the key of this side.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the authorities, one of which must have signed the other
	// side's certificate. If it is empty, clients use the system's authorities and
	// servers require no client certificates.
	AuthorityFile string
	// Interval is the time between two reads; 0 means DefaultReloadInterval.
	Interval time.Duration
	// Logger may be nil.
	Logger *zap.Logger
}

// Certificates holds a certificate that is reloaded when its files change. It is
// safe for concurrent use; handshakes read an immutable snapshot.
type Certificates struct {
	options CertificateOptions
	log     *zap.Logger
	current atomic.Pointer[certificates]
	// reloadFailing is set while Run fails to reload.
	reloadFailing atomic.Bool
}

// certificates is an immutable snapshot of the files.
type certificates struct {
	certPEM, keyPEM, authorityPEM []byte

	pair     tls.Certificate
	pool     *x509.CertPool
	loadedAt time.Time
}

// NewCertificates reads the files and returns their certificates; Run reloads them.
// Errors: code.InvalidSettings.
func NewCertificates(o CertificateOptions) (*Certificates, error) {
	if o.Interval <= 0 {
		o.Interval = DefaultReloadInterval
	}
	c := &Certificates{options: o, log: o.Logger}
	if c.log == nil {
		c.log = zap.NewNop()
	}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Run reloads the files at the interval until ctx ends. When files cannot be read or
// do not match, the last valid certificate stays in use, and the failure is logged
// once.
func (c *Certificates) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		err := c.Reload()
		if err != nil && !c.reloadFailing.Swap(true) {
			c.log.Error("certificate reload failed", zap.Error(err))
		}
		if err == nil {
			c.reloadFailing.Store(false)
		}
	}
}

// Reload reads the files and uses their content from now on if it changed and is
// valid. Errors: code.InvalidSettings.
func (c *Certificates) Reload() error {
	next, err := c.read()
	if err != nil {
		return err
	}
	if old := c.current.Load(); old != nil && old.equal(next) {
		return nil
	}
	if next.pair, err = tls.X509KeyPair(next.certPEM, next.keyPEM); err != nil {
		return code.Wrap(code.InvalidSettings, err, "certificate %q and key %q do not match", c.options.CertificateFile, c.options.KeyFile)
	}
	if next.authorityPEM != nil {
		next.pool = x509.NewCertPool()
		if !next.pool.AppendCertsFromPEM(next.authorityPEM) {
			return code.New(code.InvalidSettings, "authority file %q holds no certificate", c.options.AuthorityFile)
		}
	}
	next.loadedAt = time.Now()
	c.current.Store(next)
	c.log.Info("certificate loaded", zap.Time("not_after", next.pair.Leaf.NotAfter))
	return nil
}

// read returns the content of the files, not parsed yet.
func (c *Certificates) read() (*certificates, error) {
	var next certificates
	files := []struct {
		path   string
		target *[]byte
	}{
		{c.options.CertificateFile, &next.certPEM},
		{c.options.KeyFile, &next.keyPEM},
		{c.options.AuthorityFile, &next.authorityPEM},
	}
	for _, f := range files {
		if f.path == "" {
			continue
		}
		data, err := os.ReadFile(f.path)
		if err != nil {
			return nil, code.Wrap(code.InvalidSettings, err, "file %q cannot be read", f.path)
		}
		*f.target = data
	}
	return &next, nil
}

// equal reports whether the files had the same content.
func (c *certificates) equal(other *certificates) bool {
	return bytes.Equal(c.certPEM, other.certPEM) && bytes.Equal(c.keyPEM, other.keyPEM) && bytes.Equal(c.authorityPEM, other.authorityPEM)
}

// Server returns the TLS configuration of a listener. Every handshake uses the
// certificates loaded last.
func (c *Certificates) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current.Load().server(), nil
		},
	}
}

// server returns the TLS configuration of one handshake.
func (c *certificates) server() *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{c.pair},
	}
	if c.pool != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = c.pool
	}
	return config
}

// Client returns the TLS configuration of one new connection.
func (c *Certificates) Client() *tls.Config {
	current := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{current.pair},
		RootCAs:      current.pool,
	}
}

// CertificateState describes the certificate in use.
type CertificateState struct {
	CertificateFile string    `json:"certificate_file"`
	Loaded          time.Time `json:"loaded"`
	NotAfter        time.Time `json:"not_after"`
	ReloadFailing   bool      `json:"reload_failing"`
}

// State returns the state of the certificate in use.
func (c *Certificates) State() CertificateState {
	current := c.current.Load()
	return CertificateState{
		CertificateFile: c.options.CertificateFile,
		Loaded:          current.loadedAt,
		NotAfter:        current.pair.Leaf.NotAfter,
		ReloadFailing:   c.reloadFailing.Load(),
	}
}
