package code

import (
	"crypto/tls"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
)

// Body is an Error in OpenAI's JSON format, extended by the number, the outcome and
// the request id.
type Body struct {
	Error BodyDetail `json:"error"`
}

// BodyDetail is the inner object of Body.
type BodyDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      string  `json:"code"`
	Param     *string `json:"param"`
	Number    Number  `json:"number"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// NewBody returns the JSON body for e, without the cause.
func NewBody(requestID string, e *Error) Body {
	return Body{Error: BodyDetail{
		Message:   e.Message,
		Type:      "daisylb_error",
		Code:      Describe(e.Number).Name,
		Number:    e.Number,
		Outcome:   e.Outcome,
		RequestID: requestID,
	}}
}

// Err returns the Error in the body, without a retry hint.
func (b Body) Err() *Error {
	return &Error{Number: b.Error.Number, Outcome: b.Error.Outcome, Message: b.Error.Message}
}

// WriteHTTP answers an HTTP request with err, its status and its retry hint. OpenAI's
// SDKs retry after 409, 429 and 5xx unless X-Should-Retry is false, so it sets this
// header when the request may have run.
func WriteHTTP(w http.ResponseWriter, requestID string, err error) {
	e := From(err)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if e.Outcome == Unknown {
		w.Header().Set("X-Should-Retry", "false")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Describe(e.Number).Status)
	// An error means that the connection is closed; it cannot be reported.
	_ = json.NewEncoder(w).Encode(NewBody(requestID, e))
}

// AbortHTTP ends a response that is not complete so that the caller notices, and does
// not return. It panics with http.ErrAbortHandler, which closes the connection without
// the last chunk. Responses to HTTP/1.0 end with their connection, which is therefore
// reset.
func AbortHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// The error is ignored: recorders in unit tests have no connection.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection so that the other side sees an error, not its end.
func reset(conn net.Conn) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
