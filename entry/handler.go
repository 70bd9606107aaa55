// Package entry serves the callers of routed services. It matches host and path
// to a route, limits time and size, and passes requests to the dispatcher and
// jobs to the job service. The dispatcher decides which upstream runs a request.
package entry

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/platform"
)

// Forwarder runs requests on upstreams. It must be safe for concurrent use.
type Forwarder interface {
	// Forward runs a request and passes the answer to sink. Its errors carry a
	// number and an outcome (see package code).
	Forward(ctx context.Context, f *contract.ForwardRequest, sink contract.ForwardSink) error
}

// Quota limits the requests of client accounts. It must be safe for concurrent use.
type Quota interface {
	// Admit counts a request of an account towards its limit. release takes that back if
	// the request is refused for another reason. Errors: code.AccountLimit and
	// code.QuotaUnavailable.
	Admit(ctx context.Context, account string, limit contract.RateLimit) (release func(), err error)
}

// Options configures a Handler. All fields are required but Admit, CheckKeys and Quota.
type Options struct {
	// Routing returns the document in force, or nil before the first.
	Routing func() *contract.Routing
	// CheckKeys returns an error if the accounts of the document in force may be out of
	// date for too long to be trusted; nil trusts them always.
	CheckKeys func() error
	// Quota limits the requests of accounts; nil means that they are not limited.
	Quota     Quota
	Forwarder Forwarder
	Jobs      Jobs
	// Admit returns an error if an online request that may run until a deadline must not
	// be begun; nil admits all.
	Admit func(deadline time.Time) error
	Log   *zap.Logger
}

// Handler serves the callers' listener. It is safe for concurrent use.
type Handler struct {
	options Options
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler { return &Handler{options: o} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	tracked := &trackingWriter{ResponseWriter: w}
	defer h.recoverPanic(tracked, r)
	w = tracked
	// A nil value keeps net/http from adding a Date header that the upstream did
	// not send.
	w.Header()["Date"] = nil
	if err := h.serve(w, r, receivedAt); err != nil {
		h.reject(w, r, err)
	}
}

// recoverPanic logs a panic of a request. It answers the request, or aborts the
// connection if an answer has begun. Aborts go on.
func (h *Handler) recoverPanic(w *trackingWriter, r *http.Request) {
	v := recover()
	switch v {
	case nil:
		return
	case http.ErrAbortHandler:
		panic(v)
	}
	h.options.Log.Error("panic in a request", zap.String("request", platform.RequestID(r.Header)), zap.String("path", r.URL.Path),
		zap.Any("panic", v), zap.Bool("begun", w.begun), zap.ByteString("stack", debug.Stack()))
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	platform.WriteError(w, code.New(code.Internal, "the request failed"))
}

// trackingWriter records whether an answer has begun.
type trackingWriter struct {
	http.ResponseWriter
	begun bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackingWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// serve handles a request, or returns the error to write to the caller.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, receivedAt time.Time) error {
	document := h.options.Routing()
	if document == nil {
		return code.New(code.NoConfiguration, "there is no document yet").WithRetryAfter(noDocumentRetryAfter)
	}
	if limit := document.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return code.New(code.HeaderTooLarge, "the headers are over %d bytes", limit)
	}
	call, err := platform.DecodeCall(r)
	if err != nil {
		return err
	}
	if call.Kind != platform.CallRouted {
		return h.jobCall(w, r, document, call)
	}
	route := document.Match(r.Host, r.URL.Path)
	if route == nil {
		return code.New(code.NotFound, "no route for this host and path")
	}
	account, err := h.authenticate(document, r.Header, route.Public)
	if err != nil {
		return err
	}
	body, err := readBody(w, r, document.Limits.MaxBodyBytes, requestDeadline(route, r, receivedAt))
	if err != nil {
		return err
	}
	if route.Kind == contract.RouteBatch {
		return h.submit(w, r, route, account, body)
	}
	return h.forward(w, r, document, route, account, body, receivedAt)
}

// authenticate returns the client account of a request, "" if the deployment has no accounts
// or a request of a public route has no valid key. Errors: code.Unauthenticated and
// code.NoConfiguration.
func (h *Handler) authenticate(document *contract.Routing, header http.Header, public bool) (string, error) {
	if document.Keys == nil {
		return "", nil
	}
	if h.options.CheckKeys != nil && !public {
		if err := h.options.CheckKeys(); err != nil {
			return "", err
		}
	}
	account, err := document.Keys.Authenticate(header)
	if public {
		return account, nil
	}
	return account, err
}

