package daemon

import (
	"crypto/tls"
	"hash/fnv"
	"net/http"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/caller"
	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/claim/claimpb/claimpbconnect"
	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/datacentre"
	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/operator"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/guard"
	"github.com/daisylb/daisylb/storage/httpstore"
	"github.com/daisylb/daisylb/upstream"
)

// build creates the parts in the order in which they need each other.
func (d *Daemon) build(store storage.Store) error {
	d.lifecycle = instance.NewLifecycle(d.log)
	steps := []func() error{
		func() error { return d.buildStore(store) },
		d.buildTransport,
		d.buildConfig,
		d.buildMembership,
		d.buildDispatcher,
		d.buildExchange,
		d.buildClaims,
		d.buildBatch,
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
func (d *Daemon) buildStore(store storage.Store) error {
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
		Live:            d.liveInstances,
		WritesPerSecond: s.WritesPerSecond,
		ReadsPerSecond:  s.ReadsPerSecond,
		Timeout:         s.Timeout,
		Registerer:      d.registry,
		Logger:          d.log,
	})
	return err
}

// liveInstances is the number of instances that share the store. The store is
// used before there is a membership view.
func (d *Daemon) liveInstances() int {
	if d.members == nil {
		return 1
	}
	return max(len(d.members.View().Live()), 1)
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
		Table:          store,
		Objects:        store,
		Peers:          configPeers{d},
		Address:        d.identity.PeerAddress,
		IsolationLimit: d.settings.IsolationLimit,
		Registerer:     d.registry,
		Logger:         d.log,
	})
	return err
}

func (d *Daemon) buildMembership() error {
	var err error
	d.members, err = instance.New(instance.Options{
		Self:       d.identity,
		Lifecycle:  d.lifecycle,
		List:       d.store.View(guard.Poll),
		Prober:     instance.NewProber(d.transport),
		Version:    d.configVersion,
		Load:       d.localLoad,
		OnVersion:  d.config.Observe,
		Seed:       seedFrom(d.runID),
		Registerer: d.registry,
		Logger:     d.log,
	})
	return err
}

// version is that of the configuration in force, 0 before the first.
func (d *Daemon) configVersion() uint64 {
	if document := d.config.Current(); document != nil {
		return document.Version
	}
	return 0
}

// load is the summary that members tell each other. Parts that need the
// membership view are built after it.
func (d *Daemon) localLoad() instance.Load {
	if d.listener == nil {
		return instance.Load{}
	}
	return instance.Load{RunningRequests: uint32(d.listener.InFlight())}
}

// refusing reports whether the time for new requests is over. A starting
// instance refuses by itself as long as it has no configuration.
func (d *Daemon) stopping() bool {
	return d.lifecycle.State() != instance.Starting && !d.lifecycle.Accepting()
}

// serving is the configuration that new work may be served under, or nil.
func (d *Daemon) servingDocument() *contract.Document {
	if d.config.Ready() != nil {
		return nil
	}
	return d.config.Current()
}

// configPeers tells the configuration which peers to push to.
type configPeers struct{ daemon *Daemon }

