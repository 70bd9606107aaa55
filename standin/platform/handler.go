package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// maxBodyBytes is the limit on the body of a request to the stand-in.
const maxBodyBytes = 256 << 20

// Failure is the body of a response to a failed operation.
type Failure struct {
	Number  code.Number `json:"number"`
	Message string      `json:"message"`
	// Conflicts are the stored rows of the conditions that did not hold.
	Conflicts []storage.Row `json:"conflicts,omitempty"`
}

type handler struct {
	store *memory.Store
}

// New returns a handler that serves the operations of store and the admin interface
// of its faults.
func New(store *memory.Store) http.Handler {
	h := &handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", h.getRow)
	mux.HandleFunc("GET /table/range", h.getRange)
	mux.HandleFunc("POST /table/transaction", h.apply)
	mux.HandleFunc("PUT /objects/body", h.putObject)
	mux.HandleFunc("GET /objects/body", h.openObject)
	mux.HandleFunc("DELETE /objects/body", h.deleteObject)
	mux.HandleFunc("GET /objects/stat", h.statObject)
	mux.HandleFunc("GET /objects/list", h.listObjects)
	mux.HandleFunc("GET /instances", h.instances)
	mux.HandleFunc("GET /admin/faults", h.getFaults)
	mux.HandleFunc("PUT /admin/faults", h.setFaults)
	mux.HandleFunc("POST /admin/release", h.release)
	mux.HandleFunc("PUT /admin/instances", h.setInstances)
	mux.HandleFunc("GET /admin/counts", h.counts)
	return mux
}

func (h *handler) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := h.store.Get(r.Context(), r.FormValue("key"))
	respond(w, row, err)
}

func (h *handler) getRange(w http.ResponseWriter, r *http.Request) {
	limit := intValue(r, "limit", 0)
	rows, err := h.store.Range(r.Context(), r.FormValue("start"), r.FormValue("end"), int(limit))
	respond(w, rows, err)
}

func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	var t storage.Transaction
	if !decode(w, r, &t) {
		return
	}
	applied, err := h.store.Apply(r.Context(), t)
	if code.Of(err) == code.StoreConflict {
		fail(w, err, applied.Conflicts)
		return
	}
	respond(w, applied, err)
}

func (h *handler) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		fail(w, code.Wrap(code.MalformedBody, err, "the body did not arrive"), nil)
		return
	}
	err = h.store.Put(r.Context(), r.URL.Query().Get("key"), body)
	respond(w, struct{}{}, err)
}

func (h *handler) openObject(w http.ResponseWriter, r *http.Request) {
	offset, length := intValue(r, "offset", 0), intValue(r, "length", -1)
	body, err := h.store.Open(r.Context(), r.FormValue("key"), offset, length)
	if err != nil {
		fail(w, err, nil)
		return
	}
	defer func() { _ = body.Close() }()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.Copy(w, body)
}

func (h *handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	err := h.store.Delete(r.Context(), r.FormValue("key"))
	respond(w, struct{}{}, err)
}

func (h *handler) statObject(w http.ResponseWriter, r *http.Request) {
	info, err := h.store.Stat(r.Context(), r.FormValue("key"))
	respond(w, info, err)
}

func (h *handler) listObjects(w http.ResponseWriter, r *http.Request) {
	limit := intValue(r, "limit", 0)
	infos, err := h.store.List(r.Context(), r.FormValue("prefix"), r.FormValue("after"), int(limit))
	respond(w, infos, err)
}

func (h *handler) instances(w http.ResponseWriter, r *http.Request) {
	list, err := h.store.Instances(r.Context())
	respond(w, list, err)
}

func (h *handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	respond(w, h.store.Faults().Settings(), nil)
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var s memory.FaultSettings
	if !decode(w, r, &s) {
		return
	}
	h.store.Faults().Set(s)
	respond(w, s, nil)
}

func (h *handler) release(w http.ResponseWriter, _ *http.Request) {
	h.store.ReleaseHeld()
	respond(w, struct{}{}, nil)
}

func (h *handler) setInstances(w http.ResponseWriter, r *http.Request) {
	var list []storage.ListedInstance
	if !decode(w, r, &list) {
		return
	}
	h.store.SetInstances(list)
	respond(w, list, nil)
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) {
	respond(w, h.store.Faults().Counts(), nil)
}

// intValue returns the integer of a form value, or fallback when it is missing or
// invalid.
func intValue(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.FormValue(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// decode reads the JSON body of a request into target. For an invalid body it
// responds with a Failure and reports false.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		fail(w, code.Wrap(code.MalformedBody, err, "the body is not valid: %v", err), nil)
		return false
	}
	return true
}

// respond writes value as JSON, or err when it is set.
func respond(w http.ResponseWriter, value any, err error) {
	if err != nil {
		fail(w, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, value)
}

// fail writes a Failure. For code.StoreUnknown, which means that the response
// is lost, it closes the connection instead.
func fail(w http.ResponseWriter, err error, conflicts []storage.Row) {
	e := code.From(err)
	if e.Number == code.StoreUnknown {
		panic(http.ErrAbortHandler)
	}
	status := code.Describe(e.Number).Status
	writeJSON(w, status, Failure{Number: e.Number, Message: e.Message, Conflicts: conflicts})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
