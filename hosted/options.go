// Package hosted builds and runs an instance on the users' platform. Its parts are
// the listeners for callers, endpoint queries, readiness checks, peers and metrics;
// the document and the workers, which follow tables of the store; the dispatcher;
// and the jobs. All instances are equal and keep no persistent state. The main
// package of daisylbd runs it.
package hosted

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/platform"
)

// Options configures an Instance.
type Options struct {
	Settings platform.Settings
	// Log may be nil.
	Log *zap.Logger
	// DroppedLines returns the number of log lines that were dropped; it may be nil.
	DroppedLines func() uint64
	// EndpointTTL is how long callers may keep an endpoint answer; 0 means
	// DefaultEndpointTTL.
	EndpointTTL time.Duration
	// LearnCapacity makes the instance learn the capacity of each upstream
	// (upstream.Options.LearnCapacity).
	LearnCapacity bool
}

const (
	// DefaultEndpointTTL is short, so that callers soon stop using an instance that
	// has failed.
	DefaultEndpointTTL = time.Second
	// endpointLingerTTLs is how long a leaving instance keeps serving, in endpoint
	// TTLs. Some callers use an answer for 3 TTLs; the other 0.5 is for the other
	// instances, which must learn that the instance is leaving.
	endpointLingerTTLs = 3.5
	// exitReserve is the part of the grace period that is reserved for handing over
	// and exiting.
	exitReserve = 900 * time.Millisecond
	// lateRequestTime is the time from the beginning of a planned stop in which callers may
	// send requests that the end of the grace period cuts.
	lateRequestTime = 3 * time.Second
	// drainingRetryAfter is short, since another instance can take the request at once.
	drainingRetryAfter = 50 * time.Millisecond
	// staleKeysRetryAfter is short, since another instance may follow the store.
	staleKeysRetryAfter = 100 * time.Millisecond
	// lastAnswerTime is the part of exitReserve in which requests that are still open
	// are answered.
	lastAnswerTime = 200 * time.Millisecond
	// Connections to peers are for relayed calls of the store. The dial timeout is
	// many times the network delay between two data centres.
	peerDialTimeout = 250 * time.Millisecond
	peerIdleConns   = 4
	peerIdleTimeout = 10 * time.Second
	// quotaPortOffset is the offset of the UDP port for messages about quotas from the first
	// port for traffic between instances.
	quotaPortOffset = 1
	// metricsPort must be the port of the metrics in deploy/system.toml.
	metricsPort = 9464
	// maxEndpoints is the largest number of addresses in an endpoint answer.
	maxEndpoints = 64

	headerTimeout = 10 * time.Second
	// readTimeout limits the reading of a request of a peer or the platform. It must be
	// longer than the longest relayed call, which it would otherwise end.
	readTimeout = 10 * time.Second
	// idleTimeout is much longer than callers reuse an idle connection, so that no
	// request is sent on a connection that is being closed.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
)
