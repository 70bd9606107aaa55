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

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/entry"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/roster"
	"github.com/daisylb/daisylb/routing"
	"github.com/daisylb/daisylb/upstream"
)

// Instance is one process on the platform. New builds it, Run serves until its
// context ends and the planned stop is over.
type Instance struct {
	settings    atomic.Pointer[platform.Settings]
	log         *zap.Logger
	registry    *prometheus.Registry
	id          string
	endpointTTL time.Duration

	storeClient *platform.Client
	store       *relay.Store
	document    *routing.Document
	workers     *routing.Workers
	feeds       []*feed.Follower
	roster      *roster.Roster
	dispatcher  *upstream.Dispatcher
	broadcast   *upstream.Broadcast
	jobs        *job.Service
	// grouping guards the changes of peers, sharing and others.
	peersMu sync.Mutex
	// peers are the instances that share workers, a group for each cell.
	peerGroups atomic.Pointer[[]upstream.PeerGroup]
	// sharing has the processes of these instances.
	peerIDs atomic.Pointer[map[string]bool]
	// others are the addresses of all other instances.
	instanceAddresses atomic.Pointer[[]string]

	callerServer    *http.Server
	directoryServer *http.Server
	readinessServer *http.Server
	metricsServer   *http.Server
	relayServer     *http.Server

	mu      sync.Mutex
	leaving bool
}

// New builds an instance. Errors: code.InvalidSettings and those of the sockets.
func New(o Options) (*Instance, error) {
	i := &Instance{
		log:         o.Log,
		registry:    prometheus.NewRegistry(),
		id:          o.Settings.Name + "/" + uuid.NewString()[:8],
		storeClient: platform.NewClient(o.Settings.Store.Address),
		endpointTTL: cmp.Or(o.EndpointTTL, DefaultEndpointTTL),
	}
	i.settings.Store(&o.Settings)
	if i.log == nil {
		i.log = zap.NewNop()
	}
	i.peerGroups.Store(&[]upstream.PeerGroup{})
	i.instanceAddresses.Store(&[]string{})
	i.log = i.log.With(zap.String("instance", i.id))
	for _, step := range []func() error{i.buildStore, i.buildRouting, i.buildDispatcher, i.buildRoster, i.buildJobs} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	i.registerMetrics(o.DroppedLines)
	i.buildServers()
	return i, nil
}

// buildStore puts the detour through peers before the store.
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

func (i *Instance) buildRouting() error {
	i.document = &routing.Document{Key: platform.DocumentKey, Decode: platform.DecodeRouting, Log: i.log}
	i.workers = &routing.Workers{Decode: platform.DecodeWorker, DataCentres: i.settings.Load().Regions, Log: i.log}
	i.feeds = []*feed.Follower{
		feed.New(feed.Options{Rows: i.store, Table: platform.OperatorTable, Update: i.document.Update, Log: i.log}),
		feed.New(feed.Options{Rows: i.store, Table: platform.WorkerTable, Update: i.updateWorkers, Log: i.log}),
	}
	return nil
}

func (i *Instance) buildDispatcher() error {
	var err error
	i.dispatcher, err = upstream.New(upstream.Options{
		Document:   i.workers.Current,
		DataCentre: i.settings.Load().DataCentre,
		InstanceID: i.id,
		Wire:       platform.WorkerWire{},
		Logger:     i.log,
		Registerer: i.registry,
		SubsetSize: subsetSize,
		// Digests and answers serve the queues as they come; a sweep is left to
		// find stalls.
		SweepInterval: sweepInterval,
	})
	return err
}

const (
	// subsetSize lets an instance use every upstream of its cell.
	subsetSize    = 1 << 10
	sweepInterval = 100 * time.Millisecond
)

func (i *Instance) buildRoster() error {
	settings := i.settings.Load()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(settings.IP), Port: settings.FirstPort})
	if err != nil {
		return err
	}
	i.roster = roster.New(roster.Options{Rows: i.store, Log: i.log, Changed: i.updateCell, PeerHeard: i.dispatcher.PeerHeard, Heard: i.lastContact, Self: roster.Member{
		Name:       settings.Name,
		ID:         i.id,
		Callers:    settings.Callers,
		Peers:      conn.LocalAddr().String(),
		DataCentre: settings.DataCentre,
	}})
	i.broadcast, err = upstream.NewBroadcast(upstream.BroadcastOptions{
		Dispatcher: i.dispatcher,
		InstanceID: i.id,
		Peers:      func() []upstream.PeerGroup { return *i.peerGroups.Load() },
		Conn:       conn,
		Log:        i.log,
	})
	return err
}

// heard returns when a process that shares workers with this one told its load
// last; others don't tell it.
func (i *Instance) lastContact(process string) (time.Time, bool) {
	at, ok := i.dispatcher.PeerHeardOf(process)
	return at, ok && i.peerIDs.Load() != nil && (*i.peerIDs.Load())[process]
}

// updateWorkers takes in changes of the workers' table, which may change the number of
// cells.
func (i *Instance) updateWorkers(u feed.Update) {
	i.workers.Update(u)
	i.updatePeers()
}

// divide brings the cell of this instance up to date after a change of the
// fleet.
func (i *Instance) updateCell() {
	i.workers.SetInstances(i.settings.Load().Name, i.roster.View().Names())
	i.updatePeers()
}

