package caller

import (
	"encoding/json"
	"net/http"
	"time"
)

// defaultRetryAfter is the Retry-After of rejections that have no better
// estimate.
const defaultRetryAfter = time.Second

// writeJSON writes body as JSON with the status.
func writeJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the connection is closed; it cannot be reported.
	_ = json.NewEncoder(w).Encode(body)
}
