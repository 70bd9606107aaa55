package caller

import "net/http"

// startedWriter is a ResponseWriter that records whether the response has begun. It is
// not safe for concurrent use.
type startedWriter struct {
	http.ResponseWriter
	// started is set when the status can no longer change.
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.started = w.started || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController. It sends the headers.
func (w *startedWriter) FlushError() error {
	w.started = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is used by http.ResponseController.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
