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

// DefaultReloadInterval is how often certificate files are read.
const DefaultReloadInterval = 30 * time.Second

// CertificateOptions name the PEM files of one listener or client.
type CertificateOptions struct {
	// CertificateFile and KeyFile hold the own certificate chain and key.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the authorities that the other side must be signed by.
	// Empty means the system's authorities for clients, and no client
	// certificates for servers.
	AuthorityFile string
	// Interval between reads; zero means DefaultReloadInterval.
	Interval time.Duration
	// Logger may be nil.
	Logger *zap.Logger
}

// Certificates serves a certificate that is reloaded when its files change. It
// is safe for concurrent use. Handshakes read an immutable snapshot.
type Certificates struct {
	options       CertificateOptions
	log           *zap.Logger
	current       atomic.Pointer[certificates]
	reloadFailing atomic.Bool
}

type certificates struct {
	certPEM, keyPEM, authorityPEM []byte

	pair     tls.Certificate
	pool     *x509.CertPool
	loadedAt time.Time
}

// NewCertificates reads the files once. Errors: code.InvalidSettings.
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

// Run reloads the files until ctx ends. Files that cannot be read or do not
// match leave the last certificate in use.
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

// Reload reads the files and publishes their content when it changed and is
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
		text, err := os.ReadFile(f.path)
		if err != nil {
			return nil, code.Wrap(code.InvalidSettings, err, "file %q cannot be read", f.path)
		}
		*f.target = text
	}
	return &next, nil
}

func (c *certificates) equal(o *certificates) bool {
	return bytes.Equal(c.certPEM, o.certPEM) && bytes.Equal(c.keyPEM, o.keyPEM) && bytes.Equal(c.authorityPEM, o.authorityPEM)
}

// Server returns the TLS configuration of a listener. It picks up reloaded
// files on every handshake.
func (c *Certificates) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current.Load().server(), nil
		},
	}
}

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
	now := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{now.pair},
		RootCAs:      now.pool,
	}
}

// CertificateState is the part of the state dump about certificates.
type CertificateState struct {
	CertificateFile string    `json:"certificate_file"`
	Loaded          time.Time `json:"loaded"`
	NotAfter        time.Time `json:"not_after"`
	ReloadFailing   bool      `json:"reload_failing"`
}

// State returns what is in use.
func (c *Certificates) State() CertificateState {
	now := c.current.Load()
	return CertificateState{
		CertificateFile: c.options.CertificateFile,
		Loaded:          now.loadedAt,
		NotAfter:        now.pair.Leaf.NotAfter,
		ReloadFailing:   c.reloadFailing.Load(),
	}
}
