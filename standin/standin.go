// Package standin starts stand-ins for the platform and the upstreams from one
// settings file: a platform, model engines and plain services, each with its own
// address. Tests, the dev command and cmd/standin use it; it is not for production
// use.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/settings"
	"github.com/daisylb/daisylb/standin/engine"
	"github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/standin/service"
	store "github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// Settings are the stand-ins to start. Addresses are IP:port on the loopback
// interface.
type Settings struct {
	// Platform is nil when no platform is to be started.
	Platform *Platform `json:"platform"`
	// Engines and Services are the upstreams.
	Engines  []Engine  `json:"engines"`
	Services []Service `json:"services"`
}

// Platform is the settings of the stand-in for the platform.
type Platform struct {
	Address string `json:"address"`
	// Instances is the platform's instance list.
	Instances []store.ListedInstance `json:"instances"`
}

// Engine is the settings of the stand-in for a model engine.
type Engine struct {
	Address string `json:"address"`
	// Slots is the size of the running batch; default 16.
	Slots int `json:"slots"`
	// Step is the fixed part of the duration of a decoding step; default "2ms".
	Step time.Duration `json:"step"`
	// AnswerTokens is the length of answers that are not limited by the request;
	// default 32.
	AnswerTokens int `json:"answer_tokens"`
	// ReportLag is the minimum age of a load report; default "500ms".
	ReportLag time.Duration `json:"report_lag"`
}

// Service is the settings of the stand-in for a plain service.
type Service struct {
	Address string `json:"address"`
}

// Check implements settings.Rules.
func (s *Settings) Check(c *settings.Checker) {
	if s.Platform != nil {
		checkAddress(c.Field("platform").Field("address"), s.Platform.Address)
	}
	for i, e := range s.Engines {
		checkAddress(c.Field("engines").Index(i).Field("address"), e.Address)
	}
	for i, e := range s.Services {
		checkAddress(c.Field("services").Index(i).Field("address"), e.Address)
	}
}

func checkAddress(c *settings.Checker, address string) {
	a, err := netip.ParseAddrPort(address)
	c.Expect(err == nil && a.Addr().IsLoopback(), "found %q, expected IP:port on the loopback", address)
}

// Load reads a settings file. Its error has the code code.InvalidSettings and lists
// all faults.
func Load(path string) (Settings, error) {
	data, err := settings.ReadFile(path, settings.MaxFileBytes)
	if err != nil {
		return Settings{}, code.Wrap(code.InvalidSettings, err, "%s cannot be read: %v", path, err)
	}
	var s Settings
	if err := settings.Decode(path, data, &s).Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Group is a set of running stand-ins.
type Group struct {
	// Store is the store of the platform, nil when no platform was started.
	Store *memory.Store
	// PlatformAddress, EngineAddresses and ServiceAddresses are the addresses on
	// which the stand-ins listen, in the order of the settings.
	PlatformAddress  string
	EngineAddresses  []string
	ServiceAddresses []string
	// Engines and Services are in the order of the settings.
	Engines  []*engine.Engine
	Services []*service.Service

	servers []*http.Server
	failed  chan error
}

// Start starts every stand-in of the settings. On error none is left running.
func Start(s Settings) (*Group, error) {
	g := &Group{failed: make(chan error, 1+len(s.Engines)+len(s.Services))}
	if err := g.start(s); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

func (g *Group) start(s Settings) error {
	if s.Platform != nil {
		g.Store = memory.New()
		g.Store.SetInstances(s.Platform.Instances)
		address, err := g.serve(s.Platform.Address, platform.New(g.Store))
		if err != nil {
			return err
		}
		g.PlatformAddress = address
	}
	for _, e := range s.Engines {
		if err := g.startEngine(e); err != nil {
			return err
		}
	}
	for _, p := range s.Services {
		if err := g.startService(p); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) startService(s Service) error {
	running := service.New()
	g.Services = append(g.Services, running)
	address, err := g.serve(s.Address, running)
	if err != nil {
		return err
	}
	g.ServiceAddresses = append(g.ServiceAddresses, address)
	return nil
}

func (g *Group) startEngine(e Engine) error {
	running, err := engine.New(engine.Options{
		MaxRunning:   e.Slots,
		StepBase:     e.Step,
		AnswerTokens: e.AnswerTokens,
		ReportLag:    e.ReportLag,
	})
	if err != nil {
		return err
	}
	g.Engines = append(g.Engines, running)
	address, err := g.serve(e.Address, running)
	if err != nil {
		return err
	}
	g.EngineAddresses = append(g.EngineAddresses, address)
	return nil
}

// serve starts an HTTP server and returns the address on which it listens.
func (g *Group) serve(address string, h http.Handler) (string, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return "", code.Wrap(code.InvalidSettings, err, "a stand-in cannot use %s: %v", address, err)
	}
	server := &http.Server{Handler: h}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			g.failed <- err
		}
	}()
	return socket.Addr().String(), nil
}

// Run waits until ctx ends or a stand-in fails, and then closes the group. It
// returns the error of the failed stand-in.
func (g *Group) Run(ctx context.Context) error {
	defer g.Close()
	select {
	case <-ctx.Done():
		return nil
	case err := <-g.failed:
		return err
	}
}

// Close stops every stand-in immediately and closes its connections.
func (g *Group) Close() {
	for _, s := range g.servers {
		_ = s.Close()
	}
	for _, e := range g.Engines {
		e.Close()
	}
}
