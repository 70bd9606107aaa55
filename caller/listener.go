package caller

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// Options configures a Listener. Document and Dispatcher are required.
type Options struct {
	// Document returns the configuration in force, or nil before the first.
	Document func() *contract.Document
	// Dispatcher runs the calls.
	Dispatcher Dispatcher
	// Claims records requests that may run at most once; with nil, such requests
	// are rejected with code.ClaimUnavailable.
	Claims Claims
	// Endpoints serves GET /v1/endpoints; with nil, the path is not found.
	Endpoints http.Handler
	// Batches serves /v1/batches and everything below; with nil, these paths are
	// not found.
	Batches http.Handler
	// Stopping reports whether new requests are rejected because the instance is
	// stopping; nil means never.
	Stopping func() bool
	// Logger may be nil.
	Logger *zap.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Listener serves callers. It is safe for concurrent use.
type Listener struct {
	dispatcher Dispatcher
	claims     Claims
	accounts   *accounts
	stopping   func() bool
	log        *zap.Logger
	metrics    *metrics
	inFlight   atomic.Int64
	mux        *http.ServeMux
}

// handler serves a request, or returns the error to write to the caller.
type handler func(w http.ResponseWriter, r *http.Request) error

// NewListener returns a Listener with all its routes registered.
func NewListener(o Options) *Listener {
	l := &Listener{
		dispatcher: o.Dispatcher,
		claims:     o.Claims,
		accounts:   &accounts{document: o.Document},
		stopping:   o.Stopping,
		log:        o.Logger,
		metrics:    newMetrics(o.Registerer),
		mux:        http.NewServeMux(),
	}
	if l.log == nil {
		l.log = zap.NewNop()
	}
	if l.stopping == nil {
		l.stopping = func() bool { return false }
	}
	l.routes(o)
	return l
}

func (l *Listener) routes(o Options) {
	l.handle("POST /v1/chat/completions", "chat", l.limitInFlight(l.chat))
	l.handle("GET /v1/models", "models", l.models)
	l.handle("GET /v1/models/{model}", "models", l.model)
	l.handle("GET /v1/results/{service}/{key}", "results", l.result)
	l.handle("/s/{service}/", "plain", l.limitInFlight(l.plain))
	l.mount("/v1/endpoints", "endpoints", o.Endpoints)
	l.mount("/v1/batches", "batches", o.Batches)
	l.mount("/v1/batches/", "batches", o.Batches)
	l.handle("/v1/chat/completions", "chat", methodNotAllowed(http.MethodPost))
	l.handle("/v1/models", "models", methodNotAllowed(http.MethodGet))
	l.handle("/", "other", func(http.ResponseWriter, *http.Request) error {
		return code.New(code.NotFound, "no such path")
	})
}

// mount registers the handler of another package behind the listener's checks.
// A nil handler registers nothing.
func (l *Listener) mount(pattern, route string, h http.Handler) {
	if h == nil {
		return
	}
	l.handle(pattern, route, func(w http.ResponseWriter, r *http.Request) error {
		h.ServeHTTP(w, r)
		return nil
	})
}

func methodNotAllowed(allowed string) handler {
	return func(w http.ResponseWriter, r *http.Request) error {
		w.Header().Set("Allow", allowed)
		return code.New(code.MethodNotAllowed, "use %s", allowed)
	}
}

// handle registers h behind authentication, error responses, metrics and the
// request log. The route is the metrics label.
func (l *Listener) handle(pattern, route string, h handler) {
	l.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		id := &Identity{RequestID: requestID(r)}
		r = withIdentity(r, id)
		w.Header().Set(HeaderRequestID, id.RequestID)
		tracked := &startedWriter{ResponseWriter: w}
		err := l.admit(tracked, r, id, h)
		l.finish(tracked, r, route, start, err)
	})
}

// errAborted is the cause of a handler that panicked with http.ErrAbortHandler.
var errAborted = errors.New("the handler aborted the response")

