package hosted

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/boottime"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/entry"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/quarantine"
	"github.com/daisylb/daisylb/quota"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/roster"
	"github.com/daisylb/daisylb/routing"
	"github.com/daisylb/daisylb/tcpconn"
	"github.com/daisylb/daisylb/upstream"
)

// buildStore builds the client of the store. When the store is unreachable, its
// calls are relayed through peers.
func (i *Instance) buildStore() error {
	i.store = relay.New(relay.Options{
		Direct: i.storeClient,
		Peers:  func() []string { return *i.instanceAddresses.Load() },
		Client: &http.Client{Transport: tcpconn.Transport{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: peerIdleConns,
			IdleConnTimeout:     peerIdleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		}}},
		Log: i.log,
	})
	return nil
}

// buildRouting builds the document and the workers, which follow tables of the
// store.
func (i *Instance) buildRouting() error {
	i.document = &routing.Document{Key: platform.DocumentKey, Decode: platform.DecodeRouting, Log: i.log}
	i.workers = &routing.Workers{
		Decode: platform.DecodeWorker, DataCentres: i.settings.Load().Regions, Log: i.log,
		Ended: func(id string, startedMillis int64) { i.quarantine.RecordUpstreamEnd(id, startedMillis) },
	}
	i.documentFeed = feed.New(feed.Options{Rows: i.store, Table: platform.OperatorTable, Update: i.document.Update, Log: i.log})
	i.workerFeed = feed.New(feed.Options{Rows: i.store, Table: platform.WorkerTable, Update: i.updateWorkers, Log: i.log})
	return nil
}

// buildQuarantine builds the list of quarantined prompt parts. Its rows stand in the
// table of the roster, whose feed carries them at no further calls of the store.
func (i *Instance) buildQuarantine() error {
	i.quarantine = quarantine.New(quarantine.Options{
		Rows:       i.store,
		Table:      roster.Table,
		InstanceID: i.id,
		RemovesExpired: func() bool {
			alive := i.roster.View().Alive
			return len(alive) > 0 && alive[0].ID == i.id
		},
		Log: i.log,
	})
	return nil
}

// buildDispatcher builds the dispatcher of requests to workers.
func (i *Instance) buildDispatcher() error {
	var err error
	i.dispatcher, err = upstream.New(upstream.Options{
		Document:      i.workers.Current,
		DataCentre:    i.settings.Load().DataCentre,
		InstanceID:    i.id,
		Wire:          platform.WorkerWire{},
		Quarantine:    i.quarantine,
		Logger:        i.log,
		Registerer:    i.registry,
		SubsetSize:    subsetSize,
		LearnCapacity: i.learnCapacity,
		// Load digests and answers advance the queues when they arrive, so the sweep
		// only has to detect stalls.
		SweepInterval: sweepInterval,
	})
	return err
}

const (
	// subsetSize is above the number of workers in a cell, so that an instance uses
	// them all.
	subsetSize    = 1 << 10
	sweepInterval = 100 * time.Millisecond
)

// buildRoster builds the list of the fleet's instances, and the broadcast of load
// digests to peers over a UDP socket.
func (i *Instance) buildRoster() error {
	settings := i.settings.Load()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(settings.IP), Port: settings.FirstPort})
	if err != nil {
		return err
	}
	i.roster = roster.New(roster.Options{Rows: i.store, Log: i.log, Changed: i.updateCell, LastPeerContact: i.dispatcher.LastDigestAt, LastContact: i.lastContact,
		ExtraPart: quarantine.Part, ExtraUpdate: i.quarantine.Update, Self: roster.Member{
			Name:          settings.Name,
			ID:            i.id,
			CallerAddress: settings.CallerAddress,
			PeerAddress:   conn.LocalAddr().String(),
			DataCentre:    settings.DataCentre,
		}, LeaseAddress: quotaAddress(settings), FirstStart: settings.FirstStart})
	i.broadcast, err = upstream.NewBroadcast(upstream.BroadcastOptions{
		Dispatcher: i.dispatcher,
		InstanceID: i.id,
		Peers:      func() []upstream.PeerGroup { return *i.peerGroups.Load() },
		Conn:       conn,
		Log:        i.log,
	})
	return err
}

// lastContact returns when the last load digest of an instance was received. It
// reports false for instances that share no workers with this one, since they send
// it no digests.
func (i *Instance) lastContact(id string) (time.Time, bool) {
	receivedAt, ok := i.dispatcher.LastDigestFrom(id)
	return receivedAt, ok && i.peerIDs.Load() != nil && (*i.peerIDs.Load())[id]
}

// updateWorkers applies changes of the workers' table. They may change the number of
// cells and thereby the peers.
func (i *Instance) updateWorkers(u feed.Update) {
	i.workers.Update(u)
	i.updatePeers()
}

// updateCell recomputes the cell of this instance after a change of the fleet.
func (i *Instance) updateCell() {
	i.workers.SetInstances(i.settings.Load().Name, i.roster.View().Names())
	i.updatePeers()
}

