// Package daemon puts the parts of one instance together: three listeners, the
// configuration, the membership view, the dispatcher, claims and batch. The
// daemon's main and the dev command run it; other programs may embed it.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/caller"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/datacentre"
	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/operator"
	"github.com/daisylb/daisylb/upstream"
)

// Options of a Daemon.
type Options struct {
	// Settings of the instance.
	Settings Settings
	// Document is the configuration in force, or nil; required.
	Document func() *contract.Document
	// Logger may be nil.
	Logger *zap.Logger
}

// Daemon is one instance. New opens its listeners, Run serves until the context
// ends and the planned stop is over.
type Daemon struct {
	settings  Settings
	log       *zap.Logger
	registry  *prometheus.Registry
	started   time.Time
	identity  instance.Identity
	lifecycle *instance.Lifecycle
	view      atomic.Pointer[instance.View]
	document  func() *contract.Document

	dispatcher *upstream.Dispatcher
	endpoints  *datacentre.Handler
	listener   *caller.Listener

	callers   *listener
	peers     *listener
	operators *listener
}

// New builds an instance and opens its listeners. Errors:
// code.InvalidSettings.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		settings: o.Settings,
		log:      o.Logger,
		registry: prometheus.NewRegistry(),
		started:  time.Now(),
		document: o.Document,
	}
	if d.log == nil {
		d.log = zap.NewNop()
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.open(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.build(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// open binds the listeners and draws the identity from their addresses.
func (d *Daemon) open() error {
	var err error
	if d.callers, err = openListener("callers", d.settings.Callers, d.log); err != nil {
		return err
	}
	if d.peers, err = openListener("peers", d.settings.Peers, d.log); err != nil {
		return err
	}
	if d.operators, err = openListener("operators", d.settings.Operators, d.log); err != nil {
		return err
	}
	d.identity = instance.Identity{
		ID:            d.settings.ID,
		DataCentre:    d.settings.DataCentre,
		CallerAddress: d.callers.advertised,
		PeerAddress:   d.peers.advertised,
	}
	if d.identity.ID == "" {
		d.identity.ID = d.settings.DataCentre + "-" + uuid.NewString()
	}
	d.log = d.log.With(zap.String("instance", d.identity.ID))
	return nil
}

func (d *Daemon) build() error {
	d.lifecycle = instance.NewLifecycle(d.log)
	d.view.Store(instance.NewView(instance.Member{Identity: d.identity, Health: instance.Alive, State: instance.Serving}))
	if err := d.buildCallers(); err != nil {
		return err
	}
	d.buildPeers()
	d.buildOperators()
	return nil
}

func (d *Daemon) buildCallers() error {
	var err error
	d.dispatcher, err = upstream.New(upstream.Options{
		Document:   d.document,
		DataCentre: d.settings.DataCentre,
		InstanceID: d.identity.ID,
		Logger:     d.log,
		Registerer: d.registry,
	})
	if err != nil {
		return err
	}
	d.endpoints, err = datacentre.NewHandler(datacentre.Options{
		View:       d.view.Load,
		Document:   d.document,
		Seed:       seedOf(d.identity.ID),
		Registerer: d.registry,
	})
	if err != nil {
		return err
	}
	d.listener = caller.NewListener(caller.Options{
		Document:   d.document,
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

// CallerAddress, PeerAddress and OperatorAddress are what others are told.
func (d *Daemon) CallerAddress() string { return d.callers.advertised }

// PeerAddress is the advertised address of the peers' listener.
func (d *Daemon) PeerAddress() string { return d.peers.advertised }

// OperatorAddress is the advertised address of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.operators.advertised }

// ready returns nil when callers are served.
func (d *Daemon) ready() error {
	if d.document() == nil {
		return code.New(code.NoConfiguration, "the instance has no configuration yet")
	}
	if state := d.lifecycle.State(); state != instance.Serving {
		return code.New(code.Draining, "the instance is %s", state)
	}
	return nil
}

// Run serves until ctx ends, then carries out a planned stop: endpoint answers
// leave the instance out, late callers are still taken, open requests finish.
// A second signal through hurry skips the wait for late callers.
func (d *Daemon) Run(ctx, hurry context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	failed := make(chan error, 1)
	d.startTasks(background, &tasks)
	go func() { failed <- tasks.Wait() }()
	if err := d.lifecycle.Serve(); err != nil {
		return err
	}
	d.log.Info("serving",
		zap.String("callers", d.CallerAddress()),
		zap.String("peers", d.PeerAddress()),
		zap.String("operators", d.OperatorAddress()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	err := d.drain(hurry)
	d.shutdown(hurry)
	stop()
	return errors.Join(err, <-failed)
}

// startTasks starts the listeners and the parts' own loops.
func (d *Daemon) startTasks(ctx context.Context, g *errgroup.Group) {
	d.callers.start(ctx, g)
	d.peers.start(ctx, g)
	d.operators.start(ctx, g)
	g.Go(func() error { return ignoreCancel(d.dispatcher.Run(ctx)) })
}

// drain takes late callers for as long as they may hold an old answer.
func (d *Daemon) drain(hurry context.Context) error {
	result, err := d.lifecycle.Drain(hurry, instance.Drain{
		AnswerTTL: datacentre.TTL(d.document()),
		Margin:    d.settings.Drain.Margin,
		Bound:     d.settings.Drain.Bound,
		InFlight:  d.listener.InFlight,
	})
	d.log.Info("drained", zap.Duration("accepted", result.Accepted), zap.Duration("finished", result.Finished), zap.Int("cut_off", result.CutOff))
	return err
}

// shutdownTimeout bounds the end of connections that carry no request.
const shutdownTimeout = 5 * time.Second

// shutdown closes the listeners, callers first.
func (d *Daemon) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	for _, l := range []*listener{d.callers, d.peers, d.operators} {
		if err := l.server.Shutdown(ctx); err != nil {
			d.log.Warn("listener closed with open connections", zap.String("listener", l.name), zap.Error(err))
			_ = l.server.Close()
		}
	}
}

// Close releases the sockets of a daemon that was not run.
func (d *Daemon) Close() {
	for _, l := range []*listener{d.callers, d.peers, d.operators} {
		if l != nil && l.socket != nil {
			_ = l.socket.Close()
		}
	}
}

// Dump is the state of one instance.
type Dump struct {
	Instance  instance.Identity       `json:"instance"`
	Started   time.Time               `json:"started"`
	Lifecycle instance.State          `json:"lifecycle"`
	Version   uint64                  `json:"configuration_version"`
	Preset    string                  `json:"preset"`
	Callers   caller.State            `json:"callers"`
	Upstreams upstream.State          `json:"upstreams"`
	Members   []instance.Member       `json:"members"`
	Endpoints datacentre.HandlerState `json:"endpoints"`
}

func (d *Daemon) dump() ([]byte, error) {
	dump := Dump{
		Instance:  d.identity,
		Started:   d.started,
		Lifecycle: d.lifecycle.State(),
		Callers:   d.listener.State(),
		Upstreams: d.dispatcher.State(),
		Members:   d.view.Load().Live(),
		Endpoints: d.endpoints.State(),
	}
	if document := d.document(); document != nil {
		dump.Version = document.Version
		dump.Preset = document.Preset
	}
	return json.Marshal(dump)
}
