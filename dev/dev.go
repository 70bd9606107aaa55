// Package dev runs one instance together with stand-ins in one process, so that
// a newcomer gets an answer without any set-up. It is not for production.
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

// Keys of the environment; they open nothing else.
const (
	CallerKey   = "dev-key"
	OperatorKey = "dev-operator-key"
	peerKey     = "dev-peer-key-0000"
)

const (
	dataCentre  = "dev"
	loopback    = "127.0.0.1:0"
	engineSlots = 16
	engineStep  = 10 * time.Millisecond
	// devMargin is short since nobody else answers for this instance.
	devMargin  = time.Millisecond
	maxEngines = 64
)

// Options of an Environment.
type Options struct {
	// Listen and Operators are IP:port of the callers' and operators' listeners.
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

// Start starts the stand-ins and opens the instance's listeners.
func Start(o Options) (*Environment, error) {
	if o.Engines < 1 || o.Engines > maxEngines {
		return nil, fmt.Errorf("engines: found %d, expected 1 to %d", o.Engines, maxEngines)
	}
	s := standin.Settings{Platform: &standin.Platform{Address: loopback}}
	for range o.Engines {
		s.Engines = append(s.Engines, standin.Engine{Address: loopback, Slots: engineSlots, Step: engineStep})
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
	settings.OperatorKeys = []operator.Key{{Name: "dev", SHA256: sum(OperatorKey)}}
	settings.Platform.URL = "http://" + group.PlatformAddress
	settings.Log = daemon.LogSettings{Level: o.LogLevel, Format: "console"}
	settings.Drain.Margin = devMargin
	settings.IsolationLimit = 0
	log, err := daemon.NewLogger(settings.Log)
	if err != nil {
		return nil, err
	}
	return daemon.New(daemon.Options{Settings: settings, Logger: log})
}

func sum(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// Run serves until ctx ends. Open requests finish; nobody holds an old
// endpoint answer, so there is no wait for late callers.
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

// Configured waits until the document of the environment is in force.
func (e *Environment) Configured(ctx context.Context) error {
	_, err := e.Daemon.Configuration().Watch(ctx, 0)
	return err
}

// configure submits the document as an operator would. Until the instance has
// read that there is none yet, the change is refused.
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

// startBackoff spaces the attempts to configure a starting instance.
var startBackoff = retry.Backoff{Min: 5 * time.Millisecond, Max: 100 * time.Millisecond}

// Welcome says what to try next.
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
