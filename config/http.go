package config

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/settings"
)

// Paths of the operators' interface.
const (
	pathConfig  = "/v1/config"
	pathHistory = "/v1/config/history"
	pathPresets = "/v1/presets"
	pathSwitch  = "/v1/presets/switch"
)

// defaultHistoryLimit is the number of changes on a page if the request has no
// limit.
const defaultHistoryLimit = 20

// HistoryPage is the response to a request for the history, newest change
// first.
type HistoryPage struct {
	Changes []*Change `json:"changes"`
}

// errorBody is code.Body with details that help an operator to correct a
// request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	code.BodyDetail
	// BaseVersion and Winner belong to code.VersionConflict.
	BaseVersion uint64  `json:"base_version,omitempty"`
	Winner      *Winner `json:"winner,omitempty"`
	// Faults belong to code.InvalidSettings.
	Faults settings.Faults `json:"faults,omitempty"`
}

// operatorAPI serves the operators' interface.
type operatorAPI struct {
	store  *Store
	author func(*http.Request) string
}

// Handler returns the operators' interface of the store:
//
//	GET  /v1/config           the document in force
//	POST /v1/config           a Request; answers Accepted
//	GET  /v1/config/history   ?before=VERSION&limit=N; answers HistoryPage
//	GET  /v1/presets          answers PresetList
//	POST /v1/presets/switch   a SwitchRequest; answers Accepted
//
// Author returns the name of the operator who sent a request. The handler does
// not authenticate requests; the listener that mounts it must.
func Handler(store *Store, author func(*http.Request) string) http.Handler {
	a := operatorAPI{store, author}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, a.document)
	mux.HandleFunc("POST "+pathConfig, a.submit)
	mux.HandleFunc("GET "+pathHistory, a.history)
	mux.HandleFunc("GET "+pathPresets, a.presets)
	mux.HandleFunc("POST "+pathSwitch, a.switchPreset)
	return mux
}

func (a operatorAPI) document(w http.ResponseWriter, r *http.Request) {
	d, err := a.store.Document(r.Context())
	writeAnswer(w, d, err)
}

func (a operatorAPI) submit(w http.ResponseWriter, r *http.Request) {
	var request Request
	if err := readRequest(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	request.Author = a.author(r)
	accepted, err := a.store.Submit(r.Context(), request)
	writeAnswer(w, accepted, err)
}

func (a operatorAPI) history(w http.ResponseWriter, r *http.Request) {
	before, err := uintParameter(r, "before", 0)
	if err != nil {
		writeError(w, err)
		return
	}
	limit, err := uintParameter(r, "limit", defaultHistoryLimit)
	if err != nil {
		writeError(w, err)
		return
	}
	changes, err := a.store.History(r.Context(), before, int(min(limit, MaxHistory)))
	writeAnswer(w, HistoryPage{changes}, err)
}

func (a operatorAPI) presets(w http.ResponseWriter, r *http.Request) {
	d, err := a.store.Document(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, PresetList{d.Version, d.Preset, d.Presets}, nil)
}

func (a operatorAPI) switchPreset(w http.ResponseWriter, r *http.Request) {
	var request SwitchRequest
	if err := readRequest(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	request.Author = a.author(r)
	accepted, err := a.store.SwitchPreset(r.Context(), request)
	writeAnswer(w, accepted, err)
}

func readRequest(w http.ResponseWriter, r *http.Request, request any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, settings.MaxBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "the body is over %d bytes", settings.MaxBytes)
	}
	if err != nil {
		return code.Wrap(code.MalformedBody, err, "the body could not be read")
	}
	return settings.Decode("request", body, request).Err()
}

// uintParameter returns a query parameter, or defaultValue if there is none.
func uintParameter(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, code.New(code.InvalidField, "parameter %q: found %q, expected a whole number", name, text)
	}
	return n, nil
}

// writeAnswer writes value as JSON, or the error if err is not nil.
func writeAnswer[T any](w http.ResponseWriter, value T, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	e := code.From(err)
	body := errorBody{errorDetail{BodyDetail: code.NewBody("", e).Error}}
	var conflict *Conflict
	if errors.As(err, &conflict) {
		body.Error.BaseVersion, body.Error.Winner = conflict.BaseVersion, &conflict.Winner
	}
	var faults settings.Faults
	if errors.As(err, &faults) {
		body.Error.Faults = faults
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code.Describe(e.Number).Status)
	_ = json.NewEncoder(w).Encode(body)
}