// updatePeers derives the peers of this instance from the fleet and the workers.
func (i *Instance) updatePeers() {
	i.peersMu.Lock()
	defer i.peersMu.Unlock()
	view := i.roster.View()
	var groups []upstream.PeerGroup
	peerNames := map[string]bool{}
	for _, cellGroup := range i.workers.PeerGroups() {
		group := upstream.PeerGroup{Uses: func(worker string) bool { return i.workers.UsedBy(cellGroup.Cell, worker) }}
		for _, name := range cellGroup.Instances {
			if address, ok := view.Peers[name]; ok {
				group.Addresses = append(group.Addresses, address)
				peerNames[name] = true
			}
		}
		groups = append(groups, group)
	}
	i.peerGroups.Store(&groups)
	ids := make(map[string]bool, len(peerNames))
	for _, m := range view.Alive {
		if peerNames[m.Name] {
			ids[m.ID] = true
		}
	}
	i.peerIDs.Store(&ids)
	addresses := make([]string, 0, len(view.Peers))
	for _, address := range view.Peers {
		addresses = append(addresses, address.String())
	}
	i.instanceAddresses.Store(&addresses)
}

// buildJobs builds the job service.
func (i *Instance) buildJobs() error {
	options := job.Options{
		Store:      i.store,
		Process:    i.id,
		Forwarder:  i.dispatcher,
		Routing:    i.document.Current,
		RoutingAge: i.documentFeed.Age,
		Decode:     platform.DecodeItems,
		Describe:   i.describeItem,
		Retention:  i.settings.Load().Bounds.ResultRetention,
		Log:        i.log,
		Fleet: func() job.Fleet {
			view := i.roster.View()
			return job.Fleet{LivenessKnown: i.roster.UpToDate(), Alive: view.IDs, Isolated: i.roster.Isolated(), Replaced: view.Replaced}
		},
	}
	if i.budget != nil {
		options.MaxBytes, options.Hold = i.budget.BackgroundBytes(), i.budget.Background().Add
	}
	i.jobs = job.New(options)
	return nil
}

// quotaAddress returns the address for messages about quotas, "" if the settings have no
// request quotas.
func quotaAddress(s *platform.Settings) string {
	if s.Bounds.QuotaWindow <= 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+quotaPortOffset))
}

// buildQuota builds the limiter of the accounts' requests over a UDP socket.
func (i *Instance) buildQuota() error {
	settings := i.settings.Load()
	address := quotaAddress(settings)
	if address == "" {
		return nil
	}
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return err
	}
	i.quota, err = quota.New(quota.Options{
		Self:       settings.Name,
		Bounds:     quota.Bounds{Window: settings.Bounds.QuotaWindow, Overage: settings.Bounds.QuotaOverage, Slack: settings.Bounds.QuotaSlack},
		Leases:     i.roster.Leases,
		Limit:      i.quotaOf,
		Conn:       conn,
		Log:        i.log,
		Registerer: i.registry,
	})
	return err
}

// quotaOf returns the request quota of an account by the document in force, and false if there
// is no such account.
func (i *Instance) quotaOf(account string) (contract.RateLimit, bool) {
	d := i.document.Current()
	if d == nil {
		return contract.RateLimit{}, false
	}
	a, ok := d.Accounts[account]
	return a.Quota, ok
}

// describeItem sets the fields of an item's request that its headers and the account of its
// job define.
func (i *Instance) describeItem(f *contract.ForwardRequest, it *job.Item, account string) {
	platform.FillForwarding(f, platform.ItemHeader(it))
	if d := i.document.Current(); account != "" || d != nil && d.Keys != nil {
		platform.SetAccount(f, account)
	}
}

// checkKeys returns an error if the store has not been followed for so long that keys which
// were removed may still be in force here.
func (i *Instance) checkKeys() error {
	limit := i.settings.Load().Bounds.MaxKeyAge
	if limit <= 0 {
		return nil
	}
	// The clock also counts the time for which the machine was suspended.
	if readAt, ok := i.documentFeed.ReadAt(); !ok || boottime.Now()-readAt > limit {
		return code.New(code.NoConfiguration, "the list of accounts may be out of date").WithRetryAfter(staleKeysRetryAfter)
	}
	return nil
}

// buildServers builds the HTTP servers.
func (i *Instance) buildServers() {
	options := entry.Options{Routing: i.document.Current, CheckKeys: i.checkKeys, Forwarder: i.dispatcher, Jobs: i.jobs, Admit: i.admit, Log: i.log}
	if i.quota != nil {
		options.Quota = i.quota
	}
	handler := entry.NewHandler(options)
	i.callerServer = newServer(handler)
	// The read timeout of a caller's request is its own deadline, which package entry
	// enforces.
	i.callerServer.ReadTimeout = 0
	i.callerServer.ErrorLog = zap.NewStdLog(i.log)
	i.connections = newConnections(i.callerIdleTimeout, i.log)
	i.connections.budget, i.connections.headLimit = i.budget, i.callerHeadLimit
	i.connections.configure(i.callerServer)
	i.directory.server = newServer(http.HandlerFunc(i.serveDirectory))
	i.readiness.server = newServer(http.HandlerFunc(i.serveReadiness))
	for _, p := range []*port{&i.directory, &i.readiness} {
		p.configure(i.callerHeadLimit, i.log)
	}
	mux := http.NewServeMux()
	mux.Handle(relay.NewHandler(i.storeClient, i.relayStopping.Load))
	i.relayServer = newServer(mux)
	i.metricsServer = newServer(promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
}

// callerIdleTimeout returns how long callers' connections may be idle by the document
// in force; 0 means without limit.
func (i *Instance) callerIdleTimeout() time.Duration {
	if d := i.document.Current(); d != nil {
		return d.Limits.IdleTimeout
	}
	return 0
}

// callerHeadLimit returns the largest head of a request by the document in force, in bytes; 0
// means that it sets none.
func (i *Instance) callerHeadLimit() int {
	if d := i.document.Current(); d != nil {
		return d.Limits.MaxHeaderBytes
	}
	return 0
}
