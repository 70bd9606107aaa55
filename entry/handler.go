// Package entry serves the callers of routed services: it matches host and path
// to a route, bounds time and size, and hands requests to the dispatcher and
// jobs to the job service. It never decides where a request runs.
package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/platform"
)

// Forwarder runs requests on upstreams.
type Forwarder interface {
	Forward(ctx context.Context, f *contract.Forwarding, sink contract.ForwardSink) error
}

// Options configure a Handler.
type Options struct {
	// Routing returns the document in force, or nil. Required.
	Routing   func() *contract.Routing
	Forwarder Forwarder
	Jobs      Jobs
	Log       *zap.Logger
}

// Handler serves the callers' listener. It is safe for concurrent use.
type Handler struct {
	options Options
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler { return &Handler{options: o} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	// A value would be one that the upstream did not send.
	w.Header()["Date"] = nil
	if err := h.serve(w, r, arrived); err != nil {
		h.reject(w, r, err)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, arrived time.Time) error {
	document := h.options.Routing()
	if document == nil {
		return code.New(code.NoConfiguration, "there is no document yet").WithRetryAfter(noDocumentRetryAfter)
	}
	if limit := document.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return code.New(code.HeaderTooLarge, "the headers are over %d bytes", limit)
	}
	call, err := platform.Classify(r)
	if err != nil {
		return err
	}
	switch call.Kind {
	case platform.CallJobResults:
		return h.results(w, r, call)
	case platform.CallJobEnd:
		return h.end(w, r, call)
	case platform.CallItemBody:
		return h.itemBody(w, r, call)
	}
	route := document.Match(r.Host, r.URL.Path)
	if route == nil {
		return code.New(code.NotFound, "no route for this host and path")
	}
	body, err := readBody(w, r, document.Limits.MaxBodyBytes, requestDeadline(route, r, arrived))
	if err != nil {
		return err
	}
	if route.Kind == contract.RouteBatch {
		return h.submit(w, r, route, body)
	}
	return h.forward(w, r, route, body, arrived)
}

// headerBytes is about the size of the request line and the headers as sent.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// noDocumentRetryAfter is about the time in which a starting instance reads the document.
const noDocumentRetryAfter = 200 * time.Millisecond

// defaultMaxBodyBytes holds when the document has no bound, in bytes.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the whole body. One that is not there at the end of the
// request's time is given up, since nothing could be run any more.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, end time.Time) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	// A writer without deadlines, as in a handler's unit test, is not an error.
	_ = control.SetReadDeadline(end)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	// What is left of the body is not waited for either: the deadline stays.
	case errors.As(err, &tooLarge):
		return nil, code.New(code.BodyTooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, code.Wrap(code.SlowSender, err, "the body did not arrive within the request's time")
	}
	return nil, code.Wrap(code.CallerGone, err, "the body did not arrive").WithOutcome(code.NotRun)
}

// defaultTimeout holds for a route and a caller that name none.
const defaultTimeout = 30 * time.Second

func (h *Handler) forward(w http.ResponseWriter, r *http.Request, route *contract.Route, body []byte, arrived time.Time) error {
	f := &contract.Forwarding{
		Service:     route.Service(),
		Class:       contract.Online,
		Method:      r.Method,
		Target:      r.RequestURI,
		Host:        r.Host,
		Body:        body,
		Repeatable:  route.Repeatable(),
		MaxAttempts: route.MaxAttempts,
		Stream:      route.Kind == contract.RouteStream,
		Resumable:   route.Resumable,
		Objective:   route.Objective,
		Silence:     streamIdleTimeout(route),
	}
	platform.Describe(f, r.Header)
	if f.Service == "" {
		return code.New(code.NoUpstream, "the route has no service").WithRetryAfter(noServiceRetryAfter)
	}
	f.Deadline = requestDeadline(route, r, arrived)
	s := &sink{w: w, controller: http.NewResponseController(w)}
	_ = s.controller.SetWriteDeadline(f.Deadline.Add(writeGrace))
	err := h.options.Forwarder.Forward(r.Context(), f, s)
	if err != nil && s.started {
		// The caller must not take a cut answer for a whole one.
		h.options.Log.Info("answer cut", zap.String("request", f.RequestID), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	return err
}

const (
	// noServiceRetryAfter is the time in which a document changes as a rule.
	noServiceRetryAfter = time.Second
	// writeGrace lets a final answer out after the deadline.
	writeGrace = time.Second
)

// deadline is the end of the caller's time or of the route's, whichever is
// first.
func requestDeadline(route *contract.Route, r *http.Request, arrived time.Time) time.Time {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if patience, ok := platform.Patience(r.Header); ok {
		limit = min(limit, patience)
	}
	return arrived.Add(limit)
}

const (
	// minStreamIdleTimeout, idleTimeoutObjectives and idleTimeoutGaps say after which pause callers
	// abandon a stream, also before its first event.
	minStreamIdleTimeout  = 2 * time.Second
	idleTimeoutObjectives = 4
	idleTimeoutGaps       = 8
)

func streamIdleTimeout(route *contract.Route) time.Duration {
	if route.Kind != contract.RouteStream {
		return 0
	}
	return max(minStreamIdleTimeout, idleTimeoutObjectives*route.Objective, idleTimeoutGaps*route.GapObjective)
}

// sink writes an answer to a caller and sends each event at once.
type sink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

// Begin implements contract.ForwardSink.
func (s *sink) Begin(status int, header http.Header) error {
	s.started = true
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	s.w.WriteHeader(status)
	return nil
}

// Write implements contract.ForwardSink.
func (s *sink) Write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.controller.Flush()
}

// refuse writes a numbered failure, unless the caller is gone.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, err error) {
	h.options.Log.Info("refused", zap.String("request", platform.RequestID(r.Header)), zap.String("path", r.URL.Path),
		zap.Int("number", int(code.Of(err))), zap.Error(err))
	if code.Of(err) == code.CallerGone {
		panic(http.ErrAbortHandler)
	}
	platform.WriteError(w, err)
}
