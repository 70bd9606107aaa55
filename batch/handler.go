package batch

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// Paths, headers and content types of the interface.
const (
	jobsPath      = "/v1/batches"
	keyHeader     = "Idempotency-Key"
	nextTrailer   = "Daisylb-Next-Item"
	jsonType      = "application/json"
	jsonLinesType = "application/jsonl"
)

// Maximum sizes of parts of a request.
const (
	maxKeyBytes      = 255
	maxSettingsBytes = 64 << 10
	maxInlineBytes   = 4 << 30
)

// HandlerOptions configure a Handler. Service and Account are required.
type HandlerOptions struct {
	Service *Service
	// Account returns the account of an authenticated request.
	Account func(*http.Request) string
	// ReadTimeout is the timeout of each read of a request body; default 30 s.
	ReadTimeout time.Duration
	Logger      *zap.Logger
}

// Handler serves the HTTP interface under /v1/batches. It is safe for
// concurrent use.
type Handler struct {
	opts HandlerOptions
	mux  *http.ServeMux
}

// NewHandler returns a Handler, or code.InvalidSettings if an option is missing
// or out of range.
func NewHandler(o HandlerOptions) (*Handler, error) {
	if o.Service == nil || o.Account == nil {
		return nil, code.New(code.InvalidSettings, "batch: Service and Account are required")
	}
	orDefault(&o.ReadTimeout, 30*time.Second)
	if o.ReadTimeout < 0 {
		return nil, code.New(code.InvalidSettings, "batch: ReadTimeout %v is negative", o.ReadTimeout)
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	h := &Handler{opts: o, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+jobsPath, h.submit)
	h.mux.HandleFunc("GET "+jobsPath, h.list)
	h.mux.HandleFunc("GET "+jobsPath+"/{id}", h.status)
	h.mux.HandleFunc("GET "+jobsPath+"/{id}/results", h.results)
	h.mux.HandleFunc("POST "+jobsPath+"/{id}/cancel", h.cancel)
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// SubmitBody is the JSON body of a submission whose input is an object.
type SubmitBody struct {
	InputObject string `json:"input_object"`
	// Deadline is a duration such as "12h".
	Deadline  string    `json:"deadline,omitempty"`
	OnInvalid OnInvalid `json:"on_invalid,omitempty"`
}

// JobList is a page of jobs, the newest first.
type JobList struct {
	Data    []Job `json:"data"`
	HasMore bool  `json:"has_more"`
}

// ErrorBody is the JSON body of an error response: OpenAI's format with the
// error number and the outcome in addition.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error in an ErrorBody.
type ErrorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    string       `json:"code"`
	Number  code.Number  `json:"number"`
	Outcome code.Outcome `json:"outcome"`
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(keyHeader)
	if len(key) > maxKeyBytes {
		h.writeError(w, code.New(code.HeaderTooLarge, "%s has %d bytes, at most %d are allowed", keyHeader, len(key), maxKeyBytes))
		return
	}
	r.Body = &timedBody{control: http.NewResponseController(w), body: r.Body, timeout: h.opts.ReadTimeout}
	request, err := readRequest(w, r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	job, err := h.opts.Service.Submit(r.Context(), h.opts.Account(r), key, request)
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, job)
}

// timedBody sets a new deadline for every read of a request body. It removes the
// deadline at the end of the body, since the server continues to read from the
// connection to notice that the caller disconnects.
type timedBody struct {
	control *http.ResponseController
	body    io.ReadCloser
	timeout time.Duration
}

// Read implements io.Reader.
func (t *timedBody) Read(b []byte) (int, error) {
	if err := t.setDeadline(time.Now().Add(t.timeout)); err != nil {
		return 0, err
	}
	n, err := t.body.Read(b)
	if errors.Is(err, io.EOF) {
		if deadlineErr := t.setDeadline(time.Time{}); deadlineErr != nil {
			return n, deadlineErr
		}
	}
	return n, err
}

// setDeadline sets the read deadline; the zero time removes it. It does nothing if
// the connection does not support read deadlines.
func (t *timedBody) setDeadline(deadline time.Time) error {
	err := t.control.SetReadDeadline(deadline)
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// Close implements io.Closer.
func (t *timedBody) Close() error { return t.body.Close() }

// readRequest returns the request for a job. The settings are in the query for
// inline input and in the body for an input object.
func readRequest(w http.ResponseWriter, r *http.Request) (Request, error) {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil {
		mediaType = ""
	}
	switch mediaType {
	case jsonLinesType:
		query := r.URL.Query()
		settings, err := parseSettings(query.Get("deadline"), OnInvalid(query.Get("on_invalid")))
		return Request{Settings: settings, Input: http.MaxBytesReader(w, r.Body, maxInlineBytes)}, err
	case jsonType:
		var body SubmitBody
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSettingsBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&body); err != nil {
			return Request{}, code.Wrap(code.MalformedBody, err, "the body is not a job's settings in JSON")
		}
		if body.InputObject == "" {
			return Request{}, code.New(code.InvalidField, "input_object is missing")
		}
		settings, err := parseSettings(body.Deadline, body.OnInvalid)
		return Request{Settings: settings, InputObject: body.InputObject}, err
	}
	return Request{}, code.New(code.UnsupportedMediaType, "content type %.100q is neither %s nor %s", mediaType, jsonLinesType, jsonType)
}

func parseSettings(deadline string, onInvalid OnInvalid) (Settings, error) {
	s := Settings{OnInvalid: onInvalid}
	if deadline == "" {
		return s, nil
	}
	d, err := time.ParseDuration(deadline)
	if err != nil || d <= 0 {
		return s, code.New(code.InvalidDeadline, "deadline %.100q is not a positive duration such as 12h", deadline)
	}
	s.Deadline = d
	return s, nil
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	job, err := h.opts.Service.Status(r.Context(), h.opts.Account(r), r.PathValue("id"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, job)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	job, err := h.opts.Service.Cancel(r.Context(), h.opts.Account(r), r.PathValue("id"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, job)
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := queryNumber(query, "limit", maxListJobs)
	if err != nil {
		h.writeError(w, err)
		return
	}
	jobs, err := h.opts.Service.List(r.Context(), h.opts.Account(r), query.Get("after"), limit)
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, JobList{Data: jobs, HasMore: len(jobs) == limit})
}

// queryNumber returns the query parameter name, which must be a number from 0 to
// maxValue. It returns maxValue if the parameter is missing.
func queryNumber(query url.Values, name string, maxValue int) (int, error) {
	value := query.Get(name)
	if value == "" {
		return maxValue, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > maxValue {
		return 0, code.New(code.InvalidField, "%s is %.20q, want a number from 0 to %d", name, value, maxValue)
	}
	return n, nil
}

func (h *Handler) results(w http.ResponseWriter, r *http.Request) {
	from := 0
	if query := r.URL.Query(); query.Has("from") {
		var err error
		if from, err = queryNumber(query, "from", math.MaxInt32); err != nil {
			h.writeError(w, err)
			return
		}
	}
	w.Header().Set("Trailer", nextTrailer)
	lines := &lineWriter{w: w}
	next, err := h.opts.Service.Results(r.Context(), h.opts.Account(r), r.PathValue("id"), from, lines)
	if err != nil && !lines.started {
		w.Header().Del("Trailer")
		h.writeError(w, err)
		return
	}
	if err != nil {
		h.opts.Logger.Info("response with results aborted", zap.String("job", r.PathValue("id")), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	lines.start()
	w.Header().Set(nextTrailer, strconv.Itoa(next))
}

// lineWriter writes a response of result lines and sends its headers before the
// first byte, so that an error before that can still be sent with a status.
type lineWriter struct {
	w       http.ResponseWriter
	started bool
}

func (l *lineWriter) start() {
	if l.started {
		return
	}
	l.started = true
	l.w.Header().Set("Content-Type", jsonLinesType)
	l.w.WriteHeader(http.StatusOK)
}

// Write implements io.Writer.
func (l *lineWriter) Write(b []byte) (int, error) {
	l.start()
	return l.w.Write(b)
}

var _ io.Writer = (*lineWriter)(nil)

// writeJSON writes a response with status 200 and v as JSON.
func (h *Handler) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", jsonType)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		h.opts.Logger.Info("response not sent", zap.Error(err))
	}
}

// writeError writes an error response.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	e := code.From(err)
	description := code.Describe(e.Number)
	if description.Status >= http.StatusInternalServerError {
		h.opts.Logger.Warn("batch request failed", zap.Int("number", int(e.Number)), zap.Error(err))
	}
	w.Header().Set("Content-Type", jsonType)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(description.Status)
	body := ErrorBody{ErrorDetail{Message: e.Message, Type: errorType(description.Status), Code: description.Name, Number: e.Number, Outcome: e.Outcome}}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.opts.Logger.Info("response not sent", zap.Error(err))
	}
}

// errorType returns the type of OpenAI's error format for a status.
func errorType(status int) string {
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}
