package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/daemon"
	"github.com/daisylb/daisylb/operator"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1, which is its own
// authority, and returns settings that use it.
func writeCertificate(t *testing.T, dir string, serial int64) *daemon.TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "daisylb test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	s := &daemon.TLSSettings{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	writePEM(t, s.CertificateFile, "CERTIFICATE", der)
	writePEM(t, s.KeyFile, "EC PRIVATE KEY", keyDER)
	s.AuthorityFile = s.CertificateFile
	return s
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

const operatorKey = "operator-key"

// startTLS builds an instance with TLS on all listeners. The peers' listener also
// requires certificates of clients.
func startTLS(t *testing.T, store storage.Store, id string, files *daemon.TLSSettings) *daemon.Daemon {
	t.Helper()
	sum := sha256.Sum256([]byte(operatorKey))
	s := daemon.Default()
	s.ID, s.DataCentre = id, "kochi"
	s.Callers = daemon.ListenerSettings{Address: "127.0.0.1:0", TLS: &daemon.TLSSettings{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile}}
	s.Operators = s.Callers
	s.Peers = daemon.ListenerSettings{Address: "127.0.0.1:0", TLS: files}
	s.PeerKeys = []string{"tls-test-peer-key-0"}
	s.OperatorKeys = []operator.Key{{Name: "ana", SHA256: hex.EncodeToString(sum[:])}}
	d, err := daemon.New(daemon.Options{Settings: s, Store: store})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestAllListenersUseTLS runs two instances whose peers' listeners require a client
// certificate. A change of the configuration at one instance must take effect at the
// other, which it reaches through the peers' listener.
func TestAllListenersUseTLS(t *testing.T) {
	files := writeCertificate(t, t.TempDir(), 1)
	store := memory.New()
	first, second := startTLS(t, store, "one", files), startTLS(t, store, "two", files)
	store.SetInstances([]storage.ListedInstance{
		{ID: "one", DataCentre: "kochi", CallerAddress: first.CallerAddress(), PeerAddress: first.PeerAddress()},
		{ID: "two", DataCentre: "kochi", CallerAddress: second.CallerAddress(), PeerAddress: second.PeerAddress()},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	for _, d := range []*daemon.Daemon{first, second} {
		go func() { ended <- d.Run(ctx, ctx) }()
	}
	defer func() { cancel(); <-ended; <-ended }()

	text, err := os.ReadFile(files.CertificateFile)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(text)
	httpClient := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
	waitUntil(func() bool {
		body := get(httpClient, "https://"+first.OperatorAddress()+operator.PathInstances, operatorKey)
		return strings.Contains(body, `"two"`) && strings.Contains(body, `"one"`)
	})
	configure(t, first, "127.0.0.1:1", 1)
	if _, err := second.Configuration().Watch(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if body := get(httpClient, "https://"+second.CallerAddress()+"/v1/models", "secret"); !strings.Contains(body, "deskmate") {
		t.Errorf("models: %s", body)
	}
	if response, err := http.Get("http://" + second.CallerAddress() + "/v1/models"); err == nil {
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			t.Error("the callers' listener answers a cleartext request")
		}
	}
	if body := get(httpClient, "https://"+second.PeerAddress()+"/", "tls-test-peer-key-0"); body != "" {
		t.Errorf("the peers' listener answers a client without a certificate: %s", body)
	}
}

// get returns the body of a response, or "" when there is none.
func get(httpClient *http.Client, url, key string) string {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := httpClient.Do(r)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// waitUntil returns when the condition holds. It has no timeout of its own; that of go
// test applies.
func waitUntil(condition func() bool) {
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for !condition() {
		<-poll.C
	}
}
