// Package operator implements the HTTP listener for operators: authentication by
// named keys, liveness and readiness checks, metrics, the state dump, and handlers
// of other packages that operators use. Callers have a listener of their own.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// Key authenticates one operator.
type Key struct {
	// Name is recorded with every change that the operator makes.
	Name string `json:"name"`
	// SHA256 is the SHA-256 sum of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// Options configures a Listener. Ready, State and Gatherer are required.
type Options struct {
	// Keys are the keys of the operators. Without any, only the liveness and
	// readiness checks can be used.
	Keys []Key
	// Ready returns nil when the instance serves callers.
	Ready func() error
	// State returns the state dump as JSON.
	State func() ([]byte, error)
	// Gatherer supplies the metrics.
	Gatherer prometheus.Gatherer
	// Mounts maps patterns of http.ServeMux to further handlers, which are served to
	// authenticated operators only.
	Mounts map[string]http.Handler
	// Logger may be nil.
	Logger *zap.Logger
}

// Listener serves operators. It is safe for concurrent use.
type Listener struct {
	options Options
	log     *zap.Logger
	mux     *http.ServeMux
}

type contextKey int

const nameKey contextKey = 0

// NameOf returns the name of the operator that sent the request, or "" when the
// request did not pass the listener.
func NameOf(r *http.Request) string {
	name, _ := r.Context().Value(nameKey).(string)
	return name
}

// NewListener returns a Listener with all its routes registered.
func NewListener(o Options) *Listener {
	l := &Listener{options: o, log: o.Logger, mux: http.NewServeMux()}
	if l.log == nil {
		l.log = zap.NewNop()
	}
	l.mux.HandleFunc("GET /livez", l.live)
	l.mux.HandleFunc("GET /readyz", l.ready)
	l.mux.Handle("GET /metrics", l.authenticated(promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{})))
	l.mux.Handle("GET "+PathState, l.authenticated(http.HandlerFunc(l.dump)))
	for pattern, h := range o.Mounts {
		l.mux.Handle(pattern, l.authenticated(h))
	}
	l.mux.Handle("/", l.authenticated(http.HandlerFunc(notFound)))
	return l
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// live serves the liveness check.
func (l *Listener) live(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) }

// ready serves the readiness check; a failure is a numbered error.
func (l *Listener) ready(w http.ResponseWriter, r *http.Request) {
	if err := l.options.Ready(); err != nil {
		code.WriteHTTP(w, "", err)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// dump serves the state dump.
func (l *Listener) dump(w http.ResponseWriter, r *http.Request) {
	state, err := l.options.State()
	if err != nil {
		code.WriteHTTP(w, "", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(state)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	code.WriteHTTP(w, "", code.New(code.NotFound, "no such path"))
}

// authenticated wraps next and rejects requests without the key of an operator. It
// logs all requests except GETs, which change nothing.
func (l *Listener) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestID := uuid.NewString()
		w.Header().Set("X-Request-ID", requestID)
		name, ok := l.authenticate(r)
		if !ok {
			code.WriteHTTP(w, requestID, code.New(code.PeerUnauthenticated, "the operator key is missing or not accepted"))
			return
		}
		if r.Method != http.MethodGet {
			l.log.Info("operator request", zap.String("operator", name), zap.String("method", r.Method), zap.String("path", r.URL.Path), zap.String("request_id", requestID))
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), nameKey, name)))
	})
}

// authenticate returns the name of the operator whose key the request carries. It
// compares all keys in constant time, so that the response time reveals nothing
// about them.
func (l *Listener) authenticate(r *http.Request) (name string, ok bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	hexSum := []byte(hex.EncodeToString(sum[:]))
	for _, k := range l.options.Keys {
		if subtle.ConstantTimeCompare(hexSum, []byte(k.SHA256)) == 1 {
			name, ok = k.Name, true
		}
	}
	return name, ok
}

// JSONHandler returns a handler that answers with the JSON of the value that get
// returns.
func JSONHandler[T any](get func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get())
	})
}