// group takes the instances that share workers with this one into use.
func (i *Instance) updatePeers() {
	i.peersMu.Lock()
	defer i.peersMu.Unlock()
	view := i.roster.View()
	var groups []upstream.PeerGroup
	names := map[string]bool{}
	for _, sharing := range i.workers.Sharing() {
		group := upstream.PeerGroup{Uses: func(worker string) bool { return i.workers.UsedBy(sharing.Cell, worker) }}
		for _, name := range sharing.Instances {
			if peer, ok := view.Peers[name]; ok {
				group.Addresses = append(group.Addresses, peer)
				names[name] = true
			}
		}
		groups = append(groups, group)
	}
	i.peerGroups.Store(&groups)
	sharing := make(map[string]bool, len(names))
	for _, m := range view.Alive {
		if names[m.Name] {
			sharing[m.ID] = true
		}
	}
	i.peerIDs.Store(&sharing)
	others := make([]string, 0, len(view.Peers))
	for _, peer := range view.Peers {
		others = append(others, peer.String())
	}
	i.instanceAddresses.Store(&others)
}

func (i *Instance) buildJobs() error {
	i.jobs = job.New(job.Options{
		Store:     i.store,
		Process:   i.id,
		Forwarder: i.dispatcher,
		Routing:   i.document.Current,
		Decode:    platform.DecodeItems,
		Describe:  func(f *contract.Forwarding, it *job.Item) { platform.Describe(f, it.Header) },
		Retention: i.settings.Load().Bounds.StatusFor,
		Log:       i.log,
		Fleet: func() job.Fleet {
			view := i.roster.View()
			return job.Fleet{Known: i.roster.Followed(), Alive: view.Processes, Isolated: i.roster.Isolated(), Replaced: view.Replaced}
		},
	})
	return nil
}

func (i *Instance) buildServers() {
	handler := entry.NewHandler(entry.Options{Routing: i.document.Current, Forwarder: i.dispatcher, Jobs: i.jobs, Log: i.log})
	i.callerServer = newServer(handler)
	// Requests of callers have the time that they bring with them.
	i.callerServer.ReadTimeout = 0
	i.callerServer.ConnState = newIdleCloser(i.callerIdleTimeout).connState
	i.directoryServer = newServer(http.HandlerFunc(i.serveDirectory))
	i.readinessServer = newServer(http.HandlerFunc(i.serveReadiness))
	mux := http.NewServeMux()
	mux.Handle(relay.NewHandler(i.storeClient))
	i.relayServer = newServer(mux)
	i.metricsServer = newServer(promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
}

// callerIdleTimeout is how long the document in force lets callers' connections rest.
func (i *Instance) callerIdleTimeout() time.Duration {
	if d := i.document.Current(); d != nil {
		return d.Limits.IdleTimeout
	}
	return 0
}

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

// ready reports whether callers can be served.
func (i *Instance) ready() bool {
	return i.document.Current() != nil && i.workers.Known() && !i.isLeaving()
}

func (i *Instance) isLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

func (i *Instance) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case !platform.IsReadyCall(r):
		w.WriteHeader(http.StatusNotFound)
	case i.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

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

// Run serves until ctx ends, then carries out a planned stop.
func (i *Instance) Run(ctx context.Context) error {
	settings := i.settings.Load()
	i.log.Info("starting", zap.String("data_centre", settings.DataCentre), zap.String("callers", settings.Callers),
		zap.Int("first_port", settings.FirstPort), zap.Int("last_port", settings.LastPort), zap.Int64("memory_bytes", settings.Memory))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	for _, f := range i.feeds {
		group.Go(func() error { return f.Run(work) })
	}
	for _, run := range []func(context.Context) error{i.dispatcher.Run, i.broadcast.Run, i.roster.Run, i.jobs.Run, i.publishReady} {
		group.Go(func() error { return run(work) })
	}
	servers := map[*http.Server]string{
		i.callerServer:    settings.Callers,
		i.directoryServer: settings.Directory,
		i.readinessServer: settings.Readiness,
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
	case <-work.Done():
	}
	i.shutdown()
	stop()
	err := group.Wait()
	i.storeClient.Close()
	i.log.Info("stopped", zap.Error(err))
	return err
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// readyInterval is the time between two looks at the readiness of a starting
// instance.
const readyInterval = 20 * time.Millisecond

// publishReady tells the fleet once this instance can serve.
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
	i.roster.Announce(func(m *roster.Member) { m.Ready = true })
	return nil
}

// leave carries out the planned stop: the instance leaves the endpoint answers,
// serves on for as long as callers may keep an old one, hands its jobs over and
// lets open requests end.
func (i *Instance) shutdown() {
	began := time.Now()
	grace := i.settings.Load().Bounds.Grace
	end := began.Add(grace - exitReserve)
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
	i.log.Info("leaving")
	i.roster.Announce(func(m *roster.Member) { m.Leaving, m.Ready = true, false })
	late := min(time.Duration(endpointLingerTTLs*float64(i.endpointTTL)), grace/2)
	time.Sleep(late / 2)
	// Callers on kept connections are told to go elsewhere.
	i.callerServer.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	handOver, cancelHandOver := context.WithTimeout(ctx, late/2)
	i.jobs.Stop(handOver)
	cancelHandOver()
	time.Sleep(time.Until(began.Add(late)))
	if err := i.callerServer.Shutdown(ctx); err != nil {
		i.log.Warn("requests were open at the end of the grace", zap.Error(err))
		_ = i.callerServer.Close()
	}
	_ = i.directoryServer.Close()
	_ = i.readinessServer.Close()
	_ = i.metricsServer.Close()
	_ = i.relayServer.Close()
}
