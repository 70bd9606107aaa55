package entry

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/code"
)

// defaultMaxBodyBytes is the limit of a body when the document sets none.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the body of at most limit bytes; 0 means defaultMaxBodyBytes. A
// body that is incomplete at the deadline of the request is abandoned, since the
// request could no longer run. Errors: code.BodyTooLarge, code.SlowSender,
// code.MalformedBody, code.MemoryExhausted and code.CallerGone.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.Body == http.NoBody {
		// net/http is already reading ahead, and would take the deadline for the end of
		// the connection.
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	// The error is ignored: recorders in unit tests do not support deadlines.
	_ = control.SetReadDeadline(deadline)
	body, err := budget.ReadAll(budget.FromContext(r.Context()).Take, http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	// The deadline is not cleared on an error, so that net/http does not wait for
	// the rest of the body beyond it.
	case errors.As(err, &tooLarge):
		return nil, code.New(code.BodyTooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, budget.ErrGivenUp), code.Of(err) == code.MemoryExhausted:
		return nil, refuseBody(w, control, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, code.Wrap(code.SlowSender, err, "the body did not arrive within the request's time")
	}
	// net/http cancels the request when reading from the connection fails.
	if r.Context().Err() == nil {
		return nil, code.Wrap(code.MalformedBody, err, "the transfer coding of the body is malformed")
	}
	return nil, code.Wrap(code.CallerGone, err, "the body did not arrive").WithOutcome(code.NotRun)
}

// refuseBody returns the error of a body that the instance has no memory for. The rest is not
// read.
func refuseBody(w http.ResponseWriter, control *http.ResponseController, err error) error {
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
	return code.Wrap(code.MemoryExhausted, err, "the memory for callers is used up").WithRetryAfter(exhaustedRetryAfter)
}

// exhaustedRetryAfter is short, since another instance can take the request at once.
const exhaustedRetryAfter = 100 * time.Millisecond
