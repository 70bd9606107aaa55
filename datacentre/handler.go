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

// Path is the path of the endpoint that Handler serves.
const Path = "/v1/endpoints"

// dataCentreParam is the query parameter that names the caller's data centre.
const dataCentreParam = "data_centre"

// Options configures a Handler.
type Options struct {
	// View returns the current membership view; required.
	View func() *instance.View
	// Document returns the configuration in force, or nil; required.
	Document func() *contract.Document
	// Seed offsets the seeds of the answers; it should differ between
	// instances, so that they shuffle instances at the same distance
	// differently.
	Seed uint64
	// Registerer registers the metrics; it may be nil.
	Registerer prometheus.Registerer
}

// Handler answers GET /v1/endpoints. It is safe for concurrent use.
type Handler struct {
	options Options
	// served counts all answers, empty those without endpoints.
	served  atomic.Uint64
	empty   atomic.Uint64
	answers *prometheus.CounterVec
}

// NewHandler returns a Handler. It returns code.InvalidSettings if a required
// option is missing or the metrics cannot be registered.
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

// ServeHTTP implements http.Handler. The caller's data centre is the
// data_centre parameter if the document has it, else the one whose prefixes
// contain the remote address, else that of this instance.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", http.MethodGet)
		link.WriteError(w, code.New(code.MethodNotAllowed, "%s is read with GET", Path))
		return
	}
	view, document := h.options.View(), h.options.Document()
	seed := h.options.Seed + h.served.Add(1)
	answer := Endpoints(view, document, callerDataCentre(r, view, document), seed)
	h.countAnswer(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}

// callerDataCentre returns the data centre of the caller that sent r.
func callerDataCentre(r *http.Request, v *instance.View, d *contract.Document) string {
	if name := r.URL.Query().Get(dataCentreParam); d != nil {
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

func (h *Handler) countAnswer(a Answer) {
	if len(a.Endpoints) == 0 {
		h.empty.Add(1)
		h.answers.WithLabelValues("empty").Inc()
		return
	}
	h.answers.WithLabelValues("endpoints").Inc()
}

// HandlerState is the part of the state dump about endpoint answers: the
// answers since the start, and those of them without endpoints.
type HandlerState struct {
	Served uint64 `json:"served"`
	Empty  uint64 `json:"empty"`
}

// State returns the counts of answers.
func (h *Handler) State() HandlerState {
	return HandlerState{Served: h.served.Load(), Empty: h.empty.Load()}
}