// headerBytes returns the approximate size of the request line and the headers as
// sent, in bytes.
func headerBytes(r *http.Request) int {
	// The space after a colon is optional.
	const separators = len(":\r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// noDocumentRetryAfter is about the time that a starting instance needs to read the
// document.
const noDocumentRetryAfter = 200 * time.Millisecond

// defaultTimeout applies when neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

// forward runs an online request on an upstream. If the answer breaks off after
// its start, it aborts the connection.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, document *contract.Routing, route *contract.Route, account string, body []byte, receivedAt time.Time) error {
	f := &contract.ForwardRequest{
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
		MaxGap:      streamIdleTimeout(route),
		Priority:    priority(document, route, account),
	}
	platform.FillForwarding(f, r.Header)
	if document.Keys != nil {
		platform.SetAccount(f, account)
		f.Share = document.Share(account)
	}
	if f.Service == "" {
		return code.New(code.NoUpstream, "the route has no service").WithRetryAfter(noServiceRetryAfter)
	}
	f.Deadline = requestDeadline(route, r, receivedAt)
	if h.options.Admit != nil {
		if err := h.options.Admit(f.Deadline); err != nil {
			return err
		}
	}
	release, err := h.takeQuota(r.Context(), document, f)
	if err != nil {
		return err
	}
	s := &sink{w: w, controller: http.NewResponseController(w)}
	_ = s.controller.SetWriteDeadline(f.Deadline.Add(writeGrace))
	err = h.options.Forwarder.Forward(r.Context(), f, s)
	if err != nil && code.From(err).Outcome == code.NotRun {
		release()
	}
	if err != nil && s.started {
		// The abort keeps the caller from taking a partial answer for a complete one.
		h.options.Log.Info("answer aborted", zap.String("request", f.RequestID), zap.Error(err))
		code.AbortHTTP(w, r)
	}
	return err
}

// accountOf returns the account of a request for the log, "" if it has none.
func (h *Handler) accountOf(header http.Header) string {
	d := h.options.Routing()
	if d == nil || d.Keys == nil {
		return ""
	}
	account, err := d.Keys.Authenticate(header)
	if err != nil {
		return ""
	}
	return account
}

// priority returns the priority of a request: that of its account, or else of its route. It
// is 0, the same for all requests, if the deployment has no accounts.
func priority(document *contract.Routing, route *contract.Route, account string) int {
	if document.Keys == nil {
		return 0
	}
	if a, ok := document.Accounts[account]; ok && a.Priority != nil {
		return *a.Priority
	}
	return route.Priority
}

// takeQuota counts a request towards the quota of its account. release takes that back.
func (h *Handler) takeQuota(ctx context.Context, document *contract.Routing, f *contract.ForwardRequest) (release func(), err error) {
	limit := document.Accounts[f.Account].Quota
	if h.options.Quota == nil || limit.PerSecond <= 0 {
		return func() {}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, f.Deadline)
	defer cancel()
	return h.options.Quota.Admit(ctx, f.Account, limit)
}

const (
	// noServiceRetryAfter is the time within which the document usually changes.
	noServiceRetryAfter = time.Second
	// writeGrace is the time after the deadline in which an answer can still be
	// written to the caller.
	writeGrace = time.Second
)

// requestDeadline returns the end of the caller's timeout or of the route's,
// whichever comes first.
func requestDeadline(route *contract.Route, r *http.Request, receivedAt time.Time) time.Time {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if requested, ok := platform.CallerTimeout(r.Header); ok {
		timeout = min(timeout, requested)
	}
	return receivedAt.Add(timeout)
}

const (
	// Callers abandon a stream after a pause, also before its first event. The pause
	// is the largest of minStreamIdleTimeout, idleTimeoutObjectives times the
	// route's latency objective and idleTimeoutGaps times its gap objective.
	minStreamIdleTimeout  = 2 * time.Second
	idleTimeoutObjectives = 4
	idleTimeoutGaps       = 8
)

// streamIdleTimeout returns the pause in an answer after which callers of the route
// abandon it; 0 means none, as for routes that do not stream.
func streamIdleTimeout(route *contract.Route) time.Duration {
	if route.Kind != contract.RouteStream {
		return 0
	}
	return max(minStreamIdleTimeout, idleTimeoutObjectives*route.Objective, idleTimeoutGaps*route.GapObjective)
}

// sink writes an answer to a caller and flushes each event. It implements
// contract.ForwardSink and is not safe for concurrent use.
type sink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// started is set when the status and the headers have been written.
	started bool
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

// reject logs a numbered error and writes it, also when the caller seems to be gone: it may
// have closed only its sending side.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, err error) {
	fields := []zap.Field{zap.String("request", platform.RequestID(r.Header)), zap.String("path", r.URL.Path),
		zap.Int("number", int(code.Of(err))), zap.Error(err)}
	if account := h.accountOf(r.Header); account != "" {
		fields = append(fields, zap.String("account", account))
	}
	h.options.Log.Info("refused", fields...)
	platform.WriteError(w, err)
}
