package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"time"

	"github.com/daisylb/daisylb/storage/memory"
)

const (
	// answerTime is the time of an answer on the users' sheets, transactionTime that of a
	// transaction.
	answerTime      = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
)

// newestVersion is a store whose answers take as long as on the users' sheets, and whose answer
// to a transaction has, as the pages say, "`ver`, the newest version": that at the time of the
// answer. Other transactions may have come in between. With VERSION=own in the environment it has
// that of the rows that the transaction wrote, to show that nothing else is at fault.
type newestVersion struct {
	rows *memory.Rows
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (s *newestVersion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/rows-tx" {
		time.Sleep(answerTime)
		s.next.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	s.next.ServeHTTP(answer, r)
	time.Sleep(transactionTime + answerTime)
	body := answer.Body.Bytes()
	var page map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if answer.Code == http.StatusOK && os.Getenv("VERSION") != "own" && decoder.Decode(&page) == nil {
		newest, err := s.rows.GetRows(context.Background(), "op", "", "", "")
		if err == nil {
			page["ver"] = newest.Version
			body, _ = json.Marshal(page)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
}

const (
	// maxRowBytes and maxCallBytes are `row_bytes` and the largest call of the pages.
	maxRowBytes  = 65536
	maxCallBytes = 1 << 20
)

// limitedRows is a store that refuses transactions over the limits of the pages: "`value` (base64
// of at most `row_bytes`)", "A call holds at most 100 entries and at most 1 MB".
type limitedRows struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (s *limitedRows) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/rows-tx" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var call struct {
			Puts []struct {
				Value []byte `json:"value"`
			} `json:"puts"`
		}
		refused := json.Unmarshal(body, &call) != nil || len(body) > maxCallBytes
		for _, p := range call.Puts {
			refused = refused || len(p.Value) > maxRowBytes
		}
		if refused {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.next.ServeHTTP(w, r)
}
