package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// failure is the body of an answer that is not a success.
type failure struct {
	Number    code.Number   `json:"number"`
	Message   string        `json:"message"`
	Conflicts []storage.Row `json:"conflicts,omitempty"`
}

// call is one operation on the wire.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// writes is set when a lost answer leaves the outcome unknown.
	writes bool
}

// do runs c and decodes a successful JSON answer into target. The rows are the
// conflicts of a failed transaction.
func (s *Store) do(ctx context.Context, c call, target any) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	response, err := s.send(ctx, c)
	if err != nil {
		return nil, err
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return readFailure(c, response)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(target)
	if err != nil {
		return nil, lost(c, err)
	}
	return nil, nil
}

// send returns the response of c. The request counts as possibly applied once
// its headers were written to a connection.
func (s *Store) send(ctx context.Context, c call) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	target := s.base + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return nil, code.Wrap(code.StoreUnavailable, err, "the store's address is not usable")
	}
	request.Header.Set(headerContentType, "application/json")
	response, err := s.calls.Do(request)
	if err == nil {
		return response, nil
	}
	if written.Load() {
		return nil, lost(c, err)
	}
	return nil, code.Wrap(code.StoreUnavailable, err, "the store cannot be reached")
}

// lost is the error of a call whose answer did not arrive.
func lost(c call, err error) error {
	if c.writes {
		return code.Wrap(code.StoreUnknown, err, "the answer of the store was lost")
	}
	return code.Wrap(code.StoreUnavailable, err, "the store did not answer")
}

// readFailure turns an answer that is not a success into an error. An answer
// without a known number comes from something between us and the store, so a
// write may have taken effect.
func readFailure(c call, response *http.Response) ([]storage.Row, error) {
	var f failure
	err := json.NewDecoder(io.LimitReader(response.Body, maxFailureBytes)).Decode(&f)
	if err != nil {
		return nil, lost(c, err)
	}
	switch f.Number {
	case code.StoreUnavailable, code.StoreConflict, code.StoreThrottled, code.StoreNotFound, code.StoreTooLarge:
		return f.Conflicts, code.New(f.Number, "%s", f.Message)
	}
	return nil, lost(c, code.New(f.Number, "status %d: %s", response.StatusCode, f.Message))
}

// maxDrainBytes is what is read of an unused answer to keep its connection.
const maxDrainBytes = 64 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
