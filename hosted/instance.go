package hosted

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/boottime"
	"github.com/daisylb/daisylb/budget"
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
	"github.com/daisylb/daisylb/upstream"
)

// Instance is one daisylb instance on the platform. New builds it; Run serves until
// its context ends and then shuts down as planned.
type Instance struct {
	settings atomic.Pointer[platform.Settings]
	log      *zap.Logger
	registry *prometheus.Registry
	// id is the instance's name with a random part, so that it differs between two
	// runs of the same instance.
	id          string
	endpointTTL time.Duration
	// learnCapacity is Options.LearnCapacity.
	learnCapacity bool

	storeClient *platform.Client
	store       *relay.Store
	document    *routing.Document
	workers     *routing.Workers
	// documentFeed follows the table of the document, workerFeed that of the workers.
	documentFeed *feed.Follower
	workerFeed   *feed.Follower
	roster       *roster.Roster
	quarantine   *quarantine.List
	dispatcher   *upstream.Dispatcher
	broadcast    *upstream.Broadcast
	jobs         *job.Service
	// budget is nil if the settings have no memory limit.
	budget *budget.Budget
	// quota is nil if the settings have no request quotas.
	quota *quota.Limiter
	// peersMu serializes updates of peerGroups, peerIDs and instanceAddresses.
	peersMu sync.Mutex
	// peerGroups holds the instances that share workers with this one, one group
	// for each cell.
	peerGroups atomic.Pointer[[]upstream.PeerGroup]
	// peerIDs holds the ids of the instances in peerGroups.
	peerIDs atomic.Pointer[map[string]bool]
	// instanceAddresses holds the addresses of all other instances.
	instanceAddresses atomic.Pointer[[]string]

	callerServer    *http.Server
	connections     *connections
	directoryServer *http.Server
	readinessServer *http.Server
	metricsServer   *http.Server
	relayServer     *http.Server

	// requestEnds is set in a planned stop once callers are told to move to other
	// instances.
	requestEnds atomic.Pointer[requestEnds]
	// relayStopping is set once peers are told to make their calls of the store through
	// other instances.
	relayStopping atomic.Bool

	// mu guards leaving.
	mu sync.Mutex
	// leaving is set when the instance shuts down.
	leaving bool
}

// New builds an instance and opens the UDP socket for load digests. It fails when the
// socket cannot be opened or an option of a part is invalid.
func New(o Options) (*Instance, error) {
	i := &Instance{
		log:         o.Log,
		registry:    prometheus.NewRegistry(),
		id:          o.Settings.Name + "/" + uuid.NewString()[:8],
		storeClient: platform.NewClient(o.Settings.Store.Address),
		endpointTTL: cmp.Or(o.EndpointTTL, DefaultEndpointTTL),

		learnCapacity: o.LearnCapacity,
	}
	i.settings.Store(&o.Settings)
	if i.log == nil {
		i.log = zap.NewNop()
	}
	i.peerGroups.Store(&[]upstream.PeerGroup{})
	i.instanceAddresses.Store(&[]string{})
	i.log = i.log.With(zap.String("instance", i.id))
	for _, step := range []func() error{i.buildStore, i.buildRouting, i.buildQuarantine, i.buildDispatcher, i.buildRoster, i.buildQuota, i.buildJobs} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if memory := o.Settings.MemoryBytes; memory > 0 {
		limits := budget.LimitsFor(memory, o.Settings.MaxDescriptors)
		i.budget = budget.New(limits)
		i.log.Info("budget for callers", zap.Int64("bytes", limits.Bytes), zap.Int("connections", limits.Connections))
	}
	i.registerMetrics(o.DroppedLines)
	i.registerBudgetMetrics()
	i.buildServers()
	return i, nil
}

// buildStore builds the client of the store. When the store is unreachable, its
// calls are relayed through peers.
func (i *Instance) buildStore() error {
	i.store = relay.New(relay.Options{
		Direct: i.storeClient,
		Peers:  func() []string { return *i.instanceAddresses.Load() },
		Client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: peerIdleConns,
			IdleConnTimeout:     peerIdleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		Log: i.log,
	})
	return nil
}

