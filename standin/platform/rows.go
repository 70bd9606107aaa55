package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// rowsHandler serves the published protocol of the users' store.
type rowsHandler struct {
	store *memory.Rows
}

// NewRows returns a handler that serves the rows and blobs of store in the published
// protocol of the users' store.
func NewRows(store *memory.Rows) http.Handler {
	h := &rowsHandler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", h.get)
	mux.HandleFunc("POST /api/rows-tx", h.apply)
	mux.HandleFunc("GET /api/rows-feed", h.feed)
	mux.HandleFunc("GET /api/rows-parts", h.parts)
	mux.HandleFunc("PUT /api/blob-put/{id}", h.putBlob)
	mux.HandleFunc("GET /api/blob-get/{id}", h.getBlob)
	mux.HandleFunc("DELETE /api/blob-drop/{id}", h.dropBlob)
	return mux
}

// publishedRow is a row, a condition or a key in the published protocol.
type publishedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type publishedTransaction struct {
	Conditions []publishedRow `json:"expected_rev"`
	Puts       []publishedRow `json:"puts"`
	Removes    []publishedRow `json:"remove"`
}

type publishedPage struct {
	Rows    []publishedRow `json:"rows"`
	More    bool           `json:"more_pages"`
	Version uint64         `json:"ver"`
	NowMS   int64          `json:"now_ms"`
}

func (r publishedRow) key() storage.RowKey {
	return storage.RowKey{Table: r.Table, Part: r.Part, Key: r.Key}
}

// Limits of the published protocol.
const (
	// maxPageRows and maxPageBytes are the maximum number of rows and size of one response.
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	// maxCallBytes is the maximum size of a transaction, maxValueBytes that of a row's value
	// and maxNameBytes that of its table, part and key.
	maxCallBytes  = 1 << 20
	maxValueBytes = 64 << 10
	maxNameBytes  = 200
)

// limitPage cuts a page to a number of rows and to maxPageBytes, with at least one row.
func limitPage(page *storage.RowPage, limit int) {
	size := 0
	for n, r := range page.Rows {
		// base64 adds a third.
		if size += len(r.Value)*4/3 + len(r.Key); n > 0 && size > maxPageBytes || n == limit {
			page.Rows, page.More = page.Rows[:n], true
			return
		}
	}
}

// tooLarge reports whether a row is over the limits.
func (r publishedRow) tooLarge() bool {
	return len(r.Value) > maxValueBytes || max(len(r.Table), len(r.Part), len(r.Key)) > maxNameBytes
}

func (h *rowsHandler) get(w http.ResponseWriter, r *http.Request) {
	page, err := h.store.GetRows(r.Context(), r.FormValue("table"), r.FormValue("part"), r.FormValue("from"), r.FormValue("to"))
	limit := maxPageRows
	if n, convErr := strconv.Atoi(r.FormValue("limit")); convErr == nil && n > 0 {
		limit = min(n, maxPageRows)
	}
	limitPage(&page, limit)
	writePage(w, page, err)
}

func (h *rowsHandler) apply(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var p publishedTransaction
	if err := json.Unmarshal(body, &p); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if slices.ContainsFunc(slices.Concat(p.Conditions, p.Puts, p.Removes), publishedRow.tooLarge) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if len(p.Conditions)+len(p.Puts)+len(p.Removes) > storage.MaxRowWrites {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var t storage.RowTransaction
	for _, c := range p.Conditions {
		t.Conditions = append(t.Conditions, storage.RowCondition{RowKey: c.key(), Version: c.Version})
	}
	for _, c := range p.Puts {
		t.Puts = append(t.Puts, storage.TableRow{RowKey: c.key(), Value: c.Value})
	}
	for _, c := range p.Removes {
		t.Removes = append(t.Removes, c.key())
	}
	if !t.SinglePart() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	page, err := h.store.ApplyRows(r.Context(), t)
	if code.Of(err) == code.StoreUnknown {
		// Lose the response: close the connection without one.
		panic(http.ErrAbortHandler)
	}
	writePage(w, page, err)
}

func (h *rowsHandler) feed(w http.ResponseWriter, r *http.Request) {
	after, err1 := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err := errors.Join(err1, err2); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	page, err := h.store.RowChanges(r.Context(), r.FormValue("table"), after, time.Duration(wait)*time.Millisecond)
	writePage(w, page, err)
}

func (h *rowsHandler) parts(w http.ResponseWriter, r *http.Request) {
	parts, err := h.store.RowParts(r.Context(), r.FormValue("table"))
	if err != nil {
		w.WriteHeader(publishedStatus(err))
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		Parts []string `json:"parts"`
	}{parts})
}

func (h *rowsHandler) putBlob(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = h.store.PutBlob(r.Context(), r.PathValue("id"), body)
	}
	w.WriteHeader(publishedStatus(err))
}

func (h *rowsHandler) getBlob(w http.ResponseWriter, r *http.Request) {
	body, err := h.store.GetBlob(r.Context(), r.PathValue("id"))
	w.WriteHeader(publishedStatus(err))
	_, _ = w.Write(body)
}

func (h *rowsHandler) dropBlob(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(publishedStatus(h.store.DropBlob(r.Context(), r.PathValue("id"))))
}

func writePage(w http.ResponseWriter, page storage.RowPage, err error) {
	p := publishedPage{Rows: []publishedRow{}, More: page.More, Version: page.Version, NowMS: page.Now.Milliseconds()}
	for _, r := range page.Rows {
		p.Rows = append(p.Rows, publishedRow{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(publishedStatus(err))
	_ = json.NewEncoder(w).Encode(p)
}

// publishedStatus returns the HTTP status of a result in the published protocol.
func publishedStatus(err error) int {
	switch code.Of(err) {
	case 0:
		return http.StatusOK
	case code.StoreConflict:
		return http.StatusPreconditionFailed
	case code.StoreNotFound:
		return http.StatusNotFound
	case code.StoreHistoryGone:
		return http.StatusGone
	case code.StoreThrottled:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
