package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/daisylb/daisylb/code"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a server that authenticates requests by keys and answers with the
// protocol of the request. It returns the server's address.
func serve(t *testing.T, keys []string, config *tls.Config) string {
	t.Helper()
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Proto) })
	s := httptest.NewUnstartedServer(Authenticate(keys, h))
	s.Config.Protocols = ServerProtocols()
	s.TLS = config
	if config != nil {
		s.EnableHTTP2 = true
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// get sends a GET request to a server at address and returns status and body.
func get(t *testing.T, o Options, address string) (int, string, error) {
	t.Helper()
	c, err := NewClient(o)
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseIdleConnections()
	r, err := c.Get(URL(address) + "/x")
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, string(body), err
}

func TestAuthenticateAcceptsOnlyKnownKeys(t *testing.T) {
	address := serve(t, []string{"new", "old", ""}, nil)
	for _, test := range []struct {
		key    string
		status int
		body   string
	}{
		{"new", http.StatusOK, "HTTP/2.0"},
		{"old", http.StatusOK, "HTTP/2.0"},
		{"ne", http.StatusUnauthorized, `"number":7001`},
		{"", http.StatusUnauthorized, `"number":7001`},
	} {
		status, body, err := get(t, Options{Key: test.key}, address)
		if err != nil || status != test.status || !strings.Contains(body, test.body) {
			t.Errorf("key %q: %d %q %v, want %d %q", test.key, status, body, err, test.status, test.body)
		}
	}
	if status, body, err := get(t, Options{Key: "new", HTTP1: true}, address); status != http.StatusOK || body != "HTTP/1.1" {
		t.Errorf("HTTP/1.1: %d %q %v", status, body, err)
	}
}

func TestAuthenticateWithoutKeysRejectsAll(t *testing.T) {
	if status, _, err := get(t, Options{}, serve(t, nil, nil)); status != http.StatusUnauthorized {
		t.Errorf("status %d, %v", status, err)
	}
}

func TestNumberedErrorsRoundTrip(t *testing.T) {
	sent := code.New(code.VersionConflict, "version 7 was accepted first").WithRetryAfter(3 * time.Second)
	got := Decode(Encode(sent))
	var e *code.Error
	if !errors.As(got, &e) || e.Number != sent.Number || e.Outcome != sent.Outcome || e.Message != sent.Message || e.RetryAfter != sent.RetryAfter {
		t.Errorf("got %#v, want %#v", got, sent)
	}
	if n := code.Of(Decode(io.ErrUnexpectedEOF)); n != code.PeerUnreachable {
		t.Errorf("a broken connection decodes to error number %d, want 7002", n)
	}
}

// writeCertificate writes a self-signed certificate for 127.0.0.1, which is its own
// authority, and its key.
func writeCertificate(t *testing.T, dir string, serial int64) CertificateOptions {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	o := CertificateOptions{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), AuthorityFile: filepath.Join(dir, "cert.pem")}
	for path, block := range map[string]*pem.Block{
		o.CertificateFile: {Type: "CERTIFICATE", Bytes: der},
		o.KeyFile:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return o
}

// serialInUse returns the serial number of the certificate in use.
func serialInUse(c *Certificates) int64 { return c.current.Load().pair.Leaf.SerialNumber.Int64() }

func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	certs, err := NewCertificates(writeCertificate(t, dir, 1))
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, []string{"k"}, certs.Server())
	o := Options{Key: "k", TLS: certs.Client}
	if _, body, err := get(t, o, address); err != nil || body != "HTTP/2.0" {
		t.Fatalf("first certificate: %q %v", body, err)
	}
	otherAuthority, err := NewCertificates(writeCertificate(t, t.TempDir(), 9))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := get(t, Options{Key: "k", TLS: otherAuthority.Client}, address); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := certs.Reload(); code.Of(err) != code.InvalidSettings || serialInUse(certs) != 1 {
		t.Errorf("reload with an invalid key returned %v, serial %d in use", err, serialInUse(certs))
	}
	writeCertificate(t, dir, 2)
	if err := certs.Reload(); err != nil || serialInUse(certs) != 2 {
		t.Fatalf("reload: %v, serial %d", err, serialInUse(certs))
	}
	if _, body, err := get(t, o, address); err != nil || body != "HTTP/2.0" {
		t.Errorf("second certificate: %q %v", body, err)
	}
}

func TestRequestTimesOutWhileDialling(t *testing.T) {
	blockedDial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, _, err := get(t, Options{Dial: blockedDial, RequestTimeout: time.Millisecond}, "127.0.0.1:1"); err == nil {
		t.Error("a request whose dial never ends succeeded")
	}
}
