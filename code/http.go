package code

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Body is the JSON form of an Error: OpenAI's error object with the number,
// the outcome and the request id.
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

// NewBody returns the JSON form of e. The cause is left out.
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

// Err returns the Error that the body describes.
func (b Body) Err() *Error {
	return &Error{Number: b.Error.Number, Outcome: b.Error.Outcome, Message: b.Error.Message}
}

// WriteHTTP answers an HTTP request with err, its status and its retry hint.
// OpenAI's SDKs repeat 409, 429 and 5xx unless a header tells them not to, so
// the header is set when the work may have run.
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
	// The connection is gone when this fails; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(NewBody(requestID, e))
}
