// Package hosted puts the parts of an instance together that runs on the users'
// platform: callers' listener, directory and readiness, the document and the
// workers by feeds of the store, the dispatcher, and the jobs. All instances are
// equal and keep nothing. The daemon's main runs it.
package hosted

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/platform"
)

// Options of an Instance.
type Options struct {
	Settings platform.Settings
	// Log may be nil.
	Log *zap.Logger
	// DroppedLines counts the log lines that were dropped; it may be nil.
	DroppedLines func() uint64
	// EndpointTTL is how long callers keep an endpoint answer; 0 means
	// DefaultEndpointTTL.
	EndpointTTL time.Duration
}

const (
	// DefaultEndpointTTL keeps callers off an instance that is lost.
	DefaultEndpointTTL = time.Second
	// endpointLingerTTLs is how many lifetimes some callers keep an answer, with half
	// of one for the others to learn that an instance leaves.
	endpointLingerTTLs = 3.5
	// exitReserve is kept of the grace to hand over and exit.
	exitReserve = 900 * time.Millisecond
	// Connections to peers, for calls of the store that take a detour. The dial
	// time is many times the distance between two data centres.
	peerDialTimeout = 250 * time.Millisecond
	peerIdleConns   = 4
	peerIdleTimeout = 10 * time.Second
	// metricsPort is where deploy/system.toml says that metrics are.
	metricsPort = 9464
	// maxEndpoints bounds an endpoint answer.
	maxEndpoints = 64

	headerTimeout = 10 * time.Second
	// readTimeout bounds the reading of a request of a peer or the platform. It is
	// over the longest wait of a call through a peer, which it would end.
	readTimeout = 10 * time.Second
	// idleTimeout is far over the time for which callers use an idle connection
	// again, so that their requests do not cross a close.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
)
