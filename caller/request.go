package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

type contextKey int

const identityKey contextKey = 0

// Identity identifies a request and the account that sent it.
type Identity struct {
	// RequestID is the id that the caller sent, or a new one.
	RequestID string
	// Account is the account's id in the document; empty before authentication.
	Account string
	// index belongs to the document that was in force when the request arrived.
	index *accountIndex
}

// IdentityOf returns the identity of a request that passed the listener, or the
// zero value for any other.
func IdentityOf(r *http.Request) Identity {
	if id, ok := r.Context().Value(identityKey).(*Identity); ok {
		return *id
	}
	return Identity{}
}

func withIdentity(r *http.Request, id *Identity) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), identityKey, id))
}

// requestID returns the caller's request id when it has at most
// maxRequestIDBytes printable characters, and a new one otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || !printable(id) {
		return uuid.NewString()
	}
	return id
}

// printable reports whether s consists of visible ASCII characters.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] < 0x21 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// checkHeaders rejects headers that together are over maxHeaderBytes. Errors:
// code.HeaderTooLarge.
func checkHeaders(h http.Header) error {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > maxHeaderBytes {
		return code.New(code.HeaderTooLarge, "the headers have %d bytes, at most %d are allowed", size, maxHeaderBytes)
	}
	return nil
}

// requestDeadline returns the absolute deadline of a request: the caller's, the
// service's or the document's default, in this order. Errors:
// code.InvalidDeadline.
func requestDeadline(r *http.Request, document *contract.Document, service contract.Service, now time.Time) (time.Time, error) {
	limits := document.Limits
	millis := limits.DefaultDeadlineMillis
	if service.DeadlineMillis > 0 {
		millis = service.DeadlineMillis
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		requested, err := strconv.ParseInt(text, 10, 64)
		if err != nil || requested <= 0 || requested > limits.MaxDeadlineMillis {
			return time.Time{}, code.New(code.InvalidDeadline, "%s must be a whole number from 1 to %d", HeaderDeadline, limits.MaxDeadlineMillis)
		}
		millis = requested
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// idempotencyKey returns the key of a request, or "" when there is none. Errors:
// code.KeyRequired when the service is not idempotent and the request has no
// key, and code.InvalidField when the key is not valid.
func idempotencyKey(r *http.Request, service contract.Service) (string, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	switch {
	case key == "" && !service.Idempotent:
		return "", code.New(code.KeyRequired, "the service needs the %s header", HeaderIdempotencyKey)
	case len(key) > maxKeyBytes || !printable(key):
		return "", code.New(code.InvalidField, "%s must have at most %d printable characters without spaces", HeaderIdempotencyKey, maxKeyBytes)
	}
	return key, nil
}

// readBody reads the body of at most limit bytes within bodyReadTimeout. Errors:
// code.BodyTooLarge, code.SlowSender and code.MalformedBody.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(w)
	// The error is ignored: recorders in unit tests do not support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		// MaxBytesReader does this only with a ResponseWriter of net/http.
		w.Header().Set("Connection", "close")
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, code.Wrap(code.SlowSender, err, "the body did not arrive within %v", bodyReadTimeout)
	}
	return nil, code.Wrap(code.MalformedBody, err, "the body could not be read")
}

func tooLarge(limit int64) error {
	return code.New(code.BodyTooLarge, "the body has more than %d bytes", limit)
}

// bodyLimit returns the largest body that a service takes, in bytes.
func bodyLimit(document *contract.Document, service contract.Service) int64 {
	if service.MaxBodyBytes > 0 {
		return service.MaxBodyBytes
	}
	return document.Limits.MaxBodyBytes
}
