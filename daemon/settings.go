package daemon

import (
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/operator"
	"github.com/daisylb/daisylb/settings"
)

// Settings are the settings of one instance. They are read once at start; what can
// change while the instance runs is in the configuration document.
type Settings struct {
	// ID identifies the instance in logs and peer messages; empty means the name of
	// the data centre with a random UUID.
	ID string `json:"id"`
	// DataCentre is the name of a data centre in the configuration document; required.
	DataCentre string `json:"data_centre"`
	// Callers, Peers and Operators are the three listeners; all are required.
	Callers   ListenerSettings `json:"callers"`
	Peers     ListenerSettings `json:"peers"`
	Operators ListenerSettings `json:"operators"`
	// PeerKeys are the keys accepted from peers; the first is sent to peers. At least
	// one is required.
	PeerKeys []string `json:"peer_keys"`
	// OperatorKeys are the keys of the operators, with their names.
	OperatorKeys []operator.Key `json:"operator_keys"`
	// Platform describes the service with the table, the objects and the instance
	// list.
	Platform PlatformSettings `json:"platform"`
	// IsolationLimit is how long the instance accepts callers without contact with
	// the table or any peer, since it cannot know whether its configuration is still
	// in force; default "12s". 0 means without limit, for a deployment of one
	// instance.
	IsolationLimit time.Duration `json:"isolation_limit"`
	// Drain limits the duration of a planned stop.
	Drain DrainSettings `json:"drain"`
	// Retention is how long stored answers can be read.
	Retention RetentionSettings `json:"retention"`
	// Log configures the log on standard error.
	Log LogSettings `json:"log"`
}

// ListenerSettings describe one listener.
type ListenerSettings struct {
	// Address is the IP:port to listen on.
	Address string `json:"address"`
	// Advertise is the IP:port that is advertised to others; empty means Address.
	Advertise string `json:"advertise"`
	// TLS configures TLS; nil means cleartext.
	TLS *TLSSettings `json:"tls"`
}

// TLSSettings name PEM files, which are reloaded when they change.
type TLSSettings struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// AuthorityFile, if set, requires certificates from clients, which must be signed
	// by one of its authorities. For peers, it also replaces the system's authorities.
	AuthorityFile string `json:"authority_file"`
}

