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

// Identity is what the listener knows of an admitted request.
type Identity struct {
	// RequestID is the caller's, or a new one.
	RequestID string
	// Account is the id in the document; empty before authentication.
	Account string
	// index is the document in force when the request arrived.
	index *accountIndex
}

// IdentityOf returns the identity of a request that passed the listener, or
// the zero value.
func IdentityOf(r *http.Request) Identity {
	if id, ok := r.Context().Value(identityKey).(*Identity); ok {
		return *id
	}
	return Identity{}
}

func withIdentity(r *http.Request, id *Identity) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), identityKey, id))
}

// requestID returns the caller's id when it is short and printable, and a new
// one otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || !printable(id) {
		return uuid.NewString()
	}
	return id
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < 0x21 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// checkHeaders bounds the size of all headers together.
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

// deadline returns the absolute deadline of a request to a service.
func requestDeadline(r *http.Request, document *contract.Document, service contract.Service, now time.Time) (time.Time, error) {
	limits := document.Limits
	millis := limits.DefaultDeadlineMillis
	if service.DeadlineMillis > 0 {
		millis = service.DeadlineMillis
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		asked, err := strconv.ParseInt(text, 10, 64)
		if err != nil || asked <= 0 || asked > limits.MaxDeadlineMillis {
			return time.Time{}, code.New(code.InvalidDeadline, "%s must be a whole number from 1 to %d", HeaderDeadline, limits.MaxDeadlineMillis)
		}
		millis = asked
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// idempotencyKey returns the key of a request. It is required when the service
// is not idempotent.
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

// readBody reads the whole body within the read timeout and the size limit.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(w)
	// A writer without deadlines, as in a handler's unit test, is not an error.
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	var size *http.MaxBytesError
	switch {
	case errors.As(err, &size):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, code.Wrap(code.SlowSender, err, "the body did not arrive within %v", bodyReadTimeout)
	}
	return nil, code.Wrap(code.MalformedBody, err, "the body could not be read")
}

func tooLarge(limit int64) error {
	return code.New(code.BodyTooLarge, "the body has more than %d bytes", limit)
}

func bodyLimit(document *contract.Document, service contract.Service) int64 {
	if service.MaxBodyBytes > 0 {
		return service.MaxBodyBytes
	}
	return document.Limits.MaxBodyBytes
}
