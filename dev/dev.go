// Package dev runs one instance together with stand-ins in one process, for trying
// out daisylb without any setup. It is not for production use.
package dev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/daemon"
	"github.com/daisylb/daisylb/operator"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/standin"
)

// Keys of the environment. They are public and valid only there.
const (
	CallerKey   = "dev-key"
	OperatorKey = "dev-operator-key"
	peerKey     = "dev-peer-key-0000"
)

const (
	dataCentre     = "dev"
	loopback       = "127.0.0.1:0"
	engineSlots    = 16
	engineStepTime = 10 * time.Millisecond
	// drainMargin is short because no other instance gives endpoint answers that
	// name this one.
	drainMargin = time.Millisecond
	maxEngines  = 64
)

// Options configure an Environment.
type Options struct {
	// Listen and Operators are the addresses, IP:port, of the listeners for callers
	// and for operators.
	Listen    string
	Operators string
	// Engines is the number of stand-in engines, 1 to 64.
	Engines int
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Environment is a running instance with its stand-ins.
type Environment struct {
	// StandIns are the platform and the upstreams.
	StandIns *standin.Group
	// Daemon is the instance.
	Daemon *daemon.Daemon
}

// Start starts the stand-ins and opens the instance's listeners. Run serves them.
func Start(o Options) (*Environment, error) {
	if o.Engines < 1 || o.Engines > maxEngines {
		return nil, fmt.Errorf("engines: found %d, expected 1 to %d", o.Engines, maxEngines)
	}
	s := standin.Settings{Platform: &standin.Platform{Address: loopback}}
	for range o.Engines {
		s.Engines = append(s.Engines, standin.Engine{Address: loopback, Slots: engineSlots, Step: engineStepTime})
	}
	group, err := standin.Start(s)
	if err != nil {
		return nil, err
	}
	d, err := newDaemon(o, group)
	if err != nil {
		group.Close()
		return nil, err
	}
	return &Environment{StandIns: group, Daemon: d}, nil
}

func newDaemon(o Options, group *standin.Group) (*daemon.Daemon, error) {
	settings := daemon.Default()
	settings.ID = "dev-1"
	settings.DataCentre = dataCentre
	settings.Callers.Address = o.Listen
	settings.Peers.Address = loopback
	settings.Operators.Address = o.Operators
	settings.PeerKeys = []string{peerKey}
	settings.OperatorKeys = []operator.Key{{Name: "dev", SHA256: keyHash(OperatorKey)}}
	settings.Platform.URL = "http://" + group.PlatformAddress
	settings.Log = daemon.LogSettings{Level: o.LogLevel, Format: "console"}
	settings.Drain.Margin = drainMargin
	settings.IsolationLimit = 0
	log, err := daemon.NewLogger(settings.Log)
	if err != nil {
		return nil, err
	}
	return daemon.New(daemon.Options{Settings: settings, Logger: log})
}

func keyHash(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// Run serves until ctx ends and then finishes the open requests. It does not wait
// for callers that hold an old endpoint answer, since no other instance gives such
// answers: ctx is also the context that skips this wait.
func (e *Environment) Run(ctx context.Context) error {
	standIns, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	tasks.Go(func() error { return e.StandIns.Run(standIns) })
	tasks.Go(func() error { return e.configure(standIns) })
	err := e.Daemon.Run(ctx, ctx)
	stop()
	return errors.Join(err, tasks.Wait())
}

// Configured waits until the document of the environment is in force or ctx ends.
func (e *Environment) Configured(ctx context.Context) error {
	_, err := e.Daemon.Configuration().Watch(ctx, 0)
	return err
}

// configure submits the document as an operator does. The instance rejects the
// change with code.NoConfiguration until it has read the table, so configure
// retries. It returns nil when ctx ends first.
func (e *Environment) configure(ctx context.Context) error {
	request := config.Request{
		ID:     "dev",
		Author: "dev",
		Edits:  config.Diff(&contract.Document{}, newDocument(e.StandIns)),
	}
	for attempt := 0; ; attempt++ {
		_, err := e.Daemon.Configuration().Submit(ctx, request)
		if code.Of(err) != code.NoConfiguration {
			return err
		}
		if startBackoff.Sleep(ctx, attempt) != nil {
			return nil
		}
	}
}

// startBackoff is the delay between attempts to configure a starting instance.
var startBackoff = retry.Backoff{Min: 5 * time.Millisecond, Max: 100 * time.Millisecond}

// Welcome returns a text with the addresses, the keys and examples of requests.
func (e *Environment) Welcome() string {
	return fmt.Sprintf(`daisylb dev: one instance, %d stand-in engines, all in this process.

Callers:   http://%[2]s   key %[3]s   services asistente-bolero, deskmate
Operators: http://%[4]s   key %[5]s

Try next:
  curl -s http://%[2]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"asistente-bolero","messages":[{"role":"user","content":"hola"}]}'
  curl -sN http://%[2]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"deskmate","stream":true,"messages":[{"role":"user","content":"quote a rug"}]}'
  curl -s http://%[2]s/v1/models -H 'Authorization: Bearer %[3]s'
  curl -s http://%[2]s/v1/endpoints -H 'Authorization: Bearer %[3]s'
  curl -s http://%[4]s/debug/state -H 'Authorization: Bearer %[5]s'

Ctrl-C stops it after the open requests.
`, len(e.StandIns.EngineAddresses), e.Daemon.CallerAddress(), CallerKey, e.Daemon.OperatorAddress(), OperatorKey)
}