// PlatformSettings describe the platform's service.
type PlatformSettings struct {
	// URL is the base URL: http:// or https:// with IP and port.
	URL string `json:"url"`
	// Timeout limits one operation; default "5s", at most "1m".
	Timeout time.Duration `json:"timeout"`
	// WritesPerSecond and ReadsPerSecond are the store's rates for all instances
	// together; default 300 and 2000.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// DrainSettings limit the duration of a planned stop.
type DrainSettings struct {
	// Margin is the time that requests are still accepted after the endpoint answers
	// have expired; default "15s".
	Margin time.Duration `json:"margin"`
	// Bound is the longest time to wait for open requests; default "10m".
	Bound time.Duration `json:"bound"`
}

// RetentionSettings set how long stored answers can be read. They must be the same on
// all instances.
type RetentionSettings struct {
	// Claims is for answers of online requests with an idempotency key; default
	// "168h", at least "24h". A key that is sent again later is a new request.
	Claims time.Duration `json:"claims"`
	// Jobs is for batch jobs and their results; default "672h", at least "24h".
	Jobs time.Duration `json:"jobs"`
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level"`
	// Format is json or console; default json.
	Format string `json:"format"`
}

// Defaults and limits of Settings.
const (
	defaultPlatformTimeout = 5 * time.Second
	maxPlatformTimeout     = time.Minute
	defaultWriteRate       = 300
	defaultReadRate        = 2000
	maxStoreRate           = 1e6
	defaultDrainMargin     = 15 * time.Second
	defaultDrainBound      = 10 * time.Minute
	maxDrain               = 24 * time.Hour
	defaultClaimRetention  = 7 * 24 * time.Hour
	defaultJobRetention    = 28 * 24 * time.Hour
	minRetention           = 24 * time.Hour
	maxRetention           = 10 * 365 * 24 * time.Hour
	minPeerKeyBytes        = 16
	sha256HexDigits        = 64
)

// Default returns the default settings.
func Default() Settings {
	return Settings{
		IsolationLimit: config.DefaultIsolationLimit,
		Platform:       PlatformSettings{Timeout: defaultPlatformTimeout, WritesPerSecond: defaultWriteRate, ReadsPerSecond: defaultReadRate},
		Drain:          DrainSettings{Margin: defaultDrainMargin, Bound: defaultDrainBound},
		Retention:      RetentionSettings{Claims: defaultClaimRetention, Jobs: defaultJobRetention},
		Log:            LogSettings{Level: "info", Format: "json"},
	}
}

// Load reads a settings file. The error, code.InvalidSettings, lists all faults of the
// file.
func Load(path string) (Settings, error) {
	data, err := settings.ReadFile(path, settings.MaxFileBytes)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// Parse reads settings from the content of a file; name is the file's name in error
// messages.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	if err := settings.Decode(name, data, &s).Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Check implements settings.Rules.
func (s *Settings) Check(c *settings.Checker) {
	c.Field("data_centre").Expect(s.DataCentre != "", "is missing, expected the name of a data centre")
	checked := map[string]string{}
	checkListener(c.Field("callers"), s.Callers, "callers", checked)
	checkListener(c.Field("peers"), s.Peers, "peers", checked)
	checkListener(c.Field("operators"), s.Operators, "operators", checked)
	c.Field("peer_keys").Expect(len(s.PeerKeys) > 0, "is missing, expected at least one key")
	for i, key := range s.PeerKeys {
		c.Field("peer_keys").Index(i).Expect(len(key) >= minPeerKeyBytes, "has %d characters, expected at least %d", len(key), minPeerKeyBytes)
	}
	for i, key := range s.OperatorKeys {
		checkOperatorKey(c.Field("operator_keys").Index(i), key)
	}
	checkPlatform(c.Field("platform"), s.Platform)
	settings.Between(c.Field("isolation_limit"), s.IsolationLimit, 0, maxDrain)
	settings.Between(c.Field("drain").Field("margin"), s.Drain.Margin, 0, maxDrain)
	settings.Between(c.Field("drain").Field("bound"), s.Drain.Bound, 0, maxDrain)
	settings.Between(c.Field("retention").Field("claims"), s.Retention.Claims, minRetention, maxRetention)
	settings.Between(c.Field("retention").Field("jobs"), s.Retention.Jobs, minRetention, maxRetention)
	settings.OneOf(c.Field("log").Field("level"), s.Log.Level, "debug", "info", "warn", "error")
	settings.OneOf(c.Field("log").Field("format"), s.Log.Format, "json", "console")
}

// checkListener checks the settings of a listener. checked maps the addresses of
// the listeners checked before to their names, since no two may share an address.
func checkListener(c *settings.Checker, l ListenerSettings, name string, checked map[string]string) {
	if checkAddress(c.Field("address"), l.Address) && !ephemeral(l.Address) {
		other, taken := checked[l.Address]
		c.Field("address").Expect(!taken, "found %q, which is also the address of %q", l.Address, other)
		checked[l.Address] = name
	}
	if l.Advertise != "" {
		checkAddress(c.Field("advertise"), l.Advertise)
	}
	if l.TLS != nil {
		c.Field("tls").Field("certificate_file").Expect(l.TLS.CertificateFile != "", "is missing, expected a PEM file")
		c.Field("tls").Field("key_file").Expect(l.TLS.KeyFile != "", "is missing, expected a PEM file")
	}
}

// checkAddress checks that address is IP:port and reports whether it is.
func checkAddress(c *settings.Checker, address string) bool {
	_, err := netip.ParseAddrPort(address)
	return c.Expect(err == nil, "found %q, expected IP:port", address)
}

// ephemeral reports whether the system chooses the port of address.
func ephemeral(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() == 0
}

func checkOperatorKey(c *settings.Checker, key operator.Key) {
	c.Field("name").Expect(key.Name != "", "is missing, expected the operator's name")
	_, err := hex.DecodeString(key.SHA256)
	c.Field("sha256").Expect(err == nil && len(key.SHA256) == sha256HexDigits, "expected %d hexadecimal digits", sha256HexDigits)
}

func checkPlatform(c *settings.Checker, p PlatformSettings) {
	c.Field("url").Expect(p.URL != "", "is missing, expected http://IP:port")
	settings.Between(c.Field("timeout"), p.Timeout, time.Millisecond, maxPlatformTimeout)
	settings.Between(c.Field("writes_per_second"), p.WritesPerSecond, 1, maxStoreRate)
	settings.Between(c.Field("reads_per_second"), p.ReadsPerSecond, 1, maxStoreRate)
}
