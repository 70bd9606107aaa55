// Package caller implements the HTTP listener for callers. It authenticates the
// account, limits the size, time and number of its requests, passes the work to
// the upstream dispatcher, and writes answers and numbered errors in OpenAI's
// JSON format. Peers and operators have listeners of their own.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// Dispatcher runs calls on upstreams. Its errors carry a number and an outcome
// (see package code). It must be safe for concurrent use.
type Dispatcher interface {
	// Complete passes the chunks of a model service's answer to sink.
	Complete(ctx context.Context, call *contract.Completion, sink contract.ChunkSink) error
	// Call returns the complete answer of a plain service.
	Call(ctx context.Context, call *contract.PlainCall) (*contract.PlainAnswer, error)
}

// Claim identifies a request that may run at most once. Content must be the same
// whenever the same key is used again.
type Claim struct {
	Account  string
	Service  string
	Key      string
	Content  []byte
	Deadline time.Time
}

// Claims records a request before it is dispatched and stores its answer.
type Claims interface {
	// Do claims the request, calls run when the claim is granted, stores the
	// answer and returns it. A request that is sent again gets the stored answer
	// without another run.
	Do(ctx context.Context, claim Claim, run func(context.Context) (contract.PlainAnswer, error)) (contract.PlainAnswer, error)
	// Lookup returns the stored answer of an earlier request. Errors are
	// code.NotFound, code.ResultPending and code.OutcomeUnknown.
	Lookup(ctx context.Context, account, service, key string) (contract.PlainAnswer, error)
}

// Header names of the callers' interface.
const (
	HeaderRequestID      = "X-Request-ID"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Limits of requests and connections that cannot be configured.
const (
	maxHeaderBytes       = 32 << 10
	maxRequestIDBytes    = 128
	maxKeyBytes          = 256
	bodyReadTimeout      = 10 * time.Second
	headerReadTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	serverMaxHeaderBytes = 1 << 20
)

// NewHTTPServer returns a server of h that limits the time for the headers and the
// time that a connection may be idle. Its header limit is above maxHeaderBytes, so
// that oversized headers get a numbered error instead of net/http's own response.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverMaxHeaderBytes,
	}
}