// buildRouting builds the document and the workers, which follow tables of the
// store.
func (i *Instance) buildRouting() error {
	i.document = &routing.Document{Key: platform.DocumentKey, Decode: platform.DecodeRouting, Log: i.log}
	i.workers = &routing.Workers{Decode: platform.DecodeWorker, DataCentres: i.settings.Load().Regions, Log: i.log}
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
	i.jobs = job.New(job.Options{
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
	})
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
	platform.FillForwarding(f, it.Header)
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
	i.directoryServer = newServer(http.HandlerFunc(i.serveDirectory))
	i.readinessServer = newServer(http.HandlerFunc(i.serveReadiness))
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

// newServer returns a server with the timeouts for requests of peers and the
// platform.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
}

// ready reports whether the instance can serve callers.
func (i *Instance) ready() bool {
	return i.document.Current() != nil && i.workers.Loaded() && i.roster.Loaded() && !i.isLeaving()
}

func (i *Instance) isLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

// serveReadiness answers the platform's readiness check.
func (i *Instance) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case !platform.IsReadinessCheck(r):
		w.WriteHeader(http.StatusNotFound)
	case i.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveDirectory answers endpoint queries: the addresses that callers can use.
func (i *Instance) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if _, ok := platform.DecodeEndpointQuery(r); !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	addresses := callerAddresses(i.roster.View().Alive, i.settings.Load().Name)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	platform.WriteEndpoints(w, addresses, min(i.endpointTTL, i.settings.Load().Bounds.MaxTTL))
}

// Run serves until ctx ends or a part fails, then shuts down as planned. It returns
// the error of the part that failed.
func (i *Instance) Run(ctx context.Context) error {
	settings := i.settings.Load()
	i.log.Info("starting", zap.String("data_centre", settings.DataCentre), zap.String("callers", settings.CallerAddress),
		zap.Int("first_port", settings.FirstPort), zap.Int("last_port", settings.LastPort), zap.Int64("memory_bytes", settings.MemoryBytes))
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	for _, f := range []*feed.Follower{i.documentFeed, i.workerFeed} {
		group.Go(func() error { return f.Run(runCtx) })
	}
	parts := []func(context.Context) error{i.dispatcher.Run, i.broadcast.Run, i.roster.Run, i.quarantine.Run, i.jobs.Run, i.publishReady}
	if i.quota != nil {
		parts = append(parts, i.quota.Run)
	}
	if i.budget != nil {
		parts = append(parts, i.connections.chargeKernelBytes)
	}
	for _, run := range parts {
		group.Go(func() error { return run(runCtx) })
	}
	callers, err := net.Listen("tcp4", settings.CallerAddress)
	if err != nil {
		return err
	}
	callersServed := make(chan struct{})
	group.Go(func() error {
		defer close(callersServed)
		return serve(i.callerServer, i.connections.listener(callers))
	})
	servers := map[*http.Server]string{
		i.directoryServer: settings.DirectoryAddress,
		i.readinessServer: settings.ReadinessAddress,
		i.relayServer:     net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		i.metricsServer:   net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort)),
	}
	for server, address := range servers {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return err
		}
		group.Go(func() error { return serve(server, listener) })
	}
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	}
	i.shutdown(func() {
		_ = callers.Close()
		<-callersServed
	})
	stop()
	err = group.Wait()
	i.storeClient.Close()
	i.log.Info("stopped", zap.Error(err))
	return err
}

// serve runs a server until it or its listener is closed.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// readyInterval is the time between two readiness checks of a starting instance.
const readyInterval = 20 * time.Millisecond

// publishReady waits until this instance can serve and then publishes it to the
// fleet.
func (i *Instance) publishReady(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !i.ready() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	i.log.Info("ready")
	i.roster.UpdateSelf(func(m *roster.Member) { m.Ready = true })
	return nil
}
