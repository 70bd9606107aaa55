package daemon

import (
	"crypto/tls"
	"hash/fnv"
	"net/http"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/caller"
	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/datacentre"
	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/operator"
	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/platform/guard"
	"github.com/daisylb/daisylb/platform/httpstore"
	"github.com/daisylb/daisylb/upstream"
)

// build creates the parts in the order in which they need each other.
func (d *Daemon) build(store platform.Store) error {
	d.lifecycle = instance.NewLifecycle(d.log)
	d.view.Store(instance.NewView(instance.Member{Identity: d.identity, Health: instance.Alive, State: instance.Serving}))
	steps := []func() error{
		func() error { return d.buildStore(store) },
		d.buildTransport,
		d.buildConfig,
		d.buildDispatcher,
		d.buildCallers,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	d.buildPeers()
	d.buildOperators()
	return nil
}

// buildStore puts the guard before the platform's store.
func (d *Daemon) buildStore(store platform.Store) error {
	s := d.settings.Platform
	if store == nil {
		adapter, err := httpstore.New(httpstore.Options{URL: s.URL, Timeout: s.Timeout})
		if err != nil {
			return err
		}
		d.adapter = adapter
		store = adapter
	}
	var err error
	d.store, err = guard.New(guard.Options{
		Store:           store,
		Live:            func() int { return len(d.view.Load().Live()) },
		WritesPerSecond: s.WritesPerSecond,
		ReadsPerSecond:  s.ReadsPerSecond,
		Timeout:         s.Timeout,
		Registerer:      d.registry,
		Logger:          d.log,
	})
	return err
}

// buildTransport makes the connections to peers.
func (d *Daemon) buildTransport() error {
	o := link.Options{Key: d.settings.PeerKeys[0]}
	if d.peers.certificates != nil {
		o.TLS = func() *tls.Config { return d.peers.certificates.Client() }
	}
	var err error
	d.transport, err = link.NewTransport(o)
	return err
}

func (d *Daemon) buildConfig() error {
	store := d.store.View(guard.Urgent)
	var err error
	d.config, err = config.New(config.Options{
		Table:      store,
		Objects:    store,
		Peers:      configPeers{d},
		Address:    d.identity.PeerAddress,
		Registerer: d.registry,
		Logger:     d.log,
	})
	return err
}

// configPeers tells the configuration which peers to push to.
type configPeers struct{ daemon *Daemon }

// Addresses implements config.Peers.
func (p configPeers) Addresses() []string {
	var addresses []string
	for _, m := range p.daemon.view.Load().Live() {
		if m.ID != p.daemon.identity.ID {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// HTTP implements config.Peers.
func (p configPeers) HTTP() connect.HTTPClient { return p.daemon.transport }

func (d *Daemon) buildDispatcher() error {
	var err error
	d.dispatcher, err = upstream.New(upstream.Options{
		Document:   d.config.Current,
		DataCentre: d.settings.DataCentre,
		InstanceID: d.identity.ID,
		Logger:     d.log,
		Registerer: d.registry,
	})
	return err
}

func (d *Daemon) buildCallers() error {
	var err error
	d.endpoints, err = datacentre.NewHandler(datacentre.Options{
		View:       d.view.Load,
		Document:   d.config.Current,
		Seed:       seedOf(d.identity.ID),
		Registerer: d.registry,
	})
	if err != nil {
		return err
	}
	d.listener = caller.NewListener(caller.Options{
		Document:   d.config.Current,
		Dispatcher: d.dispatcher,
		Endpoints:  d.endpoints,
		Stopped:    func() bool { return !d.lifecycle.Accepting() },
		Logger:     d.log,
		Registerer: d.registry,
	})
	d.callers.server = caller.NewHTTPServer(d.listener)
	return nil
}

func (d *Daemon) buildPeers() {
	mux := http.NewServeMux()
	mux.Handle(d.config.PeerHandler())
	server := caller.NewHTTPServer(link.Authenticate(d.settings.PeerKeys, mux))
	server.Protocols = link.ServerProtocols()
	d.peers.server = server
}

func (d *Daemon) buildOperators() {
	l := operator.NewListener(operator.Options{
		Keys:     d.settings.OperatorKeys,
		Ready:    d.ready,
		State:    d.dump,
		Gatherer: d.registry,
		Mounts: map[string]http.Handler{
			"GET /v1/instances": operator.JSON(func() []instance.Member { return d.view.Load().Live() }),
			"GET /v1/upstreams": operator.JSON(d.dispatcher.State),
		},
		Logger: d.log,
	})
	d.operators.server = caller.NewHTTPServer(l)
}

// seedOf makes draws differ between instances.
func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
