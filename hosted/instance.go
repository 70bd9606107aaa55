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
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/budget"
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
	// budget is that of the port for requests, nil if the settings have no memory limit.
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

	callerServer  *http.Server
	connections   *connections
	directory     port
	readiness     port
	metricsServer *http.Server
	relayServer   *http.Server

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
	for _, step := range []func() error{i.buildStore, i.buildRouting, i.buildQuarantine, i.buildDispatcher, i.buildRoster, i.buildQuota, i.buildBudgets, i.buildJobs} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	i.registerMetrics(o.DroppedLines)
	i.buildServers()
	return i, nil
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
		i.directory.server: settings.DirectoryAddress,
		i.readiness.server: settings.ReadinessAddress,
		i.relayServer:      net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		i.metricsServer:    net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort)),
	}
	for server, address := range servers {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return err
		}
		group.Go(func() error { return serve(server, i.guard(server, listener)) })
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