// Addresses implements config.Peers.
func (p configPeers) Addresses() []string {
	var addresses []string
	for _, m := range p.daemon.members.View().Live() {
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

// buildExchange tells peers of the load on upstreams that they share.
func (d *Daemon) buildExchange() error {
	var err error
	d.exchange, err = upstream.NewExchange(upstream.ExchangeOptions{
		Dispatcher: d.dispatcher,
		InstanceID: d.identity.ID,
		Peers:      d.upstreamPeers,
		Client:     d.transport,
	})
	return err
}

func (d *Daemon) upstreamPeers() []upstream.Peer {
	var peers []upstream.Peer
	for _, m := range d.members.View().Live() {
		if m.ID != d.identity.ID {
			peers = append(peers, upstream.Peer{ID: m.ID, URL: link.URL(m.PeerAddress)})
		}
	}
	return peers
}

func (d *Daemon) buildClaims() error {
	store, poll := d.store.View(guard.Urgent), d.store.View(guard.Poll)
	var err error
	d.claims, err = claim.New(claim.Options{
		InstanceID:   d.identity.ID + "/" + d.runID,
		PeerID:       d.identity.ID,
		Table:        store,
		Objects:      store,
		OwnerTable:   d.store.View(guard.Owner),
		OwnerObjects: d.store.View(guard.Owner),
		SweepTable:   poll,
		SweepObjects: poll,
		View:         claimView{d},
		Dial: func(address string) claimpbconnect.ClaimsClient {
			return claimpbconnect.NewClaimsClient(d.transport, link.URL(address), link.ClientOptions())
		},
		Retention:  d.settings.Retention.Claims,
		Registerer: d.registry,
		Logger:     d.log,
	})
	return err
}

// claimView tells claims which instances are live.
type claimView struct{ daemon *Daemon }

// Live implements claim.View.
func (v claimView) Live() []claim.Peer {
	members := v.daemon.members.View().Live()
	peers := make([]claim.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, claim.Peer{ID: m.ID, Address: m.PeerAddress})
	}
	return peers
}

// batchView tells batch which instances are live.
type batchView struct{ daemon *Daemon }

// Members implements batch.View.
func (v batchView) Members() []string {
	members := v.daemon.members.View().Live()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// Self implements batch.View.
func (v batchView) Self() string { return v.daemon.identity.ID }

func (d *Daemon) buildBatch() error {
	store := d.store.View(guard.Urgent)
	var err error
	d.runner, err = batch.NewRunner(batch.RunnerOptions{
		Store:    store,
		Document: d.config.Current,
		Executor: d.dispatcher,
		Claims:   newBatchClaims(d.claims),
		View:     batchView{d},
		Logger:   d.log,
		Metrics:  d.registry,
	})
	if err != nil {
		return err
	}
	d.jobs, err = batch.NewService(batch.ServiceOptions{
		Store:     store,
		Document:  d.config.Current,
		Announce:  d.runner.Notify,
		Retention: d.settings.Retention.Jobs,
		Logger:    d.log,
		Metrics:   d.registry,
	})
	if err != nil {
		return err
	}
	d.sweeper, err = batch.NewSweeper(batch.SweeperOptions{Store: d.store.View(guard.Poll), View: batchView{d}, Logger: d.log, Metrics: d.registry})
	if err != nil {
		return err
	}
	d.batches, err = batch.NewHandler(batch.HandlerOptions{
		Service: d.jobs,
		Account: func(r *http.Request) string { return caller.IdentityOf(r).Account },
		Logger:  d.log,
	})
	return err
}

func (d *Daemon) buildCallers() error {
	var err error
	d.endpoints, err = datacentre.NewHandler(datacentre.Options{
		View:       d.members.View,
		Document:   d.config.Current,
		Seed:       seedFrom(d.identity.ID),
		Registerer: d.registry,
	})
	if err != nil {
		return err
	}
	d.listener = caller.NewListener(caller.Options{
		Document:   d.servingDocument,
		Dispatcher: d.dispatcher,
		Claims:     callerClaims{d.claims},
		Endpoints:  d.endpoints,
		Batches:    d.batches,
		Stopping:   d.stopping,
		Logger:     d.log,
		Registerer: d.registry,
	})
	d.callers.server = caller.NewHTTPServer(d.listener)
	return nil
}

func (d *Daemon) buildPeers() {
	mux := http.NewServeMux()
	mux.Handle(d.config.PeerHandler())
	mux.Handle(instance.NewHandler(d.members))
	mux.Handle(d.exchange.Handler(link.HandlerOptions()))
	mux.Handle(d.claims.Handler(link.HandlerOptions()))
	server := caller.NewHTTPServer(link.Authenticate(d.settings.PeerKeys, mux))
	server.Protocols = link.ServerProtocols()
	d.peers.server = server
}

func (d *Daemon) buildOperators() {
	configuration := config.Handler(d.config, operator.NameOf)
	l := operator.NewListener(operator.Options{
		Keys:     d.settings.OperatorKeys,
		Ready:    d.Ready,
		State:    d.dump,
		Gatherer: d.registry,
		Mounts: map[string]http.Handler{
			"/v1/config":                    configuration,
			"/v1/config/":                   configuration,
			"/v1/presets":                   configuration,
			"/v1/presets/":                  configuration,
			"GET " + operator.PathInstances: operator.JSONHandler(func() []instance.Member { return d.members.View().Live() }),
			"GET " + operator.PathUpstreams: operator.JSONHandler(d.dispatcher.State),
		},
		Logger: d.log,
	})
	d.operators.server = caller.NewHTTPServer(l)
}

// seedFrom makes draws differ between instances.
func seedFrom(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
