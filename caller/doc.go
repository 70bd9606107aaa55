// Package caller is the listener for callers: it identifies the account,
// bounds what a request may cost, hands the work to the upstream dispatcher,
// and writes answers and numbered errors in OpenAI's shapes. The daemon mounts
// it; it never answers for the peer or operator plane.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// Dispatcher runs calls on upstreams. Errors carry a number and an outcome.
type Dispatcher interface {
	// Complete streams the answer of a model service into sink.
	Complete(ctx context.Context, call *contract.Completion, sink contract.ChunkSink) error
	// Call returns the whole answer of a plain service.
	Call(ctx context.Context, call *contract.PlainCall) (*contract.PlainAnswer, error)
}

// Claim identifies a piece of work that may run at most once.
type Claim struct {
	Account  string
	Service  string
	Key      string
	Content  []byte
	Deadline time.Time
}

// Claims records work before it is dispatched and keeps its answer.
type Claims interface {
	// Do claims the work, runs it when the claim is granted, stores the answer
	// and returns it. A resend gets the stored answer without a run.
	Do(ctx context.Context, claim Claim, run func(context.Context) (contract.PlainAnswer, error)) (contract.PlainAnswer, error)
	// Lookup returns the stored answer of earlier work. Errors are
	// code.NotFound, code.ResultPending and code.OutcomeUnknown.
	Lookup(ctx context.Context, account, service, key string) (contract.PlainAnswer, error)
}

// Header names of the callers' interface.
const (
	HeaderRequestID      = "X-Request-ID"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Bounds of a request that no setting changes.
const (
	maxHeaderBytes       = 32 << 10
	maxRequestIDBytes    = 128
	maxKeyBytes          = 256
	bodyReadTimeout      = 10 * time.Second
	headerReadTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	serverMaxHeaderBytes = 1 << 20
)

// NewHTTPServer returns the server for the callers' listener. Its header bound
// is above the package's own, so that oversized headers get a numbered error.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverMaxHeaderBytes,
	}
}
