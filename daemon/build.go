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

// build creates the parts in the order of their dependencies.
func (d *Daemon) build(store storage.Store) error {
	d.lifecycle = instance.NewLifecycle(d.log)
	steps := []func() error{
		func() error { return d.buildStore(store) },
		d.buildPeerClient,
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

// buildStore builds the store and the guard that limits the rate of its calls. With
// a nil store, it builds a client of the platform's store.
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
		LiveInstances:   d.liveInstances,
		WritesPerSecond: s.WritesPerSecond,
		ReadsPerSecond:  s.ReadsPerSecond,
		Timeout:         s.Timeout,
		Registerer:      d.registry,
		Logger:          d.log,
	})
	return err
}

// liveInstances returns the number of instances that share the store's rates. The
// store is used before the membership exists; until then it returns 1.
func (d *Daemon) liveInstances() int {
	if d.members == nil {
		return 1
	}
	return max(len(d.members.View().Live()), 1)
}

// buildPeerClient builds the HTTP client for peers.
func (d *Daemon) buildPeerClient() error {
	o := link.Options{Key: d.settings.PeerKeys[0]}
	if d.peers.certificates != nil {
		o.TLS = func() *tls.Config { return d.peers.certificates.Client() }
	}
	var err error
	d.peerClient, err = link.NewClient(o)
	return err
}

// buildConfig builds the configuration store.
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

// buildMembership builds the membership view.
func (d *Daemon) buildMembership() error {
	var err error
	d.members, err = instance.New(instance.Options{
		Self:       d.identity,
		Lifecycle:  d.lifecycle,
		List:       d.store.View(guard.Poll),
		Prober:     instance.NewProber(d.peerClient),
		Version:    d.configVersion,
		Load:       d.localLoad,
		OnVersion:  d.config.Observe,
		Seed:       seedFrom(d.runID),
		Registerer: d.registry,
		Logger:     d.log,
	})
	return err
}

// configVersion returns the version of the configuration in force, 0 before the
// first.
func (d *Daemon) configVersion() uint64 {
	if document := d.config.Current(); document != nil {
		return document.Version
	}
	return 0
}

// localLoad returns the load that this instance advertises to other members. The
// listener is built after the membership; until then the load is zero.
func (d *Daemon) localLoad() instance.Load {
	if d.listener == nil {
		return instance.Load{}
	}
	return instance.Load{RunningRequests: uint32(d.listener.InFlight())}
}

// stopping reports whether new requests are rejected because of a planned stop. A
// starting instance is not stopping: the listener rejects its requests with
// code.NoConfiguration until there is a configuration.
func (d *Daemon) stopping() bool {
	return d.lifecycle.State() != instance.Starting && !d.lifecycle.Accepting()
}

// servingDocument returns the configuration for new requests, or nil when there is
// none or the instance has been isolated for too long to rely on it.
func (d *Daemon) servingDocument() *contract.Document {
	if d.config.Ready() != nil {
		return nil
	}
	return d.config.Current()
}

// configPeers implements config.Peers with the membership view.
type configPeers struct{ daemon *Daemon }

// Addresses returns the peer addresses of the other live instances.
func (p configPeers) Addresses() []string {
	var addresses []string
	for _, m := range p.daemon.members.View().Live() {
		if m.ID != p.daemon.identity.ID {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// HTTP returns the HTTP client for peers.
func (p configPeers) HTTP() connect.HTTPClient { return p.daemon.peerClient }

// buildDispatcher builds the dispatcher of calls to upstreams.
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

// buildExchange builds the exchange of load digests with peers that use the same
// upstreams.
func (d *Daemon) buildExchange() error {
	var err error
	d.exchange, err = upstream.NewExchange(upstream.ExchangeOptions{
		Dispatcher: d.dispatcher,
		InstanceID: d.identity.ID,
		Peers:      d.upstreamPeers,
		Client:     d.peerClient,
	})
	return err
}

// upstreamPeers returns the other live instances.
func (d *Daemon) upstreamPeers() []upstream.Peer {
	var peers []upstream.Peer
	for _, m := range d.members.View().Live() {
		if m.ID != d.identity.ID {
			peers = append(peers, upstream.Peer{ID: m.ID, URL: link.URL(m.PeerAddress)})
		}
	}
	return peers
}

// buildClaims builds the claim service.
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
			return claimpbconnect.NewClaimsClient(d.peerClient, link.URL(address), link.ClientOptions())
		},
		Retention:  d.settings.Retention.Claims,
		Registerer: d.registry,
		Logger:     d.log,
	})
	return err
}

// claimView implements claim.View with the membership view.
type claimView struct{ daemon *Daemon }

// Live returns the live instances, this one included.
func (v claimView) Live() []claim.Peer {
	members := v.daemon.members.View().Live()
	peers := make([]claim.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, claim.Peer{ID: m.ID, Address: m.PeerAddress})
	}
	return peers
}

// batchView implements batch.View with the membership view.
type batchView struct{ daemon *Daemon }

// Members returns the ids of the live instances, this one included.
func (v batchView) Members() []string {
	members := v.daemon.members.View().Live()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// Self returns the id of this instance.
func (v batchView) Self() string { return v.daemon.identity.ID }

// buildBatch builds the runner, the service, the sweeper and the HTTP handler of
// batch jobs.
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
		Notify:    d.runner.Notify,
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

// buildCallers builds the callers' listener and the endpoint answers.
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

// buildPeers builds the server of the peers' listener.
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

// buildOperators builds the server of the operators' listener.
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

// seedFrom returns a random seed derived from id, so that instances make different
// random choices.
func seedFrom(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
