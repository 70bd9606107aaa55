package datacentre

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/link"
)

// Path is where the handler answers.
const Path = "/v1/endpoints"

// parameter of the query that names the caller's data centre.
const parameter = "data_centre"

// Options of a Handler.
type Options struct {
	// View returns the present membership view; required.
	View func() *instance.View
	// Document returns the configuration in force, or nil; required.
	Document func() *contract.Document
	// Seed makes the order of equals differ between instances.
	Seed uint64
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Handler answers GET /v1/endpoints. It is safe for concurrent use.
type Handler struct {
	options Options
	served  atomic.Uint64
	empty   atomic.Uint64
	answers *prometheus.CounterVec
}

// NewHandler checks the options. Errors: code.InvalidSettings.
func NewHandler(o Options) (*Handler, error) {
	if o.View == nil || o.Document == nil {
		return nil, code.New(code.InvalidSettings, "endpoint answers need a view and a document")
	}
	h := &Handler{options: o, answers: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "daisylb_datacentre_answers_total",
		Help: "Endpoint answers by whether they name an instance.",
	}, []string{"result"})}
	if o.Registerer != nil {
		if err := o.Registerer.Register(h.answers); err != nil {
			return nil, code.Wrap(code.InvalidSettings, err, "metrics of the endpoint answers")
		}
	}
	return h, nil
}

// ServeHTTP implements http.Handler. The caller's data centre is the query's
// data_centre when the document knows it, else the one whose prefixes hold the
// remote address, else the instance's own.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", http.MethodGet)
		link.WriteError(w, code.New(code.MethodNotAllowed, "%s is read with GET", Path))
		return
	}
	view, document := h.options.View(), h.options.Document()
	seed := h.options.Seed + h.served.Add(1)
	answer := Endpoints(view, document, callerDataCentre(r, view, document), seed)
	h.count(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(answer)
}

func callerDataCentre(r *http.Request, v *instance.View, d *contract.Document) string {
	if name := r.URL.Query().Get(parameter); d != nil {
		if _, known := d.DataCentres[name]; known {
			return name
		}
	}
	if remote, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		if name := Locate(d, remote.Addr()); name != "" {
			return name
		}
	}
	return v.Self().DataCentre
}

func (h *Handler) count(a Answer) {
	if len(a.Endpoints) == 0 {
		h.empty.Add(1)
		h.answers.WithLabelValues("empty").Inc()
		return
	}
	h.answers.WithLabelValues("endpoints").Inc()
}

// HandlerState is the part of the state dump about endpoint answers.
type HandlerState struct {
	Served uint64 `json:"served"`
	Empty  uint64 `json:"empty"`
}

// State returns the counts of answers.
func (h *Handler) State() HandlerState {
	return HandlerState{Served: h.served.Load(), Empty: h.empty.Load()}
}
