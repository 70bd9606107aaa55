package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/daisylb/daisylb/code"
)

// retryHint is the hint of refusals that know no better one.
const retryHint = time.Second

// errorBody is OpenAI's error object with the numbered result.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string       `json:"message"`
	Type      string       `json:"type"`
	Code      string       `json:"code"`
	Param     *string      `json:"param"`
	Number    code.Number  `json:"number"`
	Outcome   code.Outcome `json:"outcome"`
	RequestID string       `json:"request_id,omitempty"`
}

func newErrorBody(requestID string, e *code.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message:   e.Message,
		Type:      "daisylb_error",
		Code:      code.Describe(e.Number).Name,
		Number:    e.Number,
		Outcome:   e.Outcome,
		RequestID: requestID,
	}}
}

// WriteError writes err as a numbered error in OpenAI's shape. Causes are not
// shown.
func WriteError(w http.ResponseWriter, r *http.Request, err error) {
	e := code.From(err)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	// OpenAI's clients repeat 409, 429 and 5xx by themselves unless told not to.
	if e.Outcome == code.Unknown {
		w.Header().Set("X-Should-Retry", "false")
	}
	writeJSON(w, code.Describe(e.Number).Status, newErrorBody(IdentityOf(r).RequestID, e))
}

func writeJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The connection is gone when this fails; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
