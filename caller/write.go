package caller

import (
	"encoding/json"
	"net/http"
	"time"
)

// defaultRetryAfter is the hint of refusals that know no better one.
const defaultRetryAfter = time.Second

func writeJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The connection is gone when this fails; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