// admit checks and authenticates a request and passes it to h. A panic in h
// becomes code.Internal, so that the cause is logged and not sent; with
// http.ErrAbortHandler it becomes code.StreamBroken.
func (l *Listener) admit(w http.ResponseWriter, r *http.Request, id *Identity, h handler) (err error) {
	defer func() {
		p := recover()
		switch {
		case p == http.ErrAbortHandler:
			err = code.Wrap(code.StreamBroken, errAborted, "the response was aborted")
		case p != nil:
			l.log.Error("panic in handler", zap.String("request_id", id.RequestID), zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			err = code.New(code.Internal, "internal error")
		}
	}()
	if l.stopping() {
		return code.New(code.Draining, "the instance is stopping").WithRetryAfter(defaultRetryAfter)
	}
	if err := checkHeaders(r.Header); err != nil {
		return err
	}
	id.index = l.accounts.current()
	if id.index.document == nil {
		return code.New(code.NoConfiguration, "the instance has no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	id.Account, err = id.index.authenticate(r)
	if err != nil {
		return err
	}
	return h(w, r)
}

// limitInFlight wraps h and rejects requests of accounts that are at their limit
// of requests in flight.
func (l *Listener) limitInFlight(h handler) handler {
	return func(w http.ResponseWriter, r *http.Request) error {
		id := IdentityOf(r)
		release, err := l.accounts.acquire(id.index.document, id.Account)
		if err != nil {
			return err
		}
		defer release()
		l.inFlight.Add(1)
		defer l.inFlight.Add(-1)
		return h(w, r)
	}
}

// finish records the result of a request and writes its error, unless the error
// was already sent in the stream. It aborts a response that has begun or that its
// handler aborted, since an error behind a part of an answer would end it as complete.
func (l *Listener) finish(w *startedWriter, r *http.Request, route string, start time.Time, err error) {
	err = contextError(r.Context(), err)
	number := code.Of(err)
	l.metrics.observe(route, number, time.Since(start))
	l.logRequest(r, route, start, err)
	var sent *sentError
	if err == nil || errors.As(err, &sent) {
		return
	}
	if w.started || errors.Is(err, errAborted) {
		code.AbortHTTP(w, r)
	}
	code.WriteHTTP(w, IdentityOf(r).RequestID, err)
}

// contextError wraps an error without a number as code.DeadlineExceeded when a
// deadline passed, or as code.CallerGone when ctx, the request's context, has
// ended. It returns any other error unchanged.
func contextError(ctx context.Context, err error) error {
	if err == nil || code.Of(err) != code.Internal {
		return err
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return code.Wrap(code.DeadlineExceeded, err, "the answer was not whole at the deadline")
	case ctx.Err() != nil:
		return code.Wrap(code.CallerGone, err, "the caller closed the connection")
	}
	return err
}

func (l *Listener) logRequest(r *http.Request, route string, start time.Time, err error) {
	level := zap.DebugLevel
	if code.Of(err) == code.Internal {
		level = zap.ErrorLevel
	}
	entry := l.log.Check(level, "request")
	if entry == nil {
		return
	}
	id := IdentityOf(r)
	entry.Write(
		zap.String("request_id", id.RequestID),
		zap.String("account", id.Account),
		zap.String("route", route),
		zap.Int("number", int(code.Of(err))),
		zap.Duration("took", time.Since(start)),
		zap.Error(err),
	)
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// InFlight returns the number of chat and plain requests that have not been
// answered.
func (l *Listener) InFlight() int { return int(l.inFlight.Load()) }

// AccountState describes one account in the state dump.
type AccountState struct {
	Account  string `json:"account"`
	InFlight int64  `json:"in_flight"`
}

// State is the listener's part of the state dump.
type State struct {
	InFlight int64          `json:"in_flight"`
	Accounts []AccountState `json:"accounts"`
}

// State returns a snapshot for the state dump, accounts sorted by id.
func (l *Listener) State() State {
	s := State{InFlight: l.inFlight.Load(), Accounts: []AccountState{}}
	l.accounts.inFlight.Range(func(id, count any) bool {
		s.Accounts = append(s.Accounts, AccountState{Account: id.(string), InFlight: count.(*atomic.Int64).Load()})
		return true
	})
	slices.SortFunc(s.Accounts, func(a, b AccountState) int {
		if a.Account < b.Account {
			return -1
		}
		return 1
	})
	return s
}
