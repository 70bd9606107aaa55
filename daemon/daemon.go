// Package daemon builds and runs one instance: three listeners, the configuration,
// the membership view, the dispatcher, claims and batch jobs. The main package of
// daisylbd and the dev command run it; other programs may embed it.
package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/caller"
	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/datacentre"
	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/guard"
	"github.com/daisylb/daisylb/storage/httpstore"
	"github.com/daisylb/daisylb/upstream"
)

// Options configures a Daemon.
type Options struct {
	// Settings are the settings of the instance.
	Settings Settings
	// Store is the platform's store; nil means the one at Settings.Platform.URL.
	Store storage.Store
	// Logger may be nil.
	Logger *zap.Logger
}

// Daemon is one instance. New opens its listeners; Run serves until its context ends
// and then carries out a planned stop.
type Daemon struct {
	settings  Settings
	log       *zap.Logger
	registry  *prometheus.Registry
	startedAt time.Time
	identity  instance.Identity
	// runID differs between two runs with the same identity.
	runID     string
	lifecycle *instance.Lifecycle
	members   *instance.Membership

	adapter    *httpstore.Store
	store      *guard.Guard
	peerClient *http.Client
	config     *config.Store

	dispatcher *upstream.Dispatcher
	exchange   *upstream.Exchange
	claims     *claim.Service
	jobs       *batch.Service
	runner     *batch.Runner
	sweeper    *batch.Sweeper
	batches    *batch.Handler
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
		settings:  o.Settings,
		log:       o.Logger,
		registry:  prometheus.NewRegistry(),
		startedAt: time.Now(),
		runID:     uuid.NewString(),
	}
	if d.log == nil {
		d.log = zap.NewNop()
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.openListeners(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.build(o.Store); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// openListeners opens the listeners and sets the identity, which contains their
// addresses.
func (d *Daemon) openListeners() error {
	var err error
	if d.callers, err = newListener("callers", d.settings.Callers, d.log); err != nil {
		return err
	}
	if d.peers, err = newListener("peers", d.settings.Peers, d.log); err != nil {
		return err
	}
	if d.operators, err = newListener("operators", d.settings.Operators, d.log); err != nil {
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

// CallerAddress returns the advertised address of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.callers.advertised }

// PeerAddress returns the advertised address of the peers' listener.
func (d *Daemon) PeerAddress() string { return d.peers.advertised }

// OperatorAddress returns the advertised address of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.operators.advertised }

// Ready returns nil when the instance serves callers. Errors: code.NoConfiguration
// and code.Draining.
func (d *Daemon) Ready() error {
	if err := d.config.Ready(); err != nil {
		return err
	}
	if d.lifecycle.State() == instance.Starting {
		return code.New(code.NoConfiguration, "the instance is starting")
	}
	if state := d.lifecycle.State(); state != instance.Serving {
		return code.New(code.Draining, "the instance is %s", state)
	}
	return nil
}

// Run serves until ctx ends, then carries out a planned stop: the instance is removed
// from endpoint answers, still accepts requests until callers' earlier endpoint
// answers have expired, and waits for open requests. The end of skipWait ends two
// waits early: until endpoint answers have expired, and until all answers are stored.
// If a task fails, Run stops the instance and returns the error.
func (d *Daemon) Run(ctx, skipWait context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, runCtx := errgroup.WithContext(background)
	// The batch runner has a context of its own: on a planned stop it hands its leases
	// over first, while requests are still accepted.
	batchCtx, cancelBatch := context.WithCancel(runCtx)
	defer cancelBatch()
	d.startTasks(runCtx, tasks)
	tasks.Go(func() error { return ignoreCancel(d.runner.Run(batchCtx)) })
	d.log.Info("listening",
		zap.String("callers", d.CallerAddress()),
		zap.String("peers", d.PeerAddress()),
		zap.String("operators", d.OperatorAddress()))
	tasks.Go(func() error { return d.serveWhenReady(runCtx) })
	var err error
	select {
	case <-runCtx.Done():
	case <-ctx.Done():
		cancelBatch()
		err = d.drain(skipWait)
		d.flushAnswers(skipWait)
		d.notifyLeft()
	}
	d.shutdown(skipWait)
	stop()
	return errors.Join(err, tasks.Wait())
}

// startTasks starts the listeners and the background loops of the parts.
func (d *Daemon) startTasks(ctx context.Context, g *errgroup.Group) {
	d.callers.start(ctx, g)
	d.peers.start(ctx, g)
	d.operators.start(ctx, g)
	g.Go(func() error { return ignoreCancel(d.config.Run(ctx)) })
	g.Go(func() error { return ignoreCancel(d.members.Run(ctx)) })
	g.Go(func() error { return ignoreCancel(d.dispatcher.Run(ctx)) })
	g.Go(func() error { return ignoreCancel(d.exchange.Run(ctx)) })
	g.Go(func() error { return ignoreCancel(d.claims.Run(ctx)) })
	g.Go(func() error { return ignoreCancel(d.sweeper.Run(ctx)) })
}

// serveWhenReady waits until the instance has a configuration and knows the other
// members, and then changes the state to serving, which adds the instance to endpoint
// answers. Earlier, callers would be directed to an instance that rejects their
// requests.
func (d *Daemon) serveWhenReady(ctx context.Context) error {
	if _, err := d.config.Watch(ctx, 0); err != nil {
		return ignoreCancel(err)
	}
	select {
	case <-d.members.Joined():
	case <-ctx.Done():
		return nil
	}
	// A planned stop may have begun meanwhile.
	if d.lifecycle.State() != instance.Starting {
		return nil
	}
	return d.lifecycle.Serve()
}

// flushAnswers waits until all answers under claims are stored, or until ctx ends.
func (d *Daemon) flushAnswers(ctx context.Context) {
	if pending := d.claims.Drain(ctx); pending > 0 {
		d.log.Error("answers not stored before the stop", zap.Int("answers", pending))
	}
}

// drain accepts requests until callers' endpoint answers have expired, or until ctx
// ends, and then waits for open requests.
func (d *Daemon) drain(ctx context.Context) error {
	result, err := d.lifecycle.Drain(ctx, instance.Drain{
		AnswerTTL: datacentre.TTL(d.config.Current()),
		Margin:    d.settings.Drain.Margin,
		Bound:     d.settings.Drain.Bound,
		InFlight:  d.listener.InFlight,
	})
	d.log.Info("drained", zap.Duration("accepted", result.AcceptDuration), zap.Duration("finished", result.FinishDuration), zap.Int("cut_off", result.CutOff))
	return err
}

// notifyLeft notifies the members that monitor this instance that it has stopped.
func (d *Daemon) notifyLeft() {
	ctx, cancel := context.WithTimeout(context.Background(), notifyLeftTimeout)
	defer cancel()
	d.members.Leave(ctx)
}

// notifyLeftTimeout limits the time for notifying the other members.
const notifyLeftTimeout = time.Second

// shutdownTimeout limits the time for closing the remaining connections.
const shutdownTimeout = 5 * time.Second

// shutdown closes the listeners, the callers' first.
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

// Configuration returns the store of the configuration document and its changes.
func (d *Daemon) Configuration() *config.Store { return d.config }

// Close closes the sockets of a daemon whose Run was not called.
func (d *Daemon) Close() {
	for _, l := range []*listener{d.callers, d.peers, d.operators} {
		if l != nil && l.socket != nil {
			_ = l.socket.Close()
		}
	}
}
